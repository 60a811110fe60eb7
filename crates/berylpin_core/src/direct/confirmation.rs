//! When the store last confirmed the configuration in force.

use std::time::{Duration, Instant};

/// Tracks the answers and failures of the calls for the configuration.
///
/// A watch that is open confirms nothing: if its connection went silent, it looks like one without
/// changes.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// When the last answer arrived; the start of the daemon before the first one.
    confirmed_at: Instant,
    /// The start of the daemon, or when the first failed call since the last answer ended; `None`
    /// after an answer.
    unreachable_since: Option<Instant>,
}

impl Confirmation {
    /// Creates the state of a daemon that starts now.
    pub fn new(now: Instant) -> Self {
        Self { confirmed_at: now, unreachable_since: Some(now) }
    }

    /// Records an answer; returns the time since the one before.
    pub fn record_answer(&mut self, now: Instant) -> Duration {
        let age = self.age(now);
        *self = Self { confirmed_at: now, unreachable_since: None };
        age
    }

    /// Records a call that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Returns the time since the last answer.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at)
    }

    /// Returns how long calls have been failing; zero if none failed since the last answer.
    pub fn unreachable_for(&self, now: Instant) -> Duration {
        self.unreachable_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

#[cfg(test)]
mod tests;
