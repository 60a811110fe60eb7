//! Start, signals and stop of a daemon on the users' platform.

use super::caller::accept_callers;
use super::control::{ControlContext, NewsRequest, run_control};
use super::peers::{PeerContext, accept_peers};
use super::status::{StatusContext, serve_status};
use super::traffic::{Traffic, TrafficContext};
use crate::daemon::StartError;
use crate::logging::Log;
use crate::sockets::Socket;
use berylpin_core::clock::Clock;
use berylpin_core::direct::{ExtraLimits, View};
use berylpin_platform::{PlatformSettings, SettingsError, Store, StoreError};
use rand::Rng;
use slog::{info, warn};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::LocalSet;

/// How long a stopping daemon reports not ready and goes on accepting. The balancer asks once a second
/// and takes a daemon out after two misses.
const STOP_NOTICE: Duration = Duration::from_millis(2300);

/// What is left of the time to stop when the last requests are given up.
const STOP_RESERVE: Duration = Duration::from_millis(600);

/// How long the last lines may take to be written; a full queue of the log takes less.
const LOG_TIME: Duration = Duration::from_millis(100);

/// How often the settings file is read, as it may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(5);

/// The pause after a connection could not be accepted, as for want of descriptors.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Requests for news that wait for the control thread; a daemon that finds no room asks another one.
const NEWS_QUEUE: usize = 16;

/// The stack of each thread, in bytes; the deepest calls are those of the HTTP libraries.
const STACK_BYTES: usize = 512 * 1024;

/// Why a daemon does not run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error(transparent)]
    Start(#[from] StartError),
    /// There is no client for the store.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A thread or signal handler cannot be had.
    #[error("process: {0}")]
    Process(#[from] io::Error),
}

/// What the threads of a daemon share.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) clock: Arc<dyn Clock>,
    pub(super) log: Log,
    pub(super) view: watch::Receiver<Option<Arc<View>>>,
    /// Whether the daemon was told to stop; it is not ready from then on.
    pub(super) leaving: Arc<AtomicBool>,
    /// Turns true when no more connections are accepted.
    pub(super) stop: watch::Receiver<bool>,
}

/// Runs a daemon by the platform's settings file until it is told to stop.
///
/// # Errors
///
/// Returns why the daemon cannot start.
pub fn run_on_platform(path: &Path, clock: Arc<dyn Clock>, log: Log) -> Result<(), RunError> {
    let settings = PlatformSettings::load(path)?;
    let (view_tx, view) = watch::channel(None);
    let (stop_tx, stop) = watch::channel(false);
    let (settings_tx, settings_rx) = watch::channel(settings.clone());
    let (news_tx, news) = mpsc::channel(NEWS_QUEUE);
    let leaving = Arc::new(AtomicBool::new(false));
    let shared = Shared { clock, log: log.clone(), view, leaving: leaving.clone(), stop };
    info!(log, "daemon: started"; "name" => &settings.name,
        "version" => env!("CARGO_PKG_VERSION"), "data_centre" => &settings.data_centre);

    // An address in use shows before any thread is there to be ended.
    let status = StatusContext::bind(&settings, &shared)?;
    let callers = Socket::bind("caller_address", settings.caller_address)?;
    let peers = Socket::bind("peer_address", (settings.ip, settings.peer_ports.0).into())?;
    let (end_control, end) = oneshot::channel();
    let control = {
        let shared = shared.clone();
        let store = Store::new(settings.store, settings.ip)?;
        let cx = ControlContext { settings: settings_rx, view: view_tx, store, news };
        spawn_thread("control", move |local, runtime| {
            local.block_on(runtime, async move {
                tokio::task::spawn_local(serve_status(status));
                tokio::select! {
                    () = run_control(cx, shared) => {}
                    // An error means that the process ends anyway.
                    _ = end => {}
                }
            });
        })?
    };
    let (drained_tx, drained) = std::sync::mpsc::channel();
    let traffic = {
        let (shared, settings, log) = (shared.clone(), settings.clone(), log.clone());
        spawn_thread("traffic", move |local, runtime| {
            let sockets = (callers, peers);
            let ended = local.block_on(runtime, run_traffic(&settings, shared, sockets, news_tx));
            if let Err(e) = ended {
                slog::error!(log, "daemon: traffic not served"; "cause" => %e);
            }
            // Tasks that are left log what they give up as they are dropped.
            drop(local);
            // An error means that the process ends anyway.
            let _ = drained_tx.send(());
        })?
    };
    drop(traffic);
    follow_signals(path.to_owned(), settings_tx, &log)?;
    leaving.store(true, Ordering::Relaxed);
    std::thread::sleep(STOP_NOTICE);
    stop_tx.send_replace(true);
    let limit = settings.stop_limit.saturating_sub(STOP_NOTICE + STOP_RESERVE);
    let in_time = drained.recv_timeout(limit).is_ok();
    // Nothing is written after the last line but for requests that are cut off.
    let _ = end_control.send(());
    let control_ended = control.join().is_ok();
    info!(log, "daemon: stopped"; "all_answered" => in_time, "control_ended" => control_ended);
    // The thread that writes the log has no end of its own.
    std::thread::sleep(LOG_TIME);
    Ok(())
}

/// Serves callers until told to stop and all of them are answered.
async fn run_traffic(
    settings: &PlatformSettings,
    shared: Shared,
    (callers, peers): (Socket, Socket),
    control: mpsc::Sender<NewsRequest>,
) -> Result<(), StartError> {
    let (callers, peers) = (callers.listen()?, peers.listen()?);
    let limits = ExtraLimits {
        ratio: settings.extra_attempt_ratio,
        slack: settings.extra_attempt_slack,
        window: settings.extra_attempt_window,
    };
    let cx = TrafficContext { shared: shared.clone(), limits, seed: rand::rng().random() };
    let traffic = Traffic::start(cx);
    let cx = PeerContext { traffic: traffic.clone(), control, log: shared.log.clone() };
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
        .stack_size(STACK_BYTES)
        .spawn(move || work(LocalSet::new(), &runtime))
}

/// Reads the settings anew when they change; returns when the daemon is to stop.
fn follow_signals(
    path: PathBuf,
    settings: watch::Sender<PlatformSettings>,
    log: &Log,
) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        let asked = Notify::new();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hang_up.recv() => {
                    info!(log, "daemon: told to read the settings");
                    asked.notify_one();
                }
                () = asked.notified() => reload(&path, &settings, log),
                () = tokio::time::sleep(SETTINGS_PERIOD) => reload(&path, &settings, log),
            }
        }
        info!(log, "daemon: stopping");
        Ok(())
    })
}

fn reload(path: &Path, settings: &watch::Sender<PlatformSettings>, log: &Log) {
    match PlatformSettings::load(path) {
        Ok(newest) => {
            let changed = settings.send_if_modified(|present| {
                let changed = *present != newest;
                *present = newest;
                changed
            });
            if changed {
                info!(log, "daemon: settings changed");
            }
        }
        Err(e) => warn!(log, "daemon: settings kept as they were"; "cause" => %e),
    }
}
