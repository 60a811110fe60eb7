//! A seeded soak: real daemons as processes, with faults from outside, seen by callers and replicas.
//!
//! `BERYLPIN_SOAK_SEEDS` names the first seed and how many follow (`1+50`), `BERYLPIN_SOAK_STEPS` how many
//! faults a seed injects.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, ExecutionLog, Fault, Outcome, Replica, RequestKind, Store, StoreFault, configuration,
    replica_entry,
};
use berylpin_standin::net::{Net, Proxy, Target, Zone};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Seeds that failed once, with the cause in a line each; they are always run.
const FAILED_ONCE: [u64; 2] = [
    // A process that was told to stop ended before its last log line was written.
    16,
    // The control thread wrote a line after the last one of a process that was told to stop; later the
    // traffic thread did.
    301,
];

/// Seeds of a run without `BERYLPIN_SOAK_SEEDS`.
const SEEDS: (u64, u64) = (1, 2);

/// Faults of a seed without `BERYLPIN_SOAK_STEPS`.
const STEPS: usize = 12;

/// One in each data centre.
const DAEMONS: u8 = 3;

/// The data centres with replicas; the daemon of the other one leaves its shards to those here.
const HOMES: u8 = 2;

const SHARDS: usize = 6;

/// How long a daemon may take to start, and the fleet to serve again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// How long a caller waits.
const PATIENCE: Duration = Duration::from_millis(1500);

/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

/// A request that was sent and what came of it.
struct Record {
    id: String,
    wanted: RequestKind,
    seen: Outcome,
}

/// A replica behind its proxy.
struct Served {
    replica: Replica,
    proxy: Proxy,
    data_centre: String,
}

impl Served {
    fn enter(&self, store: &Store, draining: bool) {
        let entry = replica_entry(
            self.replica.service(),
            self.proxy.address(),
            &self.data_centre,
            draining,
        );
        store.put("servers", self.replica.id(), entry);
    }
}

struct Soak {
    rng: SmallRng,
    seed: u64,
    net: Arc<Net>,
    store: Store,
    ledger: Arc<ExecutionLog>,
    replicas: Vec<Served>,
    processes: Vec<Process>,
    records: Rc<RefCell<Vec<Record>>>,
    version: u64,
    _proxies: Vec<Proxy>,
    _ports: FleetPorts,
}

fn shards(set: &str) -> Vec<String> {
    (0..SHARDS).map(|index| format!("{set}{index}")).collect()
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let net = Net::new(Duration::from_millis(1));
        let store = Store::start().await.unwrap();
        let ledger = Arc::new(ExecutionLog::default());
        let mut replicas = Vec::new();
        for service in shards("a").iter().chain(&shards("b")).chain(&["ledger".to_owned()]) {
            for copy in 0..HOMES {
                let id = format!("{service}-{copy}");
                let replica = Replica::start(&id, service, ledger.clone(), rng.random()).await;
                let replica = replica.unwrap();
                let proxy = proxy(&net, 2, Zone(8), replica.address()).await;
                let served = Served { replica, proxy, data_centre: data_centre(Zone(copy)) };
                served.enter(&store, false);
                replicas.push(served);
            }
        }
        store.put("config", "main", configuration(1, &shards("a"), "ledger"));
        let (mut processes, mut proxies) = (Vec::new(), Vec::new());
        let ports = FleetPorts::reserve();
        for zone in (0..DAEMONS).map(Zone) {
            let to_store = proxy(&net, 10 + zone.0, Zone::PLATFORM, store.address()).await;
            let mut process =
                Process::new(zone, &ports, to_store.address(), &format!("soak-{seed}"));
            let to_daemon = proxy(&net, 20, zone, process.peer_address()).await;
            store.redirect(process.peer_address(), to_daemon.address());
            process.start();
            processes.push(process);
            proxies.extend([to_store, to_daemon]);
        }
        let records = Rc::default();
        let version = 1;
        Self {
            rng,
            seed,
            net,
            store,
            ledger,
            replicas,
            processes,
            records,
            version,
            _proxies: proxies,
            _ports: ports,
        }
    }

    /// Sends requests to one daemon until aborted.
    fn drive(&self, front: SocketAddr, name: String) -> tokio::task::JoinHandle<()> {
        let records = self.records.clone();
        spawn_local(async move {
            let caller = Caller::new(front).unwrap();
            for number in 0u64.. {
                let wanted =
                    if number.is_multiple_of(3) { RequestKind::Charge } else { RequestKind::Query };
                let id = format!("{name}-{number}");
                let seen = caller.send(wanted, &id, PATIENCE).await;
                records.borrow_mut().push(Record { id, wanted, seen });
                sleep(PAUSE).await;
            }
        })
    }

    /// Injects one fault; what it takes away comes back before the next one or later.
    async fn fault(&mut self) {
        let daemon = usize::from(self.rng.random_range(0..DAEMONS));
        match self.rng.random_range(0..18) {
            0 => self.net.silence(),
            1 => self.net.reset(),
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
                self.processes[daemon].ends().await;
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
                self.version += self.rng.random_range(1..4);
                let set = if self.version.is_multiple_of(2) { "b" } else { "a" };
                let newer = configuration(self.version, &shards(set), "ledger");
                self.store.put("config", "main", newer);
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
            // The links of the others to a daemon, one way or both.
            12 | 13 => {
                let (zone, cut) = (Zone(daemon as u8), self.rng.random_bool(0.6));
                match self.rng.random_range(0..3) {
                    0 => self.net.set_cut(Zone::ANY, zone, cut),
                    1 => self.net.set_one_way_cut(Zone::ANY, zone, cut),
                    _ => self.net.set_one_way_cut(zone, Zone::ANY, cut),
                }
            }
            14 => {
                let leaving = self.rng.random_bool(0.5);
                let chosen = self.replicas.choose(&mut self.rng).unwrap();
                chosen.enter(&self.store, leaving);
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
                for served in &self.replicas {
                    if self.rng.random_bool(0.4) {
                        served.replica.set_fault(fault, share);
                    }
                }
            }
        }
    }

    /// Takes all faults back.
    fn calm(&self) {
        self.store.set_fault(StoreFault::None);
        for zone in (0..DAEMONS).map(Zone) {
            self.net.set_cut(zone, Zone::PLATFORM, false);
            self.net.set_cut(zone, Zone::ANY, false);
        }
        for served in &self.replicas {
            served.replica.set_fault(Fault::None, 0.0);
            served.enter(&self.store, false);
        }
    }

    /// Waits until each daemon answers a query and a charge in full by the newest configuration.
    async fn recover(&self) {
        let set = if self.version.is_multiple_of(2) { "b" } else { "a" };
        for process in &self.processes {
            let caller = Caller::new(process.front()).unwrap();
            let served = async {
                for number in 0u64.. {
                    let id = format!("recover-{}-{number}", process.name());
                    let query = caller.send(RequestKind::Query, &id, PATIENCE).await;
                    let charge = caller.send(RequestKind::Charge, &(id + "c"), PATIENCE).await;
                    let whole = |seen: &Outcome| match seen {
                        Outcome::Answered(named) => {
                            named.contains(&"missing 0".to_owned()) && named[0].starts_with(set)
                        }
                        _ => false,
                    };
                    if whole(&query) && matches!(charge, Outcome::Answered(_)) {
                        return;
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            };
            let recovered = timeout(RECOVERY, served).await;
            assert!(recovered.is_ok(), "seed {}: {} serves nothing", self.seed, process.name());
        }
    }

    /// Checks what callers saw against what replicas ran; returns counts for the report.
    fn check(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for Record { id, wanted, seen } in self.records.borrow().iter() {
            let runs = self.ledger.runs(id);
            let seed = self.seed;
            if *wanted == RequestKind::Charge {
                assert!(runs.len() <= 1, "seed {seed}: {id} ran twice: {runs:?}");
                let false_refusal = *seen == Outcome::RefusedNotRun && !runs.is_empty();
                assert!(!false_refusal, "seed {seed}: {id} was refused as not run: {runs:?}");
            }
            let mut replicas: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
            for (service, replica) in &runs {
                let of_service = replicas.entry(service).or_default();
                if !of_service.contains(&replica.as_str()) {
                    of_service.push(replica);
                }
            }
            assert!(replicas.values().all(|of| of.len() <= 2), "seed {seed}: {id}: {replicas:?}");
            let name = match seen {
                Outcome::Answered(named) => {
                    if *wanted == RequestKind::Query {
                        self.check_parts(id, named);
                    }
                    "answered"
                }
                Outcome::RefusedNotRun => "refused",
                Outcome::Failed => "failed",
                Outcome::Invalid(what) => panic!("seed {seed}: {what}"),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    /// Checks that the parts of an answer are of one version and add up.
    fn check_parts(&self, id: &str, named: &[String]) {
        let (missing, services) = named.split_last().unwrap();
        let missing: usize = missing.strip_prefix("missing ").unwrap().parse().unwrap();
        let one_set = ["a", "b"].iter().any(|set| services.iter().all(|s| s.starts_with(set)));
        assert!(one_set, "seed {}: {id} mixes versions: {services:?}", self.seed);
        assert_eq!(services.len() + missing, SHARDS, "seed {}: {id}", self.seed);
    }
}

async fn proxy(net: &Arc<Net>, host: u8, zone: Zone, address: SocketAddr) -> Proxy {
    let target = Target { zone, address, limit: usize::MAX, counted: false };
    Proxy::start(net.clone(), host, target).await.unwrap()
}

async fn soak(seed: u64, steps: usize) {
    let mut soak = Soak::start(seed).await;
    soak.recover().await;
    let fronts: Vec<_> = soak.processes.iter().map(|p| (p.front(), p.name().to_owned())).collect();
    let drivers: Vec<_> = fronts.into_iter().map(|(at, name)| soak.drive(at, name)).collect();
    for _ in 0..steps {
        soak.fault().await;
        sleep(Duration::from_millis(soak.rng.random_range(50..900))).await;
    }
    soak.calm();
    soak.recover().await;
    drivers.iter().for_each(tokio::task::JoinHandle::abort);
    sleep(PATIENCE).await;
    println!("seed {seed}: {:?}, {} calls to the store", soak.check(), soak.store.calls());
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

#[test]
fn promises_hold_under_faults() {
    let seeds = variable("BERYLPIN_SOAK_SEEDS").map(|text| {
        let (first, count) = text.split_once('+').expect("BERYLPIN_SOAK_SEEDS is FIRST+COUNT");
        (first.parse().unwrap(), count.parse().unwrap())
    });
    let (first, count): (u64, u64) = seeds.unwrap_or(SEEDS);
    let steps = variable("BERYLPIN_SOAK_STEPS").map_or(STEPS, |text| text.parse().unwrap());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for seed in FAILED_ONCE.into_iter().chain(first..first + count) {
        LocalSet::new().block_on(&runtime, soak(seed, steps));
    }
}
