//! The scenarios of the review cases and their stand-ins for the platform's store, replicas and
//! clients. `review/build-3.sh` builds them, `review/N/run.sh` runs one.
//!
//! Usage: `standin SCENARIO FOLDER PROGRAM`. Writes `record.txt` to the folder. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the scenario could not run. With `TROUBLE=0` in the
//! environment the scenario goes without its disruption.

mod client;
mod daemon;
mod http;
mod replica;
mod store;

use client::{Client, Exchange};
use daemon::{Daemon, Figures};
use replica::{Act, Replica};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use store::Store;

/// What came of a scenario.
pub enum End {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// The record of a run.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    fn new() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }

    pub fn add(&self, at: Instant, line: String) {
        self.lines.lock().unwrap().push((at, line));
    }

    pub fn now(&self, line: String) {
        self.add(Instant::now(), line);
    }

    pub fn add_exchange(&self, exchange: &Exchange) {
        let Exchange { id, method, status, stamp, error, .. } = exchange;
        self.add(exchange.sent, format!("client sends {method} {id}"));
        self.add(
            exchange.ended,
            format!(
                "client gets {status} for {id} stamp={stamp} error={error} bytes={}",
                exchange.body.len()
            ),
        );
    }

    pub fn add_arrivals(&self, replica: &Replica) {
        for arrival in replica.arrivals.lock().unwrap().iter() {
            let what = if arrival.ran { "runs" } else { "turns away" };
            self.add(
                arrival.at,
                format!("replica {} {what} {} {}", replica.id, arrival.method, arrival.id),
            );
        }
    }

    fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(
                text,
                "{:9.3} {line}",
                at.saturating_duration_since(self.start).as_secs_f64()
            );
        }
        let _ = std::fs::write(path, text);
    }
}

/// A small deployment: a store, replicas and daemons.
pub struct Deployment {
    pub store: Arc<Store>,
    pub replicas: Vec<Arc<Replica>>,
    pub daemons: Vec<Daemon>,
    pub directory: PathBuf,
    pub record: Record,
}

/// A route of the configuration, as JSON.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    timeout_ms: u32,
    target_ms: u32,
    attempts: u32,
    to: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":1,\"max_attempts\":{attempts},{to}}}"
    )
}

pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":40,\"protocol\":\"h1\"}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

impl Deployment {
    pub fn new(
        directory: &Path,
        program: &Path,
        daemons: usize,
        replicas: &[(&str, &str)],
    ) -> Self {
        // Each run has addresses of its own.
        let net = (10 + std::process::id() % 200) as u8;
        let store = Store::start(&format!("127.{net}.11.1"));
        let replicas: Vec<_> = replicas
            .iter()
            .map(|(id, service)| Replica::start(&format!("127.{net}.12.1"), id, service))
            .collect();
        for replica in &replicas {
            store.put("servers", &replica.id, &replica.entry("zone-a", "ready"));
        }
        let daemons = (0..daemons)
            .map(|number| {
                Daemon::new(number, net, store.address, directory.to_owned(), program.to_owned())
            })
            .collect();
        Self { store, replicas, daemons, directory: directory.to_owned(), record: Record::new() }
    }

    /// Starts all daemons and waits until they are ready and know each other.
    pub fn start(&mut self, figures: &Figures) -> Result<(), End> {
        for daemon in &mut self.daemons {
            daemon.start(figures);
        }
        for daemon in &self.daemons {
            if !daemon.wait_until_ready(Duration::from_secs(15)) {
                return Err(End::CouldNotRun(format!("{} is not ready", daemon.name)));
            }
        }
        std::thread::sleep(Duration::from_secs(4));
        Ok(())
    }

    pub fn replica(&self, id: &str) -> Arc<Replica> {
        self.replicas.iter().find(|replica| replica.id == id).expect("a known replica").clone()
    }

    /// Sends requests one after the other at an interval, on one connection.
    pub fn send_for(
        &self,
        prefix: &str,
        (method, path): (&str, &str),
        interval: Duration,
        time: Duration,
        deadline: Duration,
    ) -> Vec<Exchange> {
        let mut client = Client::new(self.daemons[0].front());
        let end = Instant::now() + time;
        let mut exchanges = Vec::new();
        for number in 0.. {
            let next = Instant::now() + interval;
            if next > end {
                break;
            }
            let exchange = client.send(method, path, &format!("{prefix}{number}"), deadline, b"");
            self.record.add_exchange(&exchange);
            exchanges.push(exchange);
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        exchanges
    }

    /// Sends requests from several clients at once, each with a connection of its own.
    pub fn send_in_parallel(
        &self,
        clients: usize,
        prefix: &str,
        request: (&str, &str),
        interval: Duration,
        time: Duration,
        deadline: Duration,
    ) -> Vec<Exchange> {
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..clients)
                .map(|client| {
                    let prefix = format!("{prefix}{client}-");
                    scope.spawn(move || self.send_for(&prefix, request, interval, time, deadline))
                })
                .collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        })
    }

    pub fn finish(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        for replica in &self.replicas {
            self.record.add_arrivals(replica);
        }
    }
}

mod scenarios;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder, program] = arguments.as_slice() else {
        eprintln!("usage: standin SCENARIO FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&directory).is_err() {
        eprintln!("no temporary folder");
        return ExitCode::from(2);
    }
    let program = match std::fs::canonicalize(program) {
        Ok(program) => program,
        Err(e) => {
            eprintln!("{program}: {e}");
            return ExitCode::from(2);
        }
    };
    let (end, record) = scenarios::run(scenario, &directory, &program, trouble);
    let (code, line) = match end {
        End::Held => (0, "the rule held".to_owned()),
        End::Broken(why) => (1, format!("the rule was broken: {why}")),
        End::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    println!("{line}");
    if let Some(record) = record {
        record.now(line);
        record.write(&Path::new(folder).join("record.txt"));
    }
    let _ = std::fs::remove_dir_all(&directory);
    ExitCode::from(code)
}
