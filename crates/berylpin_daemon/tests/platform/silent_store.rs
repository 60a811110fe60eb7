//! Watches of the store that return nothing: on a connection that went silent without a reset, or
//! from data that is older and older.

use super::process::{FleetPorts, Process, data_centre, start_store_proxy};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, StoreFault, configuration, replica_entry,
};
use berylpin_standin::net::{Net, Proxy, Zone};
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The bounds in the settings of the daemon.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// The daemons that see a silence, each this much later in its watch than the one before.
const SILENCE_ROUNDS: u32 = 8;
const SILENCE_PHASE: Duration = Duration::from_millis(70);

/// How long after a change of an entry the next watch has begun.
const WATCH_DELAY: Duration = Duration::from_millis(600);

/// How long after a change of an entry is applied the next watch has just begun, so that it goes
/// silent for nearly its whole wait.
const NEW_WATCH_DELAY: Duration = Duration::from_millis(350);

/// An outage of the store in which entries expire, and the time from when the daemon learns that until
/// they are written again.
const OUTAGE: Duration = Duration::from_secs(4);
const REWRITE_TIME: Duration = Duration::from_millis(700);

/// How long charges are sent after a limit.
const OBSERVED_TIME: Duration = Duration::from_millis(1500);

/// A store behind a proxy, replicas of the services `a0`, `ledger` and `archive`, and a daemon that
/// serves charges with the `ledger`.
struct Setup {
    store: Store,
    net: Arc<Net>,
    replicas: Vec<Replica>,
    process: Process,
    caller: Caller,
    _proxy: Proxy,
}

impl Setup {
    async fn start(name: &str) -> Self {
        let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
        let run_log = Arc::<RunLog>::default();
        let mut replicas = Vec::new();
        for service in ["a0", "ledger", "ledger", "archive"] {
            let id = format!("{service}-{}", replicas.len());
            let replica = Replica::start(&id, service, run_log.clone(), 1).await.unwrap();
            store.put("servers", &id, entry(&replica));
            replicas.push(replica);
        }
        put_configuration(&store, 1, "ledger");
        let net = Net::new(Duration::ZERO);
        let proxy = start_store_proxy(&net, &store).await;
        let mut process = Process::new(Zone(0), &ports, proxy.address(), name);
        process.start();
        let caller = Caller::new(process.caller_address()).unwrap();
        let deadline = Instant::now() + SERVE_TIMEOUT;
        while !charge(&caller).await {
            assert!(Instant::now() < deadline, "not served:\n{}", process.log());
            sleep(Duration::from_millis(50)).await;
        }
        Self { store, net, replicas, process, caller, _proxy: proxy }
    }

    /// Returns the replicas of a service.
    fn replicas_of(&self, service: &str) -> Vec<&Replica> {
        self.replicas.iter().filter(|replica| replica.service() == service).collect()
    }

    /// Waits until the log of the daemon contains `text`.
    async fn wait_for_line(&self, text: &str) {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        while !self.process.log().contains(text) {
            assert!(Instant::now() < deadline, "no {text}:\n{}", self.process.log());
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends charges until `end`.
    async fn charge_until(&self, end: std::time::Instant) {
        while std::time::Instant::now() < end {
            charge(&self.caller).await;
        }
    }
}

/// Returns the number of requests that reached the replicas after a time.
fn arrivals_after(replicas: &[&Replica], time: std::time::Instant) -> usize {
    let arrivals = replicas.iter().flat_map(|replica| replica.arrivals());
    arrivals.filter(|at| *at > time).count()
}

/// The watch that went silent was given up within its bound, but the removed replica then stayed
/// in use for a grace time that the bound did not include.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_removed_after_a_silent_connection_gets_nothing_beyond_the_drain_limit() {
    let setup = Setup::start("silent-replicas").await;
    let mut changed = entry(&setup.replicas[0]);
    changed["slots"] = 5.into();
    setup.store.put("servers", setup.replicas[0].id(), changed);
    sleep(WATCH_DELAY).await;
    setup.net.silence_connections();
    sleep(SETTLE_TIME).await;
    let [leaving, staying] = setup.replicas_of("ledger")[..] else { panic!("two replicas") };
    setup.store.remove("servers", leaving.id());
    let drained = std::time::Instant::now() + DRAIN_LIMIT;
    setup.charge_until(drained + OBSERVED_TIME).await;
    let log = setup.process.log();
    assert_eq!(arrivals_after(&[leaving], drained), 0, "late requests:\n{log}");
    assert!(arrivals_after(&[staying], drained) > 0, "no request after the drain limit");
}

/// A call that failed because its connection was silent counted as an outage of the store, after
/// which a removed replica is kept for a grace time that went beyond the settle time.
///
/// The grace time begins with a daemon's next call, so several daemons see the silence at other
/// points of their watches.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_removed_during_a_silence_gets_nothing_after_the_settle_time() {
    let mut rounds = JoinSet::new();
    for round in 0..SILENCE_ROUNDS {
        rounds.spawn(remove_during_silence(round));
    }
    while let Some(round) = rounds.join_next().await {
        round.unwrap();
    }
}

/// Removes a replica behind a silence; it must get nothing after the settle time.
async fn remove_during_silence(round: u32) {
    let setup = Setup::start(&format!("removed-in-silence-{round}")).await;
    let mut changed = entry(&setup.replicas[0]);
    changed["slots"] = 5.into();
    setup.store.put("servers", setup.replicas[0].id(), changed);
    setup.wait_for_line("control: replica changed").await;
    sleep(NEW_WATCH_DELAY + SILENCE_PHASE * round).await;
    setup.net.silence_connections();
    let settled = std::time::Instant::now() + SETTLE_TIME;
    let [leaving, staying] = setup.replicas_of("ledger")[..] else { panic!("two replicas") };
    setup.store.remove("servers", leaving.id());
    sleep(SETTLE_TIME).await;
    setup.charge_until(settled + OBSERVED_TIME).await;
    let log = setup.process.log();
    assert_eq!(arrivals_after(&[leaving], settled), 0, "late requests:\n{log}");
    assert!(arrivals_after(&[staying], settled) > 0, "no request after the settle time");
}

/// Entries expire in an outage of the store, and are written again after it; the grace time that a
/// silent connection must not lengthen has to cover this.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_replicas_serve_until_they_are_listed_again_after_an_outage() {
    let setup = Setup::start("expired-entries").await;
    setup.store.set_fault(StoreFault::Unresponsive);
    sleep(OUTAGE).await;
    let ledgers = setup.replicas_of("ledger");
    for replica in &ledgers {
        setup.store.remove("servers", replica.id());
    }
    setup.store.set_fault(StoreFault::None);
    setup.wait_for_line("control: replica entry removed").await;
    let written_at = Instant::now() + REWRITE_TIME;
    while Instant::now() < written_at {
        assert!(charge(&setup.caller).await, "not served:\n{}", setup.process.log());
    }
    for replica in &ledgers {
        setup.store.put("servers", replica.id(), entry(replica));
    }
    let end = Instant::now() + SETTLE_TIME;
    while Instant::now() < end {
        assert!(charge(&setup.caller).await, "not served:\n{}", setup.process.log());
    }
}

/// The replicas were read from data that may be of any age, and from nothing else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replica_that_drains_gets_nothing_beyond_the_drain_limit_whatever_the_age_of_stale_data()
{
    let setup = Setup::start("stale-replicas").await;
    setup.store.freeze_stale_reads();
    sleep(WATCH_DELAY).await;
    for removed in [false, true] {
        assert!(charge(&setup.caller).await, "not served");
        // The replica that serves the next charge as well.
        let mut ledgers = setup.replicas_of("ledger");
        ledgers.sort_by_key(|replica| Reverse(replica.arrivals().last().copied()));
        let [leaving, staying] = ledgers[..] else { panic!("two replicas") };
        if removed {
            setup.store.remove("servers", leaving.id());
        } else {
            let mut draining = entry(leaving);
            draining["state"] = "draining".into();
            setup.store.put("servers", leaving.id(), draining);
        }
        let drained = std::time::Instant::now() + DRAIN_LIMIT;
        sleep(DRAIN_LIMIT).await;
        setup.charge_until(drained + OBSERVED_TIME).await;
        let log = setup.process.log();
        assert_eq!(arrivals_after(&[leaving], drained), 0, "removed: {removed}:\n{log}");
        assert!(arrivals_after(&[staying], drained) > 0, "no request after the drain limit");
        setup.store.put("servers", leaving.id(), entry(leaving));
        sleep(DRAIN_LIMIT).await;
    }
}

/// The time until a silent watch is given up was derived from the settle time plus the limit for a
/// change, although both run at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_written_right_after_a_silence_is_in_force_after_the_settle_time() {
    let setup = Setup::start("silent-configuration").await;
    put_configuration(&setup.store, 2, "ledger");
    sleep(WATCH_DELAY).await;
    setup.net.silence_connections();
    let settled = std::time::Instant::now() + SETTLE_TIME;
    sleep(SETTLE_TIME.saturating_sub(APPLY_LIMIT)).await;
    put_configuration(&setup.store, 3, "archive");
    setup.charge_until(settled + OBSERVED_TIME).await;
    let log = setup.process.log();
    let late = arrivals_after(&setup.replicas_of("ledger"), settled);
    assert_eq!(late, 0, "requests by the older version:\n{log}");
    assert!(arrivals_after(&setup.replicas_of("archive"), settled) > 0, "no request served");
}

fn put_configuration(store: &Store, version: u64, charge_service: &str) {
    store.put("config", "main", configuration(version, &["a0".to_owned()], charge_service));
}

fn entry(replica: &Replica) -> serde_json::Value {
    replica_entry(replica.service(), replica.address(), &data_centre(Zone(0)), false)
}

/// Sends a charge; returns whether it was answered.
async fn charge(caller: &Caller) -> bool {
    let id = format!("charge-{}", rand::random::<u64>());
    let outcome = caller.send(RequestKind::Charge, &id, SERVE_TIMEOUT).await;
    matches!(outcome, Outcome::Answered(_))
}
