//! The attempts of a start: what is in the way of a daemon when it starts may be gone a moment later.

use std::time::Duration;

/// The back-off after the first failed attempt, and its maximum.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The number of attempts that fail with the same cause between two reports of it.
const REPORT_INTERVAL: u32 = 60;

/// The failed attempts of a start.
#[derive(Debug, Default)]
pub struct StartAttempts {
    failures: u32,
    /// The cause of the last failure.
    cause: String,
    /// Failures since the cause was last reported.
    unreported: u32,
}

impl StartAttempts {
    /// Records a failed attempt; returns whether its cause is to be reported.
    pub fn record_failure(&mut self, cause: &str) -> bool {
        self.failures += 1;
        self.unreported += 1;
        let is_due = self.cause != cause || self.unreported >= REPORT_INTERVAL;
        if is_due {
            cause.clone_into(&mut self.cause);
            self.unreported = 0;
        }
        is_due
    }

    /// Returns the number of failed attempts.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the delay before the next attempt.
    pub fn backoff(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        (INITIAL_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF)
    }
}

#[cfg(test)]
mod tests;
