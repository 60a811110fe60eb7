//! When the configuration in force was last known to be the newest in the store.

use std::time::{Duration, Instant};

/// Tracks the calls for the configuration, and what peers report of theirs.
///
/// A watch that is open confirms nothing: if its connection went silent, it looks like one without
/// changes.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// The configuration in force was the newest at this time; the start of the daemon before the
    /// first answer. Never decreases.
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

    /// Records an answer of the store that confirms the configuration as of `at`; returns by how
    /// much it is newer than the last confirmation.
    pub fn record_answer(&mut self, at: Instant) -> Duration {
        let gain = at.saturating_duration_since(self.confirmed_at);
        self.unreachable_since = None;
        self.confirmed_at += gain;
        gain
    }

    /// Records an answer of the store that does not confirm the configuration.
    pub fn record_contact(&mut self) {
        self.unreachable_since = None;
    }

    /// Records that a peer with the same version has it confirmed as of `at`.
    pub fn record_peer(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records a call that failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.unreachable_since.get_or_insert(now);
    }

    /// Returns when the configuration was last confirmed.
    pub fn confirmed_at(&self) -> Instant {
        self.confirmed_at
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at)
    }

    /// Returns how long calls have been failing; zero if none failed since the last answer.
    pub fn unreachable_for(&self, now: Instant) -> Duration {
        self.unreachable_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

/// Returns the time as of which an answer to a call confirms the configuration.
///
/// The store answers a watch without changes when its wait is over. Changes are confirmed as of
/// their arrival, because the watch that follows returns any later one at once.
pub fn confirmed_by(
    called_at: Instant,
    wait: Duration,
    has_changes: bool,
    answered_at: Instant,
) -> Instant {
    if has_changes { answered_at } else { answered_at.min(called_at + wait) }
}

#[cfg(test)]
mod tests;
