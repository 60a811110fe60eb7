//! Test fixtures: a catalogue with replicas in two regions and daemons in three.

use super::catalogue::Catalogue;
use super::configuration::{
    ClientLimits, Configuration, DaemonEntry, ReplicaEntry, RouteConfig, RouteTarget,
};
use super::store_era::{StoreEra, StorePosition};
use super::store_times::{ExpiryGrace, StoreCall};
use std::time::{Duration, Instant};

/// The data centre without replicas, in a region of its own.
pub(super) const REMOTE_DATA_CENTRE: &str = "messina";

/// The data centres with a replica of each shard, each in a region of its own.
pub(super) const REPLICA_DATA_CENTRES: [&str; 2] = ["catania", "palermo"];

/// The path prefix of the route over all shards.
pub(super) const QUERY_PREFIX: &str = "/query/";

/// The path prefix of the route to one service; its requests are not idempotent.
pub(super) const CHARGE_PREFIX: &str = "/charge/";

/// How long after an outage of the store the catalogue keeps removed replicas.
pub(super) const EXPIRY_GRACE: Duration = Duration::from_millis(2300);

/// The heartbeat interval of the replicas.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Returns a position in the first era of the store.
pub(super) fn position(revision: u64) -> StorePosition {
    StorePosition { era: StoreEra::default(), revision }
}

pub(super) fn shard_name(index: usize) -> String {
    format!("shard-{index}")
}

pub(super) fn replica_entry(id: &str, service: &str, data_centre: &str) -> ReplicaEntry {
    ReplicaEntry {
        id: id.to_owned(),
        service: service.to_owned(),
        address: ([127, 0, 0, 1], 8080).into(),
        data_centre: data_centre.to_owned(),
        slots: 2,
        draining: false,
        warm_up_left: Duration::ZERO,
        started_ms: 1,
        sequence: 1,
    }
}

pub(super) fn daemon_entry(name: &str, data_centre: &str) -> DaemonEntry {
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
        prefix: QUERY_PREFIX.to_owned(),
        target: RouteTarget::Shards {
            services: (0..shards).map(shard_name).collect(),
            limit: 10,
            min_coverage: 0.75,
        },
        idempotent: true,
        timeout: Duration::from_secs(3),
        target_latency: Duration::from_millis(200),
        max_attempts: 2,
        priority_index: 0,
    };
    let charge = RouteConfig {
        name: "charge".to_owned(),
        prefix: CHARGE_PREFIX.to_owned(),
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

pub(super) fn expiry_grace() -> ExpiryGrace {
    ExpiryGrace {
        after_outage: EXPIRY_GRACE,
        shortest_outage: Duration::ZERO,
        after_failed_call: Duration::from_mins(1),
    }
}

/// Returns the catalogue of the daemon `own`; each data centre has two daemons.
pub(super) fn catalogue(own: &str, data_centre: &str, shards: usize, now: Instant) -> Catalogue {
    let regions = [REPLICA_DATA_CENTRES[0], REMOTE_DATA_CENTRE, REPLICA_DATA_CENTRES[1]]
        .map(|name| (name.to_owned(), name.to_owned()));
    let mut catalogue = Catalogue::new(own.to_owned(), data_centre.to_owned(), regions.into())
        .with_expiry_grace(expiry_grace())
        .with_heartbeat(HEARTBEAT);
    catalogue.apply_configuration(configuration(1, shards));
    let mut entries = Vec::new();
    for data_centre in REPLICA_DATA_CENTRES {
        for index in 0..shards {
            entries.push(replica_entry(
                &format!("{data_centre}-{index}"),
                &shard_name(index),
                data_centre,
            ));
        }
        entries.push(replica_entry(&format!("{data_centre}-ledger"), "ledger", data_centre));
    }
    catalogue.record_replicas_call(StoreCall::InTime, now);
    catalogue.set_replicas(entries, position(1), now);
    let daemons =
        [REPLICA_DATA_CENTRES[0], REMOTE_DATA_CENTRE, REPLICA_DATA_CENTRES[1]].iter().flat_map(
            |data_centre| [1, 2].map(|n| daemon_entry(&format!("{data_centre}-{n}"), data_centre)),
        );
    catalogue.set_daemons(daemons.collect(), position(1), now);
    catalogue
}
