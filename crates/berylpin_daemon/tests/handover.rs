//! Queries while replicas change owners because daemons stop and start.

mod members;

use berylpin_core::ids::Snapshot;
use berylpin_core::message::SnapshotRange;
use berylpin_core::rank::Rank;
use berylpin_standin::checker::Layout;
use berylpin_standin::load::{
    Balancer, Outcome, QueryStream, Sample, caller_client, drive_queries,
};
use berylpin_standin::sites::{Document, DocumentReplica, FIRST_SHARD, Site};
use berylpin_standin::upstream::Upstream;
use berylpin_wire::platform::SERVICE_PREFIX;
use members::{Fleet, wait_until};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const DATA_CENTRE: &str = "palermo-1";

/// Number of services, each with one shard of two replicas.
const SERVICES: usize = 6;

/// Time until the balancer detects that a daemon is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(100);

const SNAPSHOTS: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

/// Starts upstreams and stores the documents of their services.
async fn start_services(fleet: &Fleet) -> (Vec<Upstream>, Vec<Document>) {
    let site = Site::by_name("rizzo").unwrap();
    let group = site.groups.iter().find(|group| group.name == "quota-desk").unwrap();
    let (mut upstreams, mut documents) = (Vec::new(), Vec::new());
    for service in 0..SERVICES {
        let mut document = group.document(service);
        for replica in 0..2 {
            let seed = (service * 2 + replica) as u64;
            let upstream = Upstream::start(group.upstream, SNAPSHOTS, seed).await.unwrap();
            let address = upstream.address();
            document.replicas.push(DocumentReplica {
                address,
                data_centre: DATA_CENTRE,
                drain: false,
            });
            upstreams.push(upstream);
        }
        let name = format!("{SERVICE_PREFIX}{}", document.service);
        fleet.platform.store(&name, &document.to_string());
        documents.push(document);
    }
    (upstreams, documents)
}

fn stream(documents: &[Document]) -> QueryStream {
    let layout: Layout = documents
        .iter()
        .map(|document| (document.service.clone(), FIRST_SHARD.to_owned()))
        .collect();
    QueryStream {
        rank: Rank::Standard,
        target: "quota-desk".to_owned(),
        rate: 60.0,
        deadline: Duration::from_secs(10),
        client_delay: Duration::ZERO,
        layouts: [layout].into(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_queries_complete_while_daemons_stop_and_start() {
    let mut fleet = Fleet::start(3).await;
    let (_upstreams, documents) = start_services(&fleet).await;
    let balancer = Balancer::default();
    for index in 0..3 {
        fleet.wait_ready(index).await;
        balancer.set_entry(index, Some(fleet.daemons[index].settings().caller_address));
    }
    wait_until("all replicas have owners", async || {
        let mut owned_replicas = 0;
        for index in 0..3 {
            owned_replicas += fleet.owned_replicas(index).await as usize;
        }
        owned_replicas == 2 * SERVICES
    })
    .await;
    let end = Instant::now() + Duration::from_secs(5);
    let caller = (balancer.clone(), caller_client());
    let load = tokio::spawn(drive_queries(caller, (0, stream(&documents)), end, 1, |_| 1.0));

    sleep(Duration::from_secs(1)).await;
    let stopping = fleet.daemons.remove(0);
    let stop = tokio::task::spawn_blocking(|| stopping.stop());
    sleep(BALANCER_DELAY).await;
    balancer.set_entry(0, None);
    stop.await.unwrap();

    fleet.start_unlisted(3);
    let newest = fleet.daemons.len() - 1;
    fleet.wait_ready(newest).await;
    balancer.set_entry(3, Some(fleet.daemons[newest].settings().caller_address));
    let samples: Vec<Sample> = load.await.unwrap();

    assert!(samples.len() > 100, "{} requests were sent", samples.len());
    for sample in &samples {
        assert_eq!(sample.outcome, Outcome::Complete, "{sample:?}");
        assert_eq!(sample.violations.total(), 0, "{sample:?}");
    }
    wait_until("the newest daemon owns replicas", async || fleet.owned_replicas(newest).await > 0)
        .await;
    fleet.stop().await;
}
