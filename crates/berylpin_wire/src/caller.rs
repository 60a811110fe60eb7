//! The HTTP bodies of queries from callers, in JSON.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::{FailReason, Row};
use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/query`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryBody {
    /// The name of a service or a group.
    pub target: String,
    /// The rank of the query.
    pub rank: Rank,
    /// The time until the deadline, in milliseconds; the target latency of the rank if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The maximum number of rows in the answer; 100 if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
    /// The request body that is sent to each shard.
    pub lookup: String,
}

/// Body of the response with status 200 to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Whether every shard of the target answered.
    pub complete: bool,
    /// The snapshot from which all rows were read.
    pub snapshot: Snapshot,
    /// The shards that answered and those that are missing.
    pub coverage: CoverageBody,
    /// Sorted by key.
    pub rows: Vec<Row>,
}

/// The coverage of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoverageBody {
    /// The number of shards of the target.
    pub asked: u32,
    /// The number of shards whose rows are in the answer.
    pub answered: u32,
    /// The shards whose rows are not in the answer.
    pub missing: Vec<MissingBody>,
}

/// A shard that is missing from an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingBody {
    /// The name of the service.
    pub service: String,
    /// The name of the shard.
    pub shard: String,
    /// Why the shard has no result.
    pub reason: FailReason,
}

/// Body of the response with any other status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The verdict on whether an upstream ran the request or, of a query, one of its sub-queries.
    pub verdict: Verdict,
    /// The reason as a short, machine-readable identifier.
    pub reason: String,
    /// A human-readable description of the reason.
    pub message: String,
}
