//! Whether one replica is used: ejection by failures, drain, and return.

use super::slots::SlotRamp;
use std::time::{Duration, Instant};

/// Failures in a row that eject a replica.
const EJECT_FAILURES: u32 = 3;
/// The share of calls that fail from which on a replica is ejected.
const EJECT_FAILURE_RATE: f64 = 0.5;
/// Calls to see before the rate counts.
const MIN_RATE_CALLS: u32 = 10;
/// Weight of a new call in the rate, as a divisor.
const RATE_SMOOTHING: f64 = 10.0;
/// Results of real work in a row that make an ejected replica usable again.
const RETURN_SUCCESSES: u32 = 2;
/// Results of real work in a row after which earlier ejections are forgotten.
const EJECTION_RESET_SUCCESSES: u32 = 50;
/// How long the first ejection lasts before probes may end it; doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection before probes may end it.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// How long a replica that refused as draining stays drained while probes see no restart.
const DRAINING_TIMEOUT: Duration = Duration::from_mins(1);

/// Whether a replica is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    /// It takes work.
    Usable,
    /// Its calls failed; it takes work only from entries that know no better replica.
    Ejected {
        /// When a probe may end the ejection.
        until: Instant,
    },
    /// It refused as draining; it takes nothing.
    Draining {
        /// When a probe may end the drain.
        until: Instant,
        /// Whether a probe failed since, which a probe_failed_since process does.
        probe_failed_since: bool,
    },
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HealthChange {
    /// Nothing.
    None,
    /// The replica was ejected.
    Ejected,
    /// The replica takes work again.
    Returned,
}

/// What is known of one replica's ability to work.
#[derive(Debug)]
pub(super) struct Health {
    status: Status,
    ramp: SlotRamp,
    /// Failures of real work in a row.
    failures: u32,
    /// Failed probes in a row.
    failed_probes: u32,
    /// Results of real work in a row.
    successes: u32,
    /// Mean share of failures, from 0 to 1.
    failure_rate: f64,
    /// Calls since the last change of status.
    calls: u32,
    /// Ejections that are not forgotten yet.
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
            calls: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Returns whether it is neither ejected nor draining.
    pub(super) fn is_usable(&self) -> bool {
        self.status == Status::Usable
    }

    /// Returns whether its calls failed and it is used only for want of a better one.
    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.status, Status::Ejected { .. })
    }

    /// Returns whether it refused as draining and gets nothing.
    pub(super) fn is_draining(&self) -> bool {
        matches!(self.status, Status::Draining { .. })
    }

    /// Returns how many of `slots` may be used; an ejected replica is tried with one call at a time.
    pub(super) fn slots(&self, slots: u16) -> u16 {
        match self.status {
            Status::Usable => self.ramp.limit(slots),
            Status::Ejected { .. } => 1,
            Status::Draining { .. } => 0,
        }
    }

    /// Counts a result of real work.
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

    /// Counts a failure of real work that speaks against the replica.
    pub(super) fn failed(&mut self, now: Instant) -> HealthChange {
        self.failures += 1;
        self.successes = 0;
        self.update_failure_rate(1.0);
        let rate_exceeded = self.calls >= MIN_RATE_CALLS && self.failure_rate >= EJECT_FAILURE_RATE;
        // A replica that came back on the word of a probe has to prove itself by work.
        let on_probation = self.ejections > 0 && self.calls == 1;
        match self.status {
            Status::Usable if self.failures >= EJECT_FAILURES || rate_exceeded || on_probation => {
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

    /// Notes that the upstream refused a call because of its load.
    pub(super) fn reduce_slots(&mut self, slots: u16) {
        self.ramp.halve(slots);
    }

    /// Notes that the replica refused as draining.
    pub(super) fn mark_draining(&mut self, now: Instant) {
        self.status = Status::Draining { until: now + DRAINING_TIMEOUT, probe_failed_since: false };
    }

    /// Notes that a probe was answered.
    ///
    /// An answered probe says that the process runs, not that its work succeeds, so it clears no
    /// failures of real work.
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

    /// Notes that a probe failed.
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

    /// Forgets everything, after a change of the document.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    fn update_failure_rate(&mut self, sample: f64) {
        self.calls = self.calls.saturating_add(1);
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
        self.calls = 0;
        HealthChange::Returned
    }

    fn ejection_duration(&self) -> Duration {
        (MIN_EJECTION * 2_u32.pow(self.ejections.min(8))).min(MAX_EJECTION)
    }
}

#[cfg(test)]
mod tests;
