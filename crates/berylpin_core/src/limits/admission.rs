//! Whether a whole query is worth starting.

use crate::ids::QueryTag;
use std::time::Duration;

/// How long what an owner said about its load is trusted.
pub(crate) const HINT_TTL: Duration = Duration::from_secs(1);

/// The share of a target's shards that may be expected to fail before the query is refused.
const MAX_FAILING_FRACTION: f64 = 0.1;

/// Returns the shed level that a hint of the given age stands for.
///
/// The level holds for half of `HINT_TTL` and then rises to `LEVELS`: the first queries that come
/// back are those just above the level, so an owner whose load fell hears of it from a few of them.
pub(crate) fn effective_shed_level(shed_above: u16, age: Duration) -> u16 {
    let missing = u128::from(QueryTag::LEVELS.saturating_sub(shed_above));
    let rise = (HINT_TTL / 2).as_micros();
    let risen = missing * age.as_micros().saturating_sub(rise).min(rise) / rise;
    shed_above + risen as u16
}

/// The shards of one target, or of one service of it, and how many are expected to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CoverageEstimate {
    /// Shards shards.
    pub(crate) shards: u32,
    /// Shards whose replicas all shed the query or would reply after its deadline.
    pub(crate) failing: u32,
}

impl CoverageEstimate {
    /// Adds a shard.
    pub(crate) fn add(&mut self, failing: bool) {
        self.shards += 1;
        self.failing += u32::from(failing);
    }

    /// Returns whether a service with this minimum coverage would miss it.
    pub(crate) fn is_below(self, minimum_coverage: f64) -> bool {
        f64::from(self.shards - self.failing) < minimum_coverage * f64::from(self.shards)
    }

    /// Returns whether so many shards would fail that the answer is not worth its load.
    pub(crate) fn exceeds_failure_limit(self) -> bool {
        f64::from(self.failing) > MAX_FAILING_FRACTION * f64::from(self.shards)
    }
}

#[cfg(test)]
mod tests;
