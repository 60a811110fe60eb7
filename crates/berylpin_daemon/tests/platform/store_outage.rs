//! Daemons that apply state from peers during a store outage, and that restore a removed entry.

use super::process::{FleetPorts, Process, data_centre, start_store_proxy};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, StoreFault, configuration, replica_entry,
};
use berylpin_standin::net::{Net, Zone};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout until a daemon's entry is in the store; a daemon checks its own every 10 to 20 s.
const ENTRY_TIMEOUT: Duration = Duration::from_mins(1);

const SHARDS: [&str; 2] = ["a0", "a1"];

fn shards(set: [&str; 2]) -> Vec<String> {
    set.map(str::to_owned).to_vec()
}

/// Starts a replica of each service and puts its entry into the store.
async fn start_replicas(store: &Store) -> Vec<Replica> {
    let run_log = Arc::new(RunLog::default());
    let mut replicas = Vec::new();
    for service in ["a0", "a1", "b0", "b1", "ledger"] {
        let replica = Replica::start(&format!("{service}-0"), service, run_log.clone(), 1).await;
        let replica = replica.unwrap();
        let data_centre_name = data_centre(Zone(0));
        store.put(
            "servers",
            replica.id(),
            replica_entry(service, replica.address(), &data_centre_name, false),
        );
        replicas.push(replica);
    }
    replicas
}

/// Waits until a daemon answers a query with all shards; their names begin with `set`.
async fn wait_until_serves(process: &Process, set: &str) {
    let caller = Caller::new(process.caller_address()).unwrap();
    let deadline = Instant::now() + SERVE_TIMEOUT;
    for number in 0.. {
        assert!(
            Instant::now() < deadline,
            "{} does not serve the shards of {set}:\n{}",
            process.name(),
            process.log()
        );
        let id = format!("{}-{set}-{number}", process.name());
        if let Outcome::Answered(parts) = caller.send(RequestKind::Query, &id, SERVE_TIMEOUT).await
            && parts[0].starts_with(set)
            && parts.contains(&"missing 0".to_owned())
        {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_started_during_a_store_outage_serves_with_state_from_a_peer() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    store.put("config", "main", configuration(1, &shards(SHARDS), "ledger"));
    let _replicas = start_replicas(&store).await;
    let mut first = Process::new(Zone(0), &ports, store.address(), "first");
    first.start();
    wait_until_serves(&first, "a").await;
    store.set_fault(StoreFault::Unresponsive);
    let mut second = Process::new(Zone(1), &ports, store.address(), "second");
    second.start();
    wait_until_serves(&second, "a").await;
    assert!(second.log().contains("control: newer configuration or entries of peer applied"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_without_its_store_applies_a_new_configuration_from_a_peer() {
    let (reachable, unavailable) = (Store::start().await.unwrap(), Store::start().await.unwrap());
    let ports = FleetPorts::reserve();
    let _replicas = start_replicas(&reachable).await;
    reachable.put("config", "main", configuration(1, &shards(SHARDS), "ledger"));
    let mut first = Process::new(Zone(0), &ports, reachable.address(), "reaching");
    first.start();
    wait_until_serves(&first, "a").await;
    unavailable.set_fault(StoreFault::Unavailable);
    let mut second = Process::new(Zone(1), &ports, unavailable.address(), "cut");
    second.start();
    wait_until_serves(&second, "a").await;
    reachable.put("config", "main", configuration(2, &shards(["b0", "b1"]), "ledger"));
    wait_until_serves(&second, "b").await;
}

/// A silent connection to the store looks like one without changes, so a daemon went on with its
/// older configuration until the watch timed out, while its peers sent it parts for a newer one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_with_a_silent_watch_applies_a_newer_configuration_that_a_peer_reports() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let _replicas = start_replicas(&store).await;
    store.put("config", "main", configuration(1, &shards(SHARDS), "ledger"));
    let net = Net::new(Duration::ZERO);
    let proxy = start_store_proxy(&net, &store).await;
    let mut reaching = Process::new(Zone(0), &ports, store.address(), "reaching-store");
    let mut silent = Process::new(Zone(1), &ports, proxy.address(), "silent-watch");
    for process in [&mut reaching, &mut silent] {
        process.start();
        wait_until_serves(process, "a").await;
    }
    wait_for_line(&silent, "link: connected").await;
    // Both watches begin anew with the change, and the one through the proxy goes silent.
    store.put("config", "main", configuration(2, &shards(SHARDS), "ledger"));
    wait_for_line(&silent, "\"version\":2").await;
    net.set_cut(Zone(1), Zone::PLATFORM, true);
    store.put("config", "main", configuration(3, &shards(["b0", "b1"]), "ledger"));
    wait_until_serves(&silent, "b").await;
    let log = silent.log();
    let reported = log.find("control: peer has a newer configuration");
    let timed_out = log.lines().find(|line| is_failed_watch(line)).and_then(|line| log.find(line));
    assert!(reported.is_some(), "no report of a peer:\n{log}");
    assert!(timed_out.is_none_or(|at| reported < Some(at)), "the watch timed out first:\n{log}");
}

fn is_failed_watch(line: &str) -> bool {
    line.contains("control: store call failed") && line.contains("\"configuration\"")
}

/// Waits until the log of a daemon contains `text`.
async fn wait_for_line(process: &Process, text: &str) {
    let deadline = Instant::now() + SERVE_TIMEOUT;
    while !process.log().contains(text) {
        assert!(Instant::now() < deadline, "no {text}:\n{}", process.log());
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_whose_entry_was_removed_writes_it_again() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let mut process = Process::new(Zone(0), &ports, store.address(), "removed");
    process.start();
    for removed in [false, true] {
        let deadline = Instant::now() + ENTRY_TIMEOUT;
        while !store.contains("daemons", process.name()) {
            assert!(Instant::now() < deadline, "no entry (removed: {removed}):\n{}", process.log());
            sleep(Duration::from_millis(50)).await;
        }
        store.remove("daemons", process.name());
    }
}
