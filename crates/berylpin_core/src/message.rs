//! Messages between the entry of a query and the owners of replicas.
//!
//! A message to another thread and one to another daemon are the same; only the shell knows which
//! of them needs encoding.

use crate::arena::SlabKey;
use crate::ids::{QueryTag, ReplicaTag, Snapshot, ThreadId};
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use std::fmt;
use std::time::Duration;

/// Names one attempt at one shard; unique within the entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The traffic thread that runs the query.
    pub thread: ThreadId,
    /// The query on that thread.
    pub query: SlabKey,
    /// The tag of the query; an entry that was restarted reuses the other keys, but not this one.
    pub tag: QueryTag,
    /// The position of the shard within the query.
    pub position: u32,
    /// Counts the attempts at this shard from 0.
    pub ordinal: u8,
}

/// All sub-queries of one query that go to one owner at one moment.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The query; its shed level is drawn from this tag.
    pub query: QueryTag,
    /// The rank of the query.
    pub rank: Rank,
    /// Time left until the deadline of the query, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub time_left: Duration,
    /// The snapshot that every sub-query is pinned to.
    pub snapshot: Snapshot,
    /// What the caller asks of each shard.
    pub body: Bytes,
    /// The sub-queries; never empty.
    pub parts: Vec<SubQuery>,
}

/// One sub-query of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQuery {
    /// Echoed by the reply.
    pub attempt: AttemptId,
    /// The replica to ask.
    pub replica: ReplicaTag,
}

/// A row of a result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// Rows of an answer are ordered by key.
    pub key: String,
    /// What the shard holds under the key.
    pub value: String,
}

/// The reply to one part of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQueryReply {
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// The replica that was asked.
    pub replica: ReplicaTag,
    /// What came of it.
    pub outcome: Outcome,
    /// The state of the replica as its owner sees it.
    pub hint: Hint,
}

/// What came of a sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The replica answered from the given snapshot.
    Rows {
        /// The snapshot that the rows come from.
        snapshot: Snapshot,
        /// The rows of this shard.
        rows: Vec<Row>,
    },
    /// There is no result.
    Failed {
        /// Whether the replica may have run the sub-query.
        verdict: Verdict,
        /// Why there is none.
        reason: FailReason,
    },
}

/// Why a sub-query has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailReason {
    /// The upstream or its owner sheds load.
    Overloaded,
    /// The replica is leaving.
    Draining,
    /// The replica does not serve the snapshot.
    SnapshotGone,
    /// The deadline passed.
    Deadline,
    /// The connection failed or made no progress.
    Connection,
    /// The reply was malformed, of another attempt or of another snapshot.
    BadReply,
    /// The upstream answered with an error status.
    UpstreamError,
    /// The daemon that was asked does not own the replica.
    NotOwner,
    /// The entry cancelled the sub-query.
    Cancelled,
    /// No live owner or no usable replica is known.
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

/// The state of a replica as its owner sees it.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The snapshots that the replica serves; `None` until the owner knows.
    pub snapshots: Option<SnapshotRange>,
    /// How long a new urgent sub-query would wait for a slot, in microseconds on the wire.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub queue_delay: Duration,
    /// How long calls took lately, in microseconds on the wire; shrinks while there are none.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub service_time: Duration,
    /// Levels at or above this one are refused, for each rank; see [`QueryTag::level`].
    pub shed_above: [u16; Rank::COUNT],
    /// Whether the replica takes new work.
    pub usable: bool,
    /// Whether its calls failed, so that it is worth asking only where there is no other.
    pub ejected: bool,
}

/// The snapshots that a replica serves, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRange {
    /// The oldest snapshot served.
    pub oldest: Snapshot,
    /// The newest snapshot served; never below `oldest`.
    pub newest: Snapshot,
}

impl SnapshotRange {
    /// Returns whether the range holds the snapshot.
    pub fn contains(self, snapshot: Snapshot) -> bool {
        (self.oldest..=self.newest).contains(&snapshot)
    }
}

impl QueryTag {
    /// How many shed levels there are.
    pub const LEVELS: u16 = 1000;

    /// Returns the shed level of the query; all owners draw the same one.
    pub fn level(self) -> u16 {
        (self.0 % u64::from(Self::LEVELS)) as u16
    }
}

/// What daemons and threads send each other about queries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryMessage {
    /// Entry to owner: run these sub-queries.
    Batch(Batch),
    /// Entry to owner: the results of these attempts are not needed any more.
    Cancel(Vec<SubQuery>),
    /// Entry to owner: what is the state of these replicas? `thread` gets the reply.
    Inquire {
        /// The thread that asks.
        thread: ThreadId,
        /// The replicas asked about.
        replicas: Vec<ReplicaTag>,
    },
    /// Owner to entry: the result of one sub-query.
    Reply(SubQueryReply),
    /// Owner to entry: the state of replicas, as inquired.
    Hints {
        /// The thread that asked.
        thread: ThreadId,
        /// The state of each replica that the sender owns.
        hints: Vec<(ReplicaTag, Hint)>,
    },
}
