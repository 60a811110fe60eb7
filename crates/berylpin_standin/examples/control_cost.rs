//! Prints what control costs an idle daemon, and how long the loss of a daemon takes to act on, for
//! fleets of several sizes in virtual time.

use berylpin_standin::fleet::{Fleet, Traffic};
use std::time::{Duration, Instant};

/// Sizes measured: daemons and data centres.
const SIZES: [(usize, usize); 4] = [(9, 3), (100, 7), (300, 7), (600, 7)];

/// How long a fleet settles before it is measured, in virtual time.
const SETTLE: Duration = Duration::from_secs(40);

/// How long it is measured, in virtual time.
const MEASURE: Duration = Duration::from_secs(20);

/// Fleets whose loss of a daemon is timed, for each size.
const RUNS: u64 = 5;

fn main() {
    println!("daemons, messages/s, bytes/s, core %, lost VM moved after s (each run)");
    for (daemons, data_centres) in SIZES {
        let mut fleet = settle(daemons, data_centres, 1);
        let before = total(&fleet, daemons);
        let started = Instant::now();
        fleet.run_for(MEASURE);
        let busy = started.elapsed();
        let after = total(&fleet, daemons);
        let rate = |count: u64| count as f64 / daemons as f64 / MEASURE.as_secs_f64();
        let messages = rate(after.messages - before.messages);
        let bytes = rate(after.bytes - before.bytes);
        let core = busy.as_secs_f64() / MEASURE.as_secs_f64() / daemons as f64 * 100.0;
        let losses: Vec<String> = (0..RUNS).map(|seed| loss(daemons, data_centres, seed)).collect();
        println!("{daemons}, {messages:.1}, {bytes:.0}, {core:.3}, {}", losses.join(" "));
    }
}

fn settle(daemons: usize, data_centres: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(daemons, data_centres, seed);
    fleet.run_for(SETTLE);
    fleet
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
    let mut fleet = settle(daemons, data_centres, seed);
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
