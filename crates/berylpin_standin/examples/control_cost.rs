//! Prints what control costs an idle daemon, how long the loss of a daemon and the healing of a
//! partition take to act on for fleets of several sizes in virtual time, and what views weigh.

use berylpin_core::arena::Arena;
use berylpin_core::config::ServiceSettings;
use berylpin_core::control::{Member, Topology, View};
use berylpin_core::ids::{Key, MemberId, MemberTag};
use berylpin_standin::simulation::{Simulation, Traffic};
use std::fmt::Write;
use std::sync::Arc;
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

/// Replicas of the topologies measured, in services of 40 shards with 3 replicas each.
const REPLICAS: [usize; 3] = [1_200, 4_800, 9_600];

/// How long half of a fleet is cut off, in virtual time.
const CUT: Duration = Duration::from_secs(30);

fn main() {
    // Memory is read from the process, so what weighs least comes first.
    views();
    fleets();
}

fn fleets() {
    println!(
        "daemons, messages/s, bytes/s, core %, KB a daemon, lost VM moved after s, healed after s"
    );
    for (daemons, data_centres) in SIZES {
        let memory_before = resident_kb();
        let mut simulation = settle(daemons, data_centres, SETTLE, 1);
        let memory = resident_kb().saturating_sub(memory_before) / daemons as u64;
        let before = total(&simulation, daemons);
        let started = Instant::now();
        simulation.run_for(MEASURE);
        let busy = started.elapsed();
        let after = total(&simulation, daemons);
        let rate = |count: u64| count as f64 / daemons as f64 / MEASURE.as_secs_f64();
        let messages = rate(after.messages - before.messages);
        let bytes = rate(after.bytes - before.bytes);
        let core = busy.as_secs_f64() / MEASURE.as_secs_f64() / daemons as f64 * 100.0;
        drop(simulation);
        let losses: Vec<String> = (0..RUNS).map(|seed| loss(daemons, data_centres, seed)).collect();
        println!(
            "{daemons}, {messages:.1}, {bytes:.0}, {core:.4}, {memory}, {}, {}",
            losses.join(" "),
            healing(daemons, data_centres)
        );
    }
}

fn settle(daemons: usize, data_centres: usize, length: Duration, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(daemons, data_centres, seed);
    simulation.run_for(length);
    simulation
}

/// Times how long two halves of a fleet take to place replicas on each other again.
fn healing(daemons: usize, data_centres: usize) -> String {
    let mut simulation = settle(daemons, data_centres, JOIN, 1);
    for node in 0..daemons {
        simulation.set_partition(node, u32::from(node % data_centres >= data_centres / 2));
    }
    simulation.run_for(CUT);
    for node in 0..daemons {
        simulation.set_partition(node, 0);
    }
    let taken = simulation.run_until(Duration::from_mins(2), |simulation| {
        simulation.running().all(|(_, controller)| {
            let live = controller.view().members.iter().filter(|(_, member)| member.live);
            live.count() == daemons
        })
    });
    taken.map_or_else(|| "never".to_owned(), |taken| format!("{:.1}", taken.as_secs_f64()))
}

/// Prints the memory of a view, the time to place all replicas, and what replaced replicas weigh.
fn views() {
    println!("replicas, KB a view, ms to place, bytes a replaced replica");
    for replicas in REPLICAS {
        let before = resident_kb();
        let topology = Arc::new(Topology::default().with_documents(&services(replicas, 0)));
        let started = Instant::now();
        let view = View::new(1, MemberId::from_index(0), members(), topology);
        let placing = started.elapsed().as_secs_f64() * 1e3;
        let size = resident_kb().saturating_sub(before);
        let mut replaced = view.topology.with_documents(&services(replicas, 1));
        let before = resident_kb();
        for generation in 2..6 {
            replaced = replaced.with_documents(&services(replicas, generation));
        }
        let old = resident_kb().saturating_sub(before) * 1024 / (4 * replicas) as u64;
        println!("{replicas}, {size}, {placing:.1}, {old} ({} ids)", replaced.replicas.len());
    }
}

/// Documents whose replicas all have other addresses in each generation.
fn services(replicas: usize, generation: usize) -> Vec<Arc<ServiceSettings>> {
    let mut services = Vec::new();
    for service in 0..replicas / 120 {
        let mut text = format!("service = \"s{service}\"\n");
        for shard in 0..40 {
            let _ = writeln!(text, "[[shard]]\nname = \"x{shard}\"");
            for replica in 0..3 {
                let _ = writeln!(
                    text,
                    "[[shard.replica]]\naddress = \"10.{generation}.{service}.{replica}:{}\"\n\
                     data_centre = \"dc-{}\"\nslots = 2\nconnections = 25",
                    8000 + shard,
                    (shard + replica) % 7
                );
            }
        }
        services.extend(ServiceSettings::parse(&text).map(Arc::new));
    }
    services
}

fn members() -> Arena<MemberId, Member> {
    let mut members = Arena::default();
    for index in 0..600 {
        let name = format!("entry-{index}");
        members.push(Member {
            tag: MemberTag::of([name.as_str()]),
            name,
            data_centre: format!("dc-{}", index % 7),
            peer_address: ([10, 200, 0, 1], 7001).into(),
            live: true,
            leaving: false,
        });
    }
    members
}

/// Returns the resident memory of this process.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn total(simulation: &Simulation, daemons: usize) -> Traffic {
    let mut total = Traffic::default();
    for node in 0..daemons {
        let traffic = simulation.traffic(node);
        total.messages += traffic.messages;
        total.bytes += traffic.bytes;
    }
    total
}

/// Times how long all daemons take to leave a lost VM out of placement.
fn loss(daemons: usize, data_centres: usize, seed: u64) -> String {
    let mut simulation = settle(daemons, data_centres, JOIN, seed);
    let (lost, tag) = (daemons / 2, simulation.tag(daemons / 2));
    simulation.kill(lost, true);
    let taken = simulation.run_until(Duration::from_secs(30), |simulation| {
        simulation.running().all(|(_, controller)| {
            let view = controller.view();
            view.member(tag).is_none_or(|id| !view.members[id].live)
        })
    });
    taken.map_or_else(|| "never".to_owned(), |taken| format!("{:.1}", taken.as_secs_f64()))
}
