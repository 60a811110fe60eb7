//! The process of a daemon on the users' platform, from its start to its end.

use super::process::{RunError, Threads};
use crate::logging::Log;
use crate::signals::{Request, Signals};
use berylpin_core::clock::Clock;
use berylpin_core::direct::{StartAttempts, StopSchedule};
use berylpin_platform::PlatformSettings;
use slog::{info, warn};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// How long the process waits for the log thread's last lines; a full queue takes less.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// The interval at which the settings file is read, because it may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a daemon with the platform's settings file until it receives a stop signal.
///
/// A start that fails is repeated: the settings file may be about to be written, and an address
/// about to be free.
pub fn run_on_platform(path: &Path, clock: Arc<dyn Clock>, log: Log, mut signals: Signals) {
    info!(log, "daemon: starting"; "version" => env!("CARGO_PKG_VERSION"),
        "process" => std::process::id());
    match start(path, &clock, &log, &mut signals) {
        Some(threads) => {
            run_until_stop_signal(path, &threads, &log, &mut signals);
            stop(threads, &*clock, &log);
        }
        None => info!(log, "daemon: stopped"),
    }
    // The log thread cannot be joined.
    std::thread::sleep(LOG_FLUSH_TIME);
}

/// Starts the threads, as often as it takes; `None` after a stop signal.
fn start(path: &Path, clock: &Arc<dyn Clock>, log: &Log, signals: &mut Signals) -> Option<Threads> {
    let started_at = clock.now();
    let mut attempts = StartAttempts::default();
    loop {
        let loaded = PlatformSettings::load(path).map_err(RunError::from);
        match loaded.and_then(|settings| Threads::start(settings, clock, log)) {
            Ok(threads) => {
                let elapsed = clock.now().saturating_duration_since(started_at);
                let settings = threads.settings();
                info!(log, "daemon: started"; "name" => settings.name,
                    "data_centre" => settings.data_centre, "failures" => attempts.failures(),
                    "version" => env!("CARGO_PKG_VERSION"),
                    "elapsed_ms" => elapsed.as_millis() as u64);
                log_assumed(&threads, log);
                return Some(threads);
            }
            Err(e) => {
                if attempts.record_failure(&e.to_string()) {
                    warn!(log, "daemon: start failed, repeated"; "cause" => %e,
                        "failures" => attempts.failures());
                }
            }
        }
        if let Some(Request::Stop(signal)) = signals.wait(attempts.backoff()) {
            info!(log, "daemon: stopping"; "signal" => signal);
            return None;
        }
    }
}

/// Reloads the settings on SIGHUP and at intervals; returns on SIGTERM or SIGINT.
fn run_until_stop_signal(path: &Path, threads: &Threads, log: &Log, signals: &mut Signals) {
    loop {
        let request = signals.wait(SETTINGS_RELOAD_INTERVAL);
        if request == Some(Request::Reload) {
            info!(log, "daemon: reload of settings requested");
        }
        reload(path, threads, log);
        if let Some(Request::Stop(signal)) = request {
            info!(log, "daemon: stopping"; "signal" => signal,
                "grace_ms" => threads.settings().stop_limit.as_millis() as u64);
            return;
        }
    }
}

fn reload(path: &Path, threads: &Threads, log: &Log) {
    match PlatformSettings::load(path) {
        Ok(settings) => {
            if threads.update_settings(settings) {
                info!(log, "daemon: settings changed");
                log_assumed(threads, log);
            }
        }
        Err(e) => warn!(log, "daemon: settings not reloaded"; "cause" => %e),
    }
}

/// Logs the figures that the settings do not state.
fn log_assumed(threads: &Threads, log: &Log) {
    let assumed = threads.settings().assumed;
    if !assumed.is_empty() {
        warn!(log, "daemon: settings without some figures, defaults are in force";
            "keys" => assumed.join(" "));
    }
}

/// Stops accepting callers after the notice, and ends when all are answered or the time is over.
fn stop(threads: Threads, clock: &dyn Clock, log: &Log) {
    let schedule = StopSchedule::new(threads.settings().stop_limit);
    threads.begin_stop(schedule.begin(clock.now()));
    std::thread::sleep(schedule.notice);
    threads.stop_accepting();
    let all_answered = threads.wait_until_answered(schedule.exit.saturating_sub(schedule.notice));
    // The control thread ends first, so that after the line `daemon: stopped` only lines about
    // aborted requests can follow.
    let control_ended = threads.end_control();
    info!(log, "daemon: stopped"; "all_answered" => all_answered, "control_ended" => control_ended);
}
