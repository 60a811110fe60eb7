//! Messages between entries, holders and owners about non-idempotent requests.

use super::answer::{Answer, Execution};
use super::key::{ExecutionKey, KeyId};
use crate::arena::SlabKey;
use crate::ids::{ReplicaTag, ThreadId};
use crate::message::FailReason;
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::time::Duration;

/// Identifies one request of a caller at its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Thread of the entry that waits for the answer.
    pub thread: ThreadId,
    /// Slab key of the pending request on that thread.
    pub slab_key: SlabKey,
    /// Random, so that an answer to a request of an earlier process of the daemon does not match.
    pub nonce: u64,
}

/// Identifies one attempt at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Incarnation of the holder's thread.
    pub incarnation: u64,
    /// Thread of the holder.
    pub thread: ThreadId,
    /// Slab key of the record in the holder's key table.
    pub slab_key: SlabKey,
    /// Sequence number among the attempts of the holder's thread.
    pub number: u64,
}

/// A request with its key; the holder deduplicates resent requests by key.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Echoed in the answer.
    pub request: RequestId,
    /// Idempotency key, which names the receiving holder.
    pub key: ExecutionKey,
    /// Name of the service.
    pub service: String,
    /// Name of the shard; optional for a service with one shard.
    pub shard: Option<String>,
    /// Rank of the request.
    pub rank: Rank,
    /// Time left until the deadline, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// Request body.
    pub body: Bytes,
}

/// One attempt at one replica, which the holder sends once and never resends.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Echoed with the outcome.
    pub attempt: AttemptId,
    /// Forwarded to the upstream so that it can record the key itself.
    pub key: ExecutionKey,
    /// The replica to call.
    pub replica: ReplicaTag,
    /// Whether no other replica can be tried after this attempt; only such an attempt is accepted
    /// by the owner of an ejected replica.
    pub is_last: bool,
    /// Rank of the request.
    pub rank: Rank,
    /// Time left until the deadline, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// Request body.
    pub body: Bytes,
}

/// The outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream ran the attempt.
    Ran(Execution),
    /// The attempt ended without a result and is not started later.
    Failed {
        /// What is known about whether the upstream ran the attempt.
        verdict: Verdict,
        /// Why the attempt failed.
        reason: FailReason,
    },
}

/// A message between daemons, or between threads of one daemon, about non-idempotent requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecuteMessage {
    /// Entry to holder: a request to run, unless its key was used before.
    Submit(Submit),
    /// Holder to entry: the answer to a request.
    Answered {
        /// Request being answered.
        request: RequestId,
        /// Key of the request.
        key: KeyId,
        /// Result or refusal.
        answer: Answer,
    },
    /// Holder to owner: make an attempt at a replica.
    Run(Run),
    /// Owner to holder: the outcome of an attempt; resent until acknowledged.
    AttemptEnded {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Replica of the attempt.
        replica: ReplicaTag,
        /// Outcome of the attempt.
        outcome: Outcome,
    },
    /// Holder to owner: acknowledges the outcome of an attempt.
    Acknowledged {
        /// Attempt whose outcome arrived.
        attempt: AttemptId,
        /// Replica of the attempt.
        replica: ReplicaTag,
    },
}

impl ExecuteMessage {
    /// Returns the attempt of a `Run` message, or `None` for any other message.
    pub fn run_attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Run(run) => Some(run.attempt),
            _ => None,
        }
    }

    /// Returns the thread that handles the message at the receiver, which has `threads` threads.
    pub fn thread(&self, threads: usize) -> ThreadId {
        match self {
            Self::Submit(submit) => submit.key.id.thread,
            Self::Answered { request, .. } => request.thread,
            Self::Run(run) => run.replica.thread(threads),
            Self::AttemptEnded { attempt, .. } => attempt.thread,
            Self::Acknowledged { replica, .. } => replica.thread(threads),
        }
    }
}
