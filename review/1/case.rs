//! LOST: a planned stop cuts requests that wait in the daemon for another attempt.

#[path = "../standin/mod.rs"]
mod standin;

use standin::*;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 10_000;
/// The pause between two requests; the replicas can take 13.3 a second.
const INTERVAL_MS: u64 = 60;
const LOAD_BEFORE_STOP: Duration = Duration::from_secs(8);
const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK: Duration = Duration::from_millis(200);

fn main() {
    let record = Record::create();
    let folder = scratch();
    let ip = Ipv4Addr::new(127, 0, 0, 1);
    let (store, log, ports) = (Store::start(ip), RunLog::default(), Ports::find());
    let mut replicas = Vec::new();
    for copy in 0..2 {
        let options = ReplicaOptions {
            id: format!("i-charge-{copy}"),
            service: "charge".to_owned(),
            slots: 2,
            queue: 4,
            work_ms: 300,
            status: 200,
            body: "charged".to_owned(),
        };
        let replica = Replica::start(ip, options, &log);
        store.put("servers", &replica.options.id, &replica.entry("zone-a", "ready"));
        replicas.push(replica);
    }
    let route = Route {
        name: "charge",
        prefix: "/charge/",
        idempotent: false,
        timeout_ms: TIMEOUT_MS,
        target_ms: 1200,
        service: "charge",
    };
    store.put("config", "main", &configuration(7, &[route], 41));
    let limits = Limits { memory_mb: 260 };
    let daemons: Vec<Daemon> = (1..=2)
        .map(|n| {
            let ip = Ipv4Addr::new(127, 0, 0, n);
            Daemon::start(&format!("front-{n}"), ip, ports, store.address, limits, &folder)
        })
        .collect();
    if !daemons.iter().all(Daemon::wait_ready) {
        finish(&record, daemons, &folder, NOT_RUN);
    }
    // Both daemons list each other within a few seconds.
    sleep_ms(5000);
    let started = Instant::now();
    let mut stopped: Option<Instant> = None;
    let mut callers = Vec::new();
    for number in 0.. {
        if stopped.is_none() && started.elapsed() >= LOAD_BEFORE_STOP {
            record.say(if trouble() { "SIGTERM to front-1" } else { "no SIGTERM" });
            if trouble() {
                daemons[0].signal("TERM");
            }
            stopped = Some(Instant::now());
        }
        // The platform takes the daemon out after two questions without a 200.
        if stopped.is_some_and(|at| at.elapsed() >= Duration::from_millis(1500)) {
            break;
        }
        let address = daemons[0].caller;
        callers.push(spawn(move || {
            let id = format!("charge-{number}");
            send(address, "POST", "/charge/1", &id, TIMEOUT_MS, b"1")
        }));
        sleep_ms(INTERVAL_MS);
    }
    let stopped = stopped.unwrap();
    let sent: Vec<Sent> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    record.requests(&sent, &log);
    let (mut lost, mut excused, mut answered) = (0, 0, 0);
    for request in &sent {
        let runs = log.of(&request.id);
        let held = request.ended.saturating_duration_since(request.sent);
        match &request.outcome {
            Outcome::Answer(_) => answered += 1,
            Outcome::Cut if held.as_millis() as u64 >= TIMEOUT_MS => excused += 1,
            Outcome::Cut => {
                // Excused if a replica was still at work in the last sixth of the grace time.
                let last_sixth = stopped + GRACE * 5 / 6;
                let at_work =
                    runs.iter().any(|run| run.ran && run.ended.is_none_or(|end| end >= last_sixth));
                let passed_on = !runs.is_empty();
                if at_work || !(passed_on || held > LOSS_SLACK) {
                    excused += 1;
                } else {
                    record.line(format!(
                        "lost: {} was cut {:.3} s after the SIGTERM and {:.3} s after it was sent",
                        request.id,
                        request.ended.saturating_duration_since(stopped).as_secs_f64(),
                        held.as_secs_f64()
                    ));
                    lost += 1;
                }
            }
            Outcome::Late => lost += 1,
            // The platform sends new connections elsewhere.
            Outcome::NoConnection => excused += 1,
        }
    }
    record.say(format!(
        "{} requests: {answered} answered, {lost} lost without an answer, {excused} excused",
        sent.len()
    ));
    let code = if answered == 0 {
        NOT_RUN
    } else if lost > 0 {
        BROKEN
    } else {
        HELD
    };
    finish(&record, daemons, &folder, code);
}
