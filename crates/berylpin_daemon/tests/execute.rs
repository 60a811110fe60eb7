//! Non-idempotent requests through daemons on loopback.

mod fleet;

use berylpin_core::verdict::Verdict;
use berylpin_standin::platform::PlatformFaults;
use berylpin_standin::upstream::UpstreamFaults;
use berylpin_wire::caller::RefusalBody;
use fleet::Fleet;
use reqwest::StatusCode;
use std::time::Duration;
use tokio::time::timeout;

const SERVICE_TIME: Duration = Duration::from_millis(5);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resend_through_another_daemon_returns_the_first_result() {
    let fleet = Fleet::start(SERVICE_TIME, false).await;
    let key = fleet.issue_key(0).await;
    let first = fleet.execute(1, &key, "charge 3").await.unwrap();
    assert_eq!(first.verdict, Verdict::Ran);
    assert_eq!(first.result, "executed: charge 3");
    assert_eq!(fleet.execute(2, &key, "charge 3").await.unwrap(), first);
    let (status, refusal) = fleet.execute(0, &key, "charge 4").await.unwrap_err();
    assert_eq!((status, refusal.verdict), (StatusCode::CONFLICT, Verdict::Ran));
    assert_eq!(fleet.runs(&key), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_resends_run_once() {
    let fleet = Fleet::start(Duration::from_millis(100), false).await;
    let key = fleet.issue_key(2).await;
    let (a, b, c) = tokio::join!(
        fleet.execute(0, &key, "charge"),
        fleet.execute(1, &key, "charge"),
        fleet.execute(2, &key, "charge"),
    );
    assert_eq!(a.as_ref().unwrap(), b.as_ref().unwrap());
    assert_eq!(b.unwrap(), c.unwrap());
    assert_eq!(fleet.runs(&key), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_of_a_killed_holder_may_have_run() {
    let mut fleet = Fleet::start(SERVICE_TIME, true).await;
    let (key, unused) = (fleet.issue_key(2).await, fleet.issue_key(2).await);
    fleet.execute(0, &key, "charge").await.unwrap();
    let restart = fleet.kill_process();
    let (_, bytes) = fleet.send(1, &key, "charge", 1000).await.unwrap();
    let refusal: RefusalBody = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    fleet.restart(restart);
    fleet.wait_ready().await;
    for key in [&key, &unused] {
        let (status, refusal) = fleet.execute(1, key, "charge").await.unwrap_err();
        assert_eq!((status, refusal.verdict), (StatusCode::GONE, Verdict::MayHaveRun));
    }
    assert_eq!((fleet.runs(&key), fleet.runs(&unused)), (1, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn execution_with_a_lost_reply_may_have_run_and_is_not_retried() {
    let fleet = Fleet::start(SERVICE_TIME, false).await;
    fleet.upstreams.iter().for_each(|upstream| upstream.ledger().set_lose_replies(true));
    let key = fleet.issue_key(0).await;
    for entry in 0..3 {
        let (_, refusal) = fleet.execute(entry, &key, "charge").await.unwrap_err();
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    }
    assert_eq!(fleet.runs(&key), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_with_the_verdict_not_run_never_runs() {
    let fleet = Fleet::start(SERVICE_TIME, false).await;
    let set_refuse = |refuse| fleet.upstreams.iter().for_each(|u| u.ledger().set_refuse(refuse));
    set_refuse(true);
    let key = fleet.issue_key(0).await;
    let (_, refusal) = fleet.execute(1, &key, "charge").await.unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    set_refuse(false);
    let (_, refusal) = fleet.execute(2, &key, "charge").await.unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(fleet.runs(&key), 0);
    let new_key = fleet.issue_key(0).await;
    fleet.execute(2, &new_key, "charge").await.unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_upstream_receives_at_most_one_execution() {
    let fleet = Fleet::start(SERVICE_TIME, false).await;
    let faults = UpstreamFaults { draining: true, ..UpstreamFaults::default() };
    fleet.upstreams.iter().for_each(|upstream| upstream.set_faults(faults));
    for entry in 0..6 {
        let key = fleet.issue_key(entry % 3).await;
        let (_, refusal) = fleet.execute(entry % 3, &key, "charge").await.unwrap_err();
        assert_eq!((refusal.verdict, refusal.reason.as_str()), (Verdict::NotRun, "draining"));
        assert_eq!(fleet.runs(&key), 0);
    }
    for upstream in &fleet.upstreams {
        let refused = upstream.work().refused;
        assert!(refused <= 1, "{refused} executions were sent to a draining upstream");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn execution_completes_while_the_platform_is_down_and_its_caller_disconnects() {
    let fleet = Fleet::start(Duration::from_millis(500), false).await;
    fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let key = fleet.issue_key(1).await;
    let disconnected =
        timeout(Duration::from_millis(50), fleet.send(0, &key, "charge", 30_000)).await;
    assert!(disconnected.is_err(), "the caller disconnects before the result");
    let executed = fleet.execute(2, &key, "charge").await.unwrap();
    assert_eq!(executed.result, "executed: charge");
    assert_eq!(fleet.runs(&key), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn execution_completes_while_its_holder_stops_gracefully() {
    let mut fleet = Fleet::start(Duration::from_millis(500), false).await;
    let key = fleet.issue_key(0).await;
    let response = {
        let url = format!("http://{}/v1/execute", fleet.callers[1]);
        let body = serde_json::json!({
            "key": key, "service": "quota", "rank": "urgent", "deadline_ms": 30_000,
            "request": "charge",
        });
        tokio::spawn(reqwest::Client::new().post(url).json(&body).send())
    };
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.stop(0).await;
    assert_eq!(response.await.unwrap().unwrap().status(), StatusCode::OK);
    assert_eq!(fleet.runs(&key), 1);
}
