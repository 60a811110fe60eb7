//! The HTTP protocol of upstreams.
//!
//! - `POST /v1/{service}/{shard}/lookup` runs a sub-query. Its body is that of the caller's query;
//!   the headers below carry the other parameters.
//! - `POST /v1/{service}/{shard}/execute` runs a non-idempotent request.
//! - `GET /v1/{service}/{shard}/snapshots` returns the range of snapshots that a replica serves. A
//!   draining replica sets [`DRAINING`] in the response.
//! - `DELETE /v1/requests/{id}` cancels a request.
//!
//! Status 200 has a [`LookupReply`] or an [`ExecuteReply`] as its body. Status 410 means that the
//! replica no longer serves the snapshot and did not run the request. Status 503 with [`NOT_RUN`]
//! means that the replica refused the request and did not run it. After any other status, the
//! request may have run.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::{Row, SnapshotRange};
use serde::{Deserialize, Serialize};

/// Header: the request id, in 16 hexadecimal digits.
pub const REQUEST_ID: &str = "x-request-id";
/// Header: the snapshot to answer from.
pub const SNAPSHOT: &str = "x-snapshot";
/// Header: the name of the rank.
pub const RANK: &str = "x-rank";
/// Header: the time left until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Header of an execution: its idempotency key.
pub const IDEMPOTENCY_KEY: &str = "x-idempotency-key";
/// Header of a refusal: the request did not run.
pub const NOT_RUN: &str = "x-not-run";
/// Header of a refusal or of the response to a probe: the replica is draining.
pub const DRAINING: &str = "x-draining";

/// Body of the response with status 200 to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// The value of [`REQUEST_ID`] in the request.
    pub request: String,
    /// The name of the shard that answered.
    pub shard: String,
    /// The snapshot of the rows.
    pub snapshot: Snapshot,
    /// The snapshots that the replica serves.
    pub serves: SnapshotRange,
    /// The rows.
    pub rows: Vec<Row>,
}

/// Body of the response with status 200 to an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecuteReply {
    /// The value of [`REQUEST_ID`] in the request.
    pub request: String,
    /// The name of the shard that ran the request.
    pub shard: String,
    /// The result of the execution.
    pub result: String,
}
