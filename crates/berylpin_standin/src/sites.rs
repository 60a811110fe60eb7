//! Simulated deployments of the two customers: data centres, services and latencies.

use crate::upstream::UpstreamSpec;
use berylpin_core::rank::Rank;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Median service time of a lookup.
const MEDIAN_SERVICE_TIME: Duration = Duration::from_millis(8);

/// Name of the only shard of a service before any split.
pub const FIRST_SHARD: &str = "main";

/// Target latency of answers, indexed by rank.
pub const LATENCY_TARGETS: [Duration; Rank::COUNT] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_secs(5)];

/// The simulated deployment of one customer: its data centres, service groups and network latency.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name on the command line and in scenarios.
    pub name: &'static str,
    /// Names of the data centres, each in a different region.
    pub data_centres: [&'static str; 3],
    /// Groups of services.
    pub groups: Vec<GroupSpec>,
    /// One-way latency between regions.
    pub region_delay: Duration,
    /// One-way latency between callers and daemons.
    pub client_delay: Duration,
}

/// A group of services of the same size.
#[derive(Clone, Copy, Debug)]
pub struct GroupSpec {
    /// Name of the group, and of its service if there is only one.
    pub name: &'static str,
    /// Number of services.
    pub services: usize,
    /// Replicas of each service.
    pub replicas: usize,
    /// Maximum number of connections to each replica.
    pub connections: u16,
    /// Capacity and latency of each replica.
    pub upstream: UpstreamSpec,
}

impl Site {
    /// Returns the site with a name; `None` if there is none.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "rizzo" => Some(rizzo()),
            "kalipsan" => Some(kalipsan()),
            _ => None,
        }
    }
}

impl GroupSpec {
    /// Returns the name of the service with an index.
    pub fn service_name(&self, index: usize) -> String {
        if self.services == 1 {
            return self.name.to_owned();
        }
        format!("{}-{:02}", self.name, index + 1)
    }

    /// Returns the document of the service with an index, without replicas.
    pub fn document(&self, index: usize) -> Document {
        Document {
            service: self.service_name(index),
            group: self.name,
            extra_load: None,
            shards: vec![FIRST_SHARD.to_owned()],
            replicas: Vec::new(),
            slots: self.upstream.slots,
            connections: self.connections,
        }
    }
}

/// The configuration document of a service; its `Display` is TOML.
#[derive(Clone, Debug)]
pub struct Document {
    /// Name of the service.
    pub service: String,
    /// Group of the service.
    pub group: &'static str,
    /// Allowed hedges and retries as a fraction of sub-queries; the daemon's default if `None`.
    pub extra_load: Option<f64>,
    /// Names of the shards.
    pub shards: Vec<String>,
    /// Replicas, each of which holds all shards.
    pub replicas: Vec<DocumentReplica>,
    /// Slots of each replica.
    pub slots: u16,
    /// Maximum number of connections to each replica.
    pub connections: u16,
}

/// A replica in a document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentReplica {
    /// Address that daemons connect to.
    pub address: SocketAddr,
    /// Data centre of the replica.
    pub data_centre: &'static str,
    /// Whether the replica is drained: daemons send it no new requests.
    pub drain: bool,
}

impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service = \"{}\"\ngroup = \"{}\"", self.service, self.group)?;
        if let Some(fraction) = self.extra_load {
            writeln!(f, "extra_load = {fraction:?}")?;
        }
        writeln!(f, "\n[targets]")?;
        for rank in Rank::ALL {
            writeln!(f, "{rank} = \"{}ms\"", LATENCY_TARGETS[rank.index()].as_millis())?;
        }
        for shard in &self.shards {
            writeln!(f, "\n[[shard]]\nname = \"{shard}\"")?;
            for DocumentReplica { address, data_centre, drain } in &self.replicas {
                writeln!(f, "\n[[shard.replica]]\naddress = \"{address}\"")?;
                writeln!(f, "data_centre = \"{data_centre}\"\nslots = {}", self.slots)?;
                writeln!(f, "connections = {}\ndrain = {drain}", self.connections)?;
            }
        }
        Ok(())
    }
}

/// Returns the specification of a group; connection limit and set-up latency follow from `slots`.
pub fn group_spec(name: &'static str, services: usize, replicas: usize, slots: u16) -> GroupSpec {
    let (connections, connect_delay_ms) = match slots {
        2 => (25, 6),
        3 => (40, 1),
        _ => (110, 1),
    };
    let upstream = UpstreamSpec {
        slots,
        connect_delay: Duration::from_millis(connect_delay_ms),
        service_time: MEDIAN_SERVICE_TIME,
        network_delay: Duration::ZERO,
    };
    GroupSpec { name, services, replicas, connections, upstream }
}

fn rizzo() -> Site {
    Site {
        name: "rizzo",
        data_centres: ["palermo-1", "catania-1", "messina-1"],
        groups: vec![
            group_spec("quota-desk", 20, 2, 2),
            group_spec("bursar-sync", 30, 2, 2),
            group_spec("receipt-vault", 1, 5, 6),
            group_spec("faculty-portal", 1, 3, 6),
        ],
        region_delay: Duration::from_millis(8),
        client_delay: Duration::from_millis(3),
    }
}

fn kalipsan() -> Site {
    Site {
        name: "kalipsan",
        data_centres: ["marmara-1", "ic-anadolu-1", "ege-1"],
        groups: vec![
            group_spec("dayanım", 20, 2, 2),
            group_spec("kürlama", 30, 2, 2),
            group_spec("belge", 1, 7, 3),
            group_spec("numune", 1, 3, 3),
        ],
        region_delay: Duration::from_millis(12),
        client_delay: Duration::from_millis(1),
    }
}
