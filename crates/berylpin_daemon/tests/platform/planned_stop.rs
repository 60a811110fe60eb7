//! A planned stop under load: each request that a daemon has passed on to a replica is answered.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Fault, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::Zone;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The timeout of an answer; longer than a stopping daemon runs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// The timeout of charges, at the daemon and at callers; longer than a stopping daemon runs.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

/// A time after SIGTERM that is less than the charges' target latency before the daemon ends.
const LATE_IN_STOP: Duration = Duration::from_millis(4900);

/// More charges than the budget of extra attempts has retries for.
const WAITING_CHARGES: usize = 150;

/// The timeout until a daemon serves; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Callers that send one request after the other, on connections that they keep.
const CALLERS: usize = 12;

/// How long a caller goes on after a request that was not answered; the daemon has ended then.
const MAX_FAILURES: usize = 20;

const SHARDS: [&str; 3] = ["a0", "a1", "a2"];

/// Sends queries and charges until the daemon is gone; returns the outcome of each request.
async fn send_until_gone(caller: Caller, name: String) -> Vec<(String, Outcome)> {
    let (mut outcomes, mut failures) = (Vec::new(), 0);
    for number in 0.. {
        let kind = if number % 2 == 0 { RequestKind::Query } else { RequestKind::Charge };
        let id = format!("{name}-{number}");
        let outcome = caller.send(kind, &id, ANSWER_TIMEOUT).await;
        failures = if outcome == Outcome::Failed { failures + 1 } else { 0 };
        outcomes.push((id, outcome));
        if failures == MAX_FAILURES {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    outcomes
}

/// A daemon with two replicas of each service, which serves.
struct Harness {
    process: Process,
    run_log: Arc<RunLog>,
    /// The replicas of the service that charges go to.
    ledger: Vec<Replica>,
    _shards: Vec<Replica>,
    _store: Store,
    _ports: FleetPorts,
}

impl Harness {
    /// Starts a daemon; `fault` is injected into a share of the requests once it serves.
    async fn start(name: &str, fault: Fault, share: f64) -> Self {
        let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
        let run_log = Arc::<RunLog>::default();
        let mut replicas = Vec::new();
        for service in SHARDS.into_iter().chain(["ledger"]) {
            for copy in 0..2 {
                let id = format!("{service}-{copy}");
                let replica = Replica::start(&id, service, run_log.clone(), copy).await.unwrap();
                let entry = replica_entry(service, replica.address(), &data_centre(Zone(0)), false);
                store.put("servers", &id, entry);
                replicas.push(replica);
            }
        }
        let shards: Vec<_> = SHARDS.map(str::to_owned).to_vec();
        let mut configuration = configuration(1, &shards, "ledger");
        configuration["limits"]["header_timeout_ms"] = (LONG_TIMEOUT.as_millis() as u64).into();
        configuration["routes"][1]["timeout_ms"] = (LONG_TIMEOUT.as_millis() as u64).into();
        store.put("config", "main", configuration);
        let mut process = Process::new(Zone(0), &ports, store.address(), name);
        process.start();
        let caller = Caller::new(process.caller_address()).unwrap();
        let deadline = Instant::now() + SERVE_TIMEOUT;
        for number in 0.. {
            let id = format!("start-{number}");
            if let Outcome::Answered(_) =
                caller.send(RequestKind::Charge, &id, ANSWER_TIMEOUT).await
            {
                break;
            }
            assert!(Instant::now() < deadline, "not served:\n{}", process.log());
            sleep(Duration::from_millis(50)).await;
        }
        for replica in &replicas {
            replica.set_fault(fault, share);
        }
        let ledger = replicas.split_off(SHARDS.len() * 2);
        Self { process, run_log, ledger, _shards: replicas, _store: store, _ports: ports }
    }

    /// Sends charges at once; their outcomes arrive when all of them have ended.
    fn send_charges(&self, count: usize) -> JoinSet<(String, Outcome)> {
        let mut charges = JoinSet::new();
        for number in 0..count {
            let caller = Caller::new(self.process.caller_address()).unwrap();
            charges.spawn(async move {
                let id = format!("charge-{number}");
                (id.clone(), caller.send(RequestKind::Charge, &id, LONG_TIMEOUT).await)
            });
        }
        charges
    }

    fn ledger_arrivals(&self) -> usize {
        self.ledger.iter().map(|replica| replica.arrivals().len()).sum()
    }
}

/// Requests that were accepted shortly before the end were cut off without an answer elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_request_that_a_replica_ran_is_answered_during_a_planned_stop() {
    // Slow answers keep requests in flight whenever the daemon closes something.
    let mut harness = Harness::start("planned-stop", Fault::Slow, 0.5).await;
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let caller = Caller::new(harness.process.caller_address()).unwrap();
        callers.spawn(send_until_gone(caller, format!("caller-{number}")));
    }
    sleep(Duration::from_millis(500)).await;
    harness.process.signal("-TERM");
    harness.process.wait_for_stop().await;
    let outcomes: Vec<_> = callers.join_all().await.into_iter().flatten().collect();
    let answered = outcomes.iter().filter(|(_, o)| matches!(o, Outcome::Answered(_))).count();
    assert!(answered > CALLERS, "{answered} requests answered");
    for (id, outcome) in outcomes {
        let runs = harness.run_log.runs(&id);
        let cut_off = outcome == Outcome::Failed;
        assert!(!cut_off || runs.is_empty(), "{id} ran at {runs:?} and was cut off");
    }
}

/// Requests that waited for the budget of extra attempts were cut off without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_that_wait_for_an_attempt_are_refused_at_the_end_of_a_planned_stop() {
    let mut harness = Harness::start("waiting-stop", Fault::Refuse, 1.0).await;
    let charges = harness.send_charges(WAITING_CHARGES);
    sleep(Duration::from_millis(500)).await;
    harness.process.signal("-TERM");
    harness.process.wait_for_stop().await;
    for (id, outcome) in charges.join_all().await {
        assert_eq!(outcome, Outcome::RefusedNotRun, "{id}:\n{}", harness.process.log());
    }
}

/// Requests that replicas had not answered were cut off, and so were those that came after the
/// daemon stopped accepting, on connections from before; the latter were even sent to replicas.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_late_in_a_planned_stop_are_answered_and_not_sent_to_replicas() {
    let mut harness = Harness::start("late-stop", Fault::Hang, 1.0).await;
    let charges = harness.send_charges(CALLERS);
    sleep(Duration::from_millis(500)).await;
    let mut late = TcpStream::connect(harness.process.caller_address()).await.unwrap();
    // Without its body, so that the daemon has to read on after it stopped accepting.
    let head = "POST /charge/late HTTP/1.1\r\nhost: a.example\r\nx-request-id: late\r\n\
                x-deadline-ms: 8000\r\ncontent-length: 1\r\n\r\n";
    late.write_all(head.as_bytes()).await.unwrap();
    harness.process.signal("-TERM");
    sleep(LATE_IN_STOP).await;
    let arrivals = harness.ledger_arrivals();
    late.write_all(b"1").await.unwrap();
    let mut answer = String::new();
    // A reset ends the answer as well.
    let _ = late.read_to_string(&mut answer).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}:\n{}", harness.process.log());
    assert_eq!(harness.ledger_arrivals(), arrivals, "a late request is sent to no replica");
    harness.process.wait_for_stop().await;
    let mut in_flight = 0;
    for (id, outcome) in charges.join_all().await {
        // Replicas refuse what they have no slot for.
        let ran = !harness.run_log.runs(&id).is_empty();
        let expected = if ran { Outcome::ErrorStatus(504) } else { Outcome::RefusedNotRun };
        assert_eq!(outcome, expected, "{id}:\n{}", harness.process.log());
        in_flight += usize::from(ran);
    }
    assert!(in_flight > 0, "no charge was in flight at the end");
}
