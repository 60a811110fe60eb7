//! Daemons that cannot reach the store learn of it from others.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, ExecutionLog, Outcome, Replica, RequestKind, Store, StoreFault, configuration,
    replica_entry,
};
use berylpin_standin::net::Zone;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long an answer may take to come; well above what a loaded machine needs.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long an entry may be missing: a daemon looks after its own each 10 to 20 s.
const ENTRY_PATIENCE: Duration = Duration::from_mins(1);

const SHARDS: [&str; 2] = ["a0", "a1"];

fn shards(set: [&str; 2]) -> Vec<String> {
    set.map(str::to_owned).to_vec()
}

/// Starts a replica of each service and enters it.
async fn replicas(store: &Store) -> Vec<Replica> {
    let ledger = Arc::new(ExecutionLog::default());
    let mut replicas = Vec::new();
    for service in ["a0", "a1", "b0", "b1", "ledger"] {
        let replica = Replica::start(&format!("{service}-0"), service, ledger.clone(), 1).await;
        let replica = replica.unwrap();
        let zone = data_centre(Zone(0));
        store.put("servers", replica.id(), replica_entry(service, replica.address(), &zone, false));
        replicas.push(replica);
    }
    replicas
}

/// Waits until a daemon answers a query whole from shards that begin with `set`.
async fn serves(process: &Process, set: &str) {
    let caller = Caller::new(process.front()).unwrap();
    let end = Instant::now() + PATIENCE;
    for number in 0.. {
        assert!(
            Instant::now() < end,
            "{} serves nothing of {set}:\n{}",
            process.name(),
            process.log()
        );
        let id = format!("{}-{set}-{number}", process.name());
        if let Outcome::Answered(named) = caller.send(RequestKind::Query, &id, PATIENCE).await
            && named[0].starts_with(set)
            && named.contains(&"missing 0".to_owned())
        {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_starts_without_the_store_serves_by_what_others_know() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    store.put("config", "main", configuration(1, &shards(SHARDS), "ledger"));
    let _replicas = replicas(&store).await;
    let mut first = Process::new(Zone(0), &ports, store.address(), "first");
    first.start();
    serves(&first, "a").await;
    store.set_fault(StoreFault::Unresponsive);
    let mut second = Process::new(Zone(1), &ports, store.address(), "second");
    second.start();
    serves(&second, "a").await;
    assert!(second.log().contains("news of a peer taken"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_is_cut_off_from_the_store_follows_the_configuration() {
    let (reached, lost) = (Store::start().await.unwrap(), Store::start().await.unwrap());
    let ports = FleetPorts::reserve();
    let _replicas = replicas(&reached).await;
    reached.put("config", "main", configuration(1, &shards(SHARDS), "ledger"));
    let mut first = Process::new(Zone(0), &ports, reached.address(), "reaching");
    first.start();
    serves(&first, "a").await;
    lost.set_fault(StoreFault::Unavailable);
    let mut second = Process::new(Zone(1), &ports, lost.address(), "cut");
    second.start();
    serves(&second, "a").await;
    reached.put("config", "main", configuration(2, &shards(["b0", "b1"]), "ledger"));
    serves(&second, "b").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_whose_entry_was_removed_enters_again() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let mut process = Process::new(Zone(0), &ports, store.address(), "removed");
    process.start();
    for removed in [false, true] {
        let end = Instant::now() + ENTRY_PATIENCE;
        while !store.contains("daemons", process.name()) {
            assert!(Instant::now() < end, "no entry (removed: {removed}):\n{}", process.log());
            sleep(Duration::from_millis(50)).await;
        }
        store.remove("daemons", process.name());
    }
}
