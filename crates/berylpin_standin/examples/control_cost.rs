//! Prints the cost of control for an idle daemon, the reaction times to a lost VM and a healed
//! partition in simulations of several sizes, and the memory of views.

use berylpin_core::arena::Arena;
use berylpin_core::config::ServiceSettings;
use berylpin_core::control::{Member, Topology, View};
use berylpin_core::ids::{Key, MemberId, MemberTag};
use berylpin_standin::simulation::{Simulation, Traffic};
use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Measured sizes: numbers of daemons and data centres.
const SIZES: [(usize, usize); 4] = [(9, 3), (100, 7), (300, 7), (600, 7)];

/// Virtual time that a simulation settles before its cost is measured.
const SETTLE_TIME: Duration = Duration::from_mins(2);

/// Virtual time that a simulation settles before a VM is lost or a partition begins.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// Virtual time over which the cost of control is measured.
const MEASURE_TIME: Duration = Duration::from_secs(20);

/// Simulations of a lost VM for each size, with different seeds.
const LOSS_RUNS: u64 = 3;

/// Replicas of the measured topologies, in services of 40 shards with 3 replicas each.
const REPLICA_COUNTS: [usize; 3] = [1_200, 4_800, 9_600];

/// Virtual time that a partition into two halves lasts.
const PARTITION_TIME: Duration = Duration::from_secs(30);

fn main() {
    // Memory is measured as growth of the process, so the smaller measurement comes first.
    print_view_costs();
    print_control_costs();
}

fn print_control_costs() {
    println!(
        "daemons, messages/s, bytes/s, core %, KB per daemon, lost VM moved after s, healed after s"
    );
    for (daemons, data_centres) in SIZES {
        let memory_before_kb = resident_kb();
        let mut simulation = settle(daemons, data_centres, SETTLE_TIME, 1);
        let memory_kb = resident_kb().saturating_sub(memory_before_kb) / daemons as u64;
        let before = total_traffic(&simulation, daemons);
        let started = Instant::now();
        simulation.run_for(MEASURE_TIME);
        let run_time = started.elapsed();
        let after = total_traffic(&simulation, daemons);
        let rate = |count: u64| count as f64 / daemons as f64 / MEASURE_TIME.as_secs_f64();
        let messages_per_s = rate(after.messages - before.messages);
        let bytes_per_s = rate(after.bytes - before.bytes);
        let core_percent =
            run_time.as_secs_f64() / MEASURE_TIME.as_secs_f64() / daemons as f64 * 100.0;
        drop(simulation);
        let loss_times: Vec<String> =
            (0..LOSS_RUNS).map(|seed| loss_time(daemons, data_centres, seed)).collect();
        println!(
            "{daemons}, {messages_per_s:.1}, {bytes_per_s:.0}, {core_percent:.4}, {memory_kb}, {}, {}",
            loss_times.join(" "),
            healing_time(daemons, data_centres)
        );
    }
}

/// Returns a simulation that has run for a duration without faults.
fn settle(daemons: usize, data_centres: usize, duration: Duration, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(daemons, data_centres, seed);
    simulation.run_for(duration);
    simulation
}

/// Measures the seconds from the healing of a partition until all daemons see all others live.
fn healing_time(daemons: usize, data_centres: usize) -> String {
    let mut simulation = settle(daemons, data_centres, JOIN_TIME, 1);
    for node in 0..daemons {
        simulation.set_partition(node, u32::from(node % data_centres >= data_centres / 2));
    }
    simulation.run_for(PARTITION_TIME);
    for node in 0..daemons {
        simulation.set_partition(node, 0);
    }
    let elapsed = simulation.run_until(Duration::from_mins(2), |simulation| {
        simulation.running().all(|(_, controller)| {
            let live = controller.view().members.iter().filter(|(_, member)| member.live);
            live.count() == daemons
        })
    });
    elapsed.map_or_else(|| "never".to_owned(), |elapsed| format!("{:.1}", elapsed.as_secs_f64()))
}

/// Prints the memory of a view, the time to place all replicas and the memory of replaced replicas.
fn print_view_costs() {
    println!("replicas, KB per view, ms to place, bytes per replaced replica");
    for replicas in REPLICA_COUNTS {
        let before = resident_kb();
        let topology = Arc::new(Topology::default().with_documents(&services(replicas, 0)));
        let started = Instant::now();
        let view = View::new(1, MemberId::from_index(0), members(), topology);
        let placement_ms = started.elapsed().as_secs_f64() * 1e3;
        let view_kb = resident_kb().saturating_sub(before);
        let mut replaced = view.topology.with_documents(&services(replicas, 1));
        let before = resident_kb();
        for generation in 2..6 {
            replaced = replaced.with_documents(&services(replicas, generation));
        }
        let replaced_bytes = resident_kb().saturating_sub(before) * 1024 / (4 * replicas) as u64;
        println!(
            "{replicas}, {view_kb}, {placement_ms:.1}, {replaced_bytes} ({} ids)",
            replaced.replicas.len()
        );
    }
}

/// Returns the settings of services whose replicas have different addresses in each generation.
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

/// Returns the resident memory of this process; 0 if it can't be read.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn total_traffic(simulation: &Simulation, daemons: usize) -> Traffic {
    let mut total = Traffic::default();
    for node in 0..daemons {
        let traffic = simulation.traffic(node);
        total.messages += traffic.messages;
        total.bytes += traffic.bytes;
    }
    total
}

/// Measures the seconds from the loss of a VM until the views of all daemons mark it as not live.
fn loss_time(daemons: usize, data_centres: usize, seed: u64) -> String {
    let mut simulation = settle(daemons, data_centres, JOIN_TIME, seed);
    let (lost, tag) = (daemons / 2, simulation.tag(daemons / 2));
    simulation.kill(lost, true);
    let elapsed = simulation.run_until(Duration::from_secs(30), |simulation| {
        simulation.running().all(|(_, controller)| {
            let view = controller.view();
            view.member(tag).is_none_or(|id| !view.members[id].live)
        })
    });
    elapsed.map_or_else(|| "never".to_owned(), |elapsed| format!("{:.1}", elapsed.as_secs_f64()))
}
