//! Replicas that close the connection within the head of their answer.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Fault, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::Zone;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// More than the bytes in the head of an answer, so that each length of it occurs.
const REQUESTS: usize = 160;

/// Callers of another system got a 200 with an empty or short body that was framed as whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_cut_off_within_its_head_is_never_relayed() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let run_log = Arc::<RunLog>::default();
    let mut replicas = Vec::new();
    for (id, service) in [("a0-0", "a0"), ("ledger-0", "ledger")] {
        let replica = Replica::start(id, service, run_log.clone(), 1).await.unwrap();
        let entry = replica_entry(service, replica.address(), &data_centre(Zone(0)), false);
        store.put("servers", id, entry);
        replicas.push(replica);
    }
    store.put("config", "main", configuration(1, &["a0".to_owned()], "ledger"));
    let mut process = Process::new(Zone(0), &ports, store.address(), "truncated-heads");
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
    for replica in &replicas {
        replica.set_fault(Fault::TruncateHead, 1.0);
    }
    for number in 0..REQUESTS {
        for kind in [RequestKind::Charge, RequestKind::Query] {
            let id = format!("{kind:?}-{number}");
            let outcome = caller.send(kind, &id, TIMEOUT).await;
            let failed = matches!(outcome, Outcome::ErrorStatus(_) | Outcome::RefusedNotRun);
            assert!(failed, "{id}: {outcome:?}");
            let runs = run_log.runs(&id).len();
            assert!(outcome != Outcome::RefusedNotRun || runs == 0, "{id} ran {runs} times");
            assert!(kind == RequestKind::Query || runs <= 1, "{id} ran {runs} times");
        }
    }
    let ran = (0..REQUESTS).filter(|number| !run_log.runs(&format!("Charge-{number}")).is_empty());
    assert!(ran.count() > REQUESTS / 2, "most charges reach the replica");
}
