//! The process of a daemon on the users' platform: start, signals and shutdown.

use super::caller::accept_callers;
use super::control::{ControlContext, StateDeltaRequest, run_control};
use super::peer_versions::PeerVersion;
use super::peers::{PeerContext, accept_peers};
use super::status::{StatusContext, serve_status};
use super::traffic::{Traffic, TrafficContext};
use crate::daemon::StartError;
use crate::logging::Log;
use crate::sockets::Socket;
use berylpin_core::clock::Clock;
use berylpin_core::direct::{ExtraLimits, Replica, Stop, StopSchedule, View};
use berylpin_platform::{PlatformSettings, SettingsError, Store, StoreError};
use rand::Rng;
use slog::{error, info, warn};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::LocalSet;

/// How long the process waits for the log thread's last lines; a full queue takes less.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// The interval at which the settings file is read, because it may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// The back-off after a failed accept, for example for lack of file descriptors.
pub(super) const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

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
pub enum RunError {
    /// The settings cannot be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The daemon cannot listen on an address.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The client of the store cannot be created.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A thread, its runtime or a signal handler cannot be created.
    #[error("process: {0}")]
    Process(#[from] io::Error),
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
}

/// Runs a daemon with the platform's settings file until it receives a stop signal.
///
/// # Errors
///
/// Returns why the daemon cannot start.
pub fn run_on_platform(path: &Path, clock: Arc<dyn Clock>, log: Log) -> Result<(), RunError> {
    info!(log, "daemon: starting"; "version" => env!("CARGO_PKG_VERSION"),
        "process" => std::process::id());
    let result = run(path, clock, &log);
    if let Err(e) = &result {
        error!(log, "daemon: not started"; "cause" => %e);
        // The log thread cannot be joined.
        std::thread::sleep(LOG_FLUSH_TIME);
    }
    result
}

fn run(path: &Path, clock: Arc<dyn Clock>, log: &Log) -> Result<(), RunError> {
    let started_at = clock.now();
    let settings = PlatformSettings::load(path)?;
    let (view_tx, view) = watch::channel(None);
    let (stop_tx, stop) = watch::channel(None);
    let (stop_accepting_tx, stop_accepting) = watch::channel(false);
    let (settings_tx, settings_rx) = watch::channel(settings.clone());
    let (state_requests_tx, state_requests) = mpsc::channel(MAX_QUEUED_STATE_REQUESTS);
    let (leaving_tx, leaving) = mpsc::channel(MAX_QUEUED_LEAVING);
    let (peer_versions_tx, peer_versions) = mpsc::channel(MAX_QUEUED_PEER_VERSIONS);
    let (confirmed_at_tx, confirmed_at) = watch::channel(None);
    let shared = Shared { clock: clock.clone(), log: log.clone(), view, stop, stop_accepting };

    // Binds before the threads start, so that an address in use leaves no thread to shut down.
    let status = StatusContext::bind(&settings, &shared)?;
    let callers = Socket::bind("caller_address", settings.caller_address)?;
    let peers = Socket::bind("peer_address", (settings.ip, settings.peer_ports.0).into())?;
    let (end_control_tx, end_control) = oneshot::channel();
    let control = {
        let shared = shared.clone();
        let store = Store::new(settings.store, settings.ip)?;
        let cx = ControlContext {
            settings: settings_rx,
            view: view_tx,
            store,
            state_requests,
            leaving,
            confirmed_at: confirmed_at_tx,
            peer_versions,
        };
        spawn_thread("control", move |local, runtime| {
            local.block_on(runtime, async move {
                tokio::task::spawn_local(serve_status(status));
                tokio::select! {
                    () = run_control(cx, shared) => {}
                    // An error means that the sender was dropped, so the process is ending.
                    _ = end_control => {}
                }
            });
        })?
    };
    let (drained_tx, drained) = std::sync::mpsc::channel();
    let traffic = {
        let (shared, settings, log) = (shared.clone(), settings.clone(), log.clone());
        spawn_thread("traffic", move |local, runtime| {
            let sockets = (callers, peers);
            let to_control = ToControl {
                state_requests: state_requests_tx,
                leaving: leaving_tx,
                peer_versions: peer_versions_tx,
                confirmed_at,
            };
            let result =
                local.block_on(runtime, run_traffic(&settings, shared, sockets, to_control));
            if let Err(e) = result {
                error!(log, "daemon: traffic not served"; "cause" => %e);
            }
            // The remaining tasks log the requests that they abort when they are dropped.
            drop(local);
            // An error means that the receiver was dropped, so the process is ending.
            let _ = drained_tx.send(());
        })?
    };
    // The end of the thread is awaited through `drained`, because a join has no timeout.
    drop(traffic);
    let elapsed = clock.now().saturating_duration_since(started_at);
    info!(log, "daemon: started"; "name" => &settings.name, "data_centre" => &settings.data_centre,
        "version" => env!("CARGO_PKG_VERSION"), "elapsed_ms" => elapsed.as_millis() as u64);
    run_until_stop_signal(path.to_owned(), settings_tx, log)?;
    let schedule = StopSchedule::new(settings.stop_limit);
    stop_tx.send_replace(Some(schedule.begin(clock.now())));
    std::thread::sleep(schedule.notice);
    stop_accepting_tx.send_replace(true);
    let all_answered = drained.recv_timeout(schedule.exit.saturating_sub(schedule.notice)).is_ok();
    // The control thread ends first, so that after the line `daemon: stopped` only lines about
    // aborted requests can follow.
    let _ = end_control_tx.send(());
    let control_ended = control.join().is_ok();
    info!(log, "daemon: stopped"; "all_answered" => all_answered, "control_ended" => control_ended);
    // The log thread cannot be joined.
    std::thread::sleep(LOG_FLUSH_TIME);
    Ok(())
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
    settings: &PlatformSettings,
    shared: Shared,
    (callers, peers): (Socket, Socket),
    to_control: ToControl,
) -> Result<(), StartError> {
    let ToControl { state_requests, leaving, peer_versions, confirmed_at } = to_control;
    let (callers, peers) = (callers.listen()?, peers.listen()?);
    let limits = ExtraLimits {
        ratio: settings.extra_attempt_ratio,
        slack: settings.extra_attempt_slack,
        window: settings.extra_attempt_window,
    };
    let cx = TrafficContext {
        shared: shared.clone(),
        limits,
        seed: rand::rng().random(),
        memory_limit: settings.memory_limit,
        leaving,
        peer_address: (settings.ip, settings.peer_ports.0).into(),
        peer_versions,
        confirmed_at,
    };
    let traffic = Traffic::start(cx);
    let cx = PeerContext { traffic: traffic.clone(), state_requests, log: shared.log.clone() };
    tokio::task::spawn_local(accept_peers(peers, cx));
    accept_callers(callers, traffic, shared).await;
    Ok(())
}

fn spawn_thread<F>(name: &str, work: F) -> io::Result<std::thread::JoinHandle<()>>
where
    F: FnOnce(LocalSet, &tokio::runtime::Runtime) + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || work(LocalSet::new(), &runtime))
}

/// Reloads the settings on SIGHUP and at intervals; returns on SIGTERM or SIGINT.
fn run_until_stop_signal(
    path: PathBuf,
    settings: watch::Sender<PlatformSettings>,
    log: &Log,
) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        let reload_requested = Notify::new();
        let signal = loop {
            tokio::select! {
                _ = terminate.recv() => break "SIGTERM",
                _ = interrupt.recv() => break "SIGINT",
                _ = hang_up.recv() => {
                    info!(log, "daemon: reload of settings requested");
                    reload_requested.notify_one();
                }
                () = reload_requested.notified() => reload(&path, &settings, log),
                () = tokio::time::sleep(SETTINGS_RELOAD_INTERVAL) => reload(&path, &settings, log),
            }
        };
        info!(log, "daemon: stopping"; "signal" => signal);
        Ok(())
    })
}

fn reload(path: &Path, settings: &watch::Sender<PlatformSettings>, log: &Log) {
    match PlatformSettings::load(path) {
        Ok(new_settings) => {
            let changed = settings.send_if_modified(|current| {
                let changed = *current != new_settings;
                *current = new_settings;
                changed
            });
            if changed {
                info!(log, "daemon: settings changed");
            }
        }
        Err(e) => warn!(log, "daemon: settings not reloaded"; "cause" => %e),
    }
}
