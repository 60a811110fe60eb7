//! The HTTP bodies of non-idempotent requests, in JSON.
//!
//! A caller requests idempotency keys by `POST /v1/keys` and sends each request with a different
//! key by `POST /v1/execute`, both to any daemon. A refusal has a
//! [`RefusalBody`](crate::caller::RefusalBody) with a verdict about the key. After `not_run`, the
//! key never runs, and the caller may send the request with a new key. After `may_have_run`, the
//! caller may send the same request with the same key again to learn its outcome.

use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/keys`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeysBody {
    /// The number of requested keys.
    pub count: u32,
}

/// Body of the response with status 200 to a request for keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyList {
    /// The idempotency keys, each for one request.
    pub keys: Vec<String>,
    /// How long the keys are valid, in milliseconds.
    pub valid_ms: u64,
}

/// Body of `POST /v1/execute`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteBody {
    /// The idempotency key.
    pub key: String,
    /// The name of the service.
    pub service: String,
    /// The name of the shard; optional for a service with one shard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<String>,
    /// The rank of the request.
    pub rank: Rank,
    /// The time until the deadline, in milliseconds; the target latency of the rank if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The request body that is sent to the upstream.
    pub request: String,
}

/// Body of the response with status 200 to an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedBody {
    /// Always `ran`.
    pub verdict: Verdict,
    /// The result that the upstream returned; the same for every request with the key.
    pub result: String,
    /// The name of the shard that ran the request.
    pub shard: String,
    /// The id of the replica that ran the request, in 16 hexadecimal digits.
    pub replica: String,
}
