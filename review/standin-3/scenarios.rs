//! The scenarios, one for each case with a script.

use crate::daemon::{Figures, SIGHUP};
use crate::{Act, Deployment, End, Exchange, Record, configuration, route};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;

pub fn run(name: &str, directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    match name {
        "pause" => pause(directory, program, trouble, "X-Not-Executed: 1\r\n", 75, 80),
        "pause-plain" => pause(directory, program, trouble, "", 8, 12),
        "odd-entry" => odd_entry(directory, program, trouble),
        "pause-forgotten" => pause_forgotten(directory, program, trouble),
        "reload" => reload(directory, program, trouble),
        _ => (End::CouldNotRun(format!("no scenario `{name}`")), None),
    }
}

fn finish(mut deployment: Deployment, end: End) -> (End, Option<Record>) {
    deployment.finish();
    (end, Some(deployment.record))
}

/// A replica answers one request with 503 and `Retry-After`; counts what reaches it in that time.
fn pause(
    directory: &Path,
    program: &Path,
    trouble: bool,
    header: &'static str,
    seconds: u64,
    time: u64,
) -> (End, Option<Record>) {
    let mut deployment =
        Deployment::new(directory, program, 1, &[("i-a1", "desk"), ("i-a2", "desk")]);
    let routes = [route("read", "/read/", "idempotent", 1500, 500, 2, "\"service\":\"desk\"")];
    deployment.store.put("config", "main", &configuration(1, &routes, &["desk"]));
    if let Err(end) = deployment.start(&Figures::default()) {
        return finish(deployment, end);
    }
    let asked = Arc::new(AtomicBool::new(!trouble));
    let replica = deployment.replica("i-a1");
    let once = asked.clone();
    replica.set(move |_| {
        if once.swap(true, Ordering::Relaxed) {
            Act::Serve(MS(20), String::new())
        } else {
            Act::Refuse(503, format!("{header}Retry-After: {seconds}\r\n"))
        }
    });
    deployment.replica("i-a2").set(|_| Act::Serve(MS(20), String::new()));
    let exchanges = deployment.send_in_parallel(
        6,
        "p",
        ("GET", "/read/x"),
        MS(50),
        Duration::from_secs(time),
        MS(1500),
    );
    let served = exchanges.iter().filter(|exchange| exchange.status == 200).count();
    let refusals = replica.refusals.lock().unwrap().clone();
    let end = match refusals.first() {
        _ if served * 2 < exchanges.len() => End::CouldNotRun("most requests fail".to_owned()),
        None if trouble => End::CouldNotRun("the replica was not asked".to_owned()),
        None => End::Held,
        Some(at) => {
            let pause = *at + MS(500)..*at + Duration::from_secs(seconds);
            let arrivals = replica.arrivals.lock().unwrap();
            let count = arrivals.iter().filter(|arrival| pause.contains(&arrival.at)).count();
            if count > 2 {
                End::Broken(format!(
                    "{count} requests reached i-a1 within the {seconds} s of its Retry-After"
                ))
            } else {
                End::Held
            }
        }
    };
    finish(deployment, end)
}

/// A replica asks for a pause; another writer spoils its entry for a moment meanwhile.
fn pause_forgotten(directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    let mut deployment =
        Deployment::new(directory, program, 1, &[("i-a1", "desk"), ("i-a2", "desk")]);
    let routes = [route("read", "/read/", "idempotent", 1500, 500, 2, "\"service\":\"desk\"")];
    deployment.store.put("config", "main", &configuration(1, &routes, &["desk"]));
    if let Err(end) = deployment.start(&Figures::default()) {
        return finish(deployment, end);
    }
    let asked = Arc::new(AtomicBool::new(false));
    let replica = deployment.replica("i-a1");
    let once = asked.clone();
    replica.set(move |_| {
        if once.swap(true, Ordering::Relaxed) {
            Act::Serve(MS(20), String::new())
        } else {
            Act::Refuse(503, "X-Not-Executed: 1\r\nRetry-After: 20\r\n".to_owned())
        }
    });
    deployment.replica("i-a2").set(|_| Act::Serve(MS(20), String::new()));
    let (store, entry) = (deployment.store.clone(), replica.entry("zone-a", "ready", 1));
    let record = &deployment.record;
    let exchanges = std::thread::scope(|scope| {
        scope.spawn(move || {
            std::thread::sleep(MS(4000));
            if trouble {
                store.put("servers", "i-a1", "{\"address\":5}");
                record.now("another writer leaves an odd entry under i-a1".to_owned());
            }
            std::thread::sleep(MS(1000));
            store.put("servers", "i-a1", &entry);
            record.now("i-a1 writes its entry at its heartbeat".to_owned());
        });
        deployment.send_in_parallel(
            6,
            "p",
            ("GET", "/read/x"),
            MS(50),
            Duration::from_secs(18),
            MS(1500),
        )
    });
    let served = exchanges.iter().filter(|exchange| exchange.status == 200).count();
    let refusals = replica.refusals.lock().unwrap().clone();
    let end = match refusals.first() {
        _ if served * 2 < exchanges.len() => End::CouldNotRun("most requests fail".to_owned()),
        None => End::CouldNotRun("the replica was not asked".to_owned()),
        Some(at) => {
            let pause = *at + MS(500)..*at + Duration::from_secs(20);
            let arrivals = replica.arrivals.lock().unwrap();
            let count = arrivals.iter().filter(|arrival| pause.contains(&arrival.at)).count();
            if count > 2 {
                End::Broken(format!(
                    "{count} requests reached i-a1 within the 20 s of its Retry-After"
                ))
            } else {
                End::Held
            }
        }
    };
    finish(deployment, end)
}

/// The settings lower the budget of repeats, with SIGHUP.
fn reload(directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    let mut deployment = Deployment::new(
        directory,
        program,
        1,
        &[("i-a1", "desk"), ("i-a2", "desk"), ("i-a3", "desk")],
    );
    let routes = [route("read", "/read/", "idempotent", 1500, 500, 3, "\"service\":\"desk\"")];
    deployment.store.put("config", "main", &configuration(1, &routes, &["desk"]));
    if let Err(end) = deployment.start(&Figures::default()) {
        return finish(deployment, end);
    }
    let mut figures = Figures::default();
    if trouble {
        figures = Figures { budget_ratio: 0.05, budget_slack: 5 };
        deployment.daemons[0].write_settings(&figures);
        deployment.daemons[0].signal(SIGHUP);
    }
    std::thread::sleep(Duration::from_secs(12));
    let failures = Arc::new(AtomicU64::new(0));
    for replica in &deployment.replicas {
        let failures = failures.clone();
        replica.set(move |_| {
            if failures.fetch_add(1, Ordering::Relaxed) % 3 == 0 {
                Act::Fail(MS(3), 500)
            } else {
                Act::Serve(MS(3), String::new())
            }
        });
    }
    let exchanges =
        deployment.send_for("b", ("GET", "/read/x"), MS(20), Duration::from_secs(20), MS(1500));
    let mut arrivals: Vec<_> =
        deployment.replicas.iter().flat_map(|r| r.arrivals.lock().unwrap().clone()).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = std::collections::BTreeSet::new();
    let extra: Vec<Instant> =
        arrivals.iter().filter(|arrival| !seen.insert(arrival.id.clone())).map(|a| a.at).collect();
    let window = Duration::from_secs(10);
    let mut worst = (0, 0.0);
    for at in &extra {
        let count = extra.iter().filter(|other| **other >= *at && **other < *at + window).count();
        let in_window = |from: Instant| {
            exchanges.iter().filter(|e| e.sent >= from && e.sent < from + window).count()
        };
        let requests =
            [*at, *at - window / 2, *at - window].into_iter().map(in_window).max().unwrap_or(0);
        let allowed = requests as f64 * figures.budget_ratio + f64::from(figures.budget_slack);
        if count as f64 - allowed > worst.0 as f64 - worst.1 {
            worst = (count, allowed);
        }
    }
    let end = if worst.0 as f64 > worst.1 {
        End::Broken(format!("{} extra arrivals within 10 s, {:.1} are allowed", worst.0, worst.1))
    } else {
        End::Held
    };
    deployment.record.now(format!(
        "extra arrivals: {}, worst window {} of {:.1}",
        extra.len(),
        worst.0,
        worst.1
    ));
    finish(deployment, end)
}

/// A replica drains, serves on for a while and exits; another writer leaves an entry without `born`
/// under its id meanwhile.
fn odd_entry(directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    let mut deployment = Deployment::new(
        directory,
        program,
        1,
        &[("i-a1", "desk"), ("i-a2", "desk"), ("i-a3", "desk")],
    );
    let routes = [
        route("read", "/read/", "idempotent", 1500, 500, 2, "\"service\":\"desk\""),
        route("book", "/book/", "non_idempotent", 1500, 500, 2, "\"service\":\"desk\""),
    ];
    deployment.store.put("config", "main", &configuration(1, &routes, &["desk"]));
    for replica in &deployment.replicas {
        replica.set(|_| Act::Serve(MS(120), String::new()));
    }
    if let Err(end) = deployment.start(&Figures::default()) {
        return finish(deployment, end);
    }
    let replica = deployment.replica("i-a1");
    let (store, record) = (&deployment.store, &deployment.record);
    let draining = replica.entry("zone-a", "draining", 1);
    let odd = replica.entry_without_born("zone-a", "ready");
    let plan = || {
        std::thread::sleep(MS(3000));
        store.put("servers", "i-a1", &draining);
        let drained = Instant::now();
        record.add(drained, "the store acknowledged that i-a1 drains".to_owned());
        // The replica writes its entry at each heartbeat.
        for _ in 1..=4 {
            std::thread::sleep(MS(1200));
            store.put("servers", "i-a1", &draining);
        }
        std::thread::sleep(MS(100));
        if trouble {
            store.put("servers", "i-a1", &odd);
            record.now("another writer leaves an odd entry under i-a1".to_owned());
        }
        std::thread::sleep(MS(1000));
        replica.exit();
        store.remove("servers", "i-a1");
        record.now("i-a1 exits, its entry is removed".to_owned());
        drained
    };
    let time = Duration::from_secs(12);
    let (drained, reads, writes) = std::thread::scope(|scope| {
        let plan = scope.spawn(plan);
        let reads = scope.spawn(|| {
            deployment.send_in_parallel(4, "o", ("GET", "/read/x"), MS(30), time, MS(1500))
        });
        let writes =
            deployment.send_in_parallel(6, "w", ("POST", "/book/x"), MS(30), time, MS(1500));
        (plan.join(), reads.join().unwrap_or_default(), writes)
    });
    let Ok(drained) = drained else {
        return finish(deployment, End::CouldNotRun("the plan failed".to_owned()));
    };
    let exchanges = reads.len() + writes.len();
    let served = |exchanges: &[Exchange]| exchanges.iter().filter(|e| e.status == 200).count();
    let lost = writes.len() - served(&writes);
    let (before, late) = {
        let arrivals = replica.arrivals.lock().unwrap();
        let before = arrivals.iter().filter(|arrival| arrival.at < drained).count();
        let late = arrivals.iter().filter(|arrival| arrival.at > drained + MS(3000)).count();
        (before, late)
    };
    let end = if (served(&reads) + served(&writes)) * 10 < exchanges * 9 || before == 0 {
        End::CouldNotRun("too few requests are served".to_owned())
    } else if late > 0 {
        End::Broken(format!(
            "{late} requests reached i-a1 later than 3 s after the store had acknowledged that it drains; {lost} requests that may not run twice were answered with a failure"
        ))
    } else {
        End::Held
    };
    finish(deployment, end)
}
