//! The scenarios, one for each case with a script.

use crate::daemon::{Figures, SIGHUP};
use crate::{Act, Deployment, End, Exchange, Record, Replica, configuration, route};
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
        "wrong-service" => wrong_service(directory, program, trouble),
        "imitation" => imitation(directory, program, trouble),
        "long-list" => long_list(directory, program, trouble),
        "many-zones" => many_zones(directory, program, trouble),
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
            Act::Serve(MS(20))
        } else {
            Act::Refuse(503, format!("{header}Retry-After: {seconds}\r\n"))
        }
    });
    deployment.replica("i-a2").set(|_| Act::Serve(MS(20)));
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
            Act::Serve(MS(20))
        } else {
            Act::Refuse(503, "X-Not-Executed: 1\r\nRetry-After: 20\r\n".to_owned())
        }
    });
    deployment.replica("i-a2").set(|_| Act::Serve(MS(20)));
    let (store, entry) = (deployment.store.clone(), replica.entry("zone-a", "ready"));
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
                Act::Serve(MS(3))
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
        replica.set(|_| Act::Serve(MS(120)));
    }
    if let Err(end) = deployment.start(&Figures::default()) {
        return finish(deployment, end);
    }
    let replica = deployment.replica("i-a1");
    let (store, record) = (&deployment.store, &deployment.record);
    let draining = replica.entry("zone-a", "draining");
    let odd = replica.entry_without_born("desk");
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

/// Sends requests that may not run twice to a service, while `disturb` runs; counts those that a
/// replica of another service runs.
fn foreign_runs<F>(
    directory: &Path,
    program: &Path,
    time: Duration,
    disturb: F,
) -> (End, Option<Record>)
where
    F: FnOnce(&Deployment, &Replica) + Send,
{
    let replicas = [("i-a1", "desk"), ("i-a2", "desk"), ("i-r1", "vault"), ("i-r2", "vault")];
    let mut deployment = Deployment::new(directory, program, 1, &replicas);
    let routes = [
        route("book", "/book/", "non_idempotent", 1500, 500, 2, "\"service\":\"desk\""),
        route("keep", "/keep/", "idempotent", 1500, 500, 2, "\"service\":\"vault\""),
    ];
    deployment.store.put("config", "main", &configuration(1, &routes, &["desk", "vault"]));
    for replica in &deployment.replicas {
        replica.set(|_| Act::Serve(MS(40)));
    }
    if let Err(end) = deployment.start(&Figures::default()) {
        return finish(deployment, end);
    }
    let replica = deployment.replica("i-r1");
    let exchanges = std::thread::scope(|scope| {
        scope.spawn(|| disturb(&deployment, &replica));
        deployment.send_in_parallel(6, "w", ("POST", "/book/x"), MS(50), time, MS(1500))
    });
    let served = exchanges.iter().filter(|exchange| exchange.status == 200).count();
    let foreign = exchanges.iter().filter(|exchange| exchange.stamp.starts_with("vault")).count();
    let arrivals = replica.arrivals.lock().unwrap();
    let runs = arrivals.iter().filter(|arrival| arrival.target.starts_with("/book/")).count();
    drop(arrivals);
    let end = if runs > 0 {
        End::Broken(format!(
            "{runs} of {} requests for desk were run by i-r1 of vault, {foreign} clients got its answer",
            exchanges.len()
        ))
    } else if served * 10 < exchanges.len() * 9 {
        End::CouldNotRun("too few requests are served".to_owned())
    } else {
        End::Held
    };
    finish(deployment, end)
}

/// Another writer leaves an entry for another service and without `born` under a replica's id; the
/// replica writes its own one at its next heartbeat.
fn wrong_service(directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    foreign_runs(directory, program, Duration::from_secs(8), |deployment, replica| {
        let (store, record) = (&deployment.store, &deployment.record);
        std::thread::sleep(MS(3000));
        if trouble {
            store.put("servers", "i-r1", &replica.entry_without_born("desk"));
            record.now("another writer leaves an odd entry under i-r1".to_owned());
        }
        std::thread::sleep(MS(1100));
        store.put("servers", "i-r1", &replica.entry("zone-a", "ready"));
        record.now("i-r1 writes its entry at its heartbeat".to_owned());
    })
}

/// Another writer leaves an entry, under a name of its own, whose spec has the words with which the
/// store ends and begins an event; it is removed 1 s later.
fn imitation(directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    foreign_runs(directory, program, Duration::from_secs(8), |deployment, replica| {
        let (store, record) = (&deployment.store, &deployment.record);
        std::thread::sleep(MS(3000));
        if !trouble {
            return;
        }
        let entry = replica.entry("zone-a", "ready").replace("vault", "desk");
        let spec = format!(
            "{{}}}},\"deleted\":false}},{{\"object\":{{\"meta\":{{\"name\":\"i-r1\",\"revision\":1}},\"spec\":{entry}"
        );
        store.put("servers", "odd", &spec);
        record.now(format!("another writer leaves an entry under `odd`, its spec: {spec}"));
        std::thread::sleep(MS(1000));
        store.remove("servers", "odd");
        record.now("the entry `odd` is removed".to_owned());
    })
}

/// Entries of another writer that exceed 16 MB lie in the store while all processes are killed and
/// start again.
fn long_list(directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    restart_all(directory, program, "zone-a", |deployment| {
        if trouble {
            let spec = format!("{{\"blob\":\"{}\"}}", "x".repeat(1_000_000));
            for number in 1..=20 {
                deployment.store.put("servers", &format!("blob-{number:02}"), &spec);
            }
            deployment.record.now("another writer leaves 20 entries of 1 MB".to_owned());
        }
    })
}

/// Entries of another writer, of a service that no configuration names and each with a zone of its
/// own, lie in the store while all processes are killed and start again.
fn many_zones(directory: &Path, program: &Path, trouble: bool) -> (End, Option<Record>) {
    restart_all(directory, program, "zone-b", |deployment| {
        if trouble {
            for number in 0..256 {
                let replica = &deployment.replicas[0];
                let entry = replica.entry(&format!("rack-{number:03}"), "ready");
                let entry = entry.replace("\"desk\"", "\"press\"");
                deployment.store.put("servers", &format!("host-{number:03}"), &entry);
            }
            let line = "another writer leaves 256 entries of the service `press`";
            deployment.record.now(line.to_owned());
        }
    })
}

/// Kills all processes and starts them again, with the replicas in a zone; counts the requests that
/// are served before and after.
fn restart_all<F>(directory: &Path, program: &Path, zone: &str, disturb: F) -> (End, Option<Record>)
where
    F: FnOnce(&Deployment),
{
    let mut deployment =
        Deployment::new(directory, program, 1, &[("i-a1", "desk"), ("i-a2", "desk")]);
    for replica in &deployment.replicas {
        deployment.store.put("servers", &replica.id, &replica.entry(zone, "ready"));
    }
    let routes = [route("read", "/read/", "idempotent", 1500, 500, 2, "\"service\":\"desk\"")];
    deployment.store.put("config", "main", &configuration(1, &routes, &["desk"]));
    if let Err(end) = deployment.start(&Figures::default()) {
        return finish(deployment, end);
    }
    disturb(&deployment);
    std::thread::sleep(Duration::from_secs(3));
    let send = |deployment: &Deployment, prefix: &str| {
        let time = Duration::from_secs(4);
        let request = ("GET", "/read/x");
        let exchanges = deployment.send_in_parallel(3, prefix, request, MS(100), time, MS(1500));
        let served = exchanges.iter().filter(|exchange| exchange.status == 200).count();
        (served, exchanges.len())
    };
    let (served_before, sent_before) = send(&deployment, "before");
    deployment.daemons[0].kill();
    deployment.record.now("all processes are killed".to_owned());
    std::thread::sleep(MS(1200));
    deployment.daemons[0].start(&Figures::default());
    deployment.record.now("all processes are back".to_owned());
    // `recovery_s` is 12.
    std::thread::sleep(Duration::from_secs(13));
    let (served, sent) = send(&deployment, "after");
    let counts = format!(
        "{served} of {sent} requests were served 13 s after the processes were back, {served_before} of {sent_before} before"
    );
    let end = if served_before * 4 < sent_before {
        End::CouldNotRun(counts)
    } else if served * 4 < sent {
        End::Broken(counts)
    } else {
        End::Held
    };
    finish(deployment, end)
}
