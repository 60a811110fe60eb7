//! Validated settings of a service.

mod document;

use super::section::{Problem, Problems, Section};
use crate::ids::ReplicaTag;
use crate::rank::Rank;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Maximum size of a document, in bytes; below the platform's limit of a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Why a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", Lines(problems))]
pub struct DocumentError {
    /// All problems, sorted by line; never empty.
    pub problems: Vec<Problem>,
}

struct Lines<'a>(&'a [Problem]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// The validated settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The name of the service; never empty.
    pub name: String,
    /// The group of services that shares snapshot versions; never empty.
    pub group: String,
    /// The minimum share of shards that a partial answer must cover; from 0 to 1.
    pub minimum_coverage: f64,
    /// The limit on hedges and retries, as a share of sub-queries; from 0 to 1.
    pub extra_load: f64,
    /// The target latency of answers, indexed by rank; never zero.
    pub target_latencies: [Duration; Rank::COUNT],
    /// The minimum share of slot time of each rank under overload, indexed by rank; each from 0 to
    /// 1, the sum at most 1.
    pub minimum_shares: [f64; Rank::COUNT],
    /// Sorted by name; never empty.
    pub shards: Vec<ShardSettings>,
}

/// The validated settings of a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSettings {
    /// The name of the shard; unique within the service.
    pub name: String,
    /// Sorted by tag; never empty.
    pub replicas: Vec<ReplicaSettings>,
}

/// The validated settings of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSettings {
    /// A hash of service, shard and address; unique in the document.
    pub tag: ReplicaTag,
    /// The address that the replica listens on.
    pub address: SocketAddr,
    /// The data centre of the replica; never empty.
    pub data_centre: String,
    /// Sub-queries that the replica runs concurrently; at least 1.
    pub slots: u16,
    /// Connections that the replica accepts; at least `slots`.
    pub connections: u16,
    /// Whether the operator drains the replica, so that no new requests are sent to it.
    pub drain: bool,
}

impl ServiceSettings {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its line and key and the expected value.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let mut problems = Problems::default();
        let settings = read(text, &mut problems);
        finish(settings, problems)
    }

    /// Parses and validates a document that is stored under the name of its service.
    ///
    /// # Errors
    ///
    /// Returns all problems, including that the document names another service.
    pub fn parse_named(name: &str, text: &str) -> Result<Self, DocumentError> {
        let mut problems = Problems::default();
        let settings = read(text, &mut problems);
        if let Some(other) = settings.as_ref().filter(|settings| settings.name != name) {
            let problem = format!(
                "`{}` differs from `{name}`, the name that the document is stored under",
                other.name
            );
            problems.add(None, "service", problem);
        }
        finish(settings, problems)
    }
}

fn read(text: &str, problems: &mut Problems) -> Option<ServiceSettings> {
    if text.len() > MAX_DOCUMENT_BYTES {
        problems.add(None, "", format!("the document is larger than {MAX_DOCUMENT_BYTES} bytes"));
        return None;
    }
    document::read(Section::parse(text, problems)?, problems)
}

fn finish(
    settings: Option<ServiceSettings>,
    problems: Problems,
) -> Result<ServiceSettings, DocumentError> {
    settings
        .filter(|_| problems.is_empty())
        .ok_or_else(|| DocumentError { problems: problems.into_sorted() })
}

#[cfg(test)]
mod tests;
