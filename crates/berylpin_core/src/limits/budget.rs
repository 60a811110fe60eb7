//! The budget for hedges and retries.

use std::time::{Duration, Instant};

/// Maximum number of extra attempts that the budget holds.
const MAX_TOKENS: f64 = 8.0;

/// Number of extra attempts that a new budget holds; discarded by the first deposit if the share
/// is 0.
const INITIAL_TOKENS: f64 = 2.0;

/// How long a sign of overload keeps the budget suspended.
const OVERLOAD_HOLD: Duration = Duration::from_secs(1);

/// A token bucket that is refilled by the first attempts of sub-queries instead of by time.
///
/// Hedges and retries together never exceed a share of the first attempts plus the initial tokens,
/// which allow a thread with little load to retry its first failures. A sign of overload suspends
/// the budget, because extra attempts would then displace other queries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// From 0 to `MAX_TOKENS`.
    tokens: f64,
    /// No attempt can be withdrawn before this time.
    suspended_until: Option<Instant>,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS, suspended_until: None }
    }
}

impl Budget {
    /// Adds the allowance for one first attempt at a sub-query; `share` is from 0 to 1.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = if share > 0.0 { (self.tokens + share).min(MAX_TOKENS) } else { 0.0 };
    }

    /// Spends one token on an extra attempt; returns `false` if the budget is suspended or empty.
    pub fn try_withdraw(&mut self, now: Instant) -> bool {
        let allowed = self.is_active(now) && self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Suspends the budget for `OVERLOAD_HOLD` after a sign of overload.
    pub fn suspend(&mut self, now: Instant) {
        self.suspended_until = Some(now + OVERLOAD_HOLD);
    }

    /// Returns whether the budget is not suspended after a recent sign of overload.
    pub fn is_active(&self, now: Instant) -> bool {
        self.suspended_until.is_none_or(|until| until <= now)
    }
}

#[cfg(test)]
mod tests;
