//! The cases, and the site that all of them run on.

mod changed_grace;
mod false_promise;
mod odd_entry;
mod silent_removal;
mod stale_reads;
mod unparsable_list;
mod zero_weight;

use crate::Verdict;
use crate::client::{self, Reply};
use crate::daemon::Fleet;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::replica::{Replica, Runs};
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

/// The time until all daemons of a case serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the site is calm before a case begins; longer than `settle_window_ms`.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The data centres of a site, one for each daemon.
const ZONES: [&str; 3] = ["zone-a", "zone-a", "zone-b"];

/// The requests that are sent to each daemon at once, and the pause after each.
const REQUESTS_AT_ONCE: usize = 4;
const PAUSE_AT_ONCE: Duration = Duration::from_millis(10);

/// The service that the requests of a case go to, and another one.
const LEDGER: &str = "ledger";
const ARCHIVE: &str = "archive";

/// Runs the case of a name.
pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Verdict {
    let result = match case {
        "changed_grace" => changed_grace::run(trouble, record),
        "false_promise" => false_promise::run(trouble, record),
        "odd_entry" => odd_entry::run(trouble, record),
        "silent_removal" => silent_removal::run(trouble, record),
        "stale_reads" => stale_reads::run(trouble, record),
        "unparsable_list" => unparsable_list::run(trouble, record),
        "zero_weight" => zero_weight::run(trouble, record),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(true) => Verdict::Broken,
        Ok(false) => Verdict::Held,
        Err(cause) => Verdict::NotRun(cause),
    }
}

/// Three daemons, a store, and replicas of two services.
struct Site {
    store: Store,
    /// Through which the daemons reach the store.
    proxy: Proxy,
    runs: Runs,
    /// The replicas of `LEDGER`.
    replicas: Vec<Replica>,
    /// The replica of `ARCHIVE`.
    _archive: Replica,
    fleet: Fleet,
    record: Arc<Record>,
}

impl Site {
    /// Starts a site and waits until it serves and is calm. `route_type` is that of the route to
    /// `LEDGER`, and `grace_s` the time that the daemons have to end after SIGTERM.
    fn start(route_type: &str, grace_s: u32, record: &Arc<Record>) -> Result<Self, String> {
        let store = Store::start().map_err(|e| e.to_string())?;
        let runs = Runs::default();
        let start = |id, service| start_replica(id, service, None, (&store, &runs, record));
        let replicas = vec![start("i-1a01", LEDGER)?, start("i-1a02", LEDGER)?];
        let archive = start("i-2b01", ARCHIVE)?;
        let routes =
            [route("/ledger/", route_type, LEDGER), route("/archive/", "idempotent", ARCHIVE)];
        store.put("config", b"main", configuration(3, &routes, &[LEDGER, ARCHIVE]).as_bytes());
        let proxy = Proxy::start(store.address()).map_err(|e| e.to_string())?;
        let fleet = Fleet::start(&ZONES, proxy.address(), grace_s, record);
        let fleet = fleet.map_err(|e| e.to_string())?;
        let record = record.clone();
        let site = Self { store, proxy, runs, replicas, _archive: archive, fleet, record };
        site.wait_until_served()?;
        sleep(SETTLE_TIME);
        Ok(site)
    }

    /// Waits until each daemon answers a request with success.
    fn wait_until_served(&self) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        for daemon in self.fleet.addresses() {
            while !send(daemon, &self.record).is_success() {
                if Instant::now() >= deadline {
                    return Err(format!("the daemon at {daemon} does not serve"));
                }
                sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Sends requests one after the other: in each round one to each daemon, then a pause.
    fn send_rounds(&self, rounds: usize, pause: Duration) -> Vec<Reply> {
        let mut replies = Vec::new();
        for _ in 0..rounds {
            for daemon in self.fleet.addresses() {
                replies.push(send(daemon, &self.record));
            }
            sleep(pause);
        }
        replies
    }

    /// Sends a few requests to each daemon, none of which waits for the others.
    fn send_at_once(&self) -> Vec<JoinHandle<Reply>> {
        let mut clients = Vec::new();
        for daemon in self.fleet.addresses() {
            for _ in 0..REQUESTS_AT_ONCE {
                let record = self.record.clone();
                clients.push(std::thread::spawn(move || send(daemon, &record)));
                sleep(PAUSE_AT_ONCE);
            }
        }
        clients
    }

    /// Returns how many requests reached a replica after `due`; records them, and how many of them
    /// were lost at its end.
    fn count_late_runs(
        &self,
        replica: &Replica,
        (acknowledged, due): (Instant, Instant),
        replies: &[Reply],
    ) -> usize {
        let runs = self.runs.all();
        let late = runs.iter().filter(|run| run.replica == replica.id() && run.arrived > due);
        let late: Vec<_> = late.collect();
        for run in &late {
            let after = run.arrived.duration_since(acknowledged).as_millis();
            self.record.line(&format!(
                "{} reached {} {after} ms after the acknowledgement",
                run.request, run.replica
            ));
        }
        let failed = |id: &String| replies.iter().any(|r| r.request == *id && !r.is_success());
        let lost = late.iter().filter(|run| run.cut && failed(&run.request)).count();
        self.record.line(&format!(
            "{} of {} requests reached {} too late; {lost} of them were cut at its end and failed",
            late.len(),
            replies.len(),
            replica.id()
        ));
        late.len()
    }

    /// Starts a replica and puts its entry into the store.
    fn start_replica(
        &self,
        id: &str,
        service: &str,
        address: Option<SocketAddr>,
    ) -> Result<Replica, String> {
        start_replica(id, service, address, (&self.store, &self.runs, &self.record))
    }
}

fn wait_for_replies(clients: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    clients.into_iter().filter_map(|client| client.join().ok()).collect()
}

fn sleep_until(end: Instant) {
    sleep(end.saturating_duration_since(Instant::now()));
}

/// Sends a request for `LEDGER` that waits for 10 s.
fn send(daemon: SocketAddr, record: &Record) -> Reply {
    let request = ("POST", "/ledger/1", &b"amount=1"[..]);
    client::send(daemon, request, Duration::from_secs(10), record)
}

fn start_replica(
    id: &str,
    service: &str,
    address: Option<SocketAddr>,
    (store, runs, record): (&Store, &Runs, &Arc<Record>),
) -> Result<Replica, String> {
    let replica = Replica::start(id, service, address, (runs, record));
    let replica = replica.map_err(|e| e.to_string())?;
    store.put("servers", id.as_bytes(), replica.entry(ZONES[0], "ready").as_bytes());
    Ok(replica)
}

/// Returns a route of the configuration to one service.
fn route(prefix: &str, route_type: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"r-{service}\",\"host\":\"shop.example\",\"path_prefix\":\"{prefix}\",\
         \"route_type\":\"{route_type}\",\"timeout_ms\":10000,\"target_latency_ms\":500,\
         \"priority\":1,\"service\":\"{service}\",\"max_attempts\":2}}"
    )
}

/// Returns a configuration with some routes and services.
fn configuration(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
