//! Coverage of a query, measured or predicted from load hints.

use crate::ids::QueryTag;
use std::time::Duration;

/// How long an owner's hint about its load is used.
pub(crate) const HINT_TTL: Duration = Duration::from_secs(1);

/// Maximum fraction of a target's shards expected to fail; above it the query is refused.
const MAX_FAILING_FRACTION: f64 = 0.1;

/// Returns the level from which an owner is assumed to shed queries, given the age of its hint.
///
/// The level is constant for half of `HINT_TTL` and then rises linearly to `LEVELS`. The first
/// queries admitted again are those at and just above the hinted level, so only a few probe an
/// owner whose load may have fallen.
pub(crate) fn effective_shed_level(shed_from: u16, age: Duration) -> u16 {
    let shed_range = u128::from(QueryTag::LEVELS.saturating_sub(shed_from));
    let half_ttl_us = (HINT_TTL / 2).as_micros();
    let rise =
        shed_range * age.as_micros().saturating_sub(half_ttl_us).min(half_ttl_us) / half_ttl_us;
    shed_from + rise as u16
}

/// How many shards of a target, or of one of its services, failed or are expected to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CoverageTally {
    /// Shards that the query is for.
    pub(crate) shards: u32,
    /// Shards without a result, or whose replicas all shed the query or would reply too late.
    pub(crate) failing: u32,
}

impl CoverageTally {
    /// Adds a shard.
    pub(crate) fn add(&mut self, failing: bool) {
        self.shards += 1;
        self.failing += u32::from(failing);
    }

    /// Returns whether the coverage is below the minimum of a service.
    pub(crate) fn is_below(self, minimum_coverage: f64) -> bool {
        f64::from(self.shards - self.failing) < minimum_coverage * f64::from(self.shards)
    }

    /// Returns whether the failing shards exceed `MAX_FAILING_FRACTION`, so that the answer is not
    /// worth its load.
    pub(crate) fn exceeds_failure_limit(self) -> bool {
        f64::from(self.failing) > MAX_FAILING_FRACTION * f64::from(self.shards)
    }
}

#[cfg(test)]
mod tests;
