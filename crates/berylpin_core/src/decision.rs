//! Routing, placement and membership decisions, reported for logs and metrics.

use crate::control::MemberState;
use crate::execute::{self, KeyId};
use crate::ids::{MemberTag, QueryTag, ReplicaTag, Snapshot};
use crate::message::FailReason;
use crate::query;
use crate::rank::Rank;
use crate::verdict::Verdict;
use std::fmt;
use std::time::Duration;

/// A decision; the shell turns each one into a log line and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A query was pinned to a snapshot.
    Pinned {
        /// The query.
        query: QueryTag,
        /// Its rank.
        rank: Rank,
        /// The chosen snapshot.
        snapshot: Snapshot,
        /// The number of shards of the query.
        shards: u32,
        /// The number of shards known to serve the snapshot.
        serving: u32,
    },
    /// A sub-query was routed to a replica.
    Routed {
        /// The query.
        query: QueryTag,
        /// The chosen replica.
        replica: ReplicaTag,
        /// Why the attempt was made.
        cause: AttemptCause,
    },
    /// An owner dequeued a sub-query and started the call to the upstream.
    Started {
        /// The query.
        query: QueryTag,
        /// The replica.
        replica: ReplicaTag,
    },
    /// An owner refused a sub-query.
    Refused {
        /// The query.
        query: QueryTag,
        /// The replica.
        replica: ReplicaTag,
        /// The reason.
        reason: FailReason,
    },
    /// The membership state of a daemon changed.
    Member {
        /// The daemon.
        member: MemberTag,
        /// Its new state.
        state: MemberState,
        /// The incarnation that the state belongs to.
        incarnation: u64,
    },
    /// Replicas were reassigned to owners.
    Placed {
        /// The epoch of the view.
        epoch: u64,
        /// The number of replicas whose owner changed.
        moved: u32,
    },
    /// All documents up to a revision are in force.
    InForce {
        /// The store revision.
        revision: u64,
    },
    /// This daemon started or stopped watching the platform for changes.
    Watching {
        /// Whether it is watching now.
        watching: bool,
    },
    /// The process was suspended; the deadlines of probes and suspicions were postponed.
    Resumed {
        /// How late the timers fired.
        late: Duration,
    },
    /// A call made no progress, and its connection was replaced.
    Stalled {
        /// The query.
        query: QueryTag,
        /// The replica.
        replica: ReplicaTag,
    },
    /// An owner changed the shed level of a replica.
    ShedLevel {
        /// The replica.
        replica: ReplicaTag,
        /// The rank.
        rank: Rank,
        /// The new shed level: queries whose `QueryTag::level` is at or above it are refused.
        level: u16,
    },
    /// A replica was ejected after failed calls, executions or probes.
    Ejected {
        /// The replica.
        replica: ReplicaTag,
    },
    /// A replica that was ejected or drained accepts work again.
    Returned {
        /// The replica.
        replica: ReplicaTag,
    },
    /// A replica announced that it is draining and receives no new work.
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
        /// The reason.
        reason: query::RefusalReason,
    },
    /// A query was restarted because a shard no longer serves its snapshot.
    Restarted {
        /// The query.
        query: QueryTag,
        /// The snapshot of the first run.
        from: Snapshot,
    },
    /// A non-idempotent request was routed to the holder of its key.
    KeyRouted {
        /// The key.
        key: KeyId,
        /// The daemon that issued the key.
        holder: MemberTag,
    },
    /// An execution was routed to a replica.
    ExecutionRouted {
        /// The key.
        key: KeyId,
        /// The chosen replica.
        replica: ReplicaTag,
        /// The number of this attempt for the key, from 1.
        attempt: u32,
    },
    /// An owner started an execution.
    ExecutionStarted {
        /// The key.
        key: KeyId,
        /// The replica.
        replica: ReplicaTag,
    },
    /// A non-idempotent request ended without a result.
    ExecutionRefused {
        /// The key.
        key: KeyId,
        /// What is known about whether the request ran.
        verdict: Verdict,
        /// The reason.
        reason: execute::RefusalReason,
    },
}

impl Decision {
    /// Returns the query that the decision concerns, if any.
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
    /// The first attempt at the shard.
    First,
    /// An earlier attempt failed.
    Retry,
    /// An earlier attempt is slow.
    Hedge,
    /// The owner of an earlier attempt was lost or replaced, or an earlier attempt did not run
    /// because it was sent to the wrong daemon or replica.
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
