//! How many sub-queries a thread runs at once.

use crate::rank::Rank;

/// Bounds the sub-queries of a thread's queries, with places reserved for each rank.
///
/// A flood of one rank, whichever it is, leaves the reserved places of the other ranks free.
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
    /// Allows `limit` sub-queries; an eighth of the places is reserved for each rank.
    pub fn new(limit: u32) -> Self {
        Self { limit, reserved: [limit / 8; Rank::COUNT], in_use: [0; Rank::COUNT] }
    }

    /// Takes the places of a query, if the rank may have as many more.
    pub fn try_acquire(&mut self, rank: Rank, shards: u32) -> bool {
        let others = Rank::ALL.into_iter().filter(|other| *other != rank);
        let held: u32 = others.map(|r| self.in_use[r.index()].max(self.reserved[r.index()])).sum();
        let allowed = self.in_use[rank.index()] + shards + held <= self.limit;
        if allowed {
            self.in_use[rank.index()] += shards;
        }
        allowed
    }

    /// Gives the places of a query back.
    pub fn release(&mut self, rank: Rank, shards: u32) {
        self.in_use[rank.index()] -= shards;
    }
}

#[cfg(test)]
mod tests;
