//! Records of the used keys of one holder thread.

use super::answer::{Answer, Execution, Refusal, RefusalReason};
use super::key::{ExecutionKey, KeyId};
use super::message::{AttemptId, RequestId};
use crate::arena::{Slab, SlabKey};
use crate::ids::{MemberId, ReplicaId, ShardId};
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use std::time::Instant;

/// Limits of a [`KeyTable`].
#[derive(Clone, Copy, Debug)]
pub(super) struct TableLimits {
    /// Maximum number of records.
    pub(super) keys: usize,
    /// Total size of all results above which no further key is started; results of keys that are
    /// already running may exceed it.
    pub(super) result_bytes: usize,
}

/// The record of a used key.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) id: KeyId,
    /// When the record may be evicted; the validity of the key ends earlier.
    pub(super) expires: Instant,
    /// Hash of the first request with the key.
    pub(super) fingerprint: u128,
    pub(super) state: State,
    /// Requests waiting for the outcome.
    pub(super) waiters: Vec<Waiter>,
}

/// The state of a used key.
#[derive(Debug)]
pub(super) enum State {
    /// An attempt is in flight and its deadline has not passed.
    Running(Box<Running>),
    /// An upstream ran the request of the key.
    Ran(Execution),
    /// An upstream may have run the request; a late outcome of this attempt replaces the state.
    Unknown(AttemptId, RefusalReason),
    /// No upstream ran the request, and none will: no further attempt is made.
    NotRun(RefusalReason),
}

/// A key whose attempt is in flight.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) key: ExecutionKey,
    pub(super) shard: ShardId,
    pub(super) rank: Rank,
    pub(super) deadline: Instant,
    pub(super) body: Bytes,
    /// Replicas tried so far, the current one last; all others provably did not run the request.
    pub(super) tried: Vec<ReplicaId>,
    pub(super) attempt: AttemptId,
}

/// A request waiting for the outcome of its key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) from: MemberId,
    pub(super) request: RequestId,
    pub(super) deadline: Instant,
}

impl Record {
    pub(super) fn verdict(&self) -> Verdict {
        match self.state {
            State::Running(_) | State::Unknown(..) => Verdict::MayHaveRun,
            State::Ran(_) => Verdict::Ran,
            State::NotRun(_) => Verdict::NotRun,
        }
    }

    /// Returns the answer to a request with the key, or `None` while the key is running.
    pub(super) fn answer(&self) -> Option<Answer> {
        let refuse = |reason| Err(Refusal { verdict: self.verdict(), reason });
        match &self.state {
            State::Running(_) => None,
            State::Ran(execution) => Some(Ok(execution.clone())),
            State::Unknown(_, reason) | State::NotRun(reason) => Some(refuse(*reason)),
        }
    }

    /// Returns whether an outcome of the attempt can still change the state: the attempt is the
    /// newest of the key, and it is unknown whether an upstream ran the request.
    pub(super) fn awaits_outcome_of(&self, attempt: AttemptId) -> bool {
        match &self.state {
            State::Running(running) => running.attempt == attempt,
            State::Unknown(last, _) => *last == attempt,
            State::Ran(_) | State::NotRun(_) => false,
        }
    }
}

/// Records of the used keys of one holder thread.
#[derive(Debug)]
pub(super) struct KeyTable {
    limits: TableLimits,
    records: Slab<Record>,
    /// Sorted by sequence number; contains every record.
    by_sequence: Vec<(u64, SlabKey)>,
    /// Unexpired keys with a lower sequence number and no record are refused as not run. A record
    /// expires later than its key, so none of them can have had the record of a run.
    closed_below: u64,
    /// Total size of all results, in bytes.
    result_bytes: usize,
}

impl KeyTable {
    pub(super) fn new(limits: TableLimits) -> Self {
        Self {
            limits,
            records: Slab::default(),
            by_sequence: Vec::new(),
            closed_below: 0,
            result_bytes: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.records.len() >= self.limits.keys || self.result_bytes >= self.limits.result_bytes
    }

    pub(super) fn is_closed(&self, sequence: u64) -> bool {
        sequence < self.closed_below
    }

    pub(super) fn find(&self, sequence: u64) -> Option<SlabKey> {
        let at = self.by_sequence.binary_search_by_key(&sequence, |(s, _)| *s).ok()?;
        Some(self.by_sequence[at].1)
    }

    pub(super) fn get_mut(&mut self, slab_key: SlabKey) -> Option<&mut Record> {
        self.records.get_mut(slab_key)
    }

    pub(super) fn insert(&mut self, record: Record) -> SlabKey {
        let sequence = record.id.sequence;
        let slab_key = self.records.insert(record);
        let at = self.by_sequence.partition_point(|(s, _)| *s < sequence);
        self.by_sequence.insert(at, (sequence, slab_key));
        slab_key
    }

    /// Sets the state of a key and accounts for the size of its result.
    pub(super) fn set_state(&mut self, slab_key: SlabKey, state: State) {
        let Some(record) = self.records.get_mut(slab_key) else { return };
        if let State::Ran(execution) = &state {
            self.result_bytes += execution.result.len();
        }
        record.state = state;
    }

    /// Closes all keys below a sequence number that have no record.
    ///
    /// Evicts the records of closed keys in state `NotRun` to free space: without a record, such a
    /// key is refused as not run as well.
    pub(super) fn close_below(&mut self, sequence: u64) {
        self.closed_below = self.closed_below.max(sequence);
        let (records, closed_below) = (&mut self.records, self.closed_below);
        self.by_sequence.retain(|(sequence, slab_key)| {
            let implied = records
                .get(*slab_key)
                .is_none_or(|record| matches!(record.state, State::NotRun(_)));
            let redundant = implied && *sequence < closed_below;
            if redundant {
                records.remove(*slab_key);
            }
            !redundant
        });
    }

    /// Evicts the expired records.
    pub(super) fn expire(&mut self, now: Instant) {
        // Sequence numbers and expiry times both increase with the time of issue, so the expired
        // records come first.
        let is_expired = |slab_key: SlabKey| {
            self.records.get(slab_key).is_none_or(|record| record.expires <= now)
        };
        let count = self.by_sequence.partition_point(|(_, slab_key)| is_expired(*slab_key));
        for (_, slab_key) in self.by_sequence.drain(..count) {
            if let Some(Record { state: State::Ran(execution), .. }) = self.records.remove(slab_key)
            {
                self.result_bytes -= execution.result.len();
            }
        }
    }

    /// Returns when the next record expires.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        let (_, slab_key) = self.by_sequence.first()?;
        self.records.get(*slab_key).map(|record| record.expires)
    }

    /// Returns the number of keys that are running or have waiting requests.
    pub(super) fn in_progress(&self) -> usize {
        let busy = |record: &Record| {
            matches!(record.state, State::Running(_)) || !record.waiters.is_empty()
        };
        self.records.iter().filter(|(_, record)| busy(record)).count()
    }
}
