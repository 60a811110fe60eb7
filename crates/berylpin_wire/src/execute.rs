//! The HTTP bodies of non-idempotent requests, in JSON.
//!
//! A caller gets keys by `POST /v1/keys` at any daemon and sends each request with a key of its own
//! by `POST /v1/execute` at any daemon. A refusal has a [`RefusalBody`](crate::caller::RefusalBody),
//! whose verdict is about the key: after `not_run` the key never runs, and the request may go out
//! with a new one; after `may_have_run` the same request with the same key asks again.

use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/keys`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeysBody {
    /// How many keys are wanted.
    pub count: u32,
}

/// Body of a status 200 to a request for keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyList {
    /// The keys; each serves one request.
    pub keys: Vec<String>,
    /// How long they are valid, in milliseconds.
    pub valid_ms: u64,
}

/// Body of `POST /v1/execute`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteBody {
    /// The key.
    pub key: String,
    /// The service.
    pub service: String,
    /// The shard; not needed for a service with only one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<String>,
    /// How urgent it is.
    pub rank: Rank,
    /// How long the caller waits, in milliseconds; the target of the rank if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// What is to run.
    pub request: String,
}

/// Body of a status 200 to an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedBody {
    /// Always `ran`.
    pub verdict: Verdict,
    /// What the upstream returned; the same for every request with the key.
    pub result: String,
    /// The shard that ran it.
    pub shard: String,
    /// The replica that ran it.
    pub replica: String,
}
