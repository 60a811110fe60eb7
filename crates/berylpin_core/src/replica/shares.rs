//! Minimum shares of the ranks in the slot time of a replica.

use crate::rank::Rank;
use std::time::Duration;

/// The least share of a replica's slot time for each rank while other ranks compete for it.
///
/// Time that a rank does not use is available to the others, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MinimumShares {
    /// Each from 0 to 1, indexed by rank; in total at most 1.
    shares: [f64; Rank::COUNT],
}

impl Default for MinimumShares {
    fn default() -> Self {
        Self::new([0.7, 0.2, 0.1])
    }
}

impl MinimumShares {
    /// Creates the minimum shares from those of a service document.
    pub(super) fn new(shares: [f64; Rank::COUNT]) -> Self {
        Self { shares }
    }

    /// Returns the part of an amount of work that is guaranteed to a rank.
    pub(super) fn guaranteed(self, rank: Rank, work: f64) -> f64 {
        work * self.shares[rank.index()]
    }
}

/// A credit scheduler that chooses which rank starts next, so that each has its minimum share.
///
/// When a call starts, each backlogged rank is credited with its share of the cost. A rank precedes
/// more urgent ones once its credit covers the cost of one of its calls.
#[derive(Debug, Default)]
pub(super) struct ShareScheduler {
    shares: MinimumShares,
    /// Slot time in seconds, indexed by rank; never negative.
    credit: [f64; Rank::COUNT],
}

impl ShareScheduler {
    /// Returns the rank to start next; `backlogged` and `cost` are indexed by rank.
    pub(super) fn next_rank(
        &self,
        backlogged: [bool; Rank::COUNT],
        cost: [Duration; Rank::COUNT],
    ) -> Option<Rank> {
        let mut ranks = Rank::ALL.into_iter().filter(|rank| backlogged[rank.index()]);
        let first = ranks.next()?;
        let has_credit =
            |rank: &Rank| self.credit[rank.index()] >= cost[rank.index()].as_secs_f64();
        Some(ranks.find(has_credit).unwrap_or(first))
    }

    /// Credits the backlogged ranks with their shares of a call that starts, resets the credit of
    /// the other ranks, and charges the rank of the call.
    pub(super) fn charge(&mut self, rank: Rank, cost: Duration, backlogged: [bool; Rank::COUNT]) {
        let work = cost.as_secs_f64();
        for other in Rank::ALL {
            let credit = &mut self.credit[other.index()];
            *credit = if backlogged[other.index()] {
                *credit + self.shares.guaranteed(other, work)
            } else {
                0.0
            };
        }
        let credit = &mut self.credit[rank.index()];
        *credit = (*credit - work).max(0.0);
    }

    /// Changes the shares; the credit stays.
    pub(super) fn set_shares(&mut self, shares: MinimumShares) {
        self.shares = shares;
    }

    /// Returns the minimum shares.
    pub(super) fn shares(&self) -> MinimumShares {
        self.shares
    }
}

#[cfg(test)]
mod tests;
