//! The time limits of a planned stop, and how the requests in flight keep them.

use super::dispatcher::{Dispatcher, Timer};
use super::event::Action;
use super::in_flight::{PartState, RequestKey};
use std::time::{Duration, Instant};

/// How long a stopping daemon reports not ready before it stops accepting callers. The load
/// balancer probes once a second and removes a daemon after two failed probes.
const NOTICE: Duration = Duration::from_millis(2300);

/// The time reserved for writing the last answers to callers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);

/// The time reserved for the answers of replicas that reach the deadline of an attempt, which tell
/// whether the request ran.
const LAST_REPLIES_TIME: Duration = Duration::from_millis(100);

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
        let exit = limit.saturating_sub(EXIT_TIME.min(limit / 4));
        let serve = exit.saturating_sub(LAST_ANSWERS_TIME.min(limit / 8));
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

impl Stop {
    /// Returns whether it is too late for attempts of a route.
    pub(super) fn is_too_late(&self, target_latency: Duration, now: Instant) -> bool {
        now >= self.latest_start(target_latency)
    }

    /// Returns until when attempts are sent; later ones could hardly be answered in time, and a
    /// caller that is refused instead can use another daemon at once.
    pub(super) fn latest_start(&self, target_latency: Duration) -> Instant {
        self.accept_until + self.drain_time().saturating_sub(target_latency)
    }

    /// Returns the deadline of attempts, given the deadline of their request.
    pub(super) fn attempt_deadline(&self, deadline: Instant, target_latency: Duration) -> Instant {
        let reserved = LAST_REPLIES_TIME.min(target_latency / 2);
        deadline.min(self.accept_until + self.drain_time().saturating_sub(reserved))
    }

    /// Returns how long requests are served after callers are no longer accepted.
    fn drain_time(&self) -> Duration {
        self.serve_until.saturating_duration_since(self.accept_until)
    }
}

impl<H> Dispatcher<H> {
    /// Limits all requests, and those that follow, to the time in which this daemon serves.
    pub(super) fn begin_stop(&mut self, stop: Stop) {
        self.stop = Some(stop);
        let keys: Vec<RequestKey> = self.requests.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.limit_to_stop(key);
        }
    }

    /// Limits a request to the time in which this daemon serves, if it stops.
    pub(super) fn limit_to_stop(&mut self, key: RequestKey) {
        let Some((stop, request)) = self.stop.zip(self.requests.get_mut(key)) else { return };
        request.deadline = request.deadline.min(stop.serve_until);
        let latest_start = stop.latest_start(request.route().target_latency);
        self.timers.set(request.deadline, Timer::Deadline(key));
        self.timers.set(latest_start, Timer::LatestStart(key));
    }

    /// Returns whether this daemon stops too soon for attempts of a route.
    pub(super) fn is_too_late(&self, target_latency: Duration, now: Instant) -> bool {
        self.stop.is_some_and(|stop| stop.is_too_late(target_latency, now))
    }

    /// Fails the parts of a request that wait for an attempt, because none is sent any more.
    pub(super) fn fail_waiting_parts(
        &mut self,
        key: RequestKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let waiting = request.parts.iter_mut().filter(|part| part.wait_reason.is_some());
        for part in waiting.filter(|part| part.is_open()) {
            part.state = PartState::Failed(None);
        }
        self.try_complete(key, now, actions);
    }
}

#[cfg(test)]
mod tests;
