//! Daemons whose store comes back from a copy: it has lost its last changes, and it gives their
//! revisions to other changes.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, WaitingWatches, configuration,
    replica_entry,
};
use berylpin_standin::net::Zone;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout until a daemon's entry is in the store; a daemon checks its own every 10 to 20 s.
const ENTRY_TIMEOUT: Duration = Duration::from_mins(1);

/// How long after the restore the operator and the replicas write again what they wrote before.
const REWRITE_DELAY: Duration = Duration::from_millis(1500);

/// How long after the last change a daemon watches all kinds again; after a change of daemons it waits
/// for 3 s.
const WATCH_DELAY: Duration = Duration::from_millis(3500);

/// Enough queries at a time that a single replica of a shard does not get all of them.
const CONCURRENT_QUERIES: usize = 4;

const CENTRE: Zone = Zone(0);

/// A store with a configuration, its replicas and a daemon.
struct Harness {
    store: Store,
    ports: FleetPorts,
    run_log: Arc<RunLog>,
    replicas: Vec<Replica>,
    requests: u64,
}

impl Harness {
    /// Starts a store and a replica of each service of the shards of `a` and of `ledger`.
    async fn start() -> Self {
        let store = Store::start().await.unwrap();
        let (ports, run_log) = (FleetPorts::reserve(), Arc::default());
        let mut harness = Self { store, ports, run_log, replicas: Vec::new(), requests: 0 };
        harness.put_configuration(1, "a");
        for service in ["a0", "a1", "ledger"] {
            harness.start_replica(&format!("{service}-0"), service).await;
        }
        harness
    }

    fn put_configuration(&self, version: u64, set: &str) {
        let shards = [0, 1].map(|index| format!("{set}{index}"));
        self.store.put("config", "main", configuration(version, &shards, "ledger"));
    }

    /// Starts a replica and writes its entry.
    async fn start_replica(&mut self, id: &str, service: &str) {
        let replica = Replica::start(id, service, self.run_log.clone(), 1).await.unwrap();
        self.put_entry(&replica, false, 1);
        self.replicas.push(replica);
    }

    fn put_entry(&self, replica: &Replica, draining: bool, sequence: u64) {
        let centre = data_centre(CENTRE);
        let mut entry = replica_entry(replica.service(), replica.address(), &centre, draining);
        entry["sequence"] = json!(sequence);
        self.store.put("servers", replica.id(), entry);
    }

    fn process(&self, zone: Zone, name: &str) -> Process {
        Process::new(zone, &self.ports, self.store.address(), name)
    }

    async fn query(&mut self, process: &Process) -> Outcome {
        let caller = Caller::new(process.caller_address()).unwrap();
        self.requests += 1;
        let id = format!("{}-{}", process.name(), self.requests);
        caller.send(RequestKind::Query, &id, SERVE_TIMEOUT).await
    }

    /// Waits until a daemon answers a query with both shards of `set`.
    async fn wait_until_serves(&mut self, process: &Process, set: &str) {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        while !is_whole_answer(&self.query(process).await, set) {
            let name = process.name();
            assert!(Instant::now() < deadline, "{name} does not serve {set}:\n{}", process.log());
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends some queries at a time; each must be answered with both shards of `set`.
    async fn expect_answers(&mut self, process: &Process, set: &str, duration: Duration) {
        let caller = Caller::new(process.caller_address()).unwrap();
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let mut queries = JoinSet::new();
            for _ in 0..CONCURRENT_QUERIES {
                self.requests += 1;
                let (caller, id) =
                    (caller.clone(), format!("{}-{}", process.name(), self.requests));
                queries.spawn(
                    async move { caller.send(RequestKind::Query, &id, SERVE_TIMEOUT).await },
                );
            }
            for outcome in queries.join_all().await {
                assert!(is_whole_answer(&outcome, set), "{outcome:?}:\n{}", process.log());
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Makes changes that concern no daemon until the store's revision exceeds `revision`.
    fn grow_past(&self, revision: u64) {
        for number in 0..=revision {
            self.store.put("notes", "counter", json!({"number": number}));
        }
        assert!(self.store.revision() > revision);
    }
}

fn is_whole_answer(outcome: &Outcome, set: &str) -> bool {
    let expected = [format!("{set}0"), format!("{set}1"), "missing 0".to_owned()];
    matches!(outcome, Outcome::Answered(parts) if *parts == expected)
}

/// Waits until the log of a daemon contains `text`.
async fn wait_for_line(process: &Process, text: &str) {
    wait_for_lines(process, text, 1).await;
}

/// Waits until the log of a daemon contains `text` at least `count` times.
async fn wait_for_lines(process: &Process, text: &str, count: usize) {
    let deadline = Instant::now() + SERVE_TIMEOUT;
    while process.log().matches(text).count() < count {
        assert!(Instant::now() < deadline, "no {text}:\n{}", process.log());
        sleep(Duration::from_millis(10)).await;
    }
}

fn is_failed_call_for_daemons(line: &str) -> bool {
    line.contains("control: store call failed") && line.contains("\"kind\":\"daemons\"")
}

/// The copy lacks the configuration in force and all replicas of its shards: they were dropped as
/// removed, and queries had no shards left until the replicas wrote their entries again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn live_replicas_that_the_copy_lacks_serve_until_they_are_written_again() {
    let mut harness = Harness::start().await;
    let mut process = harness.process(CENTRE, "lacking-copy");
    process.start();
    harness.wait_until_serves(&process, "a").await;
    let copy = harness.store.copy();
    harness.start_replica("b0-0", "b0").await;
    harness.start_replica("b1-0", "b1").await;
    harness.put_configuration(2, "b");
    harness.wait_until_serves(&process, "b").await;
    harness.store.restore(&copy, WaitingWatches::Answered);
    harness.expect_answers(&process, "b", REWRITE_DELAY).await;
    for replica in &harness.replicas {
        harness.put_entry(replica, false, 2);
    }
    harness.put_configuration(2, "b");
    harness.expect_answers(&process, "b", Duration::from_secs(6)).await;
    for line in ["store restored from a copy", "store holds an older configuration"] {
        assert!(process.log().contains(line), "no {line}:\n{}", process.log());
    }
}

/// A watch from before the restore is accepted once the revisions have grown past its own, so what
/// was written under the lower ones was never seen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_with_revisions_that_are_given_out_again_are_applied() {
    let mut harness = Harness::start().await;
    let mut process = harness.process(CENTRE, "same-revisions");
    let copy = harness.store.copy();
    process.start();
    harness.wait_until_serves(&process, "a").await;
    harness.grow_past(harness.store.revision() + 20);
    // A change that the daemon receives, so that it watches from this revision.
    harness.start_replica("ledger-1", "ledger").await;
    wait_for_line(&process, "\"ledger-1\"").await;
    // The list of daemons, and the daemon's own entry.
    wait_for_lines(&process, "control: daemons changed", 2).await;
    sleep(WATCH_DELAY).await;
    let revision = harness.store.revision();
    harness.store.restore(&copy, WaitingWatches::Silent);
    harness.start_replica("b0-0", "b0").await;
    harness.start_replica("b1-0", "b1").await;
    harness.put_configuration(2, "b");
    harness.grow_past(revision);
    harness.wait_until_serves(&process, "b").await;
    // The copy lacks the daemon's own entry too.
    let deadline = Instant::now() + ENTRY_TIMEOUT;
    while !harness.store.contains("daemons", process.name()) {
        assert!(Instant::now() < deadline, "no entry:\n{}", process.log());
        sleep(Duration::from_millis(50)).await;
    }
    let log = process.log();
    let timed_out = log.lines().find(|line| is_failed_call_for_daemons(line));
    assert_eq!(timed_out, None, "the silent watch of the daemons was not abandoned:\n{log}");
}

/// A replica that had drained and left was listed as ready by the copy, and got requests again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replicas_that_left_before_the_restore_get_no_requests_while_the_copy_lists_them() {
    let mut harness = Harness::start().await;
    harness.start_replica("a0-1", "a0").await;
    let mut process = harness.process(CENTRE, "left-before");
    process.start();
    harness.wait_until_serves(&process, "a").await;
    let copy = harness.store.copy();
    harness.put_entry(&harness.replicas[0], true, 5);
    wait_for_line(&process, "\"draining\":true").await;
    harness.store.remove("servers", harness.replicas[0].id());
    wait_for_line(&process, "control: replica expired").await;
    harness.expect_answers(&process, "a", Duration::from_millis(300)).await;
    harness.store.restore(&copy, WaitingWatches::Answered);
    // The platform removes a silent entry after three heartbeats of 1.2 s.
    let restored_at = std::time::Instant::now();
    harness.expect_answers(&process, "a", Duration::from_millis(3600)).await;
    harness.store.remove("servers", harness.replicas[0].id());
    harness.expect_answers(&process, "a", Duration::from_secs(2)).await;
    let late = harness.replicas[0].arrivals().into_iter().filter(|at| *at > restored_at);
    assert_eq!(late.count(), 0, "{}", process.log());
}

/// A daemon that starts on the copy knows nothing of what it lacks; its peers do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_restarted_during_the_restore_gets_the_newer_configuration_from_a_peer() {
    let mut harness = Harness::start().await;
    let mut peer = harness.process(Zone(0), "peer");
    let mut restarted = harness.process(Zone(1), "restarted");
    for process in [&mut peer, &mut restarted] {
        process.start();
        harness.wait_until_serves(process, "a").await;
    }
    harness.start_replica("b0-0", "b0").await;
    harness.start_replica("b1-0", "b1").await;
    let copy = harness.store.copy();
    harness.put_configuration(2, "b");
    for process in [&peer, &restarted] {
        harness.wait_until_serves(process, "b").await;
    }
    restarted.kill();
    harness.store.restore(&copy, WaitingWatches::Silent);
    restarted.start();
    harness.wait_until_serves(&restarted, "b").await;
    harness.expect_answers(&peer, "b", Duration::from_secs(3)).await;
    harness.put_configuration(2, "b");
    harness.expect_answers(&restarted, "b", Duration::from_secs(3)).await;
}

/// The copy lacks the entries of all daemons, so each seemed to be alone in the fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_whose_entries_the_copy_lacks_stay_peers_and_write_them_again() {
    let mut harness = Harness::start().await;
    let copy = harness.store.copy();
    let mut processes = [0, 1].map(|zone| harness.process(Zone(zone), "lacking-daemons"));
    for process in &mut processes {
        process.start();
        harness.wait_until_serves(process, "a").await;
        wait_for_line(process, "control: daemons changed").await;
    }
    for process in &processes {
        wait_for_line(process, "\"daemons\":2").await;
    }
    harness.store.restore(&copy, WaitingWatches::Answered);
    for process in &processes {
        wait_for_line(process, "control: store restored from a copy").await;
        harness.expect_answers(process, "a", Duration::from_secs(1)).await;
    }
    let deadline = Instant::now() + ENTRY_TIMEOUT;
    for process in &processes {
        while !harness.store.contains("daemons", process.name()) {
            assert!(Instant::now() < deadline, "no entry:\n{}", process.log());
            sleep(Duration::from_millis(50)).await;
        }
        let log = process.log();
        let (_, after) = log.split_once("control: store restored from a copy").unwrap();
        assert!(!after.contains("control: daemons changed"), "the fleet changed:\n{log}");
    }
}
