//! One service document.

use super::duration::DurationText;
use crate::ids::ReplicaTag;
use crate::rank::Rank;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The largest document accepted, in bytes; the platform's limit is a megabyte.
const DOCUMENT_LIMIT: usize = 256 * 1024;

/// Why a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentError {
    /// The text is not a document of this schema.
    #[error("line {line}: {problem}")]
    Syntax {
        /// Counts from 1.
        line: usize,
        /// What is wrong and what is allowed.
        problem: String,
    },
    /// A value is not allowed.
    #[error("{key}: {problem}")]
    Value {
        /// The key, with its path.
        key: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
}

/// A document as the operator wrote it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceOptions {
    /// The name of the service.
    pub service: String,
    /// The group that shares snapshot versions; the service itself if absent.
    pub group: Option<String>,
    /// The smallest share of shards that makes a partial answer useful; 0 if absent.
    pub minimum_coverage: Option<f64>,
    /// Hedges and retries as a share of sub-queries; 0.05 if absent.
    pub extra_load: Option<f64>,
    /// How soon an answer should arrive, for each rank.
    #[serde(default)]
    pub targets: TargetOptions,
    /// The shards.
    #[serde(default)]
    pub shard: Vec<ShardOptions>,
}

/// How soon an answer should arrive, for each rank.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOptions {
    /// 250 ms if absent.
    #[serde_as(as = "Option<DurationText>")]
    pub urgent: Option<Duration>,
    /// 1 s if absent.
    #[serde_as(as = "Option<DurationText>")]
    pub standard: Option<Duration>,
    /// 5 s if absent.
    #[serde_as(as = "Option<DurationText>")]
    pub background: Option<Duration>,
}

/// A shard as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShardOptions {
    /// The name, unique within the service.
    pub name: String,
    /// The replicas.
    #[serde(default)]
    pub replica: Vec<ReplicaOptions>,
}

/// A replica as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaOptions {
    /// Address and port.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// Sub-queries that it runs at once.
    pub slots: u16,
    /// Connections that it accepts.
    pub connections: u16,
    /// Whether it is to get no new work; false if absent.
    #[serde(default)]
    pub drain: bool,
}

/// A checked service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The name; never empty.
    pub name: String,
    /// The group; never empty.
    pub group: String,
    /// From 0 to 1.
    pub minimum_coverage: f64,
    /// From 0 to 1.
    pub extra_load: f64,
    /// Indexed by rank; never zero.
    pub targets: [Duration; Rank::COUNT],
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
    /// At least 1.
    pub slots: u16,
    /// At least `slots`.
    pub connections: u16,
    /// Whether it is to get no new work.
    pub drain: bool,
}

impl ServiceSettings {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with the line or key where it stands.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        if text.len() > DOCUMENT_LIMIT {
            let problem = format!("the document has more than {DOCUMENT_LIMIT} bytes");
            return Err(DocumentError::Syntax { line: 1, problem });
        }
        let options: ServiceOptions = toml::from_str(text).map_err(|e| {
            let start = e.span().map_or(0, |span| span.start);
            let line = text[..start].matches('\n').count() + 1;
            DocumentError::Syntax { line, problem: e.message().to_owned() }
        })?;
        Self::check(options)
    }

    fn check(options: ServiceOptions) -> Result<Self, DocumentError> {
        check_name("service", &options.service)?;
        let group = options.group.unwrap_or_else(|| options.service.clone());
        check_name("group", &group)?;
        let targets = [
            options.targets.urgent.unwrap_or(Duration::from_millis(250)),
            options.targets.standard.unwrap_or(Duration::from_secs(1)),
            options.targets.background.unwrap_or(Duration::from_secs(5)),
        ];
        if targets.iter().any(Duration::is_zero) {
            return Err(value_error("targets", "a target is longer than zero"));
        }
        let mut shards = options
            .shard
            .into_iter()
            .map(|shard| check_shard(&options.service, shard))
            .collect::<Result<Vec<_>, _>>()?;
        if shards.is_empty() {
            return Err(value_error("shard", "a service has at least one `[[shard]]`"));
        }
        shards.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = shards.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(value_error("shard.name", &format!("`{}` stands twice", pair[0].name)));
        }
        Ok(Self {
            minimum_coverage: check_share("minimum_coverage", options.minimum_coverage, 0.0)?,
            extra_load: check_share("extra_load", options.extra_load, 0.05)?,
            name: options.service,
            group,
            targets,
            shards,
        })
    }
}

fn value_error(key: &str, problem: &str) -> DocumentError {
    DocumentError::Value { key: key.to_owned(), problem: problem.to_owned() }
}

fn check_name(key: &str, name: &str) -> Result<(), DocumentError> {
    let valid = !name.is_empty()
        && name.len() <= 64
        && name.chars().all(|c| c.is_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if valid {
        return Ok(());
    }
    let problem = format!("`{name}` is not a name; use 1 to 64 letters, digits, `-`, `_` or `.`");
    Err(value_error(key, &problem))
}

fn check_share(key: &str, value: Option<f64>, default: f64) -> Result<f64, DocumentError> {
    let share = value.unwrap_or(default);
    if (0.0..=1.0).contains(&share) {
        return Ok(share);
    }
    Err(value_error(key, &format!("{share} is not a share; use a number from 0 to 1")))
}

fn check_shard(service: &str, options: ShardOptions) -> Result<ShardSettings, DocumentError> {
    check_name("shard.name", &options.name)?;
    let mut replicas = options
        .replica
        .into_iter()
        .map(|replica| check_replica(service, &options.name, replica))
        .collect::<Result<Vec<_>, _>>()?;
    if replicas.is_empty() {
        let problem = format!("shard `{}` has no `[[shard.replica]]`", options.name);
        return Err(value_error("shard.replica", &problem));
    }
    replicas.sort_by_key(|replica| replica.tag);
    if let Some(pair) = replicas.windows(2).find(|pair| pair[0].tag == pair[1].tag) {
        let problem = format!("{} stands twice in shard `{}`", pair[0].address, options.name);
        return Err(value_error("shard.replica.address", &problem));
    }
    Ok(ShardSettings { name: options.name, replicas })
}

fn check_replica(
    service: &str,
    shard: &str,
    options: ReplicaOptions,
) -> Result<ReplicaSettings, DocumentError> {
    check_name("shard.replica.data_centre", &options.data_centre)?;
    if options.slots == 0 {
        return Err(value_error("shard.replica.slots", "a replica has at least 1 slot"));
    }
    if options.connections < options.slots {
        let problem = "a replica accepts at least as many connections as it has slots";
        return Err(value_error("shard.replica.connections", problem));
    }
    let address = options.address.to_string();
    Ok(ReplicaSettings {
        tag: ReplicaTag::of([service, shard, &address]),
        address: options.address,
        data_centre: options.data_centre,
        slots: options.slots,
        connections: options.connections,
        drain: options.drain,
    })
}

#[cfg(test)]
mod tests;
