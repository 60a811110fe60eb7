//! One service document, checked.

mod document;

use super::section::{Problem, Problems, Section};
use crate::ids::ReplicaTag;
use crate::rank::Rank;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The largest document accepted, in bytes; the platform's limit is a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Why a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", Lines(problems))]
pub struct DocumentError {
    /// All that is wrong, in the order of lines; never empty.
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

/// A checked service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The name; never empty.
    pub name: String,
    /// The group that shares snapshot versions; never empty.
    pub group: String,
    /// The smallest share of shards that makes a partial answer useful; from 0 to 1.
    pub minimum_coverage: f64,
    /// Hedges and retries as a share of sub-queries; from 0 to 1.
    pub extra_load: f64,
    /// How soon an answer should arrive, indexed by rank; never zero.
    pub target_latencies: [Duration; Rank::COUNT],
    /// The share of work that each rank keeps in a flood, indexed by rank; from 0 to 1, together
    /// at most 1.
    pub minimum_shares: [f64; Rank::COUNT],
    /// Sorted by name; never empty.
    pub shards: Vec<ShardSettings>,
}

/// A checked shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSettings {
    /// Unique within the service.
    pub name: String,
    /// Sorted by tag; never empty.
    pub replicas: Vec<ReplicaSettings>,
}

/// A checked replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSettings {
    /// Unique in the document.
    pub tag: ReplicaTag,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it runs in; never empty.
    pub data_centre: String,
    /// Sub-queries that it runs at once; at least 1.
    pub slots: u16,
    /// Connections that it accepts; at least `slots`.
    pub connections: u16,
    /// Whether it is to get no new work.
    pub drain: bool,
}

impl ServiceSettings {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with the line and key where it stands and what is allowed.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        let mut problems = Problems::default();
        let settings = read(text, &mut problems);
        finish(settings, problems)
    }

    /// Reads and checks a document that is stored under the name of its service.
    ///
    /// # Errors
    ///
    /// Returns all problems; one is that the document describes another service.
    pub fn parse_named(name: &str, text: &str) -> Result<Self, DocumentError> {
        let mut problems = Problems::default();
        let settings = read(text, &mut problems);
        if let Some(other) = settings.as_ref().filter(|settings| settings.name != name) {
            let problem = format!("`{}` is not `{name}`, the name it is stored under", other.name);
            problems.add(None, "service", problem);
        }
        finish(settings, problems)
    }
}

fn read(text: &str, problems: &mut Problems) -> Option<ServiceSettings> {
    if text.len() > MAX_DOCUMENT_BYTES {
        problems.add(None, "", format!("the document has more than {MAX_DOCUMENT_BYTES} bytes"));
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
