//! Prints what control costs an idle daemon, and how long the loss of a daemon takes to act on, for
//! fleets of several sizes in virtual time.

use berylpin_standin::fleet::{Fleet, Traffic};
use std::time::{Duration, Instant};

/// Sizes measured: daemons and data centres.
const SIZES: [(usize, usize); 4] = [(9, 3), (100, 7), (300, 7), (600, 7)];

/// How long a fleet settles before its cost is measured, in virtual time.
const SETTLE: Duration = Duration::from_mins(2);

/// How long a fleet settles before a daemon is lost, in virtual time.
const JOIN: Duration = Duration::from_secs(20);

/// How long it is measured, in virtual time.
const MEASURE: Duration = Duration::from_secs(20);

/// Fleets whose loss of a daemon is timed, for each size.
const RUNS: u64 = 3;

fn main() {
    println!("daemons, messages/s, bytes/s, core %, KB a daemon, lost VM moved after s (each run)");
    for (daemons, data_centres) in SIZES {
        let memory_before = resident_kb();
        let mut fleet = settle(daemons, data_centres, SETTLE, 1);
        let memory = resident_kb().saturating_sub(memory_before) / daemons as u64;
        let before = total(&fleet, daemons);
        let started = Instant::now();
        fleet.run_for(MEASURE);
        let busy = started.elapsed();
        let after = total(&fleet, daemons);
        let rate = |count: u64| count as f64 / daemons as f64 / MEASURE.as_secs_f64();
        let messages = rate(after.messages - before.messages);
        let bytes = rate(after.bytes - before.bytes);
        let core = busy.as_secs_f64() / MEASURE.as_secs_f64() / daemons as f64 * 100.0;
        drop(fleet);
        let losses: Vec<String> = (0..RUNS).map(|seed| loss(daemons, data_centres, seed)).collect();
        println!("{daemons}, {messages:.1}, {bytes:.0}, {core:.4}, {memory}, {}", losses.join(" "));
    }
}

fn settle(daemons: usize, data_centres: usize, length: Duration, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(daemons, data_centres, seed);
    fleet.run_for(length);
    fleet
}

/// Returns the resident memory of this process.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn total(fleet: &Fleet, daemons: usize) -> Traffic {
    let mut total = Traffic::default();
    for node in 0..daemons {
        let traffic = fleet.traffic(node);
        total.messages += traffic.messages;
        total.bytes += traffic.bytes;
    }
    total
}

/// Times how long all daemons take to leave a lost VM out of placement.
fn loss(daemons: usize, data_centres: usize, seed: u64) -> String {
    let mut fleet = settle(daemons, data_centres, JOIN, seed);
    let (lost, tag) = (daemons / 2, fleet.tag(daemons / 2));
    fleet.kill(lost, true);
    let taken = fleet.run_until(Duration::from_secs(30), |fleet| {
        fleet.running().all(|(_, controller)| {
            let view = controller.view();
            view.member(tag).is_none_or(|id| !view.members[id].live)
        })
    });
    taken.map_or_else(|| "never".to_owned(), |taken| format!("{:.1}", taken.as_secs_f64()))
}
