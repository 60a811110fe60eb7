//! The schedule of probes to a replica.

use crate::ids::ReplicaId;
use crate::message::SnapshotRange;
use std::time::{Duration, Instant};

/// The longest interval between probes of a replica that has no recent results or is not usable.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A probe that the shell makes; one `ProbeEnded` event follows each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The replica to probe.
    pub replica: ReplicaId,
}

/// The result of a probe.
///
/// An answered probe shows that the process runs, not that its calls succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The upstream serves these snapshots.
    Serves(SnapshotRange),
    /// The upstream is draining.
    Draining,
    /// The upstream sent no valid answer in time.
    Failed,
}

/// The schedule of probes to one replica.
#[derive(Debug, Default)]
pub(super) struct ProbeSchedule {
    /// Whether the timer for the next probe is set.
    pub(super) timer_set: bool,
    /// Whether a probe is in flight; there is never more than one.
    pub(super) in_flight: bool,
    /// When a call or an execution last ended with a result.
    pub(super) last_success: Option<Instant>,
}

impl ProbeSchedule {
    /// Returns whether a probe is to start; `usable` is whether the replica is neither ejected nor
    /// draining.
    ///
    /// A usable replica with recent results needs no probes.
    pub(super) fn is_due(&self, now: Instant, usable: bool) -> bool {
        let wanted = self.is_idle(now) || !usable;
        wanted && !self.in_flight
    }

    /// Returns whether no call or execution ended with a result within the last interval.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.last_success.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
