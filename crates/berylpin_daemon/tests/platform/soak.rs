//! A seeded soak test: daemons as processes, with faults injected into network, store, replicas and
//! processes. Checks what callers received against what replicas ran.
//!
//! `BERYLPIN_SOAK_SEEDS` sets the first seed and the number of seeds (`1+50`),
//! `BERYLPIN_SOAK_STEPS` the number of faults per seed.

mod checks;
mod series;

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Fault, Outcome, Replica, RequestKind, RunLog, Store, StoreCopy, StoreFault,
    WaitingWatches, configuration, replica_entry,
};
use berylpin_standin::net::{Net, Proxy, ProxyTarget, Zone};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Seeds that once found the fault described at each; they are always run.
const REGRESSION_SEEDS: [u64; 3] = [
    // After SIGTERM, a process exited before its last log line was written.
    16,
    // After SIGTERM, the control thread wrote a line after `daemon: stopped`; in a later failure
    // the traffic thread did.
    301,
    // On a loaded machine the last 0.6 s of a daemon's log were lost, because the thread that writes
    // it had no processor time when the process ended.
    431_047,
];

/// The first seed and the number of seeds without `BERYLPIN_SOAK_SEEDS`.
const DEFAULT_SEEDS: (u64, u64) = (1, 2);

/// The number of faults per seed without `BERYLPIN_SOAK_STEPS`.
const DEFAULT_STEPS: usize = 12;

/// The number of daemons, one in each data centre.
const DAEMONS: u8 = 3;

/// The number of data centres with replicas; the daemon of the other one delegates its shards.
const REPLICA_DATA_CENTRES: u8 = 2;

const SHARDS: usize = 6;

/// The zone of the replicas' proxies, which is neither a data centre nor the platform, so that no
/// cut affects it.
const REPLICA_ZONE: Zone = Zone(8);

/// The host of the replicas' proxies within their zone, see [`Zone::address`].
const REPLICA_PROXY_HOST: u8 = 2;

/// The host of the first daemon's proxy to the store, within the zone of the platform; the numbers
/// of the other daemons' proxies follow.
const FIRST_STORE_PROXY_HOST: u8 = 10;

/// The host of the proxy that other daemons connect to, within the zone of its daemon.
const DAEMON_PROXY_HOST: u8 = 20;

/// Text in an entry that the store returns as a string that does not end.
const UNBALANCED: &str = "(unbalanced)";

/// The timeout for the fleet to serve after its start and after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// How long a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The pause of a caller between an answer and its next request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// A request that was sent, and its outcome.
struct RequestRecord {
    id: String,
    kind: RequestKind,
    outcome: Outcome,
}

/// A replica that daemons reach through a proxy.
struct ProxiedReplica {
    replica: Replica,
    proxy: Proxy,
    data_centre: String,
    /// Distinguishes the replica's processes; only a new one ends an announcement that it leaves.
    started: Cell<u64>,
}

impl ProxiedReplica {
    fn put_entry(&self, store: &Store, draining: bool) {
        let mut entry = replica_entry(
            self.replica.service(),
            self.proxy.address(),
            &self.data_centre,
            draining,
        );
        entry["born"] = self.started.get().into();
        store.put("servers", self.replica.id(), entry);
    }

    /// Puts an entry that another writer spoiled.
    fn put_odd_entry(&self, store: &Store) {
        let odd = [
            json!(UNBALANCED),
            json!(null),
            json!([[[[]]]]),
            json!({"address": "127.0.0.1:99999"}),
        ];
        let chosen = &odd[self.started.get() as usize % odd.len()];
        store.put("servers", self.replica.id(), chosen.clone());
        store.put("servers", &format!("{}-{UNBALANCED}", self.replica.id()), chosen.clone());
    }
}

struct Harness {
    rng: SmallRng,
    /// Draws the troubles of replicas; apart from `rng`, so that each seed keeps its other faults.
    trouble_rng: SmallRng,
    /// Draws the restores of the store.
    restore_rng: SmallRng,
    /// Draws the series of signals.
    series_rng: SmallRng,
    store_copy: StoreCopy,
    seed: u64,
    net: Arc<Net>,
    store: Store,
    run_log: Arc<RunLog>,
    replicas: Vec<ProxiedReplica>,
    processes: Vec<Process>,
    records: Rc<RefCell<Vec<RequestRecord>>>,
    version: u64,
    _proxies: Vec<Proxy>,
    _ports: FleetPorts,
}

/// Returns the shards of a set; odd versions of the configuration use set `a`, even ones set `b`.
fn shards(set: &str) -> Vec<String> {
    (0..SHARDS).map(|index| format!("{set}{index}")).collect()
}

impl Harness {
    async fn start(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let net = Net::new(Duration::from_millis(1));
        let store = Store::start().await.unwrap();
        store.return_as(UNBALANCED, b"\"");
        let run_log = Arc::new(RunLog::default());
        let mut replicas = Vec::new();
        for service in shards("a").iter().chain(&shards("b")).chain(&["ledger".to_owned()]) {
            for copy in 0..REPLICA_DATA_CENTRES {
                let id = format!("{service}-{copy}");
                let replica = Replica::start(&id, service, run_log.clone(), rng.random()).await;
                let replica = replica.unwrap();
                let proxy = proxy(&net, REPLICA_PROXY_HOST, REPLICA_ZONE, replica.address()).await;
                let proxied = ProxiedReplica {
                    replica,
                    proxy,
                    data_centre: data_centre(Zone(copy)),
                    started: Cell::new(1),
                };
                proxied.put_entry(&store, false);
                replicas.push(proxied);
            }
        }
        store.put("config", "main", configuration(1, &shards("a"), "ledger"));
        let (mut processes, mut proxies) = (Vec::new(), Vec::new());
        let ports = FleetPorts::reserve();
        for zone in (0..DAEMONS).map(Zone) {
            let store_proxy =
                proxy(&net, FIRST_STORE_PROXY_HOST + zone.0, Zone::PLATFORM, store.address()).await;
            let mut process =
                Process::new(zone, &ports, store_proxy.address(), &format!("soak-{seed}"));
            let daemon_proxy = proxy(&net, DAEMON_PROXY_HOST, zone, process.peer_address()).await;
            store.redirect(process.peer_address(), daemon_proxy.address());
            process.start();
            processes.push(process);
            proxies.extend([store_proxy, daemon_proxy]);
        }
        let records = Rc::default();
        let version = 1;
        Self {
            rng,
            trouble_rng: SmallRng::seed_from_u64(!seed),
            restore_rng: SmallRng::seed_from_u64(seed.swap_bytes()),
            series_rng: SmallRng::seed_from_u64(seed.rotate_left(32)),
            store_copy: store.copy(),
            seed,
            net,
            store,
            run_log,
            replicas,
            processes,
            records,
            version,
            _proxies: proxies,
            _ports: ports,
        }
    }

    /// Sends requests to one daemon until aborted.
    fn spawn_caller(
        &self,
        caller_address: SocketAddr,
        name: String,
    ) -> tokio::task::JoinHandle<()> {
        let records = self.records.clone();
        spawn_local(async move {
            let caller = Caller::new(caller_address).unwrap();
            for number in 0u64.. {
                let kind =
                    if number.is_multiple_of(3) { RequestKind::Charge } else { RequestKind::Query };
                let id = format!("{name}-{number}");
                let outcome = caller.send(kind, &id, CALLER_TIMEOUT).await;
                records.borrow_mut().push(RequestRecord { id, kind, outcome });
                sleep(REQUEST_INTERVAL).await;
            }
        })
    }

    /// Injects or ends one fault; a lasting fault ends with a later call or in `clear_faults`.
    async fn inject_fault(&mut self) {
        let daemon = usize::from(self.rng.random_range(0..DAEMONS));
        match self.rng.random_range(0..18) {
            0 => self.net.silence_connections(),
            1 => self.net.close_connections(),
            2 => {
                self.processes[daemon].signal("-STOP");
                sleep(Duration::from_millis(self.rng.random_range(200..1500))).await;
                self.processes[daemon].signal("-CONT");
            }
            3 => {
                self.processes[daemon].kill();
                self.processes[daemon].start();
            }
            4 => {
                self.processes[daemon].signal("-TERM");
                self.processes[daemon].wait_for_stop().await;
                self.processes[daemon].start();
            }
            5 => self.processes[daemon].signal("-HUP"),
            6 => {
                let faults = [
                    StoreFault::Unavailable,
                    StoreFault::RateLimited,
                    StoreFault::Slow,
                    StoreFault::Unresponsive,
                    StoreFault::LoseAcknowledgements,
                ];
                self.store.set_fault(*faults.choose(&mut self.rng).unwrap());
            }
            7 => self.store.set_fault(StoreFault::None),
            8 => self.store.compact_history(),
            9 => {
                let increase = self.rng.random_range(1..4);
                self.put_next_configuration(increase);
            }
            10 => {
                let (zone, cut) = (Zone(daemon as u8), self.rng.random_bool(0.6));
                match self.rng.random_range(0..3) {
                    0 => self.net.set_cut(zone, Zone::PLATFORM, cut),
                    1 => self.net.set_one_way_cut(zone, Zone::PLATFORM, cut),
                    _ => self.net.set_one_way_cut(Zone::PLATFORM, zone, cut),
                }
            }
            11 => self.processes.iter_mut().for_each(|process| {
                process.kill();
                process.start();
            }),
            // Cuts or restores the links that other daemons open to one daemon, in one direction or
            // both; daemons connect to each other from unassigned addresses.
            12 | 13 => {
                let (zone, cut) = (Zone(daemon as u8), self.rng.random_bool(0.6));
                match self.rng.random_range(0..3) {
                    0 => self.net.set_cut(Zone::UNASSIGNED, zone, cut),
                    1 => self.net.set_one_way_cut(Zone::UNASSIGNED, zone, cut),
                    _ => self.net.set_one_way_cut(zone, Zone::UNASSIGNED, cut),
                }
            }
            14 => {
                let draining = self.rng.random_bool(0.5);
                let chosen = self.replicas.choose(&mut self.rng).unwrap();
                chosen.put_entry(&self.store, draining);
            }
            15 => {
                let chosen = self.replicas.choose(&mut self.rng).unwrap();
                self.store.remove("servers", chosen.replica.id());
            }
            _ => {
                let faults = [
                    Fault::None,
                    Fault::Refuse,
                    Fault::Error,
                    Fault::Reset,
                    Fault::Truncate,
                    Fault::Duplicate,
                    Fault::Slow,
                    Fault::Hang,
                ];
                let share = self.rng.random_range(0.05..0.6);
                let fault = *faults.choose(&mut self.rng).unwrap();
                for proxied in &self.replicas {
                    if self.rng.random_bool(0.4) {
                        proxied.replica.set_fault(fault, share);
                    }
                }
            }
        }
    }

    fn put_next_configuration(&mut self, increase: u64) {
        self.version += increase;
        let set = if self.version.is_multiple_of(2) { "b" } else { "a" };
        self.store.put("config", "main", configuration(self.version, &shards(set), "ledger"));
    }

    /// Brings a few replicas into trouble, or ends the trouble of some.
    fn inject_replica_trouble(&mut self) {
        let faults = [
            Fault::None,
            Fault::RefuseWithPause,
            Fault::EndlessHead,
            Fault::EndlessInterim,
            Fault::EndlessBody,
            Fault::EndlessSurplus,
        ];
        let chosen = self.replicas.choose(&mut self.trouble_rng).unwrap();
        match self.trouble_rng.random_range(0..8) {
            0 => chosen.replica.set_leaving(true),
            1 => chosen.put_odd_entry(&self.store),
            2..6 => {
                let fault = *faults.choose(&mut self.trouble_rng).unwrap();
                chosen.replica.set_fault(fault, self.trouble_rng.random_range(0.05..0.6));
            }
            _ => {}
        }
    }

    /// Copies the store, or restores it from the last copy; the operator and the replicas then write
    /// again what they wrote before.
    async fn restore_store(&mut self) {
        match self.restore_rng.random_range(0..6) {
            0 => self.store_copy = self.store.copy(),
            1 => {
                let before = self.store.copy();
                let waiting_watches =
                    [WaitingWatches::Silent, WaitingWatches::CutOff, WaitingWatches::Answered];
                let waiting_watches = *waiting_watches.choose(&mut self.restore_rng).unwrap();
                self.store.restore(&self.store_copy, waiting_watches);
                sleep(Duration::from_millis(self.restore_rng.random_range(0..2000))).await;
                self.store.write_again(&before, "config");
                self.store.write_again(&before, "servers");
            }
            _ => {}
        }
    }

    /// Ends all faults and restores all entries of replicas, as those of new processes.
    fn clear_faults(&self) {
        self.store.set_fault(StoreFault::None);
        for zone in (0..DAEMONS).map(Zone) {
            self.net.set_cut(zone, Zone::PLATFORM, false);
            self.net.set_cut(zone, Zone::UNASSIGNED, false);
        }
        for proxied in &self.replicas {
            proxied.replica.set_fault(Fault::None, 0.0);
            proxied.replica.set_leaving(false);
            proxied.started.set(proxied.started.get() + 1);
            proxied.put_entry(&self.store, false);
        }
    }

    /// Waits until each daemon answers a charge, and a query with all shards of the newest
    /// configuration.
    async fn wait_for_recovery(&self) {
        let set = if self.version.is_multiple_of(2) { "b" } else { "a" };
        for process in &self.processes {
            let caller = Caller::new(process.caller_address()).unwrap();
            let answers_in_full = async {
                for number in 0u64.. {
                    let id = format!("recover-{}-{number}", process.name());
                    let query = caller.send(RequestKind::Query, &id, CALLER_TIMEOUT).await;
                    let charge =
                        caller.send(RequestKind::Charge, &(id + "c"), CALLER_TIMEOUT).await;
                    let is_complete = |outcome: &Outcome| match outcome {
                        Outcome::Answered(parts) => {
                            parts.contains(&"missing 0".to_owned()) && parts[0].starts_with(set)
                        }
                        _ => false,
                    };
                    if is_complete(&query) && matches!(charge, Outcome::Answered(_)) {
                        return;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            };
            let recovered = timeout(RECOVERY_TIMEOUT, answers_in_full).await;
            assert!(recovered.is_ok(), "seed {}: {} does not recover", self.seed, process.name());
        }
    }
}

/// Starts a proxy for the server at `address`; `host` is the last octet of the proxy's address.
async fn proxy(net: &Arc<Net>, host: u8, zone: Zone, address: SocketAddr) -> Proxy {
    let target = ProxyTarget { zone, address, max_connections: usize::MAX, count_bytes: false };
    Proxy::start(net.clone(), host, target).await.unwrap()
}

async fn run_seed(seed: u64, steps: usize) {
    let mut harness = Harness::start(seed).await;
    harness.wait_for_recovery().await;
    let daemons: Vec<_> =
        harness.processes.iter().map(|p| (p.caller_address(), p.name().to_owned())).collect();
    let callers: Vec<_> =
        daemons.into_iter().map(|(address, name)| harness.spawn_caller(address, name)).collect();
    for _ in 0..steps {
        harness.inject_signal_series().await;
        harness.inject_fault().await;
        harness.inject_replica_trouble();
        harness.restore_store().await;
        sleep(Duration::from_millis(harness.rng.random_range(50..900))).await;
    }
    harness.clear_faults();
    harness.wait_for_recovery().await;
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    sleep(CALLER_TIMEOUT).await;
    println!(
        "seed {seed}: {:?}, {} calls to the store",
        harness.check_records(),
        harness.store.calls()
    );
}

fn env_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

#[test]
fn charges_run_at_most_once_and_answers_account_for_all_shards_under_faults() {
    let seeds = env_variable("BERYLPIN_SOAK_SEEDS").map(|text| {
        let (first, count) = text.split_once('+').expect("BERYLPIN_SOAK_SEEDS is FIRST+COUNT");
        (first.parse().unwrap(), count.parse().unwrap())
    });
    let (first, count): (u64, u64) = seeds.unwrap_or(DEFAULT_SEEDS);
    let steps =
        env_variable("BERYLPIN_SOAK_STEPS").map_or(DEFAULT_STEPS, |text| text.parse().unwrap());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for seed in REGRESSION_SEEDS.into_iter().chain(first..first + count) {
        LocalSet::new().block_on(&runtime, run_seed(seed, steps));
    }
}
