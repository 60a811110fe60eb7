//! The time limits of a planned stop.

use std::time::{Duration, Instant};

/// How long a stopping daemon reports not ready before it stops accepting callers. The load
/// balancer probes once a second and removes a daemon after two failed probes.
const NOTICE: Duration = Duration::from_millis(2300);

/// The time reserved for writing the last answers to callers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);

/// The time reserved for the end of the process.
const EXIT_TIME: Duration = Duration::from_millis(600);

/// The phases of a planned stop, each as the time from the signal to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Callers are accepted, but the daemon reports not ready.
    pub notice: Duration,
    /// Requests are served; ends later than `notice`.
    pub serve: Duration,
    /// The process runs; ends later than `serve` and before the platform kills the process.
    pub exit: Duration,
}

impl StopSchedule {
    /// Divides the time from the signal until the platform kills the process.
    pub fn new(limit: Duration) -> Self {
        let exit = limit - EXIT_TIME.min(limit / 4);
        let serve = exit - LAST_ANSWERS_TIME.min(limit / 8);
        Self { notice: NOTICE.min(limit / 2), serve, exit }
    }

    /// Returns the limits of the requests at a daemon that received the signal at `now`.
    pub fn begin(&self, now: Instant) -> Stop {
        Stop { accept_until: now + self.notice, serve_until: now + self.serve }
    }
}

/// The limits of the requests at a daemon that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When the daemon stops accepting callers.
    pub accept_until: Instant,
    /// When the last requests are answered; later than `accept_until`.
    pub serve_until: Instant,
}

#[cfg(test)]
mod tests;
