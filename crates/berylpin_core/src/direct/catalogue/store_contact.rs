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
    /// The last call that failed in it, or was answered late.
    failure: FailedCall,
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
        self.outage = Some(Outage { answered_at: now, failure });
    }

    /// Returns until when a replica stays in use whose entry is removed now.
    pub(super) fn grace_end(&self, now: Instant) -> Instant {
        let (from, failure) = match (self.failure, self.outage) {
            (Some(failure), _) => (now, failure),
            (None, Some(Outage { answered_at, failure })) => (answered_at, failure),
            (None, None) => return now,
        };
        let latest = failure.called_at.map_or(now, |at| at + self.grace.after_failed_call);
        latest.min(from + self.grace.after_outage)
    }

    fn record_answer(&mut self, failure: Option<FailedCall>, now: Instant) {
        self.failure = None;
        let unanswered = self.answered_at.replace(now).map(|at| now.saturating_duration_since(at));
        let is_outage = unanswered.is_none_or(|time| time >= self.grace.shortest_outage);
        if let Some(failure) = failure
            && is_outage
        {
            self.outage = Some(Outage { answered_at: now, failure });
        }
    }
}

#[cfg(test)]
mod tests;
