//! A running daemon.

use crate::control::{ControlContext, ControlMail, ControlMailbox, new_controller, run_control};
use crate::http::{AdminState, CallerState, admin_routes, caller_routes};
use crate::logging::Log;
use crate::settings::DaemonSettings;
use crate::sockets::{BackoffAcceptor, Socket, Sockets};
use crate::traffic::{
    Mail, Mailbox, Mailboxes, PeerContext, StopBarrier, ThreadContext, run_thread, serve_peers,
};
use berylpin_core::clock::Clock;
use berylpin_core::control::{Controller, View};
use berylpin_core::ids::{Key, ThreadId};
use poem::Server;
use rand::Rng;
use slog::info;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{mpsc, watch};

/// Maximum time for the requests in progress once a daemon stops accepting.
const STOP_TIMEOUT: Duration = Duration::from_mins(1);

/// Why a daemon cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound or listened on.
    #[error("{name} {address}: {source}")]
    Listen {
        /// The name of the address, such as `caller_address`.
        name: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("thread: {0}")]
    Thread(#[from] io::Error),
}

/// A running daemon.
///
/// [`Daemon::stop`] and [`Daemon::kill`] wait for its threads to end; dropping it does not.
pub struct Daemon {
    settings: DaemonSettings,
    /// Set once the daemon is to report not ready.
    stopping: Arc<AtomicBool>,
    /// Stops the front ends.
    stop_accepting: watch::Sender<bool>,
    control_mailbox: ControlMailbox,
    /// Ends all threads at once.
    kill: watch::Sender<bool>,
    /// The runtimes of all threads.
    runtimes: Vec<Handle>,
    control: JoinHandle<()>,
    traffic: Vec<JoinHandle<()>>,
    log: Log,
}

/// State that the threads of a daemon share.
struct Shared {
    settings: DaemonSettings,
    clock: Arc<dyn Clock>,
    log: Log,
    mailboxes: Mailboxes,
    control_mailbox: ControlMailbox,
    view: watch::Receiver<Arc<View>>,
    stop_barrier: StopBarrier,
    /// True once the front ends are to stop.
    accepting_stopped: watch::Receiver<bool>,
    killed: watch::Receiver<bool>,
}

impl Daemon {
    /// Binds all addresses and starts all threads.
    ///
    /// # Errors
    ///
    /// Returns the address that cannot be bound, or why a thread cannot be started.
    pub fn start(
        settings: DaemonSettings,
        clock: Arc<dyn Clock>,
        log: Log,
    ) -> Result<Self, StartError> {
        // Bind first, so that no thread is running if an address is in use.
        let sockets = Sockets::bind(&settings)?;
        let controller = new_controller(&settings, &*clock, rand::rng().random());
        let (view_tx, view) = watch::channel(controller.view().clone());
        let (control_mailbox, control_rx) = ControlMailbox::new();
        let (stop_accepting, accepting_stopped) = watch::channel(false);
        let (kill, killed) = watch::channel(false);
        let channels: Vec<_> = (0..settings.threads).map(|_| Mailbox::new()).collect();
        let mailboxes = channels.iter().map(|(mailbox, _)| mailbox.clone()).collect();
        let shared = Shared {
            stop_barrier: StopBarrier::new(settings.threads),
            settings,
            clock,
            log,
            mailboxes: Mailboxes::new(mailboxes),
            control_mailbox,
            view,
            accepting_stopped,
            killed,
        };

        let mut runtimes = Vec::new();
        let mut traffic = Vec::new();
        let mut peers = Some(sockets.peers);
        for (index, (channel, callers)) in channels.into_iter().zip(sockets.callers).enumerate() {
            let id = ThreadId::from_index(index);
            let (runtime, thread) = shared.start_traffic(id, channel, callers, peers.take())?;
            runtimes.push(runtime);
            traffic.push(thread);
        }
        let stopping = Arc::new(AtomicBool::new(false));
        let (runtime, control) = shared.start_control(
            (controller, control_rx),
            view_tx,
            sockets.admin,
            (stopping.clone(), runtimes.clone()),
        )?;
        runtimes.push(runtime);
        info!(shared.log, "daemon: started"; "name" => &shared.settings.name);
        let Shared { settings, control_mailbox, log, .. } = shared;
        Ok(Self {
            settings,
            stopping,
            stop_accepting,
            control_mailbox,
            kill,
            runtimes,
            control,
            traffic,
            log,
        })
    }

    /// Returns the settings that the daemon runs with.
    pub fn settings(&self) -> &DaemonSettings {
        &self.settings
    }

    /// Ends all threads at once and closes all sockets, as if the VM had crashed.
    ///
    /// Blocks until all threads have ended.
    pub fn kill(self) {
        self.kill.send_replace(true);
        for thread in self.traffic.into_iter().chain([self.control]) {
            // An error means that the thread panicked, which the panic hook has already reported.
            let _ = thread.join();
        }
    }

    /// Blocks all threads for `duration`, as if the VM had been paused; returns at once.
    pub fn pause(&self, duration: Duration) {
        for runtime in &self.runtimes {
            runtime.spawn(async move { std::thread::sleep(duration) });
        }
    }

    /// Stops gracefully: reports not ready, leaves placement, completes the requests in progress
    /// and ends all threads.
    ///
    /// Blocks until all threads have ended.
    pub fn stop(self) {
        info!(self.log, "daemon: stopping");
        self.stopping.store(true, Ordering::Relaxed);
        self.control_mailbox.send_blocking(ControlMail::Leave);
        std::thread::sleep(self.settings.stop_notice);
        self.stop_accepting.send_replace(true);
        for thread in self.traffic {
            // An error means that the thread panicked, which the panic hook has already reported.
            let _ = thread.join();
        }
        self.control_mailbox.send_blocking(ControlMail::Stop);
        let _ = self.control.join();
        info!(self.log, "daemon: stopped");
    }
}

impl Shared {
    /// Starts a traffic thread; the one that receives `peers` also accepts links of other daemons.
    fn start_traffic(
        &self,
        id: ThreadId,
        (mailbox, rx): (Mailbox, mpsc::Receiver<Mail>),
        callers: Socket,
        peers: Option<Socket>,
    ) -> Result<(Handle, JoinHandle<()>), StartError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (callers, peers) = {
            let _guard = runtime.enter();
            (callers.listen()?, peers.map(Socket::listen).transpose()?)
        };
        let cx = ThreadContext {
            id,
            mailboxes: self.mailboxes.clone(),
            clock: self.clock.clone(),
            log: self.log.clone(),
            fleet_key: self.settings.fleet_key.clone(),
            stop_barrier: self.stop_barrier.clone(),
            seed: rand::rng().random(),
        };
        let links = peers.map(|listener| serve_peers(listener, self.peer_context()));
        let state = CallerState {
            mailbox: mailbox.clone(),
            view: self.view.clone(),
            next_ticket: Arc::new(AtomicU64::new(0)),
            clock: self.clock.clone(),
        };
        let front_end = serve_http(callers, caller_routes(state), self.accepting_stopped.clone());
        let first_view = self.view.borrow().clone();
        let work = async move {
            links.map(tokio::spawn);
            // Keep-alive connections may deliver requests until the front end has ended.
            tokio::spawn(async move {
                front_end.await;
                mailbox.send(Mail::Stop).await;
            });
            run_thread(cx, first_view, rx).await;
        };
        let thread = self.spawn(format!("traffic-{}", id.index()), runtime, work)?;
        Ok((handle, thread))
    }

    fn peer_context(&self) -> PeerContext {
        let (view, mailboxes) = (self.view.clone(), self.mailboxes.clone());
        let control = self.control_mailbox.clone();
        PeerContext::new(&self.settings, view, mailboxes, control, self.log.logger())
    }

    /// Starts the control thread, which also serves operators.
    fn start_control(
        &self,
        (controller, rx): (Controller, mpsc::Receiver<ControlMail>),
        view: watch::Sender<Arc<View>>,
        admin: Socket,
        (stopping, runtimes): (Arc<AtomicBool>, Vec<Handle>),
    ) -> Result<(Handle, JoinHandle<()>), StartError> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let admin = {
            let _guard = runtime.enter();
            admin.listen()?
        };
        let joined = Arc::new(AtomicBool::new(false));
        let state = AdminState::new(
            &self.settings,
            self.view.clone(),
            (joined.clone(), stopping),
            self.control_mailbox.clone(),
            self.log.clone(),
        );
        let cx = ControlContext {
            settings: self.settings.clone(),
            clock: self.clock.clone(),
            mailbox: self.control_mailbox.clone(),
            mailboxes: self.mailboxes.clone(),
            runtimes,
            view,
            joined,
            log: self.log.clone(),
        };
        let front_end = serve_http(admin, admin_routes(state), self.accepting_stopped.clone());
        let work = async move {
            tokio::spawn(front_end);
            run_control(cx, controller, rx).await;
        };
        let thread = self.spawn("control".to_owned(), runtime, work)?;
        Ok((handle, thread))
    }

    /// Starts a thread that runs `work` until it completes or the daemon is killed.
    fn spawn<F>(&self, name: String, runtime: Runtime, work: F) -> io::Result<JoinHandle<()>>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut killed = self.killed.clone();
        std::thread::Builder::new().name(name).spawn(move || {
            runtime.block_on(async move {
                tokio::select! {
                    Ok(_) = killed.wait_for(|killed| *killed) => {}
                    () = work => {}
                }
            });
        })
    }
}

/// Serves HTTP until `stopped` is set, then completes the requests in progress within
/// [`STOP_TIMEOUT`].
async fn serve_http<E>(listener: TcpListener, routes: E, mut stopped: watch::Receiver<bool>)
where
    E: poem::IntoEndpoint,
    E::Endpoint: 'static,
{
    let Ok(acceptor) = BackoffAcceptor::new(listener) else { return };
    let stop = async move {
        // An error means that the daemon was dropped; serving stops in that case, too.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let _ = Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes, stop, Some(STOP_TIMEOUT))
        .await;
}
