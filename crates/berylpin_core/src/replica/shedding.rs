//! Load shedding: which queries one replica refuses under overload.

use super::shares::MinimumShares;
use crate::ids::QueryTag;
use crate::rank::Rank;
use std::time::Duration;

/// The interval between adjustments of the levels.
pub(super) const ADJUST_INTERVAL: Duration = Duration::from_millis(100);

/// A rank is overloaded while its oldest queued sub-query has waited longer than the mean time left
/// on arrival divided by this.
const QUEUE_DELAY_DIVISOR: u32 = 4;

/// The inverse of the weight of a new interval in the moving averages.
const INTERVAL_SMOOTHING: f64 = 8.0;

/// The bounds of the factor by which a shed level is multiplied when it is reduced.
const LEVEL_FACTOR_BOUNDS: (f64, f64) = (0.3, 0.97);

/// The increase of a shed level in an interval without overload, in units of
/// 1 / `QueryTag::LEVELS`.
const LEVEL_STEP: u16 = 20;

/// The least shed level, in units of 1 / `QueryTag::LEVELS`; some queries have to be admitted to
/// measure the capacity.
const MIN_LEVEL: u16 = 10;

/// The upstream is overloaded if the calls that it refused, multiplied by this, exceed all calls
/// that it completed or refused.
const UPSTREAM_REFUSAL_DIVISOR: f64 = 10.0;

/// The shed levels of one replica, one for each rank.
///
/// A shed level is a threshold: a query is refused if its `QueryTag::level` is at or above the shed
/// level of its rank. It is the measured share of the offered queries that the replica completes,
/// in units of 1 / `QueryTag::LEVELS`. Owners of equally loaded replicas measure the same share, so
/// they refuse the same queries without coordination.
#[derive(Debug)]
pub(super) struct ShedLevels {
    ranks: [RankLoad; Rank::COUNT],
}

#[derive(Clone, Copy, Debug)]
struct RankLoad {
    /// The shed level, from `MIN_LEVEL` to `QueryTag::LEVELS`: queries whose `QueryTag::level` is
    /// at or above it are refused.
    level: u16,
    /// Counts of the current interval.
    counts: Counts,
    /// Moving average of queries admitted per interval, scaled with each change of the level.
    admitted: f64,
    /// Moving average of queries completed per interval.
    completed: f64,
    /// Moving average of the time left until the deadline on arrival.
    time_left: Duration,
}

/// Counts of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    admitted: u32,
    completed: u32,
    /// Refused or aborted because the deadline could not be met, or because the queue was full.
    dropped: u32,
    /// Refused by the upstream because of its load.
    upstream_refusals: u32,
}

impl Default for ShedLevels {
    fn default() -> Self {
        let load = RankLoad {
            level: QueryTag::LEVELS,
            counts: Counts::default(),
            admitted: 0.0,
            completed: 0.0,
            time_left: Duration::ZERO,
        };
        Self { ranks: [load; Rank::COUNT] }
    }
}

impl ShedLevels {
    /// Returns whether a query is admitted to the queue, and counts it if so; `level` is its
    /// `QueryTag::level`.
    pub(super) fn admit(&mut self, rank: Rank, level: u16, time_left: Duration) -> bool {
        let load = &mut self.ranks[rank.index()];
        if level >= load.level {
            return false;
        }
        load.counts.admitted += 1;
        let mean = if load.time_left.is_zero() { time_left } else { load.time_left };
        load.time_left = (mean * 7 + time_left) / 8;
        true
    }

    /// Counts a call that ended with a result.
    pub(super) fn record_completed(&mut self, rank: Rank) {
        self.ranks[rank.index()].counts.completed += 1;
    }

    /// Counts a sub-query that could not meet its deadline or was evicted from a full queue.
    pub(super) fn record_dropped(&mut self, rank: Rank) {
        self.ranks[rank.index()].counts.dropped += 1;
    }

    /// Counts a call that the upstream refused because of its load.
    pub(super) fn record_upstream_refusal(&mut self, rank: Rank) {
        self.ranks[rank.index()].counts.upstream_refusals += 1;
    }

    /// Returns the shed levels, indexed by rank.
    pub(super) fn levels(&self) -> [u16; Rank::COUNT] {
        self.ranks.map(|load| load.level)
    }

    /// Returns whether no query is shed, so that no adjustment is needed without load.
    pub(super) fn admits_all(&self) -> bool {
        self.ranks.iter().all(|load| load.level == QueryTag::LEVELS)
    }

    /// Ends an interval; `oldest_waits` is how long the oldest sub-query of each rank has waited.
    ///
    /// Returns the shed levels that changed.
    pub(super) fn adjust(
        &mut self,
        oldest_waits: [Duration; Rank::COUNT],
        shares: MinimumShares,
    ) -> [Option<u16>; Rank::COUNT] {
        let upstream_refusals: u32 =
            self.ranks.iter().map(|load| load.counts.upstream_refusals).sum();
        let completed: u32 = self.ranks.iter().map(|load| load.counts.completed).sum();
        let upstream_overloaded = f64::from(upstream_refusals) * UPSTREAM_REFUSAL_DIVISOR
            > f64::from(completed + upstream_refusals);
        for load in &mut self.ranks {
            load.admitted += (f64::from(load.counts.admitted) - load.admitted) / INTERVAL_SMOOTHING;
            load.completed +=
                (f64::from(load.counts.completed) - load.completed) / INTERVAL_SMOOTHING;
        }
        let capacity: f64 = self.ranks.iter().map(|load| load.completed).sum();
        Rank::ALL.map(|rank| {
            let load = &mut self.ranks[rank.index()];
            let counts = std::mem::take(&mut load.counts);
            let level = load.level;
            let max_wait = load.time_left / QUEUE_DELAY_DIVISOR;
            let oldest_wait = oldest_waits[rank.index()];
            if oldest_wait > max_wait
                || counts.dropped > 0
                || (upstream_overloaded && counts.upstream_refusals > 0)
            {
                load.reduce_level(shares.guaranteed(rank, capacity));
            } else if oldest_wait <= max_wait / 2 {
                load.set_level(load.level + LEVEL_STEP);
            }
            (load.level != level).then_some(load.level)
        })
    }
}

impl RankLoad {
    /// Multiplies the shed level by the fraction of admitted queries that completed, but not below
    /// the guaranteed share.
    ///
    /// `guaranteed` is that share in queries per interval.
    fn reduce_level(&mut self, guaranteed: f64) {
        // Arrivals vary like Poisson counts, so up to two standard deviations of their mean are no
        // excess.
        let spread = 2.0 * (guaranteed / (2.0 * INTERVAL_SMOOTHING - 1.0)).sqrt();
        if self.admitted < guaranteed + spread {
            return;
        }
        let completed_fraction = self.completed.max(guaranteed) / self.admitted;
        let level = f64::from(self.level)
            * completed_fraction.clamp(LEVEL_FACTOR_BOUNDS.0, LEVEL_FACTOR_BOUNDS.1);
        self.set_level(level as u16);
    }

    /// Changes the shed level and scales the average of admitted queries with it.
    ///
    /// The average lags behind the level. Without the scaling, later reductions for the same excess
    /// would overshoot.
    fn set_level(&mut self, level: u16) {
        let level = level.clamp(MIN_LEVEL, QueryTag::LEVELS);
        self.admitted *= f64::from(level) / f64::from(self.level);
        self.level = level;
    }
}

#[cfg(test)]
mod tests;
