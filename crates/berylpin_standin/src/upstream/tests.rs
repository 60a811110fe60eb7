use super::*;
use reqwest::Client;

const SPEC: UpstreamSpec = UpstreamSpec {
    slots: 1,
    connect_delay: Duration::ZERO,
    service_time: Duration::from_millis(1),
    network_delay: Duration::ZERO,
};

const SERVES: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

async fn send_lookup(upstream: &Upstream, snapshot: u64) -> reqwest::Response {
    let url = format!("http://{}/v1/belge/main/lookup", upstream.address());
    let request = Client::new().post(url).header(REQUEST_ID, "00000000000000aa");
    request.header(SNAPSHOT, snapshot).body(lookup_text(7)).send().await.unwrap()
}

async fn lookup_origin(upstream: &Upstream) -> Origin {
    let reply: LookupReply = send_lookup(upstream, 3).await.json().await.unwrap();
    Origin::of(&reply.rows[0]).unwrap()
}

#[tokio::test]
async fn rows_contain_lookup_shard_and_snapshot() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    let shard = ("belge".to_owned(), "main".to_owned());
    assert_eq!(
        lookup_origin(&upstream).await,
        Origin { lookup: lookup_text(7), shard, snapshot: Snapshot(3) }
    );
    assert_eq!(upstream.started_lookups(), [7]);
    upstream.publish_snapshot();
    assert_eq!(send_lookup(&upstream, 1).await.status(), StatusCode::GONE);
    assert_eq!(upstream.work().refused, 1);
}

#[tokio::test]
async fn corrupted_payloads_differ_from_the_correct_reply() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    let correct = lookup_origin(&upstream).await;
    for payload in [Payload::CrossedRequest, Payload::CrossedShard, Payload::WrongSnapshot] {
        upstream.set_faults(UpstreamFaults { payload, ..UpstreamFaults::default() });
        assert_ne!(lookup_origin(&upstream).await, correct, "{payload:?}");
    }
    let payload = Payload::Malformed;
    upstream.set_faults(UpstreamFaults { payload, ..UpstreamFaults::default() });
    let response = send_lookup(&upstream, 3).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert!(response.json::<LookupReply>().await.is_err());
}

#[tokio::test]
async fn a_dead_and_lying_upstream_reports_healthy() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    let statuses = async |lying| {
        upstream.set_faults(UpstreamFaults { dead: true, lying, ..UpstreamFaults::default() });
        let url = format!("http://{}/v1/health", upstream.address());
        let health_status = Client::new().get(url).send().await.unwrap().status();
        [health_status.as_u16(), send_lookup(&upstream, 3).await.status().as_u16()]
    };
    assert_eq!(statuses(false).await, [500, 500]);
    assert_eq!(statuses(true).await, [200, 500]);
    assert_eq!(upstream.work().failed, 2);
}

#[tokio::test]
async fn lookups_after_the_drain_grace_period_are_counted() {
    let upstream = Upstream::start(SPEC, SERVES, 1).await.unwrap();
    upstream.mark_drain(true);
    send_lookup(&upstream, 3).await;
    assert_eq!(upstream.work().after_drain, 0);
    tokio::time::pause();
    tokio::time::advance(DRAIN_GRACE_PERIOD + Duration::from_millis(1)).await;
    tokio::time::resume();
    send_lookup(&upstream, 3).await;
    assert_eq!(upstream.work().after_drain, 1);
}
