//! Sub-queries that wait for a slot of one replica.

use super::shares::{MinimumShares, ShareScheduler};
use crate::arena::SlabKey;
use crate::rank::Rank;
use std::time::{Duration, Instant};

/// Sub-queries of one rank that may wait for one replica.
pub(super) const MAX_QUEUED: usize = 512;

/// A sub-query that waits; within a rank the smallest starts first.
///
/// The shed level comes before the deadline, so that owners that cannot run everything drop the
/// same queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedJob {
    /// See [`crate::ids::QueryTag::level`].
    pub(super) level: u16,
    /// When the result is of no use any more.
    pub(super) deadline: Instant,
    /// The job.
    pub(super) key: SlabKey,
    /// When it came.
    pub(super) arrived: Instant,
}

/// The queue of one replica.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Indexed by rank; each sorted downwards, so that the next to start is popped from the end.
    ranks: [Vec<QueuedJob>; Rank::COUNT],
    scheduler: ShareScheduler,
}

impl Queue {
    /// Adds a sub-query; returns the one that does not fit, which may be the new one.
    pub(super) fn push(&mut self, rank: Rank, job: QueuedJob) -> Option<QueuedJob> {
        let jobs = &mut self.ranks[rank.index()];
        let at = jobs.partition_point(|other| *other > job);
        jobs.insert(at, job);
        (jobs.len() > MAX_QUEUED).then(|| jobs.remove(0))
    }

    /// Removes a sub-query, if it waits.
    pub(super) fn remove(&mut self, rank: Rank, job: &QueuedJob) {
        let jobs = &mut self.ranks[rank.index()];
        if let Ok(at) = jobs.binary_search_by(|other| job.cmp(other)) {
            jobs.remove(at);
        }
    }

    /// Removes the sub-query that starts next; `cost` is the mean service time of each rank.
    pub(super) fn pop(&mut self, cost: [Duration; Rank::COUNT]) -> Option<(Rank, QueuedJob)> {
        let backlogged = self.backlogged();
        let rank = self.scheduler.next_rank(backlogged, cost)?;
        let next = self.ranks[rank.index()].pop()?;
        self.scheduler.charge(rank, cost[rank.index()], backlogged);
        Some((rank, next))
    }

    /// Removes and returns the sub-queries of a rank that `remove` chooses.
    pub(super) fn extract<F>(&mut self, rank: Rank, mut remove: F) -> Vec<SlabKey>
    where
        F: FnMut(&QueuedJob) -> bool,
    {
        let removed = self.ranks[rank.index()].extract_if(.., |job| remove(job));
        removed.map(|job| job.key).collect()
    }

    /// Removes and returns all sub-queries.
    pub(super) fn drain(&mut self) -> Vec<SlabKey> {
        Rank::ALL.into_iter().flat_map(|rank| self.extract(rank, |_| true)).collect()
    }

    /// Returns how long the oldest sub-query of each rank has waited; zero where none waits.
    pub(super) fn oldest_waits(&self, now: Instant) -> [Duration; Rank::COUNT] {
        Rank::ALL.map(|rank| {
            let arrived = self.ranks[rank.index()].iter().map(|job| job.arrived);
            arrived.min().map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
        })
    }

    /// Returns how many sub-queries of a rank wait.
    pub(super) fn len_of(&self, rank: Rank) -> usize {
        self.ranks[rank.index()].len()
    }

    /// Returns whether nothing waits.
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
