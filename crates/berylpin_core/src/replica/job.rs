//! A sub-query that its owner has accepted.

use super::queue::QueuedJob;
use crate::ids::{MemberId, QueryTag, ReplicaId, Snapshot};
use crate::message::AttemptId;
use crate::rank::Rank;
use bytes::Bytes;
use std::time::Instant;

/// Identifies an attempt across entries; an `AttemptId` alone is unique only within its entry.
pub(super) type JobId = (MemberId, AttemptId);

/// A sub-query that is queued or in flight.
#[derive(Debug)]
pub(super) struct Job {
    /// The attempt, and the entry that receives the reply.
    pub(super) id: JobId,
    pub(super) query: QueryTag,
    pub(super) replica: ReplicaId,
    pub(super) rank: Rank,
    pub(super) snapshot: Snapshot,
    pub(super) body: Bytes,
    /// The position in the queue while `call` is `None`.
    pub(super) queued: QueuedJob,
    /// The call to the upstream, once started.
    pub(super) call: Option<RunningCall>,
}

/// A call in flight, which occupies a slot until the end even if the reply is no longer wanted.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningCall {
    pub(super) started: Instant,
    /// The request id sent to the upstream.
    pub(super) request: QueryTag,
    /// Whether the entry still waits for the reply.
    pub(super) reply_wanted: bool,
    /// Whether the call was aborted because of the stall timeout.
    pub(super) stalled: bool,
}
