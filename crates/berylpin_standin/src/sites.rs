//! The sizes of today's two sites.

use crate::upstream::UpstreamSpec;
use berylpin_core::rank::Rank;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The median service time of a lookup.
const MEDIAN_SERVICE_TIME: Duration = Duration::from_millis(8);

/// The shard of every service at first.
pub const FIRST_SHARD: &str = "main";

/// How soon answers should arrive, indexed by rank.
pub const LATENCY_TARGETS: [Duration; Rank::COUNT] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_secs(5)];

/// A customer and its services.
#[derive(Clone, Debug)]
pub struct Site {
    /// The name on the command line.
    pub name: &'static str,
    /// Its data centres, one a region.
    pub data_centres: [&'static str; 3],
    /// Its services.
    pub groups: Vec<GroupSpec>,
    /// One way between regions.
    pub region_delay: Duration,
    /// One way to clients.
    pub client_delay: Duration,
}

/// Services of one shape.
#[derive(Clone, Copy, Debug)]
pub struct GroupSpec {
    /// The group, or the service if it has but one.
    pub name: &'static str,
    /// How many services it has.
    pub services: usize,
    /// Replicas of each.
    pub replicas: usize,
    /// Connections that each replica accepts.
    pub connections: u16,
    /// The shape of each replica.
    pub upstream: UpstreamSpec,
}

impl Site {
    /// Finds a site by its name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "rizzo" => Some(rizzo()),
            "kalipsan" => Some(kalipsan()),
            _ => None,
        }
    }
}

impl GroupSpec {
    /// Returns the name of one of its services.
    pub fn service_name(&self, index: usize) -> String {
        if self.services == 1 {
            return self.name.to_owned();
        }
        format!("{}-{:02}", self.name, index + 1)
    }

    /// Returns the document of one of its services, still without replicas.
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

/// What an operator writes about a service.
#[derive(Clone, Debug)]
pub struct Document {
    /// The name of the service.
    pub service: String,
    /// Its group.
    pub group: &'static str,
    /// The share of hedges and retries allowed; the product's default if absent.
    pub extra_load: Option<f64>,
    /// The names of its shards.
    pub shards: Vec<String>,
    /// Its replicas; each holds all shards.
    pub replicas: Vec<DocumentReplica>,
    /// Slots of each replica.
    pub slots: u16,
    /// Connections that each replica accepts.
    pub connections: u16,
}

/// A replica in a document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentReplica {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: &'static str,
    /// Whether it is to get no new work.
    pub drain: bool,
}

/// The TOML text.
impl fmt::Display for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service = \"{}\"\ngroup = \"{}\"", self.service, self.group)?;
        if let Some(share) = self.extra_load {
            writeln!(f, "extra_load = {share:?}")?;
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

/// Returns a group of services of one shape.
pub fn group_spec(name: &'static str, services: usize, replicas: usize, slots: u16) -> GroupSpec {
    let (connections, connect_delay) = match slots {
        2 => (25, 6),
        3 => (40, 1),
        _ => (110, 1),
    };
    let upstream = UpstreamSpec {
        slots,
        connect_delay: Duration::from_millis(connect_delay),
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
