//! Connections to a replica that accepts only a few.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::{Net, Proxy, ProxyTarget, Zone};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The timeout of an answer; ample even on a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The number of connections that the replica accepts; it closes further ones at once.
const MAX_CONNECTIONS: usize = 4;

/// The interval between two charges, in which the connection of the first can close.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sequential_charges_do_not_exhaust_the_connections_of_a_replica() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let replica = Replica::start("ledger-0", "ledger", Arc::<RunLog>::default(), 1).await.unwrap();
    let target = ProxyTarget {
        // Neither a data centre nor the platform.
        zone: Zone(8),
        address: replica.address(),
        max_connections: MAX_CONNECTIONS,
        count_bytes: false,
    };
    let proxy = Proxy::start(Net::new(Duration::ZERO), 3, target).await.unwrap();
    let data_centre_name = data_centre(Zone(0));
    store.put(
        "servers",
        replica.id(),
        replica_entry("ledger", proxy.address(), &data_centre_name, false),
    );
    store.put("config", "main", configuration(1, &["a0".to_owned()], "ledger"));
    let mut process = Process::new(Zone(0), &ports, store.address(), "charges");
    process.start();
    let caller = Caller::new(process.caller_address()).unwrap();
    for number in 0.. {
        let outcome =
            caller.send(RequestKind::Charge, &format!("first-{number}"), ANSWER_TIMEOUT).await;
        if matches!(outcome, Outcome::Answered(_)) {
            break;
        }
        assert!(number < 200, "no charge is served:\n{}", process.log());
        sleep(REQUEST_INTERVAL).await;
    }
    for number in 0..MAX_CONNECTIONS * 3 {
        let outcome =
            caller.send(RequestKind::Charge, &format!("charge-{number}"), ANSWER_TIMEOUT).await;
        assert!(matches!(outcome, Outcome::Answered(_)), "charge {number}: {outcome:?}");
        sleep(REQUEST_INTERVAL).await;
    }
}
