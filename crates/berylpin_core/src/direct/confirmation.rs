//! When the configuration and the replicas in use were last known to be the newest in the store.

use super::store_era::StorePosition;
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

/// As of when the replicas in use are known to be the newest in the store.
///
/// The watch that returns their changes may be silent, or read data of any age. So they are compared
/// with the store's position, which an answer with the newest data states whatever it was asked for.
#[derive(Clone, Copy, Debug)]
pub struct ReplicasConfirmation {
    /// The start of the daemon before the first list.
    confirmed_at: Instant,
}

impl ReplicasConfirmation {
    /// Creates the state of a daemon that starts now.
    pub fn new(now: Instant) -> Self {
        Self { confirmed_at: now }
    }

    /// Records a list that began at `at` and replaced all replicas.
    pub fn record_list(&mut self, at: Instant) {
        self.confirmed_at = at;
    }

    /// Records that the store, or a peer's confirmed replicas, were at the position `newest` at `at`,
    /// while the replicas in use are current at `applied`.
    ///
    /// Positions of different eras show nothing about each other: revisions are given out again after
    /// a restore of the store.
    pub fn record_position(
        &mut self,
        at: Instant,
        newest: StorePosition,
        applied: Option<StorePosition>,
    ) {
        if applied.is_some_and(|applied| applied.era == newest.era && applied >= newest) {
            self.confirmed_at = self.confirmed_at.max(at);
        }
    }

    /// Returns when the replicas were last confirmed.
    pub fn confirmed_at(&self) -> Instant {
        self.confirmed_at
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
