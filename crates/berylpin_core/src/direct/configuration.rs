//! The configuration and the entries of replicas and daemons, as decoded by the shell.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// The maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive a request's head.
    pub header_timeout: Duration,
    /// The maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// Connections that each replica of a service accepts, summed over all daemons.
    pub max_connections: Vec<(String, u32)>,
    /// Limits on callers' requests and connections.
    pub limits: ClientLimits,
}

/// A route in the operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The unique name.
    pub name: String,
    /// In lower case.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// The services that serve the route.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time until a request is answered.
    pub timeout: Duration,
    /// The latency from which an answer is late; an incomplete answer to a query is sent shortly
    /// before it.
    pub target_latency: Duration,
    /// The maximum number of replicas on which each part of a request may run.
    pub max_attempts: u32,
    /// The position of the priority in descending order; 0 is the most urgent.
    #[serde(rename = "urgency")]
    pub priority_index: u8,
}

/// The services that serve a route, by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteTarget {
    /// One of these services, chosen by weight.
    Split(Vec<(String, f64)>),
    /// All of these services.
    Shards {
        /// The shards, without duplicates.
        services: Vec<String>,
        /// The maximum number of records in an answer.
        limit: usize,
        /// The minimum share of the shards in an answer, from 0 to 1.
        min_coverage: f64,
    },
}

/// The entry of a replica in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEntry {
    /// The replica's name.
    pub id: String,
    /// The name of the replica's service.
    pub service: String,
    /// The address on which the replica listens.
    pub address: SocketAddr,
    /// The name of the data centre.
    pub data_centre: String,
    /// Requests that the replica runs at a time, at least 1.
    pub slots: u32,
    /// Whether the replica is draining and accepts no new work.
    pub draining: bool,
    /// The rest of the warm-up after the start, during which the replica is slow.
    pub warm_up_left: Duration,
    /// The wall-clock time of the start, in ms; distinguishes two processes of the same name.
    pub started_ms: u64,
    /// Increases with each write of the process; a write that changes nothing else causes no event.
    /// Messages between daemons carry it apart from the entry.
    #[serde(skip)]
    pub sequence: u64,
}

impl ReplicaEntry {
    /// Returns whether both entries can be of one process, which keeps its service, its place and its
    /// start.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
            && self.address == other.address
            && self.service == other.service
            && self.data_centre == other.data_centre
    }
}

/// The entry of a daemon in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonEntry {
    /// The name of the daemon's VM.
    pub name: String,
    /// The address on which the daemon accepts requests of peers.
    pub address: SocketAddr,
    /// The name of the data centre.
    pub data_centre: String,
    /// The store's revision of the last write of the entry, renewals included.
    pub revision: u64,
}

impl DaemonEntry {
    /// Returns whether both entries have the same address and data centre.
    pub fn has_same_location(&self, other: &Self) -> bool {
        self.address == other.address && self.data_centre == other.data_centre
    }
}
