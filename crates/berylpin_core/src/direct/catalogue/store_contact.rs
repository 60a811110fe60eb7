//! Outages of the store, in which the entries of running replicas may expire.

use crate::direct::store_times::{ExpiryGrace, StoreCall};
use std::time::Instant;

/// What the calls for the replicas show about outages of the store.
///
/// A failed call alone shows no outage: its connection may have gone silent, or the path may have
/// been cut, while the store went on working and entries were removed for good. An outage in which
/// entries expire leaves a long time between two answers, and it lasts until a call has begun that
/// failed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreContact {
    grace: ExpiryGrace,
    /// The last call began no earlier than this; `None` before the first one.
    called_at: Option<Instant>,
    /// When the store last answered.
    answered_at: Option<Instant>,
    /// The last call that failed, if the store has not answered since.
    failure: Option<FailedCall>,
    /// The last outage in which entries may have expired.
    outage: Option<Outage>,
    /// When the store was last known to have returned, from an outage of any length or from a copy.
    returned_at: Option<Instant>,
}

/// A call that failed.
#[derive(Clone, Copy, Debug)]
struct FailedCall {
    /// The call began no earlier than this.
    called_at: Option<Instant>,
}

/// An outage that is over.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the store answered for the first time after it.
    answered_at: Instant,
    /// The last call that failed in it, or was answered late; `None` if the store named a new era.
    failure: Option<FailedCall>,
}

impl StoreContact {
    pub(super) fn set_grace(&mut self, grace: ExpiryGrace) {
        self.grace = grace;
    }

    pub(super) fn begin_call(&mut self, now: Instant) {
        self.called_at = Some(now);
    }

    pub(super) fn record_call(&mut self, call: StoreCall, now: Instant) {
        let this = FailedCall { called_at: self.called_at.replace(now) };
        match call {
            StoreCall::Failed => self.failure = Some(this),
            StoreCall::Late => self.record_answer(Some(this), now),
            StoreCall::InTime => self.record_answer(self.failure, now),
        }
    }

    /// Records that the replicas of a peer are applied because this daemon's calls fail.
    pub(super) fn record_peer_state(&mut self) {
        self.failure.get_or_insert(FailedCall { called_at: self.called_at });
    }

    /// Records a list from a store that lost its last changes, so that entries are missing until
    /// their replicas have written them again.
    pub(super) fn record_restored_store(&mut self, now: Instant) {
        let failure = FailedCall { called_at: self.called_at };
        self.outage = Some(Outage { answered_at: now, failure: Some(failure) });
    }

    /// Records that the store was restored from a copy, as its era shows.
    ///
    /// Unlike after a failed call, it is certain that entries are missing, so that the grace time
    /// counts from now on.
    pub(super) fn record_new_era(&mut self, now: Instant) {
        self.outage = Some(Outage { answered_at: now, failure: None });
        self.returned_at = Some(now);
    }

    /// Returns whether the store has not answered since a call failed.
    pub(super) fn is_away(&self) -> bool {
        self.failure.is_some()
    }

    /// Returns when the store was last known to have returned, from an outage or from a copy.
    pub(super) fn returned_at(&self) -> Option<Instant> {
        self.returned_at
    }

    /// Returns until when a replica stays in use whose entry the store lost with a restore.
    pub(super) fn lost_grace_end(&self, now: Instant) -> Instant {
        let returned_at = self.returned_at.filter(|_| !self.is_away());
        returned_at.unwrap_or(now) + self.grace.after_outage
    }

    /// Returns until when a replica stays in use whose entry is removed now.
    pub(super) fn grace_end(&self, now: Instant) -> Instant {
        let (from, failure) = match (self.failure, self.outage) {
            (Some(failure), _) => (now, Some(failure)),
            (None, Some(Outage { answered_at, failure })) => (answered_at, failure),
            (None, None) => return now,
        };
        let grace_end = from + self.grace.after_outage;
        let Some(FailedCall { called_at }) = failure else { return grace_end };
        called_at.map_or(now, |at| at + self.grace.after_failed_call).min(grace_end)
    }

    fn record_answer(&mut self, failure: Option<FailedCall>, now: Instant) {
        self.failure = None;
        let unanswered = self.answered_at.replace(now).map(|at| now.saturating_duration_since(at));
        let is_outage = unanswered.is_none_or(|time| time >= self.grace.shortest_outage);
        if failure.is_none() {
            return;
        }
        self.returned_at = Some(now);
        if is_outage {
            self.outage = Some(Outage { answered_at: now, failure });
        }
    }
}

#[cfg(test)]
mod tests;
