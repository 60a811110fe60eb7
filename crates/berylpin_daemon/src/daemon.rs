//! A running daemon.

use crate::control::{ControlContext, ControlMail, ControlMailbox, new_controller, run_control};
use crate::http::{AdminState, CallerState, admin_routes, caller_routes};
use crate::logging::Log;
use crate::settings::DaemonSettings;
use crate::traffic::{
    Mail, Mailbox, Mailboxes, PeerContext, StopGate, ThreadContext, run_thread, serve_peers,
};
use berylpin_core::clock::Clock;
use berylpin_core::control::{Controller, View};
use berylpin_core::ids::{Key, ThreadId};
use poem::Server;
use poem::listener::TcpAcceptor;
use rand::Rng;
use slog::info;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::{mpsc, watch};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// How long requests in progress may take once a daemon stops accepting.
const STOP_LIMIT: Duration = Duration::from_mins(1);

/// Why a daemon does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("{key} {address}: {source}")]
    Listen {
        /// The settings key of the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("thread: {0}")]
    Thread(#[from] io::Error),
}

/// A running daemon; dropping it leaves its threads running until the process ends.
pub struct Daemon {
    settings: DaemonSettings,
    stopping: Arc<AtomicBool>,
    stop_accepting: watch::Sender<bool>,
    control_mailbox: ControlMailbox,
    /// Ends all threads at once.
    kill: watch::Sender<bool>,
    /// Of all threads.
    runtimes: Vec<Handle>,
    control: JoinHandle<()>,
    traffic: Vec<JoinHandle<()>>,
    log: Log,
}

struct TrafficParts {
    cx: ThreadContext,
    rx: mpsc::Receiver<Mail>,
    mailbox: Mailbox,
    callers: TcpListener,
    peers: Option<(TcpListener, PeerContext)>,
}

impl Daemon {
    /// Binds all addresses and starts all threads.
    ///
    /// # Errors
    ///
    /// Returns the address that cannot be listened on or the thread that cannot be started.
    pub fn start(
        settings: DaemonSettings,
        clock: Arc<dyn Clock>,
        log: Log,
    ) -> Result<Self, StartError> {
        // An address in use shows before any thread is there to be ended.
        let sockets = Sockets::bind(&settings)?;
        let controller = new_controller(&settings, &*clock, rand::rng().random());
        let (view_tx, view) = watch::channel(controller.view().clone());
        let (control_mailbox, control_rx) = ControlMailbox::new();
        let (stop_accepting, stopped) = watch::channel(false);
        let (kill, killed) = watch::channel(false);
        let stopping = Arc::new(AtomicBool::new(false));
        let joined = Arc::new(AtomicBool::new(false));
        let (boxes, receivers): (Vec<_>, Vec<_>) =
            (0..settings.threads).map(|_| Mailbox::new()).unzip();
        let mailboxes = Mailboxes::new(boxes);
        let stop_gate = StopGate::new(settings.threads);

        let mut runtimes = Vec::new();
        let mut traffic = Vec::new();
        let mut peers = Some(sockets.peers);
        for (index, (rx, callers)) in receivers.into_iter().zip(sockets.callers).enumerate() {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            runtimes.push(runtime.handle().clone());
            let guard = runtime.enter();
            let id = ThreadId::from_index(index);
            let cx = ThreadContext {
                id,
                mailboxes: mailboxes.clone(),
                clock: clock.clone(),
                log: log.clone(),
                fleet_key: settings.fleet_key.clone(),
                stop_gate: stop_gate.clone(),
                seed: rand::rng().random(),
            };
            let callers = callers.listen()?;
            let peers = peers.take().map(Socket::listen).transpose()?;
            let peers = peers.map(|listener| {
                let (view, boxes, log) = (view.clone(), mailboxes.clone(), log.logger());
                let control = control_mailbox.clone();
                (listener, PeerContext::new(&settings, view, boxes, control, log))
            });
            let Some(mailbox) = mailboxes.get(id).cloned() else { continue };
            let parts = TrafficParts { cx, rx, mailbox, callers, peers };
            drop(guard);
            traffic.push(start_traffic(
                runtime,
                parts,
                view.clone(),
                (stopped.clone(), killed.clone()),
            )?);
        }

        let runtime = Builder::new_current_thread().enable_all().build()?;
        let admin = {
            let _guard = runtime.enter();
            sockets.admin.listen()?
        };
        let admin_state = AdminState::new(
            &settings,
            view,
            (joined.clone(), stopping.clone()),
            control_mailbox.clone(),
            log.clone(),
        );
        let mut all_runtimes = runtimes.clone();
        all_runtimes.push(runtime.handle().clone());
        let cx = ControlContext {
            settings: settings.clone(),
            clock,
            own: control_mailbox.clone(),
            mailboxes: mailboxes.clone(),
            runtimes,
            view: view_tx,
            joined,
            log: log.clone(),
        };
        let front = serve_http(admin, admin_routes(admin_state), stopped);
        let control = start_control(runtime, cx, (controller, control_rx), front, killed)?;
        info!(log, "daemon: started"; "name" => &settings.name);
        let runtimes = all_runtimes;
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

    /// Ends all threads at once and closes all sockets, as if the VM had gone.
    ///
    /// Blocks until that is done.
    pub fn kill(self) {
        self.kill.send_replace(true);
        for thread in self.traffic.into_iter().chain([self.control]) {
            // A thread that panicked has already said so.
            let _ = thread.join();
        }
    }

    /// Keeps all threads from doing anything for a while, as if the VM had been paused.
    pub fn pause(&self, length: Duration) {
        for runtime in &self.runtimes {
            runtime.spawn(async move { std::thread::sleep(length) });
        }
    }

    /// Stops gracefully: reports not ready and leaves placement, finishes what it has, then ends all
    /// threads.
    ///
    /// Blocks until that is done.
    pub fn stop(self) {
        info!(self.log, "daemon: stopping");
        self.stopping.store(true, Ordering::Relaxed);
        self.control_mailbox.send_blocking(ControlMail::Leave);
        std::thread::sleep(self.settings.stop_notice);
        self.stop_accepting.send_replace(true);
        for thread in self.traffic {
            // A thread that panicked has already said so.
            let _ = thread.join();
        }
        self.control_mailbox.send_blocking(ControlMail::Stop);
        let _ = self.control.join();
        info!(self.log, "daemon: stopped");
    }
}

fn start_traffic(
    runtime: Runtime,
    parts: TrafficParts,
    view: watch::Receiver<Arc<View>>,
    (stopped, killed): (watch::Receiver<bool>, watch::Receiver<bool>),
) -> io::Result<JoinHandle<()>> {
    let name = format!("traffic-{}", parts.cx.id.index());
    std::thread::Builder::new().name(name).spawn(move || {
        let work = async move {
            let TrafficParts { cx, rx, mailbox, callers, peers } = parts;
            if let Some((listener, cx)) = peers {
                Handle::current().spawn(serve_peers(listener, cx));
            }
            let state = CallerState {
                mailbox: mailbox.clone(),
                view: view.clone(),
                tickets: Arc::new(AtomicU64::new(0)),
                clock: cx.clock.clone(),
            };
            // A connection that is kept alive may bring requests until the front end has ended.
            tokio::spawn(async move {
                serve_http(callers, caller_routes(state), stopped).await;
                mailbox.send(Mail::Stop);
            });
            let first_view = view.borrow().clone();
            run_thread(cx, first_view, rx).await;
        };
        run_unless(killed, &runtime, work);
    })
}

/// Runs the work of a thread to its end or until the daemon is killed.
fn run_unless<F>(mut killed: watch::Receiver<bool>, runtime: &Runtime, work: F)
where
    F: Future<Output = ()>,
{
    runtime.block_on(async move {
        tokio::select! {
            Ok(_) = killed.wait_for(|killed| *killed) => {}
            () = work => {}
        }
    });
}

fn start_control<F>(
    runtime: Runtime,
    cx: ControlContext,
    (controller, rx): (Controller, mpsc::Receiver<ControlMail>),
    front: F,
    killed: watch::Receiver<bool>,
) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    std::thread::Builder::new().name("control".to_owned()).spawn(move || {
        let work = async move {
            tokio::spawn(front);
            run_control(cx, controller, rx).await;
        };
        run_unless(killed, &runtime, work);
    })
}

/// Serves HTTP until told to stop and all requests in progress are answered.
async fn serve_http<E>(listener: TcpListener, routes: E, mut stopped: watch::Receiver<bool>)
where
    E: poem::IntoEndpoint,
    E::Endpoint: 'static,
{
    let Ok(acceptor) = listener.into_std().and_then(TcpAcceptor::from_std) else { return };
    let stop = async move {
        // An error means that the daemon is gone, which ends serving as well.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    };
    let _ = Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes, stop, Some(STOP_LIMIT))
        .await;
}

/// The sockets of all addresses of a daemon.
struct Sockets {
    /// One a traffic thread.
    callers: Vec<Socket>,
    peers: Socket,
    admin: Socket,
}

/// A bound socket that does not listen yet.
struct Socket {
    key: &'static str,
    address: SocketAddr,
    inner: TcpSocket,
}

impl Sockets {
    fn bind(settings: &DaemonSettings) -> Result<Self, StartError> {
        let callers =
            (0..settings.threads).map(|_| Socket::bind("caller_address", settings.caller_address));
        Ok(Self {
            callers: callers.collect::<Result<_, _>>()?,
            peers: Socket::bind("peer_listen_address", settings.peer_listen_address)?,
            admin: Socket::bind("admin_address", settings.admin_address)?,
        })
    }
}

impl Socket {
    /// Binds an address that several threads may share.
    fn bind(key: &'static str, address: SocketAddr) -> Result<Self, StartError> {
        let open = || {
            let socket =
                if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_reuseaddr(true)?;
            socket.set_reuseport(true)?;
            socket.bind(address)?;
            Ok(socket)
        };
        let inner = open().map_err(|source| StartError::Listen { key, address, source })?;
        Ok(Self { key, address, inner })
    }

    /// Listens; call it within the runtime that accepts.
    fn listen(self) -> Result<TcpListener, StartError> {
        let Self { key, address, inner } = self;
        inner.listen(BACKLOG).map_err(|source| StartError::Listen { key, address, source })
    }
}
