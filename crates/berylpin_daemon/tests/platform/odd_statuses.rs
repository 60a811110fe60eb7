//! Replicas whose answers have statuses that no answer may have.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Fault, Outcome, Replica, RequestKind, RunLog, Store, add_read_route, configuration,
    replica_entry,
};
use berylpin_standin::net::Zone;
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

const SHARDS: usize = 4;

/// The requests of each kind that are sent until a replica runs one.
const MAX_REQUESTS: usize = 20;

const KINDS: [RequestKind; 3] = [RequestKind::Query, RequestKind::Charge, RequestKind::Read];

/// Status lines that are none, or whose status is not that of a final answer.
const ODD_STATUS_LINES: [&str; 17] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 001 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 700 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 0200 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 2OO X",
    "HTTP/1.1 -20 X",
    "HTTP/1.1 20 X",
    "HTTP/1.0 000 X",
    "HTTP/2 200 X",
    "HTTP/1.1  200 X",
    "HTTP/1.1 ",
    "HTTP/1.1",
];

/// Answers after the status line; these replicas run the request whatever they say.
const RESTS: [&str; 4] = [
    "{id}{signature}{length}\r\n{body}",
    "{id}{length}\r\n{body}",
    "{length}\r\n{body}",
    "{id}{signature}{not_run}{length}\r\n{body}",
];

/// Two daemons, the second of which is close to two replicas of each shard and of the ledger.
struct Harness {
    processes: Vec<Process>,
    callers: Vec<Caller>,
    /// The first replica of each service, then the second of each.
    replicas: Vec<Replica>,
    run_log: Arc<RunLog>,
    /// The number of the last request.
    last_request: Cell<usize>,
    _store: Store,
    _ports: FleetPorts,
}

impl Harness {
    /// Starts daemons whose idempotent requests may be sent to as many replicas of each service.
    async fn start(name: &str, max_attempts: u32) -> Self {
        let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
        let run_log = Arc::<RunLog>::default();
        let shards: Vec<String> = (0..SHARDS).map(|index| format!("a{index}")).collect();
        let mut replicas = Vec::new();
        for copy in 0..2 {
            for service in shards.iter().map(String::as_str).chain(["ledger"]) {
                let id = format!("{service}-{copy}");
                let replica = Replica::start(&id, service, run_log.clone(), copy).await.unwrap();
                let entry = replica_entry(service, replica.address(), &data_centre(Zone(1)), false);
                store.put("servers", &id, entry);
                replicas.push(replica);
            }
        }
        let mut configuration = configuration(1, &shards, "ledger");
        configuration["routes"][0]["max_attempts"] = max_attempts.into();
        add_read_route(&mut configuration, "ledger", max_attempts);
        store.put("config", "main", configuration);
        let (mut processes, mut callers) = (Vec::new(), Vec::new());
        for zone in [Zone(0), Zone(1)] {
            let mut process = Process::new(zone, &ports, store.address(), name);
            process.start();
            callers.push(Caller::new(process.caller_address()).unwrap());
            processes.push(process);
        }
        let last_request = Cell::new(0);
        let harness = Self {
            processes,
            callers,
            replicas,
            run_log,
            last_request,
            _store: store,
            _ports: ports,
        };
        for daemon in 0..harness.callers.len() {
            harness.wait_until_served(daemon).await;
        }
        harness
    }

    async fn wait_until_served(&self, daemon: usize) {
        let deadline = Instant::now() + TIMEOUT;
        for kind in KINDS {
            while !matches!(self.send(daemon, kind).await.1, Outcome::Answered(_)) {
                let log = self.processes[daemon].log();
                assert!(Instant::now() < deadline, "{kind:?} not served:\n{log}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Sends a request; returns its id and its outcome.
    async fn send(&self, daemon: usize, kind: RequestKind) -> (String, Outcome) {
        self.last_request.set(self.last_request.get() + 1);
        let id = format!("{kind:?}-{}", self.last_request.get());
        let outcome = self.callers[daemon].send(kind, &id, TIMEOUT).await;
        (id, outcome)
    }

    /// Sends requests until a replica runs one; returns its runs and its outcome.
    async fn send_until_run(&self, daemon: usize, kind: RequestKind) -> (usize, Outcome) {
        for _ in 0..MAX_REQUESTS {
            let (id, outcome) = self.send(daemon, kind).await;
            let runs = self.run_log.runs(&id).len();
            if runs > 0 {
                return (runs, outcome);
            }
        }
        panic!("no replica runs a {kind:?}:\n{}", self.processes[daemon].log());
    }

    fn set_fault(&self, fault: Fault) {
        for replica in &self.replicas {
            replica.set_fault(fault, 1.0);
        }
    }

    fn arrivals(&self) -> usize {
        self.replicas.iter().map(|replica| replica.arrivals().len()).sum()
    }

    fn connections(&self) -> usize {
        self.replicas.iter().map(Replica::connections).sum()
    }
}

/// Callers of another system got status 000 of a replica in trouble as an answer. Here they got
/// 101 and statuses from 600 on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_with_an_odd_status_is_never_relayed() {
    let harness = Harness::start("odd-statuses", 1).await;
    let (arrivals, connections) = (harness.arrivals(), harness.connections());
    let mut wrong = Vec::new();
    for status_line in ODD_STATUS_LINES {
        for rest in RESTS {
            harness.set_fault(Fault::Raw(status_line, rest));
            for (daemon, kind) in (0..2).flat_map(|daemon| KINDS.map(|kind| (daemon, kind))) {
                let (runs, outcome) = harness.send_until_run(daemon, kind).await;
                let may_be_told = matches!(outcome, Outcome::ErrorStatus(502 | 504));
                if !may_be_told || (kind == RequestKind::Charge && runs != 1) {
                    wrong.push(format!("{status_line:?} {rest:?} {kind:?}: {outcome:?}, {runs}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    // Only connections with sound answers from before are used again.
    let reused =
        (harness.arrivals() - arrivals).saturating_sub(harness.connections() - connections);
    assert!(reused <= arrivals, "{reused} requests were sent on connections with an odd answer");
    let fetched = harness.processes[1].log().contains("\"outcome\":\"fetched\"");
    assert!(fetched, "the second daemon fetches parts for the first");
}

/// A query lacked each part whose first answer had an odd status, and a read was answered with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_repeatable_request_goes_on_at_another_replica_after_an_odd_status() {
    let harness = Harness::start("odd-status-retries", 2).await;
    let (first, second) = harness.replicas.split_at(SHARDS + 1);
    let cases = [("HTTP/1.1 000 X", first), ("HTTP/1.1 101 X", second), ("HTTP/1.1 600 X", first)];
    check_retries(&harness, &cases).await;
}

/// Checks that queries and reads are answered in full while some replicas send a status line.
///
/// A replica with an odd answer is avoided for a while, so different ones should take turns.
async fn check_retries(harness: &Harness, cases: &[(&'static str, &[Replica])]) {
    let mut wrong = Vec::new();
    for (status_line, odd) in cases.iter().copied() {
        harness.set_fault(Fault::None);
        for replica in odd {
            replica.set_fault(Fault::Raw(status_line, RESTS[0]), 1.0);
        }
        let before: usize = odd.iter().map(|replica| replica.arrivals().len()).sum();
        for _ in 0..MAX_REQUESTS {
            for kind in [RequestKind::Query, RequestKind::Read] {
                let (_, outcome) = harness.send(1, kind).await;
                let missing = "missing 0".to_owned();
                let complete = matches!(&outcome, Outcome::Answered(parts)
                    if kind == RequestKind::Read || parts.contains(&missing));
                if !complete {
                    wrong.push(format!("{status_line:?} {kind:?}: {outcome:?}"));
                }
            }
        }
        let arrived = odd.iter().map(|replica| replica.arrivals().len()).sum::<usize>() - before;
        assert!(arrived > 0, "{status_line}: no request reaches an odd replica");
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// The header that says not run counts in the final answer only.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_interim_answer_decides_nothing() {
    let harness = Harness::start("interim-statuses", 1).await;
    let cases = [
        ("HTTP/1.1 102 X", "{not_run}\r\nHTTP/1.1 200\r\n", true),
        ("HTTP/1.1 103 X", "{id}{signature}\r\nHTTP/1.1 200 \r\n", true),
        ("HTTP/1.1 102 X", "{not_run}\r\nHTTP/1.1 000 X\r\n", false),
        ("HTTP/1.1 199 X", "{id}{signature}{not_run}\r\n", false),
        ("HTTP/1.1 100 X", "{not_run}\r\nx", false),
    ];
    for (status_line, interim, answered) in cases {
        let rest = if answered || interim.ends_with("X\r\n") {
            [interim, RESTS[0]].concat()
        } else {
            interim.to_owned()
        };
        harness.set_fault(Fault::Raw(status_line, rest.leak()));
        for kind in KINDS {
            let (runs, outcome) = harness.send_until_run(1, kind).await;
            let is_expected = match outcome {
                Outcome::Answered(_) => answered,
                Outcome::ErrorStatus(502 | 504) => !answered,
                _ => false,
            };
            assert!(is_expected, "{status_line:?} {interim:?} {kind:?}: {outcome:?}");
            assert!(kind != RequestKind::Charge || runs == 1, "{interim:?}: {runs} runs");
        }
    }
}

/// Callers got a 204 without the body that the replica had sent, and a charge that had run was sent
/// to other replicas since its success said at the same time that it had not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_success_that_contradicts_itself_is_never_relayed() {
    let harness = Harness::start("contradictory-statuses", 1).await;
    let cases = [
        ("HTTP/1.1 204 X", RESTS[0]),
        (
            "HTTP/1.1 204 X",
            "{id}{signature}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ),
        ("HTTP/1.1 200 X", RESTS[3]),
        ("HTTP/1.1 204 X", "{id}{signature}{not_run}\r\n"),
    ];
    let mut wrong = Vec::new();
    for (status_line, rest) in cases {
        harness.set_fault(Fault::Raw(status_line, rest));
        for kind in KINDS {
            let (runs, outcome) = harness.send_until_run(1, kind).await;
            if !matches!(outcome, Outcome::ErrorStatus(502)) || runs > SHARDS {
                wrong.push(format!("{status_line:?} {rest:?} {kind:?}: {outcome:?}, {runs} runs"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// The bytes after a head without content may come when the connection is in use again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_connection_whose_304_states_a_body_is_closed() {
    let harness = Harness::start("status-304", 1).await;
    harness.set_fault(Fault::Raw("HTTP/1.1 304 X", "{id}{signature}{length}\r\n"));
    let first = harness.send_until_run(1, RequestKind::Read).await;
    assert_eq!(first, (1, Outcome::ErrorStatus(304)));
    let (arrivals, connections) = (harness.arrivals(), harness.connections());
    for _ in 0..MAX_REQUESTS {
        assert_eq!(harness.send(1, RequestKind::Read).await.1, Outcome::ErrorStatus(304));
    }
    // The replica that was not asked first has an idle connection with a sound answer.
    let reused = (harness.arrivals() - arrivals) - (harness.connections() - connections);
    assert!(reused <= 1, "{reused} connections are used again");
}

/// A charge that had run was answered with the 503 of its replica, which promises callers that the
/// charge has not run and never will.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_refusal_without_proof_is_never_relayed() {
    let harness = Harness::start("unproven-refusals", 1).await;
    let mut wrong = Vec::new();
    for status_line in ["HTTP/1.1 408 X", "HTTP/1.1 429 X", "HTTP/1.1 503 X"] {
        for rest in RESTS.into_iter().filter(|rest| !rest.contains("{not_run}")) {
            harness.set_fault(Fault::Raw(status_line, rest));
            for kind in KINDS {
                let (runs, outcome) = harness.send_until_run(1, kind).await;
                if outcome != Outcome::ErrorStatus(502) || runs > SHARDS {
                    wrong.push(format!("{status_line:?} {rest:?} {kind:?}: {outcome:?}, {runs}"));
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// A read was answered with the 429 of the first replica, although another one could serve it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_repeatable_request_goes_on_at_another_replica_after_an_unproven_refusal() {
    let harness = Harness::start("unproven-refusal-retries", 2).await;
    let (first, second) = harness.replicas.split_at(SHARDS + 1);
    let cases = [("HTTP/1.1 429 X", first), ("HTTP/1.1 408 X", second), ("HTTP/1.1 503 X", first)];
    check_retries(&harness, &cases).await;
}
