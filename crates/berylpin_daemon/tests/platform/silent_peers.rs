//! Connections between daemons that go silent without a reset.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::{Net, Proxy, ProxyTarget, Zone};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The bounds in the settings of the daemons.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// How long queries are sent after a limit.
const OBSERVED_TIME: Duration = Duration::from_secs(1);

const SHARDS: [&str; 4] = ["a0", "a1", "a2", "a3"];
const NEW_SHARDS: [&str; 4] = ["b0", "b1", "b2", "b3"];

/// A daemon without replicas in its data centre, and one beside all replicas, of which each shard
/// has two. The first reaches the second through a proxy.
struct Setup {
    store: Store,
    net: Arc<Net>,
    replicas: Vec<Replica>,
    entry: Process,
    owner: Process,
    caller: Caller,
    _proxy: Proxy,
    _ports: FleetPorts,
}

impl Setup {
    async fn start() -> Self {
        let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
        let run_log = Arc::<RunLog>::default();
        let mut replicas = Vec::new();
        for service in SHARDS.into_iter().chain(NEW_SHARDS) {
            for copy in 0..2 {
                let id = format!("{service}-{copy}");
                let replica = Replica::start(&id, service, run_log.clone(), copy).await.unwrap();
                put_entry(&store, &replica, false);
                replicas.push(replica);
            }
        }
        put_configuration(&store, 1, SHARDS);
        let mut entry = Process::new(Zone(0), &ports, store.address(), "silent-peers");
        let mut owner = Process::new(Zone(1), &ports, store.address(), "silent-peers");
        let net = Net::new(Duration::ZERO);
        let target = ProxyTarget {
            zone: Zone(1),
            address: owner.peer_address(),
            max_connections: usize::MAX,
            count_bytes: false,
        };
        let proxy = Proxy::start(net.clone(), 20, target).await.unwrap();
        store.redirect(owner.peer_address(), proxy.address());
        entry.start();
        owner.start();
        let caller = Caller::new(entry.caller_address()).unwrap();
        Self { store, net, replicas, entry, owner, caller, _proxy: proxy, _ports: ports }
    }

    /// Sends a query to the daemon without replicas; returns the parts of a whole answer.
    async fn query(&self) -> Option<Vec<String>> {
        let id = format!("query-{}", rand::random::<u64>());
        match self.caller.send(RequestKind::Query, &id, SERVE_TIMEOUT).await {
            Outcome::Answered(parts) if parts.contains(&"missing 0".to_owned()) => Some(parts),
            _ => None,
        }
    }

    /// Sends queries until the daemon delegates their parts to the other one.
    async fn wait_until_delegated(&self) {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        while self.query().await.is_none() || !self.entry.log().contains("link: connected") {
            assert!(Instant::now() < deadline, "not delegated:\n{}", self.entry.log());
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn logs(&self) -> String {
        format!("entry:\n{}\nowner:\n{}", self.entry.log(), self.owner.log())
    }
}

fn put_entry(store: &Store, replica: &Replica, draining: bool) {
    let centre = data_centre(Zone(1));
    let entry = replica_entry(replica.service(), replica.address(), &centre, draining);
    store.put("servers", replica.id(), entry);
}

fn put_configuration(store: &Store, version: u64, shards: [&str; 4]) {
    let shards = shards.map(str::to_owned);
    store.put("config", "main", configuration(version, &shards, "ledger"));
}

/// A connection between daemons that went silent looks like one whose peer is busy, so its parts
/// could be waited for, and a change that a peer would report could be missed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_after_a_silence_between_daemons_is_served_in_time_and_whole() {
    let setup = Setup::start().await;
    setup.wait_until_delegated().await;
    setup.net.silence_connections();
    let settled = Instant::now() + SETTLE_TIME;
    let mut unanswered = 0;
    while Instant::now() < settled {
        let id = format!("silent-{}", rand::random::<u64>());
        let outcome = setup.caller.send(RequestKind::Query, &id, SERVE_TIMEOUT).await;
        unanswered += usize::from(!matches!(outcome, Outcome::Answered(_)));
    }
    assert_eq!(unanswered, 0, "queries without an answer in the silence:\n{}", setup.logs());
    let leaving = setup.replicas.iter().find(|replica| replica.id() == "b0-0").unwrap();
    put_configuration(&setup.store, 2, NEW_SHARDS);
    put_entry(&setup.store, leaving, true);
    sleep(DRAIN_LIMIT).await;
    let drained = std::time::Instant::now();
    while drained.elapsed() < OBSERVED_TIME {
        let parts = setup.query().await;
        let parts = parts.unwrap_or_else(|| panic!("no whole answer:\n{}", setup.logs()));
        assert!(parts[0].starts_with('b'), "by the older version: {parts:?}\n{}", setup.logs());
    }
    let late = leaving.arrivals().into_iter().filter(|at| *at > drained).count();
    assert_eq!(late, 0, "requests at a draining replica:\n{}", setup.logs());
}
