//! How many sub-queries a thread runs at once.

use crate::rank::Rank;

/// Bounds the sub-queries of a thread's queries, with places reserved for each rank.
///
/// A flood of one rank, whichever it is, leaves the reserved places of the other ranks free.
#[derive(Clone, Copy, Debug)]
pub struct RunningLimit {
    /// At least the sum of `reserved`.
    limit: u32,
    /// Indexed by rank.
    reserved: [u32; Rank::COUNT],
    /// Indexed by rank; the sum never exceeds `limit`.
    running: [u32; Rank::COUNT],
}

impl RunningLimit {
    /// Allows `limit` sub-queries; an eighth of the places is reserved for each rank.
    pub fn new(limit: u32) -> Self {
        Self { limit, reserved: [limit / 8; Rank::COUNT], running: [0; Rank::COUNT] }
    }

    /// Takes the places of a query, if the rank may have as many more.
    pub fn enter(&mut self, rank: Rank, shards: u32) -> bool {
        let others = Rank::ALL.into_iter().filter(|other| *other != rank);
        let held: u32 = others.map(|r| self.running[r.index()].max(self.reserved[r.index()])).sum();
        let allowed = self.running[rank.index()] + shards + held <= self.limit;
        if allowed {
            self.running[rank.index()] += shards;
        }
        allowed
    }

    /// Gives the places of a query back.
    pub fn leave(&mut self, rank: Rank, shards: u32) {
        self.running[rank.index()] -= shards;
    }
}

#[cfg(test)]
mod tests;
