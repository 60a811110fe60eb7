//! Control state of whole fleets in virtual time: failures, partitions, changes of documents.

use berylpin_core::control::{Controller, MemberState};
use berylpin_standin::simulation::{NodeIndex, Simulation};
use proptest::prelude::*;
use std::fmt::Write;
use std::time::Duration;

const DAEMONS: usize = 9;
const DATA_CENTRES: usize = 3;

/// Seeds of the tests that look at one failure at a time.
const SEEDS: std::ops::Range<u64> = 0..20;

/// Seeds of the test whose result depends on which daemon probes first.
const LOSS_SEEDS: std::ops::Range<u64> = 0..200;

const SECOND: Duration = Duration::from_secs(1);

/// A document with one replica of each of a few shards in every data centre.
fn document(name: &str, first_port: u16) -> String {
    let mut text = format!("service = \"{name}\"\n");
    for shard in 0..4 {
        let _ = writeln!(text, "[[shard]]\nname = \"s{shard}\"");
        for centre in 0..DATA_CENTRES {
            let port = first_port + shard * 10 + centre as u16;
            let _ = writeln!(
                text,
                "[[shard.replica]]\naddress = \"10.9.0.1:{port}\"\ndata_centre = \"dc-{centre}\"\n\
                 slots = 2\nconnections = 25"
            );
        }
    }
    text
}

/// A fleet that has settled with one document.
fn settled(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(DAEMONS, DATA_CENTRES, seed);
    simulation.store("quota", Some(&document("quota", 1000)));
    let joined = simulation.run_until(10 * SECOND, agrees);
    assert!(joined.is_some(), "seed {seed}: the fleet did not settle");
    simulation.run_for(5 * SECOND);
    simulation
}

/// Whether all running daemons see each other alive, own the same replicas and hold the newest
/// documents.
fn agrees(simulation: &Simulation) -> bool {
    let running: Vec<NodeIndex> = simulation.running().map(|(index, _)| index).collect();
    let owners = |index: NodeIndex| placement(simulation, index);
    let expected = owners(running[0]);
    running.iter().all(|&index| {
        let Some(controller) = simulation.controller(index) else { return false };
        let live = running.iter().filter(|&&other| other != index);
        let sees = live
            .clone()
            .all(|&other| state(controller, simulation, other) == Some(MemberState::Alive));
        sees && controller.membership().live_peer_count() == running.len() - 1
            && controller.documents().revision() == simulation.revision()
            && owners(index) == expected
    })
}

fn state(controller: &Controller, simulation: &Simulation, node: NodeIndex) -> Option<MemberState> {
    controller.membership().peer(simulation.tag(node)).map(|peer| peer.report.state)
}

/// The owner of each replica as one daemon sees it, by tags.
fn placement(simulation: &Simulation, node: NodeIndex) -> Vec<(u64, Option<u64>)> {
    let Some(view) = simulation.view(node) else { return Vec::new() };
    let replicas = view.topology.replicas.iter().filter(|(_, replica)| replica.listed);
    let mut owners: Vec<_> = replicas
        .map(|(id, replica)| {
            let owner = view.owner(id).map(|owner| view.members[owner].tag.0);
            (replica.settings.tag.0, owner)
        })
        .collect();
    owners.sort_unstable();
    owners
}

/// Whether no running daemon, but for the node itself, places a replica on it.
fn out_of_placement(simulation: &Simulation, node: NodeIndex) -> bool {
    let tag = simulation.tag(node).0;
    let mut others = simulation.running().filter(|(index, _)| *index != node);
    others
        .all(|(index, _)| placement(simulation, index).iter().all(|(_, owner)| *owner != Some(tag)))
}

#[test]
fn a_fleet_starts_from_the_vm_list() {
    for seed in SEEDS {
        let simulation = settled(seed);
        let per_centre = |centre: usize| {
            let here = simulation.running().filter(|(index, _)| index % DATA_CENTRES == centre);
            here.filter(|(_, controller)| controller.is_watching()).count()
        };
        assert_eq!([per_centre(0), per_centre(1), per_centre(2)], [2; 3], "seed {seed}");
    }
}

#[test]
fn the_replicas_of_a_killed_daemon_move_within_two_seconds() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.kill(3, false);
        let moved = simulation.run_until(2 * SECOND, |simulation| out_of_placement(simulation, 3));
        assert!(moved.is_some(), "seed {seed}");
    }
}

#[test]
fn the_replicas_of_a_lost_vm_move_within_two_seconds() {
    let late = LOSS_SEEDS.filter(|&seed| {
        let mut simulation = settled(seed);
        simulation.kill(3, true);
        simulation.run_until(2 * SECOND, |simulation| out_of_placement(simulation, 3)).is_none()
    });
    let late: Vec<u64> = late.collect();
    assert!(late.is_empty(), "{} seeds: {late:?}", late.len());
}

#[test]
fn a_leaving_daemon_is_out_of_placement_within_a_second() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.leave(4);
        let moved = simulation.run_until(SECOND, |simulation| out_of_placement(simulation, 4));
        assert!(moved.is_some(), "seed {seed}");
        simulation.run_for(10 * SECOND);
        assert!(out_of_placement(&simulation, 4), "seed {seed}: it came back");
    }
}

#[test]
fn a_paused_daemon_declares_nobody_dead_and_is_taken_back() {
    for seed in SEEDS {
        for pause in [1, 3, 20] {
            let mut simulation = settled(seed);
            simulation.pause(5, pause * SECOND);
            simulation.run_for(pause * SECOND);
            // For as long as a probe takes to fail, it must not suspect those that answer.
            for _ in 0..100 {
                simulation.run_for(Duration::from_millis(10));
                let own = simulation.controller(5).unwrap();
                let mut others = (0..DAEMONS).filter(|other| *other != 5);
                let believes = others.all(|other| {
                    !matches!(state(own, &simulation, other), Some(MemberState::Dead))
                });
                assert!(believes, "seed {seed}: the daemon that was paused declared one dead");
            }
            let back = simulation.run_until(5 * SECOND, agrees);
            assert!(back.is_some(), "seed {seed}, pause {pause} s");
        }
    }
}

#[test]
fn a_restarted_daemon_is_taken_back() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.kill(2, false);
        simulation.run_for(5 * SECOND);
        simulation.restart(2);
        assert!(simulation.run_until(5 * SECOND, agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_three_seconds() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.store("bursar", Some(&document("bursar", 2000)));
        assert!(simulation.run_until(3 * SECOND, agrees).is_some(), "seed {seed}");
        simulation.store("quota", None);
        assert!(simulation.run_until(3 * SECOND, agrees).is_some(), "seed {seed}");
        assert!(simulation.running().all(|(_, c)| c.documents().get("quota").is_none()));
    }
}

#[test]
fn data_centres_that_were_cut_off_agree_within_five_seconds_of_healing() {
    for seed in SEEDS {
        for length in [5, 60] {
            let mut simulation = settled(seed);
            for node in 0..DAEMONS {
                simulation.set_partition(node, (node % DATA_CENTRES) as u32);
                simulation.set_platform_reachable(node, node % DATA_CENTRES == 0);
            }
            simulation.run_for(length * SECOND);
            simulation.store("bursar", Some(&document("bursar", 2000)));
            simulation.run_for(3 * SECOND);
            for (index, controller) in simulation.running() {
                // Each side goes on with what it has, and the side of the platform with the newest.
                assert!(controller.documents().get("quota").is_some());
                let news = controller.documents().get("bursar").is_some();
                assert_eq!(news, index % DATA_CENTRES == 0, "seed {seed}");
            }
            for node in 0..DAEMONS {
                simulation.set_partition(node, 0);
            }
            let healed = simulation.run_until(5 * SECOND, agrees);
            assert!(healed.is_some(), "seed {seed}, cut for {length} s");
        }
    }
}

#[test]
fn a_daemon_starts_from_its_seeds_while_the_platform_is_down() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        for node in 0..DAEMONS {
            simulation.set_platform_reachable(node, false);
        }
        simulation.kill(7, false);
        simulation.run_for(5 * SECOND);
        simulation.set_seeds(7, &[1]);
        simulation.restart(7);
        assert!(simulation.run_until(5 * SECOND, agrees).is_some(), "seed {seed}");
    }
}

#[test]
fn calls_to_the_platform_grow_with_data_centres_and_not_with_daemons() {
    let calls = |daemons: usize| {
        let mut simulation = Simulation::new(daemons, DATA_CENTRES, 1);
        simulation.run_for(20 * SECOND);
        let total = |simulation: &Simulation| -> u64 {
            (0..daemons).map(|node| simulation.traffic(node).platform_calls).sum()
        };
        let before = total(&simulation);
        simulation.run_for(60 * SECOND);
        total(&simulation) - before
    };
    assert_eq!(calls(9), calls(30));
    // The VM list is read less often the longer it is.
    assert!(calls(60) <= calls(30));
}

#[derive(Clone, Debug)]
enum Step {
    Kill(NodeIndex, bool),
    Restart(NodeIndex),
    Pause(NodeIndex, u64),
    Cut(NodeIndex, u32),
    Platform(NodeIndex, bool),
    Store(u8),
    Delete(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..DAEMONS;
    prop_oneof![
        (node.clone(), any::<bool>()).prop_map(|(node, silent)| Step::Kill(node, silent)),
        node.clone().prop_map(Step::Restart),
        (node.clone(), 100_u64..5_000).prop_map(|(node, millis)| Step::Pause(node, millis)),
        (node.clone(), 0_u32..3).prop_map(|(node, group)| Step::Cut(node, group)),
        (node, any::<bool>()).prop_map(|(node, up)| Step::Platform(node, up)),
        (0_u8..3).prop_map(Step::Store),
        (0_u8..3).prop_map(Step::Delete),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Whatever happened, documents never go back, and all daemons agree once it ends.
    #[test]
    fn daemons_agree_after_any_faults(
        seed: u64,
        steps in prop::collection::vec((step(), 0_u64..3_000), 1..25),
    ) {
        let mut simulation = settled(seed);
        for (step, millis) in steps {
            let before: Vec<_> = simulation.running().map(|(i, c)| (i, c.documents().clone())).collect();
            let mut restarted = None;
            match step {
                Step::Kill(node, silent) => simulation.kill(node, silent),
                Step::Restart(node) => {
                    simulation.restart(node);
                    restarted = Some(node);
                }
                Step::Pause(node, millis) => simulation.pause(node, Duration::from_millis(millis)),
                Step::Cut(node, group) => simulation.set_partition(node, group),
                Step::Platform(node, up) => simulation.set_platform_reachable(node, up),
                Step::Store(name) => {
                    let name = format!("s{name}");
                    simulation.store(&name, Some(&document(&name, 3000)));
                }
                Step::Delete(name) => simulation.store(&format!("s{name}"), None),
            }
            simulation.run_for(Duration::from_millis(millis));
            for (index, old) in before {
                let Some(new) = simulation.controller(index).filter(|_| restarted != Some(index)) else {
                    continue;
                };
                prop_assert!(new.documents().revision() >= old.revision());
                for entry in old.iter() {
                    let now = new.documents().get(&entry.name).map(|entry| entry.version);
                    let kept = now.map_or(new.documents().revision() > entry.version, |now| {
                        now >= entry.version
                    });
                    prop_assert!(kept, "{} went back", entry.name);
                }
            }
        }
        for node in 0..DAEMONS {
            simulation.set_partition(node, 0);
            simulation.set_platform_reachable(node, true);
            if simulation.controller(node).is_none() {
                simulation.restart(node);
            }
        }
        // The longest pause may still last.
        let agreed = simulation.run_until(15 * SECOND, agrees);
        prop_assert!(agreed.is_some(), "they do not agree");
    }
}
