//! The ranked queue of sub-queries that wait for a slot of one replica.

use super::shares::{MinimumShares, ShareScheduler};
use crate::arena::SlabKey;
use crate::rank::Rank;
use std::time::{Duration, Instant};

/// The most sub-queries of one rank in the queue of one replica.
pub(super) const MAX_QUEUED: usize = 512;

/// The position of a job in the queue; within a rank the smallest starts first.
///
/// The shed level is compared before the deadline, so that overloaded owners drop the same queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedJob {
    /// The shed level; see [`crate::ids::QueryTag::level`].
    pub(super) level: u16,
    /// The deadline of the query.
    pub(super) deadline: Instant,
    /// The key of the job.
    pub(super) key: SlabKey,
    /// When the owner received the sub-query.
    pub(super) arrived: Instant,
}

/// The queue of one replica.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Indexed by rank; each in descending order, so that the next to start is popped from the end.
    ranks: [Vec<QueuedJob>; Rank::COUNT],
    scheduler: ShareScheduler,
}

impl Queue {
    /// Adds a job; if the rank is full, returns the evicted largest one, which may be the new one.
    pub(super) fn push(&mut self, rank: Rank, job: QueuedJob) -> Option<QueuedJob> {
        let jobs = &mut self.ranks[rank.index()];
        let at = jobs.partition_point(|other| *other > job);
        jobs.insert(at, job);
        (jobs.len() > MAX_QUEUED).then(|| jobs.remove(0))
    }

    /// Removes a job, if it is queued.
    pub(super) fn remove(&mut self, rank: Rank, job: &QueuedJob) {
        let jobs = &mut self.ranks[rank.index()];
        if let Ok(at) = jobs.binary_search_by(|other| job.cmp(other)) {
            jobs.remove(at);
        }
    }

    /// Removes the job to start next; `cost` is the mean service time of each rank.
    pub(super) fn pop(&mut self, cost: [Duration; Rank::COUNT]) -> Option<(Rank, QueuedJob)> {
        let backlogged = self.backlogged();
        let rank = self.scheduler.next_rank(backlogged, cost)?;
        let next = self.ranks[rank.index()].pop()?;
        self.scheduler.charge(rank, cost[rank.index()], backlogged);
        Some((rank, next))
    }

    /// Removes the jobs of a rank for which `remove` returns `true`, and returns their keys.
    pub(super) fn extract<F>(&mut self, rank: Rank, mut remove: F) -> Vec<SlabKey>
    where
        F: FnMut(&QueuedJob) -> bool,
    {
        let removed = self.ranks[rank.index()].extract_if(.., |job| remove(job));
        removed.map(|job| job.key).collect()
    }

    /// Removes all jobs and returns their keys.
    pub(super) fn drain(&mut self) -> Vec<SlabKey> {
        Rank::ALL.into_iter().flat_map(|rank| self.extract(rank, |_| true)).collect()
    }

    /// Returns how long the oldest job of each rank has waited; zero if none is queued.
    pub(super) fn oldest_waits(&self, now: Instant) -> [Duration; Rank::COUNT] {
        Rank::ALL.map(|rank| {
            let arrived = self.ranks[rank.index()].iter().map(|job| job.arrived);
            arrived.min().map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
        })
    }

    /// Returns how many jobs of a rank are queued.
    pub(super) fn len_of(&self, rank: Rank) -> usize {
        self.ranks[rank.index()].len()
    }

    /// Returns whether no job is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.ranks.iter().all(Vec::is_empty)
    }

    /// Returns the minimum shares.
    pub(super) fn shares(&self) -> MinimumShares {
        self.scheduler.shares()
    }

    /// Changes the minimum shares.
    pub(super) fn set_shares(&mut self, shares: MinimumShares) {
        self.scheduler.set_shares(shares);
    }

    fn backlogged(&self) -> [bool; Rank::COUNT] {
        Rank::ALL.map(|rank| self.len_of(rank) > 0)
    }
}

#[cfg(test)]
mod tests;
