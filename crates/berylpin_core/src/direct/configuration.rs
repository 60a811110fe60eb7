//! What the operator, the replicas and the daemons say, as the front end decoded it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// Connections that each replica of a service accepts, from all daemons together.
    pub max_connections: Vec<(String, u32)>,
    /// What callers may send.
    pub limits: ClientLimits,
}

/// A route as the operator writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Unique.
    pub name: String,
    /// In lower case.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What serves it.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// Replicas that one request may be sent to, for each shard.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub urgency: u8,
}

/// What serves a route, by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteTarget {
    /// One of these services, chosen by weight.
    Split(Vec<(String, f64)>),
    /// All of these services.
    Shards {
        /// Each once.
        services: Vec<String>,
        /// Records in an answer.
        limit: usize,
        /// The share of the shards that an answer needs, from 0 to 1.
        min_coverage: f64,
    },
}

/// What a replica says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// The replica's own name.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: String,
    /// Requests that it runs at a time, at least 1.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warm_up_left: Duration,
    /// Wall time of its start, in ms; tells two lives under one name apart.
    pub started_ms: u64,
}

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// The name of its VM.
    pub name: String,
    /// Where it takes requests of other daemons.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: String,
    /// The store's revision of its last change; a renewal is one, too.
    pub revision: u64,
}

impl DaemonEntry {
    /// Returns whether both entries name the same place.
    pub fn has_same_location(&self, other: &Self) -> bool {
        self.address == other.address && self.data_centre == other.data_centre
    }
}
