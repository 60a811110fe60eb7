//! What traffic threads work by.

use super::configuration::ClientLimits;
use crate::arena::Arena;
use crate::ids::{DataCentreId, MemberTag, PeerId, ReplicaId, ReplicaTag, ServiceId, ServiceTag};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How far a replica is from this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In another data centre of the region.
    Region,
    /// In another region.
    Remote,
}

/// A route's identity; the same route keeps it in later views of the same daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub u32);

/// An immutable picture of one version of the configuration and of the replicas known with it.
#[derive(Debug)]
pub struct View {
    /// The version of the configuration; it never falls within one process.
    pub version: u64,
    /// Sorted by host and then by prefix.
    pub routes: Vec<Route>,
    /// All services that any configuration or replica named.
    pub services: Arena<ServiceId, Service>,
    /// The services by tag, sorted.
    pub tags: Vec<(ServiceTag, ServiceId)>,
    /// The tag of this daemon.
    pub own_tag: MemberTag,
    /// The data centre of this daemon.
    pub own_data_centre: DataCentreId,
    /// The other daemons, sorted by id.
    pub peers: Vec<Arc<Peer>>,
    /// What callers may send.
    pub limits: ClientLimits,
    /// Daemons that share the budgets of extra attempts; at least 1.
    pub fleet_size: u32,
}

/// Where the requests of a host and path prefix go.
#[derive(Clone, Debug)]
pub struct Route {
    /// The same in each view.
    pub id: RouteId,
    /// The operator's name for it.
    pub name: Arc<str>,
    /// In lower case.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What serves it.
    pub target: Target,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// Attempts at each shard, at least 1.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub urgency: u8,
}

/// What serves a route.
#[derive(Clone, Debug)]
pub enum Target {
    /// One replica of one of these services, chosen by weight.
    Split(Vec<(ServiceId, f64)>),
    /// One replica of each of these services.
    Shards {
        /// Each once.
        services: Vec<ServiceId>,
        /// Records in an answer.
        limit: usize,
        /// Shards that an answer needs at least; from 1 to their number.
        min_parts: usize,
    },
}

/// A service: interchangeable replicas.
#[derive(Clone, Debug)]
pub struct Service {
    /// The operator's name for it.
    pub name: Arc<str>,
    /// The same on every daemon.
    pub tag: ServiceTag,
    /// Connections that each replica accepts, from all daemons together.
    pub max_connections: u32,
    /// The replicas that may get new work, sorted by id.
    pub replicas: Vec<Arc<Replica>>,
}

/// A replica that may get new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Stays the same while the replica lives; never used again for another one.
    pub id: ReplicaId,
    /// The same on every daemon: a hash of the name.
    pub tag: ReplicaTag,
    /// The replica's own name; another replica may get its address.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// How far it is.
    pub distance: Distance,
    /// Requests that it runs at a time, at least 1.
    pub slots: u32,
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Stays the same while its entry names the same address.
    pub id: PeerId,
    /// The same on every daemon.
    pub tag: MemberTag,
    /// Where it takes requests for parts.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
}

impl View {
    /// Finds a service by its tag.
    pub fn service(&self, tag: ServiceTag) -> Option<ServiceId> {
        let found = self.tags.binary_search_by_key(&tag, |(tag, _)| *tag);
        found.ok().map(|index| self.tags[index].1)
    }

    /// Finds the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let first = self.routes.partition_point(|route| &*route.host < host);
        let of_host = self.routes[first..].iter().take_while(|route| &*route.host == host);
        let matching = of_host.enumerate().filter(|(_, route)| path.starts_with(&*route.prefix));
        matching.max_by_key(|(_, route)| route.prefix.len()).map(|(index, _)| first + index)
    }

    /// Returns the replicas of a service that may get new work.
    pub fn replicas(&self, service: ServiceId) -> &[Arc<Replica>] {
        self.services.get(service).map_or(&[], |service| service.replicas.as_slice())
    }

    /// Returns whether another daemon is known.
    pub fn has_peer(&self, id: PeerId) -> bool {
        self.peers.binary_search_by_key(&id, |peer| peer.id).is_ok()
    }

    /// Returns whether a replica may get new work.
    pub fn has_replica(&self, id: ReplicaId) -> bool {
        let has = |service: &Service| service.replicas.binary_search_by_key(&id, |r| r.id).is_ok();
        self.services.iter().any(|(_, service)| has(service))
    }
}
