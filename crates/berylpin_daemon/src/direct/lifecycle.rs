//! The process of a daemon on the users' platform, from its start to its end.

use super::process::{RunError, Threads};
use crate::logging::{Log, LogWriter};
use crate::signals::{Request, Signals, Wake};
use berylpin_core::clock::Clock;
use berylpin_core::direct::{StartAttempts, StopSchedule};
use berylpin_platform::PlatformSettings;
use slog::{error, info, warn};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// How long the process waits until its last log lines are written, unless the output is blocked; a
/// part of the time that a stop reserves for the end of the process.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval at which the settings file is read, because it may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a daemon with the platform's settings file until it receives a stop signal.
///
/// A start that fails is repeated: the settings file may be about to be written, and an address
/// about to be free. If a part of the daemon fails, all its threads are started again.
pub fn run_on_platform(
    path: &Path,
    clock: Arc<dyn Clock>,
    (log, log_writer): (Log, LogWriter),
    mut signals: Signals,
) {
    info!(log, "daemon: starting"; "version" => env!("CARGO_PKG_VERSION"),
        "process" => std::process::id());
    log_panics(&log);
    let mut attempts = StartAttempts::default();
    loop {
        let Some(mut threads) = start(path, &clock, &log, (&mut signals, &mut attempts)) else {
            info!(log, "daemon: stopped");
            break;
        };
        match run_until_end(path, &mut threads, &log, &mut signals) {
            End::Failure(part) => {
                attempts.record_failure(part);
                error!(log, "daemon: part failed, threads are started again"; "part" => part,
                    "failures" => attempts.failures());
            }
            End::Signal(signal) => {
                stop(threads, signal, &*clock, &log);
                break;
            }
        }
    }
    log_writer.finish(LOG_FLUSH_TIMEOUT);
}

/// Logs panics in place of the message on standard error.
fn log_panics(log: &Log) {
    let log = log.clone();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        error!(log, "daemon: panic"; "thread" => thread.name(), "cause" => %panic);
    }));
}

/// Starts the threads, as often as it takes; `None` after a stop signal.
fn start(
    path: &Path,
    clock: &Arc<dyn Clock>,
    log: &Log,
    (signals, attempts): (&mut Signals, &mut StartAttempts),
) -> Option<Threads> {
    let started_at = clock.now();
    loop {
        // No delay before the first attempt.
        if attempts.failures() > 0
            && let Some(Request::Stop(signal)) = signals.wait(attempts.backoff())
        {
            info!(log, "daemon: stopping"; "signal" => signal);
            return None;
        }
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
    }
}

/// Why running threads are ended.
enum End {
    /// The signal of this name asks for a stop.
    Signal(&'static str),
    /// The part of this name failed.
    Failure(&'static str),
}

/// Reloads the settings on SIGHUP and at intervals until the threads are to be ended.
fn run_until_end(path: &Path, threads: &mut Threads, log: &Log, signals: &mut Signals) -> End {
    loop {
        let wake = signals.wait_or(SETTINGS_RELOAD_INTERVAL, threads.failure());
        if wake == Wake::Signal(Request::Reload) {
            info!(log, "daemon: reload of settings requested");
        }
        // A stop has to keep the grace time of the newest settings.
        reload(path, threads, log);
        match wake {
            Wake::Signal(Request::Stop(signal)) => return End::Signal(signal),
            Wake::Event(part) => return End::Failure(part),
            Wake::Signal(Request::Reload) | Wake::Timeout => {}
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
fn stop(threads: Threads, signal: &str, clock: &dyn Clock, log: &Log) {
    let limit = threads.settings().stop_limit;
    info!(log, "daemon: stopping"; "signal" => signal, "grace_ms" => limit.as_millis() as u64);
    let schedule = StopSchedule::new(limit);
    threads.begin_stop(schedule.begin(clock.now()));
    std::thread::sleep(schedule.notice);
    threads.stop_accepting();
    let all_answered = threads.wait_until_answered(schedule.exit.saturating_sub(schedule.notice));
    // The control thread ends first, so that after the line `daemon: stopped` only lines about
    // aborted requests can follow.
    let control_ended = threads.end_control();
    info!(log, "daemon: stopped"; "all_answered" => all_answered, "control_ended" => control_ended);
}
