//! When a replica is probed.

use crate::ids::ReplicaId;
use crate::message::SnapshotRange;
use std::time::{Duration, Instant};

/// How often a replica without real work is probed.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A probe that the shell makes; one `Probed` event follows each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The replica to probe.
    pub replica: ReplicaId,
}

/// What an upstream said to a probe.
///
/// An answer is a hint only: it says that the process runs, not that its work succeeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It serves these snapshots.
    Serves(SnapshotRange),
    /// It is leaving.
    Draining,
    /// It gave no useful answer in time.
    Failed,
}

/// When one replica is probed.
#[derive(Debug, Default)]
pub(super) struct ProbeSchedule {
    /// Whether the timer of the next probe is set.
    pub(super) timer_set: bool,
    /// Whether a probe is in progress; there is never more than one.
    pub(super) in_flight: bool,
    /// When real work last ended with a result.
    pub(super) last_success: Option<Instant>,
}

impl ProbeSchedule {
    /// Returns whether a probe is to start; `usable` is whether the replica takes work.
    ///
    /// A replica that answers real work needs no probes.
    pub(super) fn is_due(&self, now: Instant, usable: bool) -> bool {
        let wanted = self.is_idle(now) || !usable;
        wanted && !self.in_flight
    }

    /// Returns whether no real work has ended with a result lately.
    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.last_success.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
