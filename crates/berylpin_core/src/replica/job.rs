//! A sub-query at its owner.

use super::queue::QueuedJob;
use crate::ids::{MemberId, QueryTag, ReplicaId, Snapshot};
use crate::message::AttemptId;
use crate::rank::Rank;
use bytes::Bytes;
use std::time::Instant;

/// Names an attempt among those of all entries; attempts are unique within one entry only.
pub(super) type JobId = (MemberId, AttemptId);

/// A sub-query that waits or runs.
#[derive(Debug)]
pub(super) struct Job {
    /// Names the sub-query and the entry that gets the reply.
    pub(super) id: JobId,
    pub(super) query: QueryTag,
    pub(super) replica: ReplicaId,
    pub(super) rank: Rank,
    pub(super) snapshot: Snapshot,
    pub(super) body: Bytes,
    /// Its place in the queue while `call` is `None`.
    pub(super) queued: QueuedJob,
    /// The call to the upstream, once it started.
    pub(super) call: Option<RunningCall>,
}

/// A call in progress; its slot is taken until it ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningCall {
    pub(super) started: Instant,
    /// The request id that the upstream was given.
    pub(super) request: QueryTag,
    /// Whether the entry still waits for the reply.
    pub(super) reply_wanted: bool,
    /// Whether it made no progress for too long and was given up.
    pub(super) stalled: bool,
}
