//! The budget for hedges and retries.

use std::time::{Duration, Instant};

/// Attempts that may be saved up.
const MAX_TOKENS: f64 = 8.0;

/// Attempts that a new budget holds, unless the share is 0.
const INITIAL_TOKENS: f64 = 2.0;

/// How long a sign of overload keeps the budget closed.
const OVERLOAD_HOLD: Duration = Duration::from_secs(1);

/// A token bucket that fills with the first attempts of sub-queries and not with time.
///
/// Hedges and retries together stay below the share of first attempts and a few for the start, so
/// that a thread with little work may repeat its first failures. A sign of
/// overload closes it: extra attempts would then try_withdraw the place of other queries.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// From 0 to `MAX_TOKENS`.
    tokens: f64,
    closed_until: Option<Instant>,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS, closed_until: None }
    }
}

impl Budget {
    /// Counts the first attempt at a sub-query; `share` is from 0 to 1.
    pub fn deposit(&mut self, share: f64) {
        self.tokens = if share > 0.0 { (self.tokens + share).min(MAX_TOKENS) } else { 0.0 };
    }

    /// Takes one attempt, if the budget has one and is open.
    pub fn try_withdraw(&mut self, now: Instant) -> bool {
        let allowed = self.is_open(now) && self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Closes the budget for a while.
    pub fn close(&mut self, now: Instant) {
        self.closed_until = Some(now + OVERLOAD_HOLD);
    }

    /// Returns whether there was no sign of overload lately.
    pub fn is_open(&self, now: Instant) -> bool {
        self.closed_until.is_none_or(|until| until <= now)
    }
}

#[cfg(test)]
mod tests;
