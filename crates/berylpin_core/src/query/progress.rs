//! The state of a query at one of its shards, and the attempts made there.

use crate::ids::{Key, MemberId, ReplicaId, ServiceId, ShardId};
use crate::message::FailReason;
use crate::verdict::Verdict;
use std::time::{Duration, Instant};

/// The maximum number of attempts at one shard, including the first.
pub(super) const MAX_ATTEMPTS: usize = 5;

/// One attempt at a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) replica: ReplicaId,
    /// The daemon that the attempt was sent to.
    pub(super) owner: MemberId,
    /// The time of sending, in microseconds after the start of the query.
    pub(super) sent: u32,
    pub(super) state: AttemptState,
}

impl Attempt {
    /// Returns the time of sending.
    pub(super) fn sent_at(&self, query_started: Instant) -> Instant {
        query_started + Duration::from_micros(self.sent.into())
    }

    /// Returns whether a reply to the attempt would be processed.
    pub(super) fn accepts_reply(&self) -> bool {
        matches!(self.state, AttemptState::Open | AttemptState::Lost)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The reply is awaited; the attempt counts as in flight at its replica and owner.
    Open,
    /// The owner was lost or replaced; a late reply is still accepted.
    Lost,
    /// Cancelled because the shard is answered or the query has ended.
    Cancelled,
    /// The reply was received; a duplicate is ignored.
    Ended,
}

/// The state of a shard within a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShardState {
    /// An attempt is open or will be made.
    Open,
    /// The rows are merged.
    Answered,
    /// No further attempt will be made; a late reply may still turn this into `Answered`.
    Missing(FailReason),
}

/// A retry delayed by back-off, because no untried route is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingRetry {
    /// Why the last attempt failed.
    pub(super) reason: FailReason,
    /// Whether the retry is exempt from the budget; see `Failure::budget_exempt`.
    pub(super) budget_exempt: bool,
    /// When the retry is due, in microseconds after the start of the query.
    pub(super) due: u32,
}

/// The progress of a query at one of its shards.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardProgress {
    pub(super) shard: ShardId,
    pub(super) service: ServiceId,
    pub(super) state: ShardState,
    /// The combined verdict of the failed attempts.
    pub(super) verdict: Verdict,
    /// Set only while the shard is open without an open attempt.
    pub(super) pending_retry: Option<PendingRetry>,
    /// Set once the open attempt needs no further check for a hedge: one was sent, or there was no
    /// suitable replica when it was due.
    pub(super) hedge_decided: bool,
    attempts: [Attempt; MAX_ATTEMPTS],
    attempt_count: u8,
}

impl ShardProgress {
    pub(super) fn new(shard: ShardId, service: ServiceId) -> Self {
        let unused = Attempt {
            replica: ReplicaId::from_index(0),
            owner: MemberId::from_index(0),
            sent: 0,
            state: AttemptState::Ended,
        };
        Self {
            shard,
            service,
            state: ShardState::Open,
            verdict: Verdict::NotRun,
            pending_retry: None,
            hedge_decided: false,
            attempts: [unused; MAX_ATTEMPTS],
            attempt_count: 0,
        }
    }

    /// Returns the attempts made, by ordinal.
    pub(super) fn attempts(&self) -> &[Attempt] {
        &self.attempts[..usize::from(self.attempt_count)]
    }

    /// Returns the attempts made, by ordinal, mutably.
    pub(super) fn attempts_mut(&mut self) -> &mut [Attempt] {
        &mut self.attempts[..usize::from(self.attempt_count)]
    }

    /// Adds an open attempt, which replaces a pending retry, and returns its ordinal.
    pub(super) fn add_attempt(&mut self, replica: ReplicaId, owner: MemberId, sent: u32) -> u8 {
        let ordinal = self.attempt_count;
        let state = AttemptState::Open;
        self.attempts[usize::from(ordinal)] = Attempt { replica, owner, sent, state };
        self.attempt_count += 1;
        self.pending_retry = None;
        ordinal
    }

    /// Returns whether the attempt limit allows another attempt at this open shard.
    pub(super) fn may_retry(&self) -> bool {
        self.state == ShardState::Open && usize::from(self.attempt_count) < MAX_ATTEMPTS
    }

    /// Iterates over the open attempts with their ordinals.
    pub(super) fn open_attempts(&self) -> impl Iterator<Item = (u8, &Attempt)> {
        let numbered = self.attempts().iter().enumerate().map(|(i, attempt)| (i as u8, attempt));
        numbered.filter(|(_, attempt)| attempt.state == AttemptState::Open)
    }

    /// Returns whether any attempt was made at the replica.
    pub(super) fn was_tried(&self, replica: ReplicaId) -> bool {
        self.attempts().iter().any(|attempt| attempt.replica == replica)
    }

    /// Returns whether an attempt at the replica is open.
    pub(super) fn is_open_at(&self, replica: ReplicaId) -> bool {
        self.open_attempts().any(|(_, attempt)| attempt.replica == replica)
    }

    /// Returns the combined verdict of the attempts; one without a reply may have run.
    pub(super) fn verdict(&self) -> Verdict {
        let has_unanswered = self.attempts().iter().any(|a| a.state != AttemptState::Ended);
        match self.state {
            ShardState::Answered => Verdict::Ran,
            _ if has_unanswered => self.verdict.and(Verdict::MayHaveRun),
            _ => self.verdict,
        }
    }
}
