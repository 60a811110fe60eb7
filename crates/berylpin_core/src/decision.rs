//! Routing and placement decisions, for the log.

use crate::control::MemberState;
use crate::ids::{MemberTag, QueryTag, ReplicaTag, Snapshot};
use crate::message::FailReason;
use crate::rank::Rank;
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
}

impl Decision {
    /// Returns the query that the decision belongs to, if there is one.
    pub fn query(&self) -> Option<QueryTag> {
        match self {
            Self::Pinned { query, .. }
            | Self::Routed { query, .. }
            | Self::Started { query, .. }
            | Self::Refused { query, .. }
            | Self::Stalled { query, .. } => Some(*query),
            Self::ShedLevel { .. }
            | Self::Ejected { .. }
            | Self::Returned { .. }
            | Self::Drained { .. }
            | Self::Member { .. }
            | Self::Placed { .. }
            | Self::InForce { .. }
            | Self::Watching { .. }
            | Self::Resumed { .. } => None,
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
}

impl AttemptCause {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

impl fmt::Display for AttemptCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
