//! Long bodies of many requests at once.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Fault, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::Zone;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The length of the bodies; the limit of the configuration.
const BODY_BYTES: usize = 256 << 10;

/// The bodies of all requests exceed the memory of the process.
const REQUESTS: usize = 600;

/// The memory of a process whose settings state no limit, in KB.
const MEMORY_LIMIT_KB: u64 = 128 << 10;

/// The bodies of requests that waited for an attempt took the daemon beyond its memory limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_with_long_bodies_are_refused_when_the_memory_for_bodies_is_used_up() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let run_log = Arc::<RunLog>::default();
    let mut replicas = Vec::new();
    for (id, service) in [("a0-0", "a0"), ("ledger-0", "ledger"), ("ledger-1", "ledger")] {
        let replica = Replica::start(id, service, run_log.clone(), 1).await.unwrap();
        let entry = replica_entry(service, replica.address(), &data_centre(Zone(0)), false);
        store.put("servers", id, entry);
        replicas.push(replica);
    }
    let mut configuration = configuration(1, &["a0".to_owned()], "ledger");
    configuration["routes"][1]["timeout_ms"] = 3000.into();
    configuration["limits"]["header_timeout_ms"] = (TIMEOUT.as_millis() as u64).into();
    store.put("config", "main", configuration);
    let mut process = Process::new(Zone(0), &ports, store.address(), "long-bodies");
    process.start();
    let caller = Caller::new(process.caller_address()).unwrap();
    let deadline = Instant::now() + TIMEOUT;
    for number in 0.. {
        let outcome = caller.send(RequestKind::Charge, &format!("start-{number}"), TIMEOUT).await;
        if let Outcome::Answered(_) = outcome {
            break;
        }
        assert!(Instant::now() < deadline, "not served:\n{}", process.log());
        sleep(Duration::from_millis(50)).await;
    }
    // Refused charges wait for another attempt.
    for replica in &replicas {
        replica.set_fault(Fault::Refuse, 1.0);
    }
    let body = Bytes::from(vec![b'1'; BODY_BYTES]);
    let mut charges = JoinSet::new();
    for number in 0..REQUESTS {
        let caller = caller.clone().with_charge_body(body.clone());
        charges.spawn(async move {
            caller.send(RequestKind::Charge, &format!("charge-{number}"), TIMEOUT).await
        });
    }
    for outcome in charges.join_all().await {
        assert_eq!(outcome, Outcome::RefusedNotRun, "{}", process.log());
    }
    let memory = process.peak_memory_kb();
    assert!(memory < MEMORY_LIMIT_KB, "{memory} KB");
    assert!(process.log().contains("\"reason\":\"no_memory\""), "{}", process.log());
    // The memory is available again.
    for replica in &replicas {
        replica.set_fault(Fault::None, 0.0);
    }
    let caller = caller.with_charge_body(body);
    let outcome = caller.send(RequestKind::Charge, "after", TIMEOUT).await;
    assert_eq!(outcome, Outcome::Answered(vec!["ledger".to_owned()]));
}
