//! The HTTP bodies of callers, in JSON.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::{FailReason, Row};
use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/query`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryBody {
    /// A service or a group.
    pub target: String,
    /// How urgent the query is.
    pub rank: Rank,
    /// How long the caller waits, in milliseconds; the target of the rank if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The most rows wanted; 100 if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
    /// What is asked of each shard.
    pub lookup: String,
}

/// Body of a status 200 to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Whether every shard of the target answered.
    pub complete: bool,
    /// The snapshot that every row comes from.
    pub snapshot: Snapshot,
    /// Which shards the rows come from.
    pub coverage: CoverageBody,
    /// Sorted by key.
    pub rows: Vec<Row>,
}

/// Which shards an answer covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoverageBody {
    /// Shards of the target.
    pub asked: u32,
    /// Shards whose rows are merged.
    pub answered: u32,
    /// The other shards.
    pub missing: Vec<MissingBody>,
}

/// A shard without a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingBody {
    /// The service.
    pub service: String,
    /// The shard.
    pub shard: String,
    /// Why there is no result.
    pub reason: FailReason,
}

/// Body of any other status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Whether any upstream may have run a part of the request.
    pub verdict: Verdict,
    /// A short name of the reason.
    pub reason: String,
    /// What is wrong, for people.
    pub message: String,
}
