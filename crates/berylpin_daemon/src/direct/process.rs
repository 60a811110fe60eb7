//! The threads of a daemon on the users' platform: one for control state and one for traffic.

use super::caller::{accept_callers, max_callers};
use super::control::{ControlContext, StateDeltaRequest, run_control};
use super::failure::{FailureReporter, failure_channel};
use super::peer_versions::PeerVersion;
use super::peers::{PeerContext, accept_peers};
use super::status::{StatusContext, serve_status};
use super::traffic::{Traffic, TrafficContext};
use crate::daemon::StartError;
use crate::logging::Log;
use crate::sockets::Socket;
use berylpin_core::clock::Clock;
use berylpin_core::direct::{Replica, Stop, View};
use berylpin_platform::{PlatformSettings, SettingsError, Store, StoreError};
use rand::Rng;
use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

/// The maximum number of requests for state that wait for the control thread. A peer whose request
/// is refused asks another daemon.
const MAX_QUEUED_STATE_REQUESTS: usize = 16;

/// The maximum number of leaving replicas that wait for the control thread.
const MAX_QUEUED_LEAVING: usize = 1024;

/// The maximum number of peers' versions that wait for the control thread; peers repeat them.
const MAX_QUEUED_PEER_VERSIONS: usize = 4;

/// The stack size of each thread; the HTTP libraries have the deepest calls.
const THREAD_STACK_BYTES: usize = 512 * 1024;

/// Why a daemon cannot start.
#[derive(Debug, Error)]
pub(super) enum RunError {
    /// The settings cannot be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The daemon cannot listen on an address.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The client of the store cannot be created.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A thread or its runtime cannot be created.
    #[error("thread: {0}")]
    Thread(#[from] io::Error),
    /// A thread ended before it served.
    #[error("a thread ended during the start")]
    ThreadEnded,
}

/// The state that the threads of a daemon share.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) log: Log,
    pub(super) view: watch::Receiver<Option<Arc<View>>>,
    /// Set when the daemon receives a stop signal; it reports not ready from then on.
    pub(super) stop: watch::Receiver<Option<Stop>>,
    /// Turns true when the daemon stops accepting callers.
    pub(super) stop_accepting: watch::Receiver<bool>,
    /// Reports the parts that fail.
    pub(super) failures: FailureReporter,
}

/// The threads of a daemon and the channels to them.
///
/// Dropping it ends the threads without a planned stop.
pub(super) struct Threads {
    settings: watch::Sender<PlatformSettings>,
    stop: watch::Sender<Option<Stop>>,
    stop_accepting: watch::Sender<bool>,
    end_control: oneshot::Sender<()>,
    control: JoinHandle<()>,
    /// Receives a message, or is closed, when the traffic thread has answered all callers.
    answered: Receiver<()>,
    /// The names of parts that failed.
    failures: UnboundedReceiver<&'static str>,
}

impl Threads {
    /// Starts the threads; all addresses accept connections when it returns.
    ///
    /// # Errors
    ///
    /// Returns why a thread cannot be started or serve; no thread stays.
    pub(super) fn start(
        settings: PlatformSettings,
        clock: &Arc<dyn Clock>,
        log: &Log,
    ) -> Result<Self, RunError> {
        let (view_tx, view) = watch::channel(None);
        let (stop_tx, stop) = watch::channel(None);
        let (stop_accepting_tx, stop_accepting) = watch::channel(false);
        let (settings_tx, settings_rx) = watch::channel(settings.clone());
        let (state_requests_tx, state_requests) = mpsc::channel(MAX_QUEUED_STATE_REQUESTS);
        let (leaving_tx, leaving) = mpsc::channel(MAX_QUEUED_LEAVING);
        let (peer_versions_tx, peer_versions) = mpsc::channel(MAX_QUEUED_PEER_VERSIONS);
        let (confirmed_at_tx, confirmed_at) = watch::channel(None);
        let (listening_tx, listening) = channel();
        let (reporter, failures) = failure_channel();
        let shared = Shared {
            clock: clock.clone(),
            log: log.clone(),
            view,
            stop,
            stop_accepting,
            failures: reporter,
        };

        // Binds before the threads start, so that an address in use leaves no thread to shut down.
        let callers = Socket::bind("caller_address", settings.caller_address)?;
        let peers = Socket::bind("peer_address", (settings.ip, settings.peer_ports.0).into())?;
        let status = StatusContext::bind(&settings, &shared)?;
        let cx = ControlContext {
            settings: settings_rx.clone(),
            view: view_tx,
            store: Store::new(settings.store, settings.ip)?,
            state_requests,
            leaving,
            confirmed_at: confirmed_at_tx,
            peer_versions,
        };
        let to_control = ToControl {
            state_requests: state_requests_tx,
            leaving: leaving_tx,
            peer_versions: peer_versions_tx,
            confirmed_at,
        };
        let sockets = (callers, peers);
        // The control thread starts last, because it answers the readiness probes.
        let answered =
            spawn_traffic(settings_rx, shared.clone(), sockets, to_control, listening_tx.clone())?;
        listening.recv().map_err(|_| RunError::ThreadEnded)??;
        let (end_control, control_end) = oneshot::channel();
        let control = spawn_control(cx, status, shared, listening_tx, control_end)?;
        listening.recv().map_err(|_| RunError::ThreadEnded)??;
        Ok(Self {
            settings: settings_tx,
            stop: stop_tx,
            stop_accepting: stop_accepting_tx,
            end_control,
            control,
            answered,
            failures,
        })
    }

    /// Waits until a part fails; returns its name.
    pub(super) async fn failure(&mut self) -> &'static str {
        match self.failures.recv().await {
            Some(part) => part,
            // All parts have ended, which none of them reported.
            None => "threads",
        }
    }

    /// Returns the settings in force.
    pub(super) fn settings(&self) -> PlatformSettings {
        self.settings.borrow().clone()
    }

    /// Puts settings in force; returns whether they differ from those before.
    pub(super) fn update_settings(&self, settings: PlatformSettings) -> bool {
        self.settings.send_if_modified(|current| {
            let changed = *current != settings;
            *current = settings;
            changed
        })
    }

    /// Begins a planned stop: the daemon reports not ready, and its requests are limited.
    pub(super) fn begin_stop(&self, stop: Stop) {
        self.stop.send_replace(Some(stop));
    }

    /// Accepts no callers from now on.
    pub(super) fn stop_accepting(&self) {
        self.stop_accepting.send_replace(true);
    }

    /// Waits until all callers are answered; returns whether they are within the time.
    pub(super) fn wait_until_answered(&self, timeout: Duration) -> bool {
        self.answered.recv_timeout(timeout).is_ok()
    }

    /// Ends the control thread; returns whether it ended without a panic.
    pub(super) fn end_control(self) -> bool {
        // An error means that the thread has ended.
        let _ = self.end_control.send(());
        self.control.join().is_ok()
    }
}

/// Starts the control thread, which also serves the status endpoints.
fn spawn_control(
    cx: ControlContext,
    status: StatusContext,
    shared: Shared,
    listening: Sender<Result<(), StartError>>,
    end: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    spawn_thread("control", move |local, runtime| {
        let _guard = shared.failures.guard("control thread");
        local.block_on(runtime, async move {
            let status = match status.listen() {
                Ok(status) => status,
                Err(e) => return report(&listening, Err(e)),
            };
            report(&listening, Ok(()));
            drop(listening);
            shared.failures.spawn_local("status endpoints", serve_status(status));
            tokio::select! {
                () = run_control(cx, shared) => {}
                // An error means that the sender was dropped, so the process is ending.
                _ = end => {}
            }
        });
    })
}

/// Starts the traffic thread; returns a channel that receives a message or is closed at its end.
fn spawn_traffic(
    settings: watch::Receiver<PlatformSettings>,
    shared: Shared,
    (callers, peers): (Socket, Socket),
    to_control: ToControl,
    listening: Sender<Result<(), StartError>>,
) -> io::Result<Receiver<()>> {
    let (answered_tx, answered) = channel();
    let thread = spawn_thread("traffic", move |local, runtime| {
        let _guard = shared.failures.guard("traffic thread");
        local.block_on(runtime, async {
            let listeners = callers.listen().and_then(|callers| Ok((callers, peers.listen()?)));
            let listeners = match listeners {
                Ok(listeners) => listeners,
                Err(e) => return report(&listening, Err(e)),
            };
            report(&listening, Ok(()));
            drop(listening);
            run_traffic(&settings, shared, listeners, to_control).await;
        });
        // The remaining tasks log the requests that they abort when they are dropped.
        drop(local);
        // An error means that the receiver was dropped, so the process is ending.
        let _ = answered_tx.send(());
    })?;
    // The end of the thread is awaited through the channel, because a join has no timeout.
    drop(thread);
    Ok(answered)
}

fn report(listening: &Sender<Result<(), StartError>>, result: Result<(), StartError>) {
    // An error means that the other thread has failed, so the start has as well.
    let _ = listening.send(result);
}

/// The traffic thread's queues to the control thread, and what that publishes besides views.
struct ToControl {
    state_requests: mpsc::Sender<StateDeltaRequest>,
    leaving: mpsc::Sender<Arc<Replica>>,
    peer_versions: mpsc::Sender<PeerVersion>,
    confirmed_at: watch::Receiver<Option<Instant>>,
}

/// Serves callers and peers until `stop_accepting` is set and all callers are answered.
async fn run_traffic(
    settings: &watch::Receiver<PlatformSettings>,
    shared: Shared,
    (callers, peers): (TcpListener, TcpListener),
    to_control: ToControl,
) {
    let ToControl { state_requests, leaving, peer_versions, confirmed_at } = to_control;
    let (changing, settings) = (settings.clone(), settings.borrow().clone());
    let cx = TrafficContext {
        shared: shared.clone(),
        settings: changing,
        seed: rand::rng().random(),
        memory_limit: settings.memory_limit,
        leaving,
        peer_address: (settings.ip, settings.peer_ports.0).into(),
        peer_versions,
        confirmed_at,
    };
    let traffic = Traffic::start(cx);
    let cx = PeerContext { traffic: traffic.clone(), state_requests, log: shared.log.clone() };
    shared.failures.spawn_local("listener for peers", accept_peers(peers, cx));
    accept_callers(callers, traffic, shared, max_callers(settings.memory_limit)).await;
}

fn spawn_thread<F>(name: &str, work: F) -> io::Result<JoinHandle<()>>
where
    F: FnOnce(LocalSet, &tokio::runtime::Runtime) + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || work(LocalSet::new(), &runtime))
}
