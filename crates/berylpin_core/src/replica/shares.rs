//! Minimum shares of the ranks in the work of a replica.

use crate::rank::Rank;
use std::time::Duration;

/// What a rank keeps of a replica's slots while others want them too.
///
/// What a rank does not use goes to the others, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MinimumShares {
    /// From 0 to 1, indexed by rank; together at most 1.
    shares: [f64; Rank::COUNT],
}

impl Default for MinimumShares {
    fn default() -> Self {
        Self::new([0.7, 0.2, 0.1])
    }
}

impl MinimumShares {
    /// Takes the shares of a document.
    pub(super) fn new(shares: [f64; Rank::COUNT]) -> Self {
        Self { shares }
    }

    /// Returns the part of an amount of work that a rank keeps.
    pub(super) fn guaranteed(self, rank: Rank, work: f64) -> f64 {
        work * self.shares[rank.index()]
    }
}

/// Chooses which rank starts next, so that each keeps its minimum share.
///
/// A rank that waits earns its share of all work that starts meanwhile. It goes before more urgent
/// ranks once it has credit the cost of one call.
#[derive(Debug, Default)]
pub(super) struct ShareScheduler {
    shares: MinimumShares,
    /// Slot time credit while waiting, in seconds, indexed by rank; never negative.
    credit: [f64; Rank::COUNT],
}

impl ShareScheduler {
    /// Returns the rank whose work starts next; `waiting` and `cost` are indexed by rank.
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

    /// Counts work that starts; `waiting` says which ranks waited, the started one included.
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

    /// Changes the shares; what was credit stays.
    pub(super) fn set_shares(&mut self, shares: MinimumShares) {
        self.shares = shares;
    }

    /// Returns the shares kept.
    pub(super) fn shares(&self) -> MinimumShares {
        self.shares
    }
}

#[cfg(test)]
mod tests;
