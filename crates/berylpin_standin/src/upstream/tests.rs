use super::*;
use reqwest::Client;

const SPEC: UpstreamSpec = UpstreamSpec {
    slots: 1,
    connect_delay: Duration::ZERO,
    service_time: Duration::from_millis(1),
    network_delay: Duration::ZERO,
};

const SERVES: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

async fn ask(upstream: &Upstream, snapshot: u64) -> reqwest::Response {
    let url = format!("http://{}/v1/belge/main/lookup", upstream.address());
    let request = Client::new().post(url).header(REQUEST_ID, "00000000000000aa");
    request.header(SNAPSHOT, snapshot).body(lookup_text(7)).send().await.unwrap()
}

async fn origin(upstream: &Upstream) -> Origin {
    let reply: LookupReply = ask(upstream, 3).await.json().await.unwrap();
    Origin::of(&reply.rows[0]).unwrap()
}

#[tokio::test]
async fn rows_tell_lookup_shard_and_snapshot() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    let shard = ("belge".to_owned(), "main".to_owned());
    assert_eq!(
        origin(&upstream).await,
        Origin { lookup: lookup_text(7), shard, snapshot: Snapshot(3) }
    );
    assert_eq!(upstream.started_lookups(), [7]);
    upstream.publish_snapshot();
    assert_eq!(ask(&upstream, 1).await.status(), StatusCode::GONE);
    assert_eq!(upstream.work().refused, 1);
}

#[tokio::test]
async fn bad_payloads_differ_from_what_was_asked() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    let good = origin(&upstream).await;
    for payload in [Payload::CrossedRequest, Payload::CrossedShard, Payload::WrongSnapshot] {
        upstream.set_faults(UpstreamFaults { payload, ..UpstreamFaults::default() });
        assert_ne!(origin(&upstream).await, good, "{payload:?}");
    }
    let payload = Payload::Malformed;
    upstream.set_faults(UpstreamFaults { payload, ..UpstreamFaults::default() });
    let response = ask(&upstream, 3).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert!(response.json::<LookupReply>().await.is_err());
}

#[tokio::test]
async fn a_dead_replica_that_lies_looks_healthy() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    let statuses = async |lying| {
        upstream.set_faults(UpstreamFaults { dead: true, lying, ..UpstreamFaults::default() });
        let url = format!("http://{}/v1/health", upstream.address());
        let healthy = Client::new().get(url).send().await.unwrap().status();
        [healthy.as_u16(), ask(&upstream, 3).await.status().as_u16()]
    };
    assert_eq!(statuses(false).await, [500, 500]);
    assert_eq!(statuses(true).await, [200, 500]);
    assert_eq!(upstream.work().failed, 2);
}

#[tokio::test]
async fn work_counts_as_late_some_time_after_a_drain_began() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    upstream.mark_drain(true);
    ask(&upstream, 3).await;
    assert_eq!(upstream.work().after_drain, 0);
    tokio::time::pause();
    tokio::time::advance(DRAIN_GRACE_PERIOD + Duration::from_millis(1)).await;
    tokio::time::resume();
    ask(&upstream, 3).await;
    assert_eq!(upstream.work().after_drain, 1);
}
