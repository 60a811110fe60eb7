//! The health of one replica: ejection after failures, drain, and return to use.
//!
//! Calls and executions are requests here; probes are not.

use super::slots::SlotRamp;
use std::time::{Duration, Instant};

/// Consecutive failures of requests, or of probes, that eject a replica.
const EJECT_FAILURES: u32 = 3;
/// The failure rate at which a replica is ejected.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// Requests that must end after the last return to use before the failure rate is considered.
const MIN_RATE_REQUESTS: u32 = 10;
/// The inverse of the weight of a new request in the failure rate.
const RATE_SMOOTHING: f64 = 10.0;
/// Consecutive successful requests that make an ejected replica usable again.
const RETURN_SUCCESSES: u32 = 2;
/// Consecutive successful requests that reset the back-off of ejections.
const EJECTION_RESET_SUCCESSES: u32 = 50;
/// Base of the time for which an ejection lasts before a probe may end it; doubled for each earlier
/// ejection.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The longest time for which an ejection lasts before a probe may end it.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// How long a draining replica stays out of use while no failed probe indicates a restart.
const DRAINING_TIMEOUT: Duration = Duration::from_mins(1);

/// Whether a replica receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    /// The replica receives requests.
    Usable,
    /// The replica failed requests or probes, and receives requests only from entries that know no
    /// better one.
    Ejected {
        /// When a probe may end the ejection.
        until: Instant,
    },
    /// The replica reported itself as draining and receives no requests.
    Draining {
        /// When a probe may end the drain.
        until: Instant,
        /// Whether a probe failed since the report, which indicates that the process stopped.
        probe_failed_since: bool,
    },
}

/// A change of status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthChange {
    /// No change to report.
    None,
    /// The replica was ejected.
    Ejected,
    /// The replica receives requests again.
    Returned,
}

/// The health of one replica.
#[derive(Debug)]
pub(super) struct Health {
    status: Status,
    ramp: SlotRamp,
    /// Consecutive failed requests.
    failures: u32,
    /// Consecutive failed probes.
    failed_probes: u32,
    /// Consecutive successful requests.
    successes: u32,
    /// Moving average of failed requests, from 0 to 1.
    failure_rate: f64,
    /// Requests since the last return to use.
    requests: u32,
    /// Ejections since the back-off was last reset.
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            status: Status::Usable,
            ramp: SlotRamp::cold(),
            failures: 0,
            failed_probes: 0,
            successes: 0,
            failure_rate: 0.0,
            requests: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Returns whether the replica is neither ejected nor draining.
    pub(super) fn is_usable(&self) -> bool {
        self.status == Status::Usable
    }

    /// Returns whether the replica receives requests only from entries that know no better one.
    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.status, Status::Ejected { .. })
    }

    /// Returns whether the replica reported itself as draining and receives no requests.
    pub(super) fn is_draining(&self) -> bool {
        matches!(self.status, Status::Draining { .. })
    }

    /// Returns how many of `slots` may be used; an ejected replica has a single one.
    pub(super) fn slots(&self, slots: u16) -> u16 {
        match self.status {
            Status::Usable => self.ramp.limit(slots),
            Status::Ejected { .. } => 1,
            Status::Draining { .. } => 0,
        }
    }

    /// Records a successful request.
    pub(super) fn succeeded(&mut self) -> HealthChange {
        self.failures = 0;
        self.failed_probes = 0;
        self.successes += 1;
        self.update_failure_rate(0.0);
        match self.status {
            Status::Usable => {
                self.ramp.succeeded();
                if self.successes >= EJECTION_RESET_SUCCESSES {
                    self.ejections = 0;
                }
                HealthChange::None
            }
            Status::Ejected { .. } if self.successes >= RETURN_SUCCESSES => self.resume(),
            Status::Ejected { .. } | Status::Draining { .. } => HealthChange::None,
        }
    }

    /// Records a failed request that indicates a fault of the replica.
    pub(super) fn failed(&mut self, now: Instant) -> HealthChange {
        self.failures += 1;
        self.successes = 0;
        self.update_failure_rate(1.0);
        let rate_exceeded =
            self.requests >= MIN_RATE_REQUESTS && self.failure_rate >= EJECT_FAILURE_RATE;
        // If the first request since the return fails, the replica is ejected again: the return may
        // be due to an answered probe, which does not show that requests succeed.
        let first_since_return = self.ejections > 0 && self.requests == 1;
        match self.status {
            Status::Usable
                if self.failures >= EJECT_FAILURES || rate_exceeded || first_since_return =>
            {
                self.eject(now)
            }
            Status::Ejected { .. } => {
                let until = now + self.ejection_duration();
                self.status = Status::Ejected { until };
                HealthChange::None
            }
            Status::Usable | Status::Draining { .. } => HealthChange::None,
        }
    }

    /// Halves the usable slots after the upstream refused a call because of its load.
    pub(super) fn reduce_slots(&mut self, slots: u16) {
        self.ramp.halve(slots);
    }

    /// Records that the replica reported itself as draining.
    pub(super) fn mark_draining(&mut self, now: Instant) {
        self.status = Status::Draining { until: now + DRAINING_TIMEOUT, probe_failed_since: false };
    }

    /// Records an answered probe.
    ///
    /// An answer shows that the process runs, not that its requests succeed, so the count of failed
    /// requests stays.
    pub(super) fn probe_succeeded(&mut self, now: Instant) -> HealthChange {
        self.failed_probes = 0;
        match self.status {
            Status::Ejected { until } if now >= until => self.resume(),
            Status::Draining { until, probe_failed_since }
                if probe_failed_since || now >= until =>
            {
                self.resume()
            }
            _ => HealthChange::None,
        }
    }

    /// Records a failed probe.
    pub(super) fn probe_failed(&mut self, now: Instant) -> HealthChange {
        self.failed_probes += 1;
        match &mut self.status {
            Status::Usable if self.failed_probes >= EJECT_FAILURES => self.eject(now),
            Status::Draining { probe_failed_since, .. } => {
                *probe_failed_since = true;
                HealthChange::None
            }
            _ => HealthChange::None,
        }
    }

    /// Resets the health after a change of the document ended a drain.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    fn update_failure_rate(&mut self, sample: f64) {
        self.requests = self.requests.saturating_add(1);
        self.failure_rate += (sample - self.failure_rate) / RATE_SMOOTHING;
    }

    fn eject(&mut self, now: Instant) -> HealthChange {
        self.status = Status::Ejected { until: now + self.ejection_duration() };
        self.ejections += 1;
        HealthChange::Ejected
    }

    fn resume(&mut self) -> HealthChange {
        self.status = Status::Usable;
        self.ramp = SlotRamp::recovering();
        self.failures = 0;
        self.failure_rate = 0.0;
        self.requests = 0;
        HealthChange::Returned
    }

    fn ejection_duration(&self) -> Duration {
        (MIN_EJECTION * 2_u32.pow(self.ejections.min(8))).min(MAX_EJECTION)
    }
}

#[cfg(test)]
mod tests;
