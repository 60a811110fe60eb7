//! Immutable snapshots of the control state, read by traffic threads.

use super::configuration::ClientLimits;
use super::entry_check::ReplicaName;
use super::store_era::StorePosition;
use crate::arena::Arena;
use crate::ids::{DataCentreId, MemberTag, PeerId, ReplicaId, ReplicaTag, ServiceId, ServiceTag};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The distance between a replica and this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data centre.
    DataCentre,
    /// In another data centre of the region.
    Region,
    /// In another region.
    Remote,
}

/// Identifies a route within one process; stable while the configuration has a route of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteId(pub u32);

/// An immutable snapshot of the configuration, the replicas and the daemons.
#[derive(Debug)]
pub struct View {
    /// The version of the configuration; never decreases within one process.
    pub version: u64,
    /// The position in the store at which the replicas are current.
    pub replicas_position: StorePosition,
    /// Sorted by host and then by prefix.
    pub routes: Vec<Route>,
    /// All services that a configuration or a replica ever named.
    pub services: Arena<ServiceId, Service>,
    /// The services, sorted by tag.
    pub tags: Vec<(ServiceTag, ServiceId)>,
    /// The tag of this daemon.
    pub own_tag: MemberTag,
    /// The data centre of this daemon.
    pub own_data_centre: DataCentreId,
    /// The other daemons, sorted by id.
    pub peers: Vec<Arc<Peer>>,
    /// The limits on callers' requests and connections.
    pub limits: ClientLimits,
}

/// Maps a host and a path prefix to services.
#[derive(Clone, Debug)]
pub struct Route {
    /// Stable while the configuration has a route of this name.
    pub id: RouteId,
    /// The operator's name for the route.
    pub name: Arc<str>,
    /// In lower case.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The services that serve the route.
    pub target: Target,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time until a request is answered.
    pub timeout: Duration,
    /// The latency from which an answer is late; an incomplete answer to a query is sent shortly
    /// before it.
    pub target_latency: Duration,
    /// The maximum number of replicas on which each part of a request may run; at least 1.
    pub max_attempts: u32,
    /// The position of the priority in descending order; 0 is the most urgent.
    pub priority_index: u8,
}

/// The services that serve a route.
#[derive(Clone, Debug)]
pub enum Target {
    /// One replica of one of these services, chosen by weight.
    Split(Vec<(ServiceId, f64)>),
    /// One replica of each of these services.
    Shards {
        /// The shards, without duplicates.
        services: Vec<ServiceId>,
        /// The maximum number of records in an answer.
        limit: usize,
        /// The minimum number of shards in an answer; from 1 to the number of shards.
        min_parts: usize,
    },
}

/// A service: a set of interchangeable replicas.
#[derive(Clone, Debug)]
pub struct Service {
    /// The operator's name for the service.
    pub name: Arc<str>,
    /// The same on every daemon.
    pub tag: ServiceTag,
    /// Connections that each replica accepts, summed over all daemons.
    pub max_connections: u32,
    /// The replicas that accept new work, sorted by id.
    pub replicas: Vec<Arc<Replica>>,
    /// This daemon's part in the work for the service.
    pub standing: Standing,
}

/// What decides a daemon's shares of the connections to a service and of its extra attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// The number of daemons that share; at least 1.
    pub fleet_size: u32,
    /// The number of daemons that own a group with the service, one for each data centre with
    /// replicas.
    pub owners: u32,
    /// Whether this daemon is the first candidate for the owner of such a group.
    pub is_owner: bool,
    /// A number from 0 to 1, spread evenly over the daemons, that differs by service.
    pub lot: f64,
}

/// A replica that accepts new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Stable while the replica runs at one address; never reused for another replica.
    pub id: ReplicaId,
    /// The same on every daemon: a hash of the name.
    pub tag: ReplicaTag,
    /// The name, which identifies the replica; its address may be reused by another replica.
    pub name: ReplicaName,
    /// The address on which the replica listens.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The distance to this daemon.
    pub distance: Distance,
    /// Requests that the replica runs at a time, at least 1.
    pub slots: u32,
}

/// Another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Stable while the daemon's address and data centre stay the same.
    pub id: PeerId,
    /// The same on every daemon.
    pub tag: MemberTag,
    /// The address on which the daemon accepts requests for parts.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
}

impl View {
    /// Finds a service by its tag.
    pub fn service(&self, tag: ServiceTag) -> Option<ServiceId> {
        let found = self.tags.binary_search_by_key(&tag, |(tag, _)| *tag);
        found.ok().map(|index| self.tags[index].1)
    }

    /// Finds the route of the host with the longest prefix of the path; returns its index.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let first = self.routes.partition_point(|route| &*route.host < host);
        let host_routes = self.routes[first..].iter().take_while(|route| &*route.host == host);
        let matching =
            host_routes.enumerate().filter(|(_, route)| path.starts_with(&*route.prefix));
        matching.max_by_key(|(_, route)| route.prefix.len()).map(|(index, _)| first + index)
    }

    /// Returns the replicas of a service that accept new work.
    pub fn replicas(&self, service: ServiceId) -> &[Arc<Replica>] {
        self.services.get(service).map_or(&[], |service| service.replicas.as_slice())
    }

    /// Returns whether a peer is in the view.
    pub fn has_peer(&self, id: PeerId) -> bool {
        self.peers.binary_search_by_key(&id, |peer| peer.id).is_ok()
    }

    /// Returns whether a replica is in the view.
    pub fn has_replica(&self, id: ReplicaId) -> bool {
        let has = |service: &Service| service.replicas.binary_search_by_key(&id, |r| r.id).is_ok();
        self.services.iter().any(|(_, service)| has(service))
    }
}
