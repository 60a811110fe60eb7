//! Connections to replicas that accept few.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, ExecutionLog, Outcome, Replica, RequestKind, Store, configuration, replica_entry,
};
use berylpin_standin::net::{Net, Proxy, Target, Zone};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// How long an answer may take; well above what a loaded machine needs.
const PATIENCE: Duration = Duration::from_secs(10);

/// Connections that the replica accepts; more are closed at once.
const LIMIT: usize = 4;

/// The pause between two charges, in which the one before can be closed.
const PAUSE: Duration = Duration::from_millis(50);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_of_charges_do_not_pile_up_at_a_replica() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let replica =
        Replica::start("ledger-0", "ledger", Arc::<ExecutionLog>::default(), 1).await.unwrap();
    let target = Target { zone: Zone(8), address: replica.address(), limit: LIMIT, counted: false };
    let proxy = Proxy::start(Net::new(Duration::ZERO), 3, target).await.unwrap();
    let zone = data_centre(Zone(0));
    store.put("servers", replica.id(), replica_entry("ledger", proxy.address(), &zone, false));
    store.put("config", "main", configuration(1, &["a0".to_owned()], "ledger"));
    let mut process = Process::new(Zone(0), &ports, store.address(), "charges");
    process.start();
    let caller = Caller::new(process.front()).unwrap();
    for number in 0.. {
        let seen = caller.send(RequestKind::Charge, &format!("first-{number}"), PATIENCE).await;
        if matches!(seen, Outcome::Answered(_)) {
            break;
        }
        assert!(number < 200, "no charge is served:\n{}", process.log());
        sleep(PAUSE).await;
    }
    for number in 0..LIMIT * 3 {
        let seen = caller.send(RequestKind::Charge, &format!("charge-{number}"), PATIENCE).await;
        assert!(matches!(seen, Outcome::Answered(_)), "charge {number}: {seen:?}");
        sleep(PAUSE).await;
    }
}
