//! The answer or refusal that a caller receives.

use crate::ids::{ShardId, Snapshot};
use crate::message::{FailReason, Row};
use crate::verdict::Verdict;
use std::fmt;
use std::time::Duration;

/// The rows of one snapshot, with the shards that they cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The snapshot that every row comes from.
    pub snapshot: Snapshot,
    /// Sorted by key; no more rows than the limit of the request.
    pub rows: Vec<Row>,
    /// Which shards the rows come from.
    pub coverage: Coverage,
}

/// Which shards an answer covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The number of shards of the target.
    pub asked: u32,
    /// The number of shards whose rows are included; `asked` less the missing ones.
    pub answered: u32,
    /// The shards whose rows are not included.
    pub missing: Vec<Missing>,
}

/// A shard without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
    /// The shard.
    pub shard: ShardId,
    /// Why the shard has no result, such as the failure of the last attempt.
    pub reason: FailReason,
}

/// The refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What is known about whether any upstream ran a sub-query of the request.
    pub verdict: Verdict,
    /// The reason.
    pub reason: RefusalReason,
    /// The time after which another request may succeed; `None` if waiting does not help.
    pub retry_after: Option<Duration>,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// No document defines the service or group.
    UnknownTarget,
    /// The load of this rank is too high to answer in time.
    Overloaded,
    /// The deadline passed without enough coverage.
    Deadline,
    /// No snapshot is known that any shard serves.
    NoSnapshot,
    /// No shard answered, or fewer shards of a service than its minimum coverage requires.
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
