//! What a caller gets.

use crate::ids::{ShardId, Snapshot};
use crate::message::{FailReason, Row};
use crate::verdict::Verdict;
use std::fmt;
use std::time::Duration;

/// The rows of one snapshot, with a true statement of what they cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The snapshot that every row comes from.
    pub snapshot: Snapshot,
    /// Sorted by key; at most as many as the limit of the request.
    pub rows: Vec<Row>,
    /// Which shards the rows come from.
    pub coverage: Coverage,
}

/// Which shards an answer covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Shards of the target.
    pub asked: u32,
    /// Shards whose rows are merged; `asked` less the missing ones.
    pub answered: u32,
    /// The other shards.
    pub missing: Vec<Missing>,
}

/// A shard without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// The shard.
    pub shard: ShardId,
    /// Why the last attempt failed.
    pub reason: FailReason,
}

/// Why a request gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether any upstream may have run a part of it.
    pub verdict: Verdict,
    /// The reason.
    pub reason: RefusalReason,
    /// When a resend may succeed; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

/// The reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No document names the service or group.
    UnknownTarget,
    /// The rank's work cannot be done in time.
    Overloaded,
    /// The deadline passed without enough coverage.
    Deadline,
    /// No shard serves any known snapshot.
    NoSnapshot,
    /// Fewer shards answered than the service's minimum coverage.
    Coverage,
    /// The daemon has no configuration or is stopping.
    NotReady,
}

impl RefusalReason {
    /// Returns the name used in answers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnknownTarget => "unknown_target",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::NoSnapshot => "no_snapshot",
            Self::Coverage => "coverage",
            Self::NotReady => "not_ready",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
