//! The control thread's state: the configuration in force, the replicas and the daemons.

mod capacity;
mod eras;
mod event_traits;
mod replica_entries;
mod routes;
mod store_contact;

pub use capacity::MAX_UNNAMED_ENTRIES;
pub(super) use routes::MAX_CONFIGURED_TIME;

use super::configuration::{Configuration, DaemonEntry, ReplicaEntry, RouteTarget};
use super::departures::Departures;
use super::entry_check::ReplicaName;
use super::fleet::Fleet;
use super::former_processes::FormerProcesses;
use super::leaving::LeavingReplicas;
use super::peers::assign_owners;
use super::store_era::{KnownEra, StorePosition};
use super::store_times::ExpiryGrace;
use super::view::{Distance, Peer, Replica, Route, RouteId, Service, Standing, View};
use crate::arena::Arena;
use crate::ids::{DataCentreId, Key, MemberTag, ReplicaId, ReplicaTag, ServiceId, ServiceTag};
use eras::Unproven;
use routes::bounded_limits;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store_contact::StoreContact;
use xxhash_rust::xxh3::xxh3_64;

/// Connections that a replica accepts if the configuration does not set a limit.
const DEFAULT_MAX_CONNECTIONS: u32 = 16;

/// The maximum number of data centres with an id of their own that the settings do not name. Ids are
/// never used again, so names that another writer makes up would take memory without end.
const MAX_UNNAMED_DATA_CENTRES: usize = 256;

/// The name, which no entry can have, of the id that all further data centres share.
const OTHER_DATA_CENTRES: &str = "";

/// A replica with an entry, or one whose entry may only have expired in an outage of the store.
#[derive(Debug)]
struct KnownReplica {
    entry: ReplicaEntry,
    /// The id of the entry.
    name: ReplicaName,
    id: ReplicaId,
    /// Whether the replica counts as draining although its entry says ready.
    drain_kept: bool,
    /// When the replica is removed; set if its entry was removed during or after an outage of the
    /// store, and not while it drained.
    expires_at: Option<Instant>,
    /// Whether the store lost the entry when it was restored. Such a replica is kept while the store
    /// cannot be reached, because it cannot write its entry again.
    lost: bool,
    /// Whether the replica announced that it leaves, whatever its entry says.
    leaving: bool,
    /// Set if the entry may come from a copy of the store from before the replica departed.
    unproven: Option<Unproven>,
}

impl KnownReplica {
    fn accepts_work(&self) -> bool {
        !self.entry.draining && !self.leaving && self.unproven.is_none()
    }
}

/// The location of this daemon.
#[derive(Clone, Debug)]
struct Location {
    /// The name of this daemon's VM.
    daemon: String,
    /// The address on which this daemon accepts requests of peers, if it is known.
    address: Option<SocketAddr>,
    data_centre: String,
    /// The region of each data centre, sorted by data centre.
    regions: Vec<(String, String)>,
}

/// The control state from which views are built.
#[derive(Debug)]
pub struct Catalogue {
    location: Location,
    configuration: Option<Configuration>,
    /// The newest era of the store that is known.
    era: KnownEra,
    /// The position in the store at which the replicas are current; `None` before they were listed.
    replicas_position: Option<StorePosition>,
    /// Sorted by name.
    replicas: Vec<KnownReplica>,
    /// What the calls for the replicas show about outages of the store.
    contact: StoreContact,
    /// The interval at which a replica renews its entry.
    heartbeat: Duration,
    leaving: LeavingReplicas,
    departures: Departures,
    former: FormerProcesses,
    /// When the replicas must be listed again, because a list contained the predecessor of a replica
    /// in use.
    relist_at: Option<Instant>,
    /// Whether the replicas must be listed again, because a configuration names a service whose
    /// entries may have been rejected.
    must_relist: bool,
    /// Whether entries of services that no configuration names were rejected since the last list.
    has_rejected: bool,
    /// The names of the services that configurations have named; the index is the id. Entries add
    /// none, since another writer may name any.
    services: Vec<Arc<str>>,
    /// The ids of all services, sorted by name.
    services_by_name: Vec<ServiceId>,
    /// The names of the routes in force with their ids, sorted.
    routes: Vec<(Arc<str>, RouteId)>,
    pub(super) fleet: Fleet,
    /// The names of data centres; the index is the id. Those of the settings come first, then the one
    /// that stands for all without an id of their own, then those of entries in use.
    data_centres: Vec<String>,
    /// The number of data centres before those of entries.
    reserved_data_centres: usize,
    next_replica: usize,
    next_route: u32,
}

impl Catalogue {
    /// Creates an empty catalogue for `daemon`; `regions` is sorted by data centre.
    ///
    /// Removed replicas are dropped at once, unless [`Self::with_expiry_grace`] sets a grace time.
    pub fn new(daemon: String, data_centre: String, regions: Vec<(String, String)>) -> Self {
        let named = regions.iter().map(|(name, _)| name.clone());
        let mut data_centres = vec![data_centre.clone()];
        data_centres.extend(named.filter(|name| *name != data_centre));
        data_centres.push(OTHER_DATA_CENTRES.to_owned());
        Self {
            location: Location { daemon, address: None, data_centre, regions },
            configuration: None,
            era: KnownEra::default(),
            replicas_position: None,
            replicas: Vec::new(),
            contact: StoreContact::default(),
            heartbeat: Duration::ZERO,
            leaving: LeavingReplicas::default(),
            departures: Departures::default(),
            former: FormerProcesses::default(),
            relist_at: None,
            must_relist: false,
            has_rejected: false,
            services: Vec::new(),
            services_by_name: Vec::new(),
            routes: Vec::new(),
            fleet: Fleet::default(),
            reserved_data_centres: data_centres.len(),
            data_centres,
            next_replica: 0,
            next_route: 0,
        }
    }

    /// Sets when removed replicas stay in use after an outage of the store.
    #[must_use]
    pub fn with_expiry_grace(mut self, expiry_grace: ExpiryGrace) -> Self {
        self.contact.set_grace(expiry_grace);
        self
    }

    /// Sets the address on which this daemon accepts requests of peers.
    #[must_use]
    pub fn with_peer_address(mut self, address: SocketAddr) -> Self {
        self.location.address = Some(address);
        self
    }

    /// Sets the interval at which a replica renews its entry.
    #[must_use]
    pub fn with_heartbeat(self, heartbeat: Duration) -> Self {
        Self { heartbeat, ..self }
    }

    /// Replaces all daemons with the entries at a position; returns whether the fleet changed.
    ///
    /// An entry that names no daemon to call, which a peer may send too, counts as missing.
    pub fn set_daemons(
        &mut self,
        mut entries: Vec<DaemonEntry>,
        position: StorePosition,
        now: Instant,
    ) -> bool {
        entries.retain(|entry| self.location.names_daemon(entry));
        for entry in &entries {
            self.register_data_centre(&entry.data_centre);
        }
        self.fleet.set_entries(entries, position, now)
    }

    /// Adds or updates a daemon's entry; returns false if the entry is only a renewal.
    ///
    /// An entry that names no daemon to call removes the one of its name, as a list does.
    pub fn put_daemon(&mut self, entry: DaemonEntry, now: Instant) -> bool {
        if !self.has_capacity_for_daemon(&entry) {
            return false;
        }
        if !self.location.names_daemon(&entry) {
            return self.remove_daemon(&entry.name);
        }
        self.register_data_centre(&entry.data_centre);
        self.fleet.put(entry, now)
    }

    /// Removes a daemon's entry; returns whether there was one.
    pub fn remove_daemon(&mut self, name: &str) -> bool {
        self.fleet.remove(name)
    }

    /// Records that the daemons are current at a newer position.
    pub fn advance_daemons(&mut self, position: StorePosition) {
        self.fleet.advance(position);
    }

    /// Records that the store is reachable again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.fleet.store_recovered(now);
    }

    /// Returns the addresses of the other daemons.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.fleet.daemons().filter(|(entry, _)| entry.name != self.location.daemon);
        others.map(|(entry, _)| entry.address).collect()
    }

    /// Returns the number of daemons that share budgets and connections.
    pub fn fleet_size(&self) -> u32 {
        self.fleet.size()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Returns whether the configuration in force is older than `version`.
    pub fn is_older_than(&self, version: u64) -> bool {
        self.version() < Some(version)
    }

    pub(super) fn configuration(&self) -> Option<&Configuration> {
        self.configuration.as_ref()
    }

    /// Applies a configuration if its version is newer; returns whether it was applied.
    pub fn apply_configuration(&mut self, configuration: Configuration) -> bool {
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
        let service_count = self.services.len();
        routes.sort();
        self.routes = routes;
        for (name, _) in &configuration.max_connections {
            self.add_service(name);
        }
        for route in &configuration.routes {
            match &route.target {
                RouteTarget::Split(parts) => {
                    for (name, _) in parts {
                        self.add_service(name);
                    }
                }
                RouteTarget::Shards { services, .. } => {
                    for name in services {
                        self.add_service(name);
                    }
                }
            }
        }
        self.configuration = Some(configuration);
        if self.services.len() > service_count {
            self.relist_rejected();
        }
        self.register_data_centres_in_use();
        true
    }

    /// Builds a view of the state; `None` before the configuration and the replicas are known.
    pub fn view(&self) -> Option<View> {
        let (configuration, replicas_position) =
            self.configuration.as_ref().zip(self.replicas_position)?;
        let mut routes: Vec<Route> =
            configuration.routes.iter().map(|route| self.build_route(route)).collect();
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let own_tag = MemberTag::of([self.location.daemon.as_str()]);
        let mut view = View {
            version: configuration.version,
            replicas_position,
            routes,
            services: self.service_arena(own_tag),
            tags: self.service_tags(),
            own_tag,
            own_data_centre: self.data_centre_id(&self.location.data_centre),
            peers: self.peers(),
            limits: bounded_limits(configuration.limits),
        };
        assign_owners(&mut view);
        Some(view)
    }

    fn service_arena(&self, own_tag: MemberTag) -> Arena<ServiceId, Service> {
        let mut services = Arena::default();
        let fleet_size = self.fleet_size();
        for name in &self.services {
            let tag = ServiceTag::of([&**name]);
            services.push(Service {
                name: name.clone(),
                tag,
                max_connections: DEFAULT_MAX_CONNECTIONS,
                replicas: Vec::new(),
                standing: Standing {
                    fleet_size,
                    owners: 0,
                    is_owner: false,
                    lot: lot(own_tag, tag),
                },
            });
        }
        let configured = self.configuration.iter().flat_map(|c| &c.max_connections);
        for (name, connections) in configured {
            services[self.service_id(name)].max_connections = *connections;
        }
        for known in self.replicas.iter().filter(|known| known.accepts_work()) {
            let entry = &known.entry;
            let Some(service) = self.find_service(&entry.service) else { continue };
            services[service].replicas.push(Arc::new(Replica {
                id: known.id,
                tag: ReplicaTag::of([entry.id.as_str()]),
                name: known.name.clone(),
                address: entry.address,
                data_centre: self.data_centre_id(&entry.data_centre),
                distance: self.location.distance(&entry.data_centre),
                slots: entry.slots,
            }));
        }
        for (_, service) in services.iter_mut() {
            service.replicas.sort_by_key(|replica| replica.id);
            let mut centres: Vec<_> = service.replicas.iter().map(|r| r.data_centre).collect();
            centres.sort_unstable();
            centres.dedup();
            service.standing.owners = centres.len() as u32;
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
        let others = self.fleet.daemons().filter(|(entry, _)| entry.name != self.location.daemon);
        let mut peers: Vec<_> = others
            .map(|(entry, id)| {
                Arc::new(Peer {
                    id,
                    tag: MemberTag::of([entry.name.as_str()]),
                    address: entry.address,
                    data_centre: self.data_centre_id(&entry.data_centre),
                })
            })
            .collect();
        peers.sort_by_key(|peer| peer.id);
        peers
    }

    /// Returns the id of a data centre, which it may share with others.
    fn data_centre_id(&self, name: &str) -> DataCentreId {
        let position = self.data_centres.iter().position(|other| other == name);
        DataCentreId::from_index(position.unwrap_or(self.reserved_data_centres - 1))
    }

    /// Gives a data centre an id of its own if there is room.
    fn register_data_centre(&mut self, name: &str) {
        let has_room =
            self.data_centres.len() < self.reserved_data_centres + MAX_UNNAMED_DATA_CENTRES;
        if has_room && !self.data_centres.iter().any(|other| other == name) {
            self.data_centres.push(name.to_owned());
        }
    }

    /// Gives ids to the data centres of the replicas in use. Entries of other services take none,
    /// since another writer may make up any.
    fn register_data_centres_in_use(&mut self) {
        let in_use = self.replicas.iter().map(|known| &known.entry);
        let in_use = in_use.filter(|entry| self.find_service(&entry.service).is_some());
        let mut names: Vec<_> = in_use.map(|entry| entry.data_centre.clone()).collect();
        names.sort();
        names.dedup();
        for name in names {
            self.register_data_centre(&name);
        }
    }

    /// Returns the id of a service that a configuration names.
    fn service_id(&self, name: &str) -> ServiceId {
        self.find_service(name).expect("every service of a configuration is registered")
    }

    /// Returns the id of a service; `None` if no configuration has named it.
    fn find_service(&self, name: &str) -> Option<ServiceId> {
        let found =
            self.services_by_name.binary_search_by(|id| (*self.services[id.index()]).cmp(name));
        found.ok().map(|position| self.services_by_name[position])
    }

    fn add_service(&mut self, name: &str) {
        let found =
            self.services_by_name.binary_search_by(|id| (*self.services[id.index()]).cmp(name));
        if let Err(position) = found {
            self.services_by_name.insert(position, ServiceId::from_index(self.services.len()));
            self.services.push(Arc::from(name));
        }
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.replicas.binary_search_by(|known| known.entry.id.as_str().cmp(name))
    }
}

impl Location {
    /// Returns whether an entry names this daemon or one that can be called.
    ///
    /// An entry of another name at the address of this daemon is out of date or of another writer;
    /// calls to it would reach this daemon itself.
    fn names_daemon(&self, entry: &DaemonEntry) -> bool {
        let is_own_address = self.address == Some(entry.address);
        entry.name == self.daemon || entry.check().is_ok() && !is_own_address
    }

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

/// Returns a number from 0 to 1 that is spread evenly over the daemons and differs by service.
fn lot(daemon: MemberTag, service: ServiceTag) -> f64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&daemon.0.to_le_bytes());
    bytes[8..].copy_from_slice(&service.0.to_le_bytes());
    xxh3_64(&bytes) as f64 / u64::MAX as f64
}

#[cfg(test)]
mod tests;
