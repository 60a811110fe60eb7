//! Messages about non-idempotent requests.

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

/// Names one request of a caller at the daemon that it arrived at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The thread that waits for the answer.
    pub thread: ThreadId,
    /// The pending request on that thread.
    pub slab_key: SlabKey,
    /// Random, so that an answer to an earlier process of the daemon matches nothing.
    pub nonce: u64,
}

/// Names one attempt at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The incarnation of the holder.
    pub incarnation: u64,
    /// The holder's thread.
    pub thread: ThreadId,
    /// The record of the key in the holder's table.
    pub slab_key: SlabKey,
    /// Counts the attempts of the holder's thread.
    pub number: u64,
}

/// A request with its key; sending it again is harmless.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Echoed by the answer.
    pub request: RequestId,
    /// The key, whose holder gets this message.
    pub key: ExecutionKey,
    /// The service.
    pub service: String,
    /// The shard; not needed for a service with only one.
    pub shard: Option<String>,
    /// How urgent it is.
    pub rank: Rank,
    /// Time left until the deadline, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// What is to run.
    pub body: Bytes,
}

/// One attempt at one replica; the holder sends it only once.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Echoed by the outcome.
    pub attempt: AttemptId,
    /// Passed on to the upstream, for its own record.
    pub key: ExecutionKey,
    /// The replica to call.
    pub replica: ReplicaTag,
    /// Whether no other replica is left to try; else an ejected replica refuses.
    pub last_choice: bool,
    /// How urgent it is.
    pub rank: Rank,
    /// Time left until the deadline, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// What is to run.
    pub body: Bytes,
}

/// What came of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream ran it.
    Ran(Execution),
    /// There is no result; the attempt does not start any more.
    Failed {
        /// Whether the upstream may have run it.
        verdict: Verdict,
        /// Why there is none.
        reason: FailReason,
    },
}

/// What daemons and threads send each other about non-idempotent requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecuteMessage {
    /// Entry to holder: run this, unless it ran.
    Submit(Submit),
    /// Holder to entry: what came of a request.
    Answered {
        /// The request.
        request: RequestId,
        /// Its key.
        key: KeyId,
        /// What came of it.
        answer: Answer,
    },
    /// Holder to owner: run this.
    Run(Run),
    /// Owner to holder: what came of an attempt; sent again until acknowledged.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// The replica.
        replica: ReplicaTag,
        /// What came of it.
        outcome: Outcome,
    },
    /// Holder to owner: the outcome arrived.
    Acknowledged {
        /// The attempt.
        attempt: AttemptId,
        /// The replica.
        replica: ReplicaTag,
    },
}

impl ExecuteMessage {
    /// Returns the attempt that the message asks an owner to make.
    pub fn run_attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Run(run) => Some(run.attempt),
            _ => None,
        }
    }

    /// Returns the thread, of `threads`, that handles the message at its receiver.
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
