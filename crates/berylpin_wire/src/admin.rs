//! The HTTP bodies of the administration API, in JSON.
//!
//! Every path below `/v1` asks for `Authorization: Bearer TOKEN`. A change names the version that
//! it is based on in `If-Match`, or `If-None-Match: *` for a new document, and who makes it in
//! [`EDITOR`].
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
//! An error without a body of its own has a [`Problem`].

use berylpin_core::ids::Snapshot;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Header: who makes a change.
pub const EDITOR: &str = "x-editor";

/// A service document with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The name of the service.
    pub name: String,
    /// What a change is based on; grows with every change.
    pub version: u64,
    /// Who made the last change.
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
    /// Who made the last change.
    pub editor: String,
    /// How many shards it has.
    pub shards: u32,
}

/// A change was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The name of the service.
    pub name: String,
    /// The version of the document, which is the revision to wait for.
    pub version: u64,
}

/// Someone else changed the document first; nothing was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The document as stored; `None` if it does not exist.
    pub current: Option<Document>,
}

/// The document is not valid; nothing was stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// What is wrong; empty for a valid document.
    pub problems: Vec<DocumentProblem>,
}

/// What is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentProblem {
    /// Counts from 1; `None` if the problem has no single place.
    pub line: Option<u32>,
    /// The key, with its path; empty for a syntax error.
    pub key: String,
    /// What is wrong and what is allowed.
    pub problem: String,
}

/// The platform did not confirm a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotStored {
    /// Whether the change may be stored all the same.
    pub may_be_stored: bool,
    /// What to do next.
    pub message: String,
}

/// Where a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The revision asked about.
    pub revision: u64,
    /// Live daemons where it is in force, by name.
    pub in_force: Vec<String>,
    /// Live daemons that are behind or have not said, by name.
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
    /// Whether it gets no new work.
    pub drain: bool,
}

/// The daemons that this daemon knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Sorted by name.
    pub members: Vec<MemberBody>,
}

/// A daemon as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBody {
    /// The name of its VM.
    pub name: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// The revision in force there, as last heard.
    pub revision: u64,
    /// How many replicas it owns.
    pub owned_replicas: u32,
}

/// Where queries to a target go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routing {
    /// The replicas of every shard.
    pub replicas: Vec<RoutedReplica>,
}

/// A replica as the daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedReplica {
    /// The service.
    pub service: String,
    /// The shard.
    pub shard: String,
    /// Where the replica listens.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// The daemon that owns it.
    pub owner: Option<String>,
    /// Whether the document drains it.
    pub drain: bool,
    /// The newest snapshot that it is known to serve.
    pub newest_snapshot: Option<Snapshot>,
}

/// Body of `PUT /v1/log`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelBody {
    /// A part, as in the prefix of its log lines.
    pub part: String,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

/// Body of `PUT /v1/log/sample`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSampleBody {
    /// The decisions of one query in this many are written; 0 counts as 1.
    pub queries: u32,
}

/// What is wrong with a request, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What is wrong and what to do next.
    pub message: String,
}
