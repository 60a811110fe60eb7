//! What an owner keeps of one replica.

use super::health::Health;
use super::job::JobId;
use super::latency::{Latencies, RecentServiceTime};
use super::probes::ProbeSchedule;
use super::queue::Queue;
use super::shedding::ShedLevels;
use super::snapshots::KnownSnapshots;
use crate::arena::SlabKey;
use crate::config::ReplicaSettings;
use crate::message::Hint;
use crate::rank::Rank;
use std::time::{Duration, Instant};

/// Part of the backlog of lower ranks that counts as delay in any case, as a divisor; it makes
/// entries prefer the replica with the shorter queue also for work that is not urgent.
const BACKLOG_DIVISOR: u32 = 256;

/// The share of urgent work that is reckoned with at least.
const MIN_URGENT_SHARE: f64 = 0.01;

/// What an owner keeps of one replica; bounded by the limits of its queue.
#[derive(Debug, Default)]
pub(super) struct ReplicaState {
    /// Whether this thread owns it in the current view.
    pub(super) owned: bool,
    /// Whether the document drained it or did not name it, as last seen.
    pub(super) withdrawn: bool,
    /// Calls in progress; never more than the slots of the replica.
    pub(super) calls_in_flight: u16,
    /// Whether the timer of the next adjustment of the shed levels is set.
    pub(super) adjust_timer_set: bool,
    /// When its connections were last replaced.
    pub(super) last_reconnect: Option<Instant>,
    /// When calls may start again after the upstream shed load.
    pub(super) paused_until: Option<Instant>,
    /// Sorted by name; holds the jobs that wait or whose reply is wanted.
    pub(super) jobs: Vec<(JobId, SlabKey)>,
    pub(super) queue: Queue,
    pub(super) health: Health,
    pub(super) latencies: Latencies,
    pub(super) recent_service_time: RecentServiceTime,
    pub(super) levels: ShedLevels,
    pub(super) probes: ProbeSchedule,
    pub(super) snapshots: KnownSnapshots,
}

impl ReplicaState {
    /// Returns whether it gets nothing new.
    pub(super) fn is_draining(&self) -> bool {
        self.withdrawn || self.health.is_draining()
    }

    /// Returns how many more calls may start.
    pub(super) fn free_slots(&self, now: Instant, settings: &ReplicaSettings) -> u16 {
        if self.is_draining() || self.paused_until.is_some_and(|until| now < until) {
            return 0;
        }
        self.health.slots(settings.slots).saturating_sub(self.calls_in_flight)
    }

    /// Returns the time that a call has to have left to start.
    ///
    /// Without recent results whatever has time left is tried, so that an estimate that has become
    /// too long can recover.
    pub(super) fn min_time_left(&self, now: Instant, rank: Rank) -> Duration {
        if self.probes.is_idle(now) {
            return Duration::ZERO;
        }
        self.latencies.means()[rank.index()]
    }

    /// Returns its state for entries.
    ///
    /// An ejected replica stays usable: the owner cannot see whether the shard has another one.
    pub(super) fn hint(&self, settings: &ReplicaSettings) -> Hint {
        Hint {
            snapshots: self.snapshots.trusted(),
            queue_delay: self.queue_delay(settings),
            service_time: self.recent_service_time.mean(),
            shed_above: self.levels.levels(),
            usable: !self.is_draining(),
            ejected: self.health.is_ejected(),
        }
    }

    /// Finds a job whose reply is wanted.
    pub(super) fn job(&self, id: JobId) -> Option<SlabKey> {
        let at = self.jobs.binary_search_by_key(&id, |(other, _)| *other).ok()?;
        Some(self.jobs[at].1)
    }

    /// Notes a job; returns whether the name is new.
    pub(super) fn add_job(&mut self, id: JobId, key: SlabKey) -> bool {
        let found = self.jobs.binary_search_by_key(&id, |(other, _)| *other);
        if let Err(at) = found {
            self.jobs.insert(at, (id, key));
        }
        found.is_err()
    }

    /// Forgets a job.
    pub(super) fn remove_job(&mut self, id: JobId) {
        if let Ok(at) = self.jobs.binary_search_by_key(&id, |(other, _)| *other) {
            self.jobs.remove(at);
        }
    }

    /// Returns how long a new urgent sub-query would wait for a slot.
    ///
    /// Work of lower ranks delays it by no more than their minimum shares.
    fn queue_delay(&self, settings: &ReplicaSettings) -> Duration {
        let means = self.latencies.means();
        let backlog = |rank: Rank| means[rank.index()] * self.queue.len_of(rank) as u32;
        let urgent =
            means[Rank::Urgent.index()] * u32::from(self.calls_in_flight) + backlog(Rank::Urgent);
        let lower = backlog(Rank::Standard) + backlog(Rank::Background);
        let share = self.queue.shares().guaranteed(Rank::Urgent, 1.0).max(MIN_URGENT_SHARE);
        let ahead = lower.min(urgent.mul_f64(1.0 / share - 1.0));
        let slots = u32::from(self.health.slots(settings.slots).max(1));
        (urgent + ahead + lower / BACKLOG_DIVISOR) / slots
    }
}
