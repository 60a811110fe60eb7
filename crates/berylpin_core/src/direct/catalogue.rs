//! The configuration in force and the replicas known, kept by the control thread.

use super::configuration::{Configuration, DaemonEntry, ReplicaEntry, RouteConfig, RouteTarget};
use super::view::{Distance, Peer, Replica, Route, RouteId, Service, Target, View};
use crate::arena::Arena;
use crate::ids::{
    DataCentreId, Key, MemberTag, PeerId, ReplicaId, ReplicaTag, ServiceId, ServiceTag,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a replica stays in use whose entry vanished without notice. The entry may only have
/// lapsed while the store was away; the living ones are back about 2 s after the store is. A replica
/// that left serves for longer than that.
const LAPSE_GRACE: Duration = Duration::from_millis(2300);

/// Daemons that share budgets and connections until they are listed; more than most fleets have.
const UNKNOWN_FLEET: u32 = 100;

/// Connections that a replica is taken to accept if the configuration does not say.
const DEFAULT_CONNECTIONS: u32 = 16;

/// A replica that has an entry, or had one a moment ago.
#[derive(Debug)]
struct Known {
    entry: ReplicaEntry,
    id: ReplicaId,
    /// When the replica is dropped whose entry is gone but may only have lapsed.
    drop_at: Option<Instant>,
}

/// Another daemon that has an entry, or this one.
#[derive(Debug)]
struct KnownDaemon {
    entry: DaemonEntry,
    id: PeerId,
}

/// Where this daemon runs.
#[derive(Clone, Debug)]
struct Place {
    /// The name of this VM.
    daemon: String,
    data_centre: String,
    /// Sorted by data centre.
    regions: Vec<(String, String)>,
}

/// Everything that views are made of.
#[derive(Debug)]
pub struct Catalogue {
    place: Place,
    configuration: Option<Configuration>,
    /// Whether the replicas have been listed.
    listed: bool,
    /// Sorted by the replicas' names.
    replicas: Vec<Known>,
    /// Names of services; the index is the id.
    services: Vec<Arc<str>>,
    /// All services, sorted by name.
    service_names: Vec<ServiceId>,
    /// Names of routes in force, sorted, with their ids.
    routes: Vec<(Arc<str>, RouteId)>,
    /// Sorted by name; the one of this VM is among them.
    daemons: Vec<KnownDaemon>,
    /// Whether the daemons have been listed.
    daemons_listed: bool,
    /// All data centres that were named; the index is the id.
    data_centres: Vec<String>,
    next_replica: usize,
    next_route: u32,
    next_peer: usize,
}

impl Catalogue {
    /// Makes an empty catalogue of the daemon with the given name; `regions` is sorted by data centre.
    pub fn new(daemon: String, data_centre: String, regions: Vec<(String, String)>) -> Self {
        let own_data_centre = data_centre.clone();
        Self {
            place: Place { daemon, data_centre, regions },
            configuration: None,
            listed: false,
            replicas: Vec::new(),
            services: Vec::new(),
            service_names: Vec::new(),
            routes: Vec::new(),
            daemons: Vec::new(),
            daemons_listed: false,
            data_centres: vec![own_data_centre],
            next_replica: 0,
            next_route: 0,
            next_peer: 0,
        }
    }

    /// Takes the complete list of daemons; returns whether anything changed.
    pub fn list_daemons(&mut self, entries: Vec<DaemonEntry>) -> bool {
        let mut changed = !self.daemons_listed;
        self.daemons_listed = true;
        let mut names: Vec<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        names.sort();
        let before = self.daemons.len();
        self.daemons.retain(|known| names.binary_search(&known.entry.name).is_ok());
        changed |= self.daemons.len() != before;
        for entry in entries {
            changed |= self.put_daemon(entry);
        }
        changed
    }

    /// Takes a daemon's entry; returns whether anything changed.
    pub fn put_daemon(&mut self, entry: DaemonEntry) -> bool {
        self.enter_data_centre(&entry.data_centre);
        let position = self.daemon_position(&entry.name);
        if position.is_ok_and(|index| self.daemons[index].entry == entry) {
            return false;
        }
        let known = KnownDaemon { entry, id: PeerId::from_index(self.next_peer) };
        self.next_peer += 1;
        match position {
            Ok(index) => self.daemons[index] = known,
            Err(index) => self.daemons.insert(index, known),
        }
        true
    }

    /// Takes the end of a daemon's entry; returns whether anything changed.
    pub fn remove_daemon(&mut self, name: &str) -> bool {
        let position = self.daemon_position(name);
        position.is_ok_and(|index| {
            self.daemons.remove(index);
            true
        })
    }

    /// Returns the entry of a daemon; `None` in `Some` if there is none, `None` before they are listed.
    pub fn daemon(&self, name: &str) -> Option<Option<&DaemonEntry>> {
        let found = self.daemon_position(name).ok().map(|index| &self.daemons[index].entry);
        self.daemons_listed.then_some(found)
    }

    /// Returns how many daemons share budgets and connections.
    pub fn fleet_size(&self) -> u32 {
        if self.daemons_listed { self.daemons.len().max(1) as u32 } else { UNKNOWN_FLEET }
    }

    fn daemon_position(&self, name: &str) -> Result<usize, usize> {
        self.daemons.binary_search_by(|known| known.entry.name.as_str().cmp(name))
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Returns how many replicas are known, the leaving ones included.
    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }

    /// Puts a configuration in force unless one as new is; returns whether it did.
    pub fn configure(&mut self, configuration: Configuration) -> bool {
        if self.version().is_some_and(|version| version >= configuration.version) {
            return false;
        }
        let routes = configuration.routes.iter().map(|route| {
            let found = self.routes.binary_search_by(|(name, _)| (**name).cmp(&*route.name));
            let id = found.map_or_else(
                |_| {
                    self.next_route += 1;
                    RouteId(self.next_route)
                },
                |index| self.routes[index].1,
            );
            (Arc::from(&*route.name), id)
        });
        let mut routes: Vec<_> = routes.collect();
        routes.sort();
        self.routes = routes;
        for (name, _) in &configuration.max_connections {
            self.enter_service(name);
        }
        for route in &configuration.routes {
            match &route.target {
                RouteTarget::Split(parts) => {
                    for (name, _) in parts {
                        self.enter_service(name);
                    }
                }
                RouteTarget::Shards { services, .. } => {
                    for name in services {
                        self.enter_service(name);
                    }
                }
            }
        }
        self.configuration = Some(configuration);
        true
    }

    /// Takes the complete list of entries; returns whether anything changed.
    pub fn list(&mut self, entries: Vec<ReplicaEntry>, now: Instant) -> bool {
        let mut changed = !self.listed;
        self.listed = true;
        let mut names: Vec<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        names.sort();
        for entry in entries {
            changed |= self.put(entry);
        }
        let known = self.replicas.iter().map(|known| known.entry.id.clone());
        let gone: Vec<_> = known.filter(|name| names.binary_search(name).is_err()).collect();
        for name in gone {
            changed |= self.remove(&name, now);
        }
        changed
    }

    /// Takes a replica's entry; returns whether traffic is concerned.
    pub fn put(&mut self, entry: ReplicaEntry) -> bool {
        self.enter_service(&entry.service);
        self.enter_data_centre(&entry.data_centre);
        match self.position(&entry.id) {
            Ok(index) => {
                let known = &mut self.replicas[index];
                let reborn = known.entry.started_ms != entry.started_ms;
                let same = known.entry.draining == entry.draining
                    && known.entry.address == entry.address
                    && known.entry.service == entry.service
                    && known.entry.slots == entry.slots
                    && !reborn;
                if reborn || known.entry.address != entry.address {
                    known.id = ReplicaId::from_index(self.next_replica);
                    self.next_replica += 1;
                }
                known.entry = entry;
                known.drop_at = None;
                !same
            }
            Err(index) => {
                let id = ReplicaId::from_index(self.next_replica);
                self.next_replica += 1;
                self.replicas.insert(index, Known { entry, id, drop_at: None });
                true
            }
        }
    }

    /// Takes the end of an entry; returns whether traffic is concerned.
    ///
    /// A replica that had not said that it leaves stays in use until its entry had time to return.
    pub fn remove(&mut self, name: &str, now: Instant) -> bool {
        let Ok(index) = self.position(name) else { return false };
        let known = &mut self.replicas[index];
        if known.entry.draining {
            self.replicas.remove(index);
            return true;
        }
        known.drop_at.get_or_insert(now + LAPSE_GRACE);
        false
    }

    /// Drops the replicas whose entries did not come back; returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        let mut dropped = Vec::new();
        self.replicas.retain(|known| {
            let keep = known.drop_at.is_none_or(|at| at > now);
            if !keep {
                dropped.push(known.entry.id.clone());
            }
            keep
        });
        dropped
    }

    /// Returns a picture of the present state; `None` before configuration and replicas are known.
    pub fn view(&self) -> Option<View> {
        let configuration = self.configuration.as_ref().filter(|_| self.listed)?;
        let mut routes: Vec<Route> =
            configuration.routes.iter().map(|route| self.route(route)).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Some(View {
            version: configuration.version,
            routes,
            services: self.service_arena(),
            tags: self.service_tags(),
            own_tag: MemberTag::of([self.place.daemon.as_str()]),
            own_data_centre: self.data_centre(&self.place.data_centre),
            peers: self.peers(),
            limits: configuration.limits,
            fleet_size: self.fleet_size(),
        })
    }

    fn route(&self, route: &RouteConfig) -> Route {
        let target = match &route.target {
            RouteTarget::Split(parts) => {
                Target::Split(parts.iter().map(|(name, w)| (self.service(name), *w)).collect())
            }
            RouteTarget::Shards { services, limit, min_coverage } => {
                let services: Vec<_> = services.iter().map(|name| self.service(name)).collect();
                let min_parts = min_parts(services.len(), *min_coverage);
                Target::Shards { services, limit: *limit, min_parts }
            }
        };
        let position = self.routes.binary_search_by(|(name, _)| (**name).cmp(&*route.name));
        let (name, id) = &self.routes[position.expect("configure enters all routes")];
        Route {
            id: *id,
            name: name.clone(),
            host: Arc::from(&*route.host),
            prefix: Arc::from(&*route.prefix),
            target,
            idempotent: route.idempotent,
            timeout: route.timeout,
            target_latency: route.target_latency,
            max_attempts: route.max_attempts.max(1),
            urgency: route.urgency,
        }
    }

    fn service_arena(&self) -> Arena<ServiceId, Service> {
        let mut services = Arena::default();
        for name in &self.services {
            services.push(Service {
                name: name.clone(),
                tag: ServiceTag::of([&**name]),
                max_connections: DEFAULT_CONNECTIONS,
                replicas: Vec::new(),
            });
        }
        let configured = self.configuration.iter().flat_map(|c| &c.max_connections);
        for (name, connections) in configured {
            services[self.service(name)].max_connections = *connections;
        }
        for known in self.replicas.iter().filter(|known| !known.entry.draining) {
            let entry = &known.entry;
            services[self.service(&entry.service)].replicas.push(Arc::new(Replica {
                id: known.id,
                tag: ReplicaTag::of([entry.id.as_str()]),
                name: Arc::from(&*entry.id),
                address: entry.address,
                data_centre: self.data_centre(&entry.data_centre),
                distance: self.place.distance(&entry.data_centre),
                slots: entry.slots,
            }));
        }
        for (_, service) in services.iter_mut() {
            service.replicas.sort_by_key(|replica| replica.id);
        }
        services
    }

    fn service_tags(&self) -> Vec<(ServiceTag, ServiceId)> {
        let tags = self.services.iter().enumerate();
        let mut tags: Vec<_> = tags
            .map(|(index, name)| (ServiceTag::of([&**name]), ServiceId::from_index(index)))
            .collect();
        tags.sort();
        tags
    }

    fn peers(&self) -> Vec<Arc<Peer>> {
        let others = self.daemons.iter().filter(|known| known.entry.name != self.place.daemon);
        let mut peers: Vec<_> = others
            .map(|known| {
                Arc::new(Peer {
                    id: known.id,
                    tag: MemberTag::of([known.entry.name.as_str()]),
                    address: known.entry.address,
                    data_centre: self.data_centre(&known.entry.data_centre),
                })
            })
            .collect();
        peers.sort_by_key(|peer| peer.id);
        peers
    }

    /// Returns the id of a data centre that was entered before.
    fn data_centre(&self, name: &str) -> DataCentreId {
        let position = self.data_centres.iter().position(|known| known == name);
        DataCentreId::from_index(position.expect("data centres are entered with what names them"))
    }

    fn enter_data_centre(&mut self, name: &str) {
        if !self.data_centres.iter().any(|known| known == name) {
            self.data_centres.push(name.to_owned());
        }
    }

    /// Returns the id of a service that was entered before.
    fn service(&self, name: &str) -> ServiceId {
        let found =
            self.service_names.binary_search_by(|id| (*self.services[id.index()]).cmp(name));
        self.service_names[found.expect("services are entered with what names them")]
    }

    fn enter_service(&mut self, name: &str) {
        let found =
            self.service_names.binary_search_by(|id| (*self.services[id.index()]).cmp(name));
        if let Err(position) = found {
            self.service_names.insert(position, ServiceId::from_index(self.services.len()));
            self.services.push(Arc::from(name));
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.replicas.binary_search_by(|known| known.entry.id.as_str().cmp(name))
    }
}

impl Place {
    fn distance(&self, data_centre: &str) -> Distance {
        if self.data_centre == data_centre {
            return Distance::DataCentre;
        }
        match (self.region(&self.data_centre), self.region(data_centre)) {
            (Some(own), Some(other)) if own == other => Distance::Region,
            _ => Distance::Remote,
        }
    }

    fn region(&self, data_centre: &str) -> Option<&str> {
        let found = self.regions.binary_search_by(|(name, _)| name.as_str().cmp(data_centre));
        found.ok().map(|index| self.regions[index].1.as_str())
    }
}

/// Returns how many of `count` shards reach the share `min_coverage`.
fn min_parts(count: usize, min_coverage: f64) -> usize {
    /// Keeps a product such as 0.95 x 20 from being rounded up to the next whole number.
    const ROUNDING: f64 = 1e-9;
    let needed = (count as f64 * min_coverage - ROUNDING).ceil().max(1.0);
    (needed as usize).min(count.max(1))
}

#[cfg(test)]
mod tests;
