//! Connections to the store that go silent without a reset.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::{Net, Proxy, ProxyTarget, Zone};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The bounds in the settings of the daemon.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// How long after a change of an entry the next watch has begun.
const WATCH_DELAY: Duration = Duration::from_millis(600);

/// How long charges are sent after `DRAIN_LIMIT`.
const OBSERVED_TIME: Duration = Duration::from_millis(1500);

/// The watch that went silent was given up within its bound, but the removed replica then stayed
/// in use for a grace time that the bound did not include.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_removed_after_a_silent_connection_gets_nothing_beyond_the_drain_limit() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let run_log = Arc::<RunLog>::default();
    let mut replicas = Vec::new();
    for (id, service) in [("a0-0", "a0"), ("ledger-0", "ledger"), ("ledger-1", "ledger")] {
        let replica = Replica::start(id, service, run_log.clone(), 1).await.unwrap();
        store.put("servers", id, entry(&replica));
        replicas.push(replica);
    }
    store.put("config", "main", configuration(1, &["a0".to_owned()], "ledger"));
    let net = Net::new(Duration::ZERO);
    let target = ProxyTarget {
        zone: Zone::PLATFORM,
        address: store.address(),
        max_connections: usize::MAX,
        count_bytes: false,
    };
    let proxy = Proxy::start(net.clone(), 1, target).await.unwrap();
    let mut process = Process::new(Zone(0), &ports, proxy.address(), "silent-store");
    process.start();
    let caller = Caller::new(process.caller_address()).unwrap();
    let deadline = Instant::now() + SERVE_TIMEOUT;
    while !charge(&caller).await {
        assert!(Instant::now() < deadline, "not served:\n{}", process.log());
        sleep(Duration::from_millis(50)).await;
    }
    let mut changed = entry(&replicas[0]);
    changed["slots"] = 5.into();
    store.put("servers", replicas[0].id(), changed);
    sleep(WATCH_DELAY).await;
    net.silence_connections();
    sleep(SETTLE_TIME).await;
    let leaving = &replicas[1];
    store.remove("servers", leaving.id());
    let drained = std::time::Instant::now() + DRAIN_LIMIT;
    while std::time::Instant::now() < drained + OBSERVED_TIME {
        charge(&caller).await;
    }
    let late = leaving.arrivals().into_iter().filter(|at| *at > drained).count();
    assert_eq!(late, 0, "late requests:\n{}", process.log());
    let others = replicas[2].arrivals().into_iter().filter(|at| *at > drained).count();
    assert!(others > 0, "no request after the drain limit");
}

fn entry(replica: &Replica) -> serde_json::Value {
    replica_entry(replica.service(), replica.address(), &data_centre(Zone(0)), false)
}

/// Sends a charge; returns whether it was answered.
async fn charge(caller: &Caller) -> bool {
    let id = format!("charge-{}", rand::random::<u64>());
    let outcome = caller.send(RequestKind::Charge, &id, SERVE_TIMEOUT).await;
    matches!(outcome, Outcome::Answered(_))
}
