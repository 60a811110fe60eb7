//! The configuration in force and the replicas known, kept by the control thread.

use super::configuration::{Configuration, DaemonEntry, ReplicaEntry, RouteConfig, RouteTarget};
use super::fleet::Fleet;
use super::view::{Distance, Peer, Replica, Route, RouteId, Service, Target, View};
use crate::arena::Arena;
use crate::ids::{DataCentreId, Key, MemberTag, ReplicaId, ReplicaTag, ServiceId, ServiceTag};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a replica stays in use whose entry vanished without notice. The entry may only have
/// lapsed while the store was away; the living ones are back about 2 s after the store is. A replica
/// that left serves for longer than that.
const LAPSE_GRACE: Duration = Duration::from_millis(2300);

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
    /// The store's revision that the replicas hold at; `None` before they were listed.
    revision: Option<u64>,
    /// Sorted by the replicas' names.
    replicas: Vec<Known>,
    /// Names of services; the index is the id.
    services: Vec<Arc<str>>,
    /// All services, sorted by name.
    service_names: Vec<ServiceId>,
    /// Names of routes in force, sorted, with their ids.
    routes: Vec<(Arc<str>, RouteId)>,
    pub(super) fleet: Fleet,
    /// All data centres that were named; the index is the id.
    data_centres: Vec<String>,
    next_replica: usize,
    next_route: u32,
}

impl Catalogue {
    /// Makes an empty catalogue of the daemon with the given name; `regions` is sorted by data centre.
    pub fn new(daemon: String, data_centre: String, regions: Vec<(String, String)>) -> Self {
        let own_data_centre = data_centre.clone();
        Self {
            place: Place { daemon, data_centre, regions },
            configuration: None,
            revision: None,
            replicas: Vec::new(),
            services: Vec::new(),
            service_names: Vec::new(),
            routes: Vec::new(),
            fleet: Fleet::default(),
            data_centres: vec![own_data_centre],
            next_replica: 0,
            next_route: 0,
        }
    }

    /// Takes the complete list of daemons at a revision; returns whether anything changed.
    pub fn list_daemons(&mut self, entries: Vec<DaemonEntry>, revision: u64, now: Instant) -> bool {
        for entry in &entries {
            self.enter_data_centre(&entry.data_centre);
        }
        self.fleet.list(entries, revision, now)
    }

    /// Takes a daemon's entry; returns whether it is more than a renewal.
    pub fn put_daemon(&mut self, entry: DaemonEntry, now: Instant) -> bool {
        self.enter_data_centre(&entry.data_centre);
        self.fleet.put(entry, now)
    }

    /// Takes the end of a daemon's entry; returns whether there was one.
    pub fn remove_daemon(&mut self, name: &str) -> bool {
        self.fleet.remove(name)
    }

    /// Notes that the daemons hold at a newer revision.
    pub fn advance_daemons(&mut self, revision: u64) {
        self.fleet.advance(revision);
    }

    /// Notes that the store is back after an outage.
    pub fn store_regained(&mut self, now: Instant) {
        self.fleet.store_regained(now);
    }

    /// Returns the entries of other daemons that were not renewed in time.
    pub fn lapsed_daemons(&self, now: Instant) -> Vec<DaemonEntry> {
        let mut lapsed = self.fleet.lapsed(now);
        lapsed.retain(|entry| entry.name != self.place.daemon);
        lapsed
    }

    /// Returns where other daemons take requests.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.fleet.daemons().filter(|(entry, _)| entry.name != self.place.daemon);
        others.map(|(entry, _)| entry.address).collect()
    }

    /// Returns the entry of this daemon; `None` in `Some` if there is none, `None` before the daemons
    /// are listed.
    pub fn own_entry(&self) -> Option<Option<&DaemonEntry>> {
        self.fleet.revision().map(|_| self.fleet.entry(&self.place.daemon))
    }

    /// Returns how many daemons share budgets and connections.
    pub fn fleet_size(&self) -> u32 {
        self.fleet.size()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    pub(super) fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
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

    /// Takes the complete list of entries at a revision; returns whether anything changed.
    pub fn list(&mut self, entries: Vec<ReplicaEntry>, revision: u64, now: Instant) -> bool {
        let mut changed = self.revision.replace(revision).is_none();
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

    /// Notes that the replicas hold at a newer revision.
    pub fn advance(&mut self, revision: u64) {
        self.revision = Some(revision);
    }

    pub(super) fn replicas_revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the entries of all replicas that have one.
    pub(super) fn replica_entries(&self) -> Vec<ReplicaEntry> {
        let listed = self.replicas.iter().filter(|known| known.drop_at.is_none());
        listed.map(|known| known.entry.clone()).collect()
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
        let configuration = self.configuration.as_ref().filter(|_| self.revision.is_some())?;
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
        let others = self.fleet.daemons().filter(|(entry, _)| entry.name != self.place.daemon);
        let mut peers: Vec<_> = others
            .map(|(entry, id)| {
                Arc::new(Peer {
                    id,
                    tag: MemberTag::of([entry.name.as_str()]),
                    address: entry.address,
                    data_centre: self.data_centre(&entry.data_centre),
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
