//! The state that an owner keeps for one replica.

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

/// The backlog of the lower ranks divided by this is always added to the estimated queue delay.
///
/// With this term, entries prefer the replica with the shorter queue for standard and background
/// sub-queries too.
const BACKLOG_DIVISOR: u32 = 256;

/// The lower bound of the urgent rank's share in the estimate of the queue delay, which divides by
/// the share.
const MIN_URGENT_SHARE: f64 = 0.01;

/// The state that an owner keeps for one replica; its size is bounded by the limits of the queue.
#[derive(Debug, Default)]
pub(super) struct ReplicaState {
    /// Whether this thread owns the replica in the current view.
    pub(super) owned: bool,
    /// Whether the current document drains the replica or does not list it.
    pub(super) withdrawn: bool,
    /// Never more than the slots of the replica.
    pub(super) calls_in_flight: u16,
    /// Whether the timer for the next adjustment of the shed levels is set.
    pub(super) adjust_timer_set: bool,
    /// When connections to the replica were last replaced because of a stalled call.
    pub(super) last_reconnect: Option<Instant>,
    /// No call starts before this time, since the upstream refused one because of its load.
    pub(super) paused_until: Option<Instant>,
    /// Sorted by id; the jobs that are queued, or in flight with the reply still wanted.
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
    /// Returns whether the replica receives no new work.
    pub(super) fn is_draining(&self) -> bool {
        self.withdrawn || self.health.is_draining()
    }

    /// Returns how many more calls may start now.
    pub(super) fn free_slots(&self, now: Instant, settings: &ReplicaSettings) -> u16 {
        if self.is_draining() || self.paused_until.is_some_and(|until| now < until) {
            return 0;
        }
        self.health.slots(settings.slots).saturating_sub(self.calls_in_flight)
    }

    /// Returns the least time left until the deadline with which a call is started.
    ///
    /// Without recent results the least time is zero, so that an estimate of the service time that
    /// is too long can be corrected by new calls.
    pub(super) fn min_time_left(&self, now: Instant, rank: Rank) -> Duration {
        if self.probes.is_idle(now) {
            return Duration::ZERO;
        }
        self.latencies.means()[rank.index()]
    }

    /// Returns the state of the replica that is sent to entries.
    ///
    /// An ejected replica is reported as usable, because the owner does not know whether the shard
    /// has another replica.
    pub(super) fn hint(&self, settings: &ReplicaSettings) -> Hint {
        Hint {
            snapshots: self.snapshots.trusted(),
            queue_delay: self.queue_delay(settings),
            service_time: self.recent_service_time.mean(),
            shed_from: self.levels.levels(),
            usable: !self.is_draining(),
            ejected: self.health.is_ejected(),
        }
    }

    /// Finds a job that is queued, or in flight with the reply still wanted.
    pub(super) fn job(&self, id: JobId) -> Option<SlabKey> {
        let at = self.jobs.binary_search_by_key(&id, |(other, _)| *other).ok()?;
        Some(self.jobs[at].1)
    }

    /// Adds a job; returns whether its id is new.
    pub(super) fn add_job(&mut self, id: JobId, key: SlabKey) -> bool {
        let found = self.jobs.binary_search_by_key(&id, |(other, _)| *other);
        if let Err(at) = found {
            self.jobs.insert(at, (id, key));
        }
        found.is_err()
    }

    pub(super) fn remove_job(&mut self, id: JobId) {
        if let Ok(at) = self.jobs.binary_search_by_key(&id, |(other, _)| *other) {
            self.jobs.remove(at);
        }
    }

    /// Returns how long a new urgent sub-query would wait for a slot.
    ///
    /// Lower ranks delay it by no more than their minimum shares of the slot time.
    fn queue_delay(&self, settings: &ReplicaSettings) -> Duration {
        let means = self.latencies.means();
        let backlog = |rank: Rank| means[rank.index()] * self.queue.len_of(rank) as u32;
        let urgent =
            means[Rank::Urgent.index()] * u32::from(self.calls_in_flight) + backlog(Rank::Urgent);
        let lower_ranks = backlog(Rank::Standard) + backlog(Rank::Background);
        let share = self.queue.shares().guaranteed(Rank::Urgent, 1.0).max(MIN_URGENT_SHARE);
        let lower_ranks_ahead = lower_ranks.min(urgent.mul_f64(1.0 / share - 1.0));
        let slots = u32::from(self.health.slots(settings.slots).max(1));
        (urgent + lower_ranks_ahead + lower_ranks / BACKLOG_DIVISOR) / slots
    }
}
