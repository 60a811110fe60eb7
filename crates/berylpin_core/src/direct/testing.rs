//! What the tests of this module share: a catalogue of two regions with replicas and daemons.

use super::catalogue::Catalogue;
use super::configuration::{
    ClientLimits, Configuration, DaemonEntry, ReplicaEntry, RouteConfig, RouteTarget,
};
use std::time::{Duration, Instant};

/// The data centre without replicas.
pub(super) const FAR: &str = "messina";

/// The data centres with a replica of each shard.
pub(super) const HOMES: [&str; 2] = ["catania", "palermo"];

/// The prefix of the route over all shards.
pub(super) const QUERY: &str = "/query/";

/// The prefix of the route to one service, which may run once only.
pub(super) const CHARGE: &str = "/charge/";

pub(super) fn shard(index: usize) -> String {
    format!("shard-{index}")
}

pub(super) fn entry(id: &str, service: &str, data_centre: &str) -> ReplicaEntry {
    ReplicaEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        address: ([127, 0, 0, 1], 8080).into(),
        data_centre: data_centre.to_owned(),
        slots: 2,
        draining: false,
        warm_up_left: Duration::ZERO,
        started_ms: 1,
    }
}

pub(super) fn daemon(name: &str, data_centre: &str) -> DaemonEntry {
    DaemonEntry {
        name: name.to_owned(),
        address: ([127, 0, 0, 1], 7380).into(),
        data_centre: data_centre.to_owned(),
        revision: 1,
    }
}

pub(super) fn configuration(version: u64, shards: usize) -> Configuration {
    let query = RouteConfig {
        name: "query".to_owned(),
        host: "a.example".to_owned(),
        prefix: QUERY.to_owned(),
        target: RouteTarget::Shards {
            services: (0..shards).map(shard).collect(),
            limit: 10,
            min_coverage: 0.75,
        },
        idempotent: true,
        timeout: Duration::from_secs(3),
        target_latency: Duration::from_millis(200),
        max_attempts: 2,
        urgency: 0,
    };
    let charge = RouteConfig {
        name: "charge".to_owned(),
        prefix: CHARGE.to_owned(),
        target: RouteTarget::Split(vec![("ledger".to_owned(), 1.0)]),
        idempotent: false,
        ..query.clone()
    };
    Configuration {
        version,
        routes: vec![query, charge],
        max_connections: vec![("ledger".to_owned(), 100)],
        limits: ClientLimits {
            header_bytes: 8192,
            body_bytes: 65536,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// Returns the catalogue of a daemon; each data centre has two daemons.
pub(super) fn catalogue(own: &str, data_centre: &str, shards: usize, now: Instant) -> Catalogue {
    let regions = [HOMES[0], FAR, HOMES[1]].map(|name| (name.to_owned(), name.to_owned()));
    let mut catalogue = Catalogue::new(own.to_owned(), data_centre.to_owned(), regions.into());
    catalogue.configure(configuration(1, shards));
    let mut entries = Vec::new();
    for centre in HOMES {
        for index in 0..shards {
            entries.push(entry(&format!("{centre}-{index}"), &shard(index), centre));
        }
        entries.push(entry(&format!("{centre}-ledger"), "ledger", centre));
    }
    catalogue.list(entries, 1, now);
    let daemons = [HOMES[0], FAR, HOMES[1]]
        .iter()
        .flat_map(|centre| [1, 2].map(|n| daemon(&format!("{centre}-{n}"), centre)));
    catalogue.list_daemons(daemons.collect(), 1, now);
    catalogue
}
