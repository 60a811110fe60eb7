//! Messages between the entry of a query and the owners of replicas.
//!
//! Threads and daemons exchange the same messages; the shell encodes those that leave the process.

use crate::arena::SlabKey;
use crate::ids::{QueryTag, ReplicaTag, Snapshot, ThreadId};
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::fmt;
use std::time::Duration;

/// Identifies one attempt at one shard; unique within the entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The traffic thread of the entry that runs the query.
    pub thread: ThreadId,
    /// The key of the query on that thread.
    pub query: SlabKey,
    /// The tag of the query; a restarted daemon reuses the other fields' values, but not this one.
    pub tag: QueryTag,
    /// The position of the shard among the shards of the query.
    pub position: u32,
    /// The number of this attempt at the shard, from 0.
    pub ordinal: u8,
}

/// Sub-queries of one query that its entry sends to one owner at the same time.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The tag of the query; [`QueryTag::level`] is compared with the shed levels of a replica.
    pub query: QueryTag,
    /// The rank of the query.
    pub rank: Rank,
    /// The time left until the deadline of the query, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// The snapshot that every sub-query is pinned to.
    pub snapshot: Snapshot,
    /// The request body, the same for every shard.
    pub body: Bytes,
    /// The sub-queries; not empty.
    pub sub_queries: Vec<SubQuery>,
}

/// One sub-query of a batch: one attempt at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQuery {
    /// The attempt; echoed in the reply.
    pub attempt: AttemptId,
    /// The replica that the sub-query is sent to.
    pub replica: ReplicaTag,
}

/// A row of a result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The key; rows of an answer are sorted by it.
    pub key: String,
    /// The value that the shard stores under the key.
    pub value: String,
}

/// The reply to one sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQueryReply {
    /// The attempt that this is the reply to.
    pub attempt: AttemptId,
    /// The replica that the sub-query was sent to.
    pub replica: ReplicaTag,
    /// The outcome.
    pub outcome: Outcome,
    /// The state of the replica as its owner sees it.
    pub hint: Hint,
}

/// The outcome of a sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The replica returned rows.
    Rows {
        /// The snapshot that the rows come from.
        snapshot: Snapshot,
        /// The rows of the shard.
        rows: Vec<Row>,
    },
    /// The sub-query has no result.
    Failed {
        /// What is known about whether the replica ran the sub-query.
        verdict: Verdict,
        /// The reason.
        reason: FailReason,
    },
}

/// Why a sub-query has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailReason {
    /// The upstream or its owner shed the sub-query.
    Overloaded,
    /// The replica is draining.
    Draining,
    /// The replica does not serve the snapshot.
    SnapshotGone,
    /// The deadline passed or could not be met.
    Deadline,
    /// The connection failed or made no progress.
    Connection,
    /// The reply was malformed, or belongs to another attempt or snapshot.
    BadReply,
    /// The upstream answered with an error status.
    UpstreamError,
    /// The receiving daemon does not own the replica.
    NotOwner,
    /// The entry cancelled the sub-query.
    Cancelled,
    /// No replica of the shard has an owner in the view, no usable replica was found for an
    /// execution, the message to the owner was not delivered, or the owner ejected the replica.
    Unreachable,
}

impl FailReason {
    /// Returns the name used in answers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::SnapshotGone => "snapshot_gone",
            Self::Deadline => "deadline",
            Self::Connection => "connection",
            Self::BadReply => "bad_reply",
            Self::UpstreamError => "upstream_error",
            Self::NotOwner => "not_owner",
            Self::Cancelled => "cancelled",
            Self::Unreachable => "unreachable",
        }
    }
}

impl fmt::Display for FailReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The state of a replica, sent by its owner so that entries can choose between replicas: the
/// snapshots it serves, its load and shed levels, and whether it may be used.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The snapshots that queries may be pinned to at the replica; `None` while the owner knows of
    /// none.
    pub snapshots: Option<SnapshotRange>,
    /// The time that a new urgent sub-query would wait for a slot, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub queue_delay: Duration,
    /// The recent mean duration of calls, in microseconds on the wire; decays while there are none.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub service_time: Duration,
    /// For each rank, the level from which queries are refused; see [`QueryTag::level`].
    pub shed_from: [u16; Rank::COUNT],
    /// Whether the replica accepts new work.
    pub usable: bool,
    /// Whether the replica is ejected after failures and should be used only if the shard has no
    /// other.
    pub ejected: bool,
}

/// The inclusive range of snapshots that a replica serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRange {
    /// The oldest snapshot.
    pub oldest: Snapshot,
    /// The newest snapshot; never below `oldest`.
    pub newest: Snapshot,
}

impl SnapshotRange {
    /// Returns whether the range contains the snapshot.
    pub fn contains(self, snapshot: Snapshot) -> bool {
        (self.oldest..=self.newest).contains(&snapshot)
    }
}

impl QueryTag {
    /// The number of values of [`QueryTag::level`]; a shed level of this value refuses no query.
    pub const LEVELS: u16 = 1000;

    /// Returns the position of the query in the order of shedding, from 0 to `LEVELS` - 1.
    ///
    /// A replica refuses queries whose position is at or above its shed level for their rank. The
    /// position depends on the tag alone, so all owners shed the same queries.
    pub fn level(self) -> u16 {
        (self.0 % u64::from(Self::LEVELS)) as u16
    }
}

/// A message about queries between daemons or threads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryMessage {
    /// Entry to owner: sub-queries to run.
    Batch(Batch),
    /// Entry to owner: sub-queries to cancel, because their results are no longer needed.
    Cancel(Vec<SubQuery>),
    /// Entry to owner: a request for the hints of replicas.
    RequestHints {
        /// The requesting thread of the entry.
        thread: ThreadId,
        /// The replicas whose hints are requested.
        replicas: Vec<ReplicaTag>,
    },
    /// Owner to entry: the reply to one sub-query.
    Reply(SubQueryReply),
    /// Owner to entry: the reply to `RequestHints`.
    Hints {
        /// The requesting thread of the entry.
        thread: ThreadId,
        /// The hints of those requested replicas that the sender owns.
        hints: Vec<(ReplicaTag, Hint)>,
    },
}
