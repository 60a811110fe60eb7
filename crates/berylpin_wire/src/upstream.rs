//! The HTTP protocol of upstreams.
//!
//! `POST /v1/{service}/{shard}/lookup` runs a sub-query: its body is what the caller asked, the
//! headers below carry the rest. `POST /v1/{service}/{shard}/execute` runs a non-idempotent request.
//! `GET /v1/{service}/{shard}/snapshots` tells what a replica serves; a replica that is leaving says
//! so there too, in a header. `DELETE /v1/requests/{id}` cancels a request.
//!
//! Status 200 carries a [`LookupReply`] or an [`ExecuteReply`], 410 says that the snapshot is gone
//! and nothing ran, and 503 with [`NOT_RUN`] is a refusal before execution. After any other status
//! the request may have run.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::{Row, SnapshotRange};
use serde::{Deserialize, Serialize};

/// Header: the request id, 16 hexadecimal digits.
pub const REQUEST_ID: &str = "x-request-id";
/// Header: the snapshot to answer from.
pub const SNAPSHOT: &str = "x-snapshot";
/// Header: the rank by name.
pub const RANK: &str = "x-rank";
/// Header: time left until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Header of an execution: its idempotency key.
pub const IDEMPOTENCY_KEY: &str = "x-idempotency-key";
/// Header of a refusal: the request was not run.
pub const NOT_RUN: &str = "x-not-run";
/// Header of a refusal or of a reply to a probe: the replica is leaving.
pub const DRAINING: &str = "x-draining";

/// Body of a status 200 to a lookup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupReply {
    /// The request id echoed.
    pub request: String,
    /// The shard echoed.
    pub shard: String,
    /// The snapshot of the rows.
    pub snapshot: Snapshot,
    /// The snapshots that the replica serves.
    pub serves: SnapshotRange,
    /// The rows.
    pub rows: Vec<Row>,
}

/// Body of a status 200 to an execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecuteReply {
    /// The request id echoed.
    pub request: String,
    /// The shard echoed.
    pub shard: String,
    /// What came of it.
    pub result: String,
}
