//! The attempts at one shard of a query.

use crate::ids::{Key, MemberId, ReplicaId, ServiceId, ShardId};
use crate::message::FailReason;
use crate::verdict::Verdict;
use std::time::{Duration, Instant};

/// Attempts at one shard, the first included.
pub(super) const MAX_ATTEMPTS: usize = 5;

/// One attempt at a shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) replica: ReplicaId,
    /// The daemon that it was sent to.
    pub(super) owner: MemberId,
    /// When it was sent, in microseconds after the query started.
    pub(super) sent: u32,
    pub(super) state: AttemptState,
}

impl Attempt {
    /// Returns when it was sent.
    pub(super) fn sent_at(&self, query_started: Instant) -> Instant {
        query_started + Duration::from_micros(self.sent.into())
    }

    /// Returns whether a reply to it would be taken.
    pub(super) fn accepts_reply(&self) -> bool {
        matches!(self.state, AttemptState::Open | AttemptState::Lost)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Its reply is expected; it counts as in flight at its replica.
    Open,
    /// Its reply is not expected any more, but taken if it comes.
    Lost,
    /// Its result is not needed any more, as the shard is answered or the query over.
    Cancelled,
    /// Its reply came; a second one is ignored.
    Ended,
}

/// What became of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShardState {
    /// An attempt is open or will be made.
    Open,
    /// Its rows are merged.
    Answered,
    /// No attempt is left; a late reply may still turn it into `Answered`.
    Missing(FailReason),
}

/// A retry that waits for a moment, as no other replica is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingRetry {
    /// Why the last attempt failed.
    pub(super) reason: FailReason,
    /// Whether the retry repeats no work of an upstream, so that it needs no budget.
    pub(super) budget_exempt: bool,
    /// When it is due, in microseconds after the query started.
    pub(super) due: u32,
}

/// The progress of a query at one shard.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardProgress {
    pub(super) shard: ShardId,
    pub(super) service: ServiceId,
    pub(super) state: ShardState,
    /// Over the attempts that ended.
    pub(super) verdict: Verdict,
    /// Set only while the shard is open and no attempt is.
    pub(super) pending_retry: Option<PendingRetry>,
    /// Whether a hedge was sent, or no replica is left for one.
    pub(super) hedged: bool,
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
            hedged: false,
            attempts: [unused; MAX_ATTEMPTS],
            attempt_count: 0,
        }
    }

    /// Returns the attempts made so far, by ordinal.
    pub(super) fn attempts(&self) -> &[Attempt] {
        &self.attempts[..usize::from(self.attempt_count)]
    }

    /// Returns the attempts made so far, by ordinal, to change them.
    pub(super) fn attempts_mut(&mut self) -> &mut [Attempt] {
        &mut self.attempts[..usize::from(self.attempt_count)]
    }

    /// Adds an open attempt and returns its ordinal.
    pub(super) fn add(&mut self, replica: ReplicaId, owner: MemberId, sent: u32) -> u8 {
        let ordinal = self.attempt_count;
        let state = AttemptState::Open;
        self.attempts[usize::from(ordinal)] = Attempt { replica, owner, sent, state };
        self.attempt_count += 1;
        self.pending_retry = None;
        ordinal
    }

    /// Returns whether one more attempt may be made.
    pub(super) fn may_retry(&self) -> bool {
        self.state == ShardState::Open && usize::from(self.attempt_count) < MAX_ATTEMPTS
    }

    /// Returns the open attempts.
    pub(super) fn open(&self) -> impl Iterator<Item = (u8, &Attempt)> {
        let numbered = self.attempts().iter().enumerate().map(|(i, attempt)| (i as u8, attempt));
        numbered.filter(|(_, attempt)| attempt.state == AttemptState::Open)
    }

    /// Returns whether an attempt was made at the replica.
    pub(super) fn was_tried(&self, replica: ReplicaId) -> bool {
        self.attempts().iter().any(|attempt| attempt.replica == replica)
    }

    /// Returns whether an attempt at the replica is open.
    pub(super) fn is_open_at(&self, replica: ReplicaId) -> bool {
        self.open().any(|(_, attempt)| attempt.replica == replica)
    }

    /// Returns whether an upstream may have run the sub-query.
    pub(super) fn verdict(&self) -> Verdict {
        let has_unanswered = self.attempts().iter().any(|a| a.state != AttemptState::Ended);
        match self.state {
            ShardState::Answered => Verdict::Ran,
            _ if has_unanswered => self.verdict.and(Verdict::MayHaveRun),
            _ => self.verdict,
        }
    }
}
