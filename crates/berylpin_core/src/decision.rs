//! Routing and placement decisions, for the log.

use crate::control::MemberState;
use crate::execute::{self, KeyId};
use crate::ids::{MemberTag, QueryTag, ReplicaTag, Snapshot};
use crate::message::FailReason;
use crate::query;
use crate::rank::Rank;
use crate::verdict::Verdict;
use std::fmt;
use std::time::Duration;

/// One decision; the shell writes a log line for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A query was pinned to a snapshot.
    Pinned {
        /// The query.
        query: QueryTag,
        /// Its rank.
        rank: Rank,
        /// The snapshot chosen.
        snapshot: Snapshot,
        /// Shards of the query.
        shards: u32,
        /// Shards known to serve the snapshot.
        serving: u32,
    },
    /// A sub-query was routed to a replica.
    Routed {
        /// The query.
        query: QueryTag,
        /// The replica chosen.
        replica: ReplicaTag,
        /// Why there is an attempt at all.
        cause: AttemptCause,
    },
    /// An owner took a sub-query from its queue and started it.
    Started {
        /// The query.
        query: QueryTag,
        /// The replica.
        replica: ReplicaTag,
    },
    /// A sub-query was refused.
    Refused {
        /// The query.
        query: QueryTag,
        /// The replica.
        replica: ReplicaTag,
        /// Why.
        reason: FailReason,
    },
    /// The state of a daemon changed.
    Member {
        /// The daemon.
        member: MemberTag,
        /// Its new state.
        state: MemberState,
        /// The incarnation that the state belongs to.
        incarnation: u64,
    },
    /// Replicas were placed anew.
    Placed {
        /// The epoch of the view.
        epoch: u64,
        /// Replicas whose owner changed.
        moved: u32,
    },
    /// All documents up to a revision are in force.
    InForce {
        /// The revision of the store.
        revision: u64,
    },
    /// This daemon starts or stops watching the platform.
    Watching {
        /// Whether it watches from now on.
        watching: bool,
    },
    /// This process did not run for a while; its deadlines moved.
    Resumed {
        /// How late its timers were.
        late: Duration,
    },
    /// A call made no progress and its connection was replaced.
    Stalled {
        /// The query.
        query: QueryTag,
        /// The replica.
        replica: ReplicaTag,
    },
    /// An owner changed which queries a replica sheds.
    ShedLevel {
        /// The replica.
        replica: ReplicaTag,
        /// The rank.
        rank: Rank,
        /// Queries at or above this level are refused.
        level: u16,
    },
    /// A replica was ejected because its calls failed.
    Ejected {
        /// The replica.
        replica: ReplicaTag,
    },
    /// A replica that was ejected or drained takes work again.
    Returned {
        /// The replica.
        replica: ReplicaTag,
    },
    /// A replica said that it is leaving and gets nothing new.
    Drained {
        /// The replica.
        replica: ReplicaTag,
    },
    /// A query was refused before any sub-query was sent.
    Rejected {
        /// The query.
        query: QueryTag,
        /// Its rank.
        rank: Rank,
        /// Why.
        reason: query::RefusalReason,
    },
    /// A query starts again, as its snapshot is not served any more.
    Restarted {
        /// The query.
        query: QueryTag,
        /// The snapshot that is given up.
        from: Snapshot,
    },
    /// A non-idempotent request was routed to the holder of its key.
    KeyRouted {
        /// The key.
        key: KeyId,
        /// The daemon that issued it.
        holder: MemberTag,
    },
    /// An execution was routed to a replica.
    ExecutionRouted {
        /// The key.
        key: KeyId,
        /// The replica chosen.
        replica: ReplicaTag,
        /// Counts the attempts of this key from 1.
        attempt: u32,
    },
    /// An owner started an execution.
    ExecutionStarted {
        /// The key.
        key: KeyId,
        /// The replica.
        replica: ReplicaTag,
    },
    /// A non-idempotent request got no result.
    ExecutionRefused {
        /// The key.
        key: KeyId,
        /// Whether the key ran.
        verdict: Verdict,
        /// Why.
        reason: execute::RefusalReason,
    },
}

impl Decision {
    /// Returns the query that the decision belongs to, if there is one.
    pub fn query(&self) -> Option<QueryTag> {
        match self {
            Self::Pinned { query, .. }
            | Self::Routed { query, .. }
            | Self::Started { query, .. }
            | Self::Refused { query, .. }
            | Self::Stalled { query, .. }
            | Self::Rejected { query, .. }
            | Self::Restarted { query, .. } => Some(*query),
            Self::ShedLevel { .. }
            | Self::Ejected { .. }
            | Self::Returned { .. }
            | Self::Drained { .. }
            | Self::Member { .. }
            | Self::Placed { .. }
            | Self::InForce { .. }
            | Self::Watching { .. }
            | Self::Resumed { .. }
            | Self::KeyRouted { .. }
            | Self::ExecutionRouted { .. }
            | Self::ExecutionStarted { .. }
            | Self::ExecutionRefused { .. } => None,
        }
    }
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// The first attempt at a shard.
    First,
    /// The earlier attempt failed.
    Retry,
    /// The earlier attempt is slow.
    Hedge,
    /// The owner of the earlier attempt was lost or changed.
    Reroute,
}

impl AttemptCause {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Reroute => "reroute",
        }
    }
}

impl fmt::Display for AttemptCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
