//! A replica that leaves without reporting `draining`: its entry is removed, it serves for the
//! drain time and a little longer, and then exits.

use crate::standin::*;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(3000);
/// How long the leaving replica serves beyond `DRAIN`.
const LITTLE_LONGER: Duration = Duration::from_millis(1000);
const SETTLE: Duration = Duration::from_millis(4000);
/// How far stale reads are behind.
const STALE_MS: u64 = 2000;
const CALLERS: usize = 8;
const WORK_MS: u64 = 300;

/// What happens besides the removal of the entry.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// The open connections between the daemon and the store go silent.
    SilentConnections,
    /// Reads of the store with `stale_ok` are `STALE_MS` behind.
    StaleReads,
}

/// Removes the entry of a replica, which serves a while longer, under steady charges; returns
/// through the exit code whether requests reached it later than allowed.
pub fn run(disruption: Disruption) -> ! {
    let record = Record::create();
    let stale = disruption == Disruption::StaleReads;
    let folder = scratch();
    let ip = Ipv4Addr::new(127, 0, 0, 1);
    let (store, log, ports) = (Store::start(ip), RunLog::default(), Ports::find());
    let mut replicas = Vec::new();
    for copy in 0..2 {
        let options = ReplicaOptions {
            id: format!("i-charge-{copy}"),
            service: "charge".to_owned(),
            slots: 6,
            queue: 24,
            work_ms: WORK_MS,
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
        timeout_ms: 3000,
        target_ms: 1200,
        service: "charge",
    };
    store.put("config", "main", &configuration(7, &[route], 110));
    if stale && trouble() {
        store.set_stale(STALE_MS);
    }
    let proxy = Proxy::start(ip, store.address);
    let daemon =
        Daemon::start("front-1", ip, ports, proxy.address, Limits { memory_mb: 260 }, &folder);
    let daemons = vec![daemon];
    if !daemons[0].wait_ready() {
        finish(&record, daemons, &folder, NOT_RUN);
    }
    let done = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (address, done) = (daemons[0].caller, done.clone());
        callers.push(spawn(move || {
            let mut sent = Vec::new();
            for number in 0.. {
                if done.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("charge-{caller}-{number}");
                sent.push(send(address, "POST", "/charge/1", &id, 3000, b"1"));
                sleep_ms(10);
            }
            sent
        }));
    }
    sleep_ms(6000);
    if !stale {
        // Shortly after a watch of the replicas began, so that it has to be given up by time.
        let watches = store.server_watches();
        while store.server_watches() == watches {
            sleep_ms(5);
        }
        sleep_ms(100);
        if trouble() {
            proxy.silence_open_connections();
            record.say("open connections to the store are silent from now on; new ones work");
        }
        // The daemon is in touch again.
        std::thread::sleep(SETTLE + Duration::from_millis(300));
    }
    let left = store.remove("servers", &replicas[0].options.id);
    record.say("the entry of i-charge-0 is removed, and the store has acknowledged that");
    std::thread::sleep(DRAIN + LITTLE_LONGER);
    replicas[0].stop();
    record.say("i-charge-0 has exited");
    sleep_ms(2000);
    done.store(true, Ordering::Relaxed);
    let sent: Vec<Sent> =
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    record.requests(&sent, &log);
    let late: Vec<Run> = log
        .all()
        .into_iter()
        .filter(|run| run.replica == replicas[0].options.id && run.arrived > left + DRAIN)
        .collect();
    let mut lost = 0;
    for run in &late {
        let request = sent.iter().find(|sent| sent.id == run.id);
        let seen = request.map_or("unknown".to_owned(), Sent::describe);
        let answered = request.is_some_and(
            |r| matches!(&r.outcome, Outcome::Answer(message) if message.status() == 200),
        );
        lost += u32::from(run.ran && !answered);
        record.line(format!(
            "{} reached i-charge-0 {:.3} s after the acknowledgement; the caller saw: {seen}",
            run.id,
            (run.arrived - left).as_secs_f64()
        ));
    }
    let in_time = log.all().iter().filter(|run| run.arrived <= left + DRAIN).count();
    record.say(format!(
        "{} requests sent; {in_time} reached replicas until {} s after the acknowledgement; {} reached \
         i-charge-0 later, {lost} of them ran there and were lost",
        sent.len(),
        DRAIN.as_secs(),
        late.len()
    ));
    let last = log.all().into_iter().filter(|run| run.replica == replicas[0].options.id);
    let last: Option<Instant> = last.map(|run| run.arrived).max();
    if let Some(last) = last {
        record.say(format!(
            "the last request reached i-charge-0 {:.3} s after the acknowledgement",
            last.saturating_duration_since(left).as_secs_f64()
        ));
    }
    let code = if in_time == 0 {
        NOT_RUN
    } else if late.is_empty() {
        HELD
    } else {
        BROKEN
    };
    finish(&record, daemons, &folder, code);
}
