//! Whether one replica is used: ejection by failures, drain, and return.

use super::slots::SlotRamp;
use std::time::{Duration, Instant};

/// Failures in a row that eject a replica.
const EJECT_AFTER: u32 = 3;
/// The share of calls that fail from which on a replica is ejected.
const EJECT_RATE: f64 = 0.5;
/// Calls to see before the rate counts.
const RATE_CALLS: u32 = 10;
/// Weight of a new call in the rate, as a divisor.
const RATE_SMOOTHING: f64 = 10.0;
/// Results of real work in a row that make an ejected replica usable again.
const RETURN_AFTER: u32 = 2;
/// Results of real work in a row after which earlier ejections are forgotten.
const FORGET_AFTER: u32 = 50;
/// How long the first ejection lasts before probes may end it; doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The longest ejection before probes may end it.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// How long a replica that refused as draining stays drained while probes see no restart.
const DRAIN_HOLD: Duration = Duration::from_mins(1);

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
        /// Whether a probe failed since, which a stopped process does.
        stopped: bool,
    },
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
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
    results: u32,
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
            results: 0,
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
    pub(super) fn succeeded(&mut self) -> Change {
        self.failures = 0;
        self.failed_probes = 0;
        self.results += 1;
        self.count(0.0);
        match self.status {
            Status::Usable => {
                self.ramp.succeeded();
                if self.results >= FORGET_AFTER {
                    self.ejections = 0;
                }
                Change::None
            }
            Status::Ejected { .. } if self.results >= RETURN_AFTER => self.resume(),
            Status::Ejected { .. } | Status::Draining { .. } => Change::None,
        }
    }

    /// Counts a failure of real work that speaks against the replica.
    pub(super) fn failed(&mut self, now: Instant) -> Change {
        self.failures += 1;
        self.results = 0;
        self.count(1.0);
        let often = self.calls >= RATE_CALLS && self.failure_rate >= EJECT_RATE;
        // A replica that came back on the word of a probe has to prove itself by work.
        let on_trial = self.ejections > 0 && self.calls == 1;
        match self.status {
            Status::Usable if self.failures >= EJECT_AFTER || often || on_trial => self.eject(now),
            Status::Ejected { .. } => {
                let until = now + self.ejection_time();
                self.status = Status::Ejected { until };
                Change::None
            }
            Status::Usable | Status::Draining { .. } => Change::None,
        }
    }

    /// Notes that the upstream refused a call because of its load.
    pub(super) fn shed(&mut self, slots: u16) {
        self.ramp.halve(slots);
    }

    /// Notes that the replica refused as draining.
    pub(super) fn drained(&mut self, now: Instant) {
        self.status = Status::Draining { until: now + DRAIN_HOLD, stopped: false };
    }

    /// Notes that a probe was answered.
    ///
    /// An answered probe says that the process runs, not that its work succeeds, so it clears no
    /// failures of real work.
    pub(super) fn probed(&mut self, now: Instant) -> Change {
        self.failed_probes = 0;
        match self.status {
            Status::Ejected { until } if now >= until => self.resume(),
            Status::Draining { until, stopped } if stopped || now >= until => self.resume(),
            _ => Change::None,
        }
    }

    /// Notes that a probe failed.
    pub(super) fn probe_failed(&mut self, now: Instant) -> Change {
        self.failed_probes += 1;
        match &mut self.status {
            Status::Usable if self.failed_probes >= EJECT_AFTER => self.eject(now),
            Status::Draining { stopped, .. } => {
                *stopped = true;
                Change::None
            }
            _ => Change::None,
        }
    }

    /// Forgets everything, after a change of the document.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    fn count(&mut self, failed: f64) {
        self.calls = self.calls.saturating_add(1);
        self.failure_rate += (failed - self.failure_rate) / RATE_SMOOTHING;
    }

    fn eject(&mut self, now: Instant) -> Change {
        self.status = Status::Ejected { until: now + self.ejection_time() };
        self.ejections += 1;
        Change::Ejected
    }

    fn resume(&mut self) -> Change {
        self.status = Status::Usable;
        self.ramp = SlotRamp::cautious();
        self.failures = 0;
        self.failure_rate = 0.0;
        self.calls = 0;
        Change::Returned
    }

    fn ejection_time(&self) -> Duration {
        (FIRST_EJECTION * 2_u32.pow(self.ejections.min(8))).min(LONGEST_EJECTION)
    }
}

#[cfg(test)]
mod tests;
