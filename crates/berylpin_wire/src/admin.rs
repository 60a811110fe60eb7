//! The HTTP bodies of the administration API, in JSON.
//!
//! Every path below `/v1` requires `Authorization: Bearer TOKEN`. `PUT` and `DELETE` of a document
//! carry its base version in `If-Match`, or `If-None-Match: *` for a new document. The header
//! [`EDITOR`] names the author of a change.
//!
//! | Request | Status 200 | Other statuses |
//! | --- | --- | --- |
//! | `GET /v1/documents` | [`DocumentList`] | |
//! | `GET /v1/documents/{name}` | [`Document`] | 404 |
//! | `PUT /v1/documents/{name}`, TOML body | [`Accepted`] | 412 [`Conflict`], 422 [`Rejected`], 503 [`NotStored`] |
//! | `DELETE /v1/documents/{name}` | [`Accepted`] | 404, 412 [`Conflict`], 503 [`NotStored`] |
//! | `POST /v1/check`, TOML body | [`Rejected`] without problems | 422 [`Rejected`] |
//! | `GET /v1/revision/{revision}` | [`InForce`] | |
//! | `POST /v1/drain` [`DrainBody`] | [`Accepted`] | 404, 412, 503 |
//! | `GET /v1/members` | [`MemberList`] | |
//! | `GET /v1/routing/{target}` | [`Routing`] | 404 |
//! | `PUT /v1/log` [`LogLevelBody`] | empty | 422 |
//! | `PUT /v1/log/sample` [`LogSampleBody`] | empty | |
//!
//! The body of any other error is a [`Problem`].

use berylpin_core::ids::Snapshot;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Header: the author of a change.
pub const EDITOR: &str = "x-editor";

/// A service document with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The name of the service.
    pub name: String,
    /// The version, which is the base version of the next change; increases with every change.
    pub version: u64,
    /// The author of the last change.
    pub editor: String,
    /// The TOML text.
    pub text: String,
}

/// All documents, without their texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentList {
    /// The revision in force at this daemon.
    pub revision: u64,
    /// Sorted by name.
    pub documents: Vec<DocumentSummary>,
}

/// A document without its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentSummary {
    /// The name of the service.
    pub name: String,
    /// The group of the service.
    pub group: String,
    /// The version of the document.
    pub version: u64,
    /// The author of the last change.
    pub editor: String,
    /// The number of shards of the service.
    pub shards: u32,
}

/// The response to a change that was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The name of the service.
    pub name: String,
    /// The new version of the document, which is also the revision from which the change is in
    /// force.
    pub version: u64,
}

/// The response to a change whose base version is not the stored one; nothing was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The stored document; `None` if it does not exist.
    pub current: Option<Document>,
}

/// The result of the validation of a document; a change with problems was not stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// The problems; empty for a valid document.
    pub problems: Vec<DocumentProblem>,
}

/// A problem of an invalid document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentProblem {
    /// The line number, from 1; `None` if the problem does not belong to a single line.
    pub line: Option<u32>,
    /// The key, with its path; empty for a syntax error.
    pub key: String,
    /// A description of the problem and of the allowed values.
    pub problem: String,
}

/// The response to a change that the platform did not confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStored {
    /// Whether the change may have been stored nevertheless.
    pub may_be_stored: bool,
    /// Advice to the operator.
    pub message: String,
}

/// Which daemons have a revision, or a later one, in force; dead daemons are not listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The revision.
    pub revision: u64,
    /// The names of the daemons that have the revision, or a later one, in force.
    pub in_force: Vec<String>,
    /// The names of the daemons that have an earlier revision or have not reported theirs.
    pub behind: Vec<String>,
}

/// Body of `POST /v1/drain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// The name of the service.
    pub service: String,
    /// The address of the replica.
    pub address: SocketAddr,
    /// Whether to drain the replica; `false` ends a drain.
    pub drain: bool,
}

/// The daemons that this daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Sorted by name.
    pub members: Vec<MemberBody>,
}

/// A daemon in the membership of the answering daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// The name of its VM.
    pub name: String,
    /// The data centre of its VM.
    pub data_centre: String,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// The revision that the daemon last reported to be in force.
    pub revision: u64,
    /// The number of replicas that the daemon owns.
    pub owned_replicas: u32,
}

/// The replicas to which queries to a target are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// The replicas of every shard.
    pub replicas: Vec<RoutedReplica>,
}

/// A replica in the view of the answering daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedReplica {
    /// The name of the service.
    pub service: String,
    /// The name of the shard.
    pub shard: String,
    /// The address of the replica.
    pub address: SocketAddr,
    /// The data centre of the replica.
    pub data_centre: String,
    /// The name of the owner; `None` if no daemon owns the replica.
    pub owner: Option<String>,
    /// Whether the replica is drained by its document.
    pub drain: bool,
    /// The newest snapshot that the replica serves; `None` if unknown.
    pub newest_snapshot: Option<Snapshot>,
}

/// Body of `PUT /v1/log`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelBody {
    /// The part of the daemon, as in the prefix of its log lines.
    pub part: String,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

/// Body of `PUT /v1/log/sample`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSampleBody {
    /// The decisions of one in this many queries are logged; 0 has the same effect as 1.
    pub queries: u32,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A human-readable description of the error, with advice.
    pub message: String,
}
