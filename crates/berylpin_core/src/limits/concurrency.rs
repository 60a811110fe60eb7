//! A limit on the shards of the queries in progress on a thread.

use crate::rank::Rank;

/// Limits the shards of the queries in progress on one thread, with permits reserved for each rank.
///
/// A query holds one permit per shard until it ends, also for answered shards; hedges and retries
/// need no permits. A flood of one rank cannot use the permits reserved for the others.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    /// At least the sum of `reserved`.
    limit: u32,
    /// Indexed by rank.
    reserved: [u32; Rank::COUNT],
    /// Indexed by rank; the sum never exceeds `limit`.
    in_use: [u32; Rank::COUNT],
}

impl ConcurrencyLimit {
    /// Allows `limit` shards and reserves an eighth of the permits for each rank.
    pub fn new(limit: u32) -> Self {
        Self { limit, reserved: [limit / 8; Rank::COUNT], in_use: [0; Rank::COUNT] }
    }

    /// Acquires one permit per shard; if fewer are available to the rank, acquires none and returns
    /// `false`.
    pub fn try_acquire(&mut self, rank: Rank, shards: u32) -> bool {
        let others = Rank::ALL.into_iter().filter(|other| *other != rank);
        let unavailable: u32 =
            others.map(|r| self.in_use[r.index()].max(self.reserved[r.index()])).sum();
        let allowed = self.in_use[rank.index()] + shards + unavailable <= self.limit;
        if allowed {
            self.in_use[rank.index()] += shards;
        }
        allowed
    }

    /// Releases the permits of a query.
    pub fn release(&mut self, rank: Rank, shards: u32) {
        self.in_use[rank.index()] -= shards;
    }
}

#[cfg(test)]
mod tests;
