//! Control state of nine daemons in virtual time under failures, partitions and document changes.

use berylpin_core::control::{Controller, MemberState};
use berylpin_standin::simulation::{NodeIndex, Simulation};
use proptest::prelude::*;
use std::fmt::Write;
use std::time::Duration;

const DAEMONS: usize = 9;
const DATA_CENTRES: usize = 3;

/// Seeds of the tests with one kind of failure.
const SEEDS: std::ops::Range<u64> = 0..20;

/// Seeds of the test whose result depends on the daemon that probes first.
const LOSS_SEEDS: std::ops::Range<u64> = 0..200;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a document of four shards, each with one replica in every data centre.
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

/// Returns a simulation in which all daemons agree on one document.
fn settled(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(DAEMONS, DATA_CENTRES, seed);
    simulation.store("quota", Some(&document("quota", 1000)));
    let agreed = simulation.run_until(10 * SECOND, all_agree);
    assert!(agreed.is_some(), "seed {seed}: daemons disagree after 10 s");
    simulation.run_for(5 * SECOND);
    simulation
}

/// Returns whether all running daemons see each other alive, compute the same owners and hold the
/// newest documents.
fn all_agree(simulation: &Simulation) -> bool {
    let running: Vec<NodeIndex> = simulation.running().map(|(index, _)| index).collect();
    let owners = |index: NodeIndex| owners_by_tag(simulation, index);
    let expected = owners(running[0]);
    running.iter().all(|&index| {
        let Some(controller) = simulation.controller(index) else { return false };
        let live = running.iter().filter(|&&other| other != index);
        let sees_all = live
            .clone()
            .all(|&other| state(controller, simulation, other) == Some(MemberState::Alive));
        sees_all
            && controller.membership().running_peer_count() == running.len() - 1
            && controller.documents().revision() == simulation.revision()
            && owners(index) == expected
    })
}

fn state(controller: &Controller, simulation: &Simulation, node: NodeIndex) -> Option<MemberState> {
    controller.membership().peer(simulation.tag(node)).map(|peer| peer.report.state)
}

/// Returns the tags of each replica and its owner in the view of a daemon.
fn owners_by_tag(simulation: &Simulation, node: NodeIndex) -> Vec<(u64, Option<u64>)> {
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

/// Returns whether no other running daemon places a replica on a node.
fn out_of_placement(simulation: &Simulation, node: NodeIndex) -> bool {
    let tag = simulation.tag(node).0;
    let mut others = simulation.running().filter(|(index, _)| *index != node);
    others.all(|(index, _)| {
        owners_by_tag(simulation, index).iter().all(|(_, owner)| *owner != Some(tag))
    })
}

#[test]
fn daemons_started_from_the_vm_list_have_two_watchers_per_data_centre() {
    for seed in SEEDS {
        let simulation = settled(seed);
        let per_centre = |centre: usize| {
            let local = simulation.running().filter(|(index, _)| index % DATA_CENTRES == centre);
            local.filter(|(_, controller)| controller.is_watching()).count()
        };
        assert_eq!([per_centre(0), per_centre(1), per_centre(2)], [2; 3], "seed {seed}");
    }
}

#[test]
fn a_killed_daemon_is_out_of_placement_within_two_seconds() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.kill(3, false);
        let moved = simulation.run_until(2 * SECOND, |simulation| out_of_placement(simulation, 3));
        assert!(moved.is_some(), "seed {seed}");
    }
}

#[test]
fn a_silently_lost_vm_is_out_of_placement_within_two_seconds() {
    let late_seeds = LOSS_SEEDS.filter(|&seed| {
        let mut simulation = settled(seed);
        simulation.kill(3, true);
        simulation.run_until(2 * SECOND, |simulation| out_of_placement(simulation, 3)).is_none()
    });
    let late_seeds: Vec<u64> = late_seeds.collect();
    assert!(late_seeds.is_empty(), "{} seeds: {late_seeds:?}", late_seeds.len());
}

#[test]
fn a_leaving_daemon_is_out_of_placement_within_a_second() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.leave(4);
        let moved = simulation.run_until(SECOND, |simulation| out_of_placement(simulation, 4));
        assert!(moved.is_some(), "seed {seed}");
        simulation.run_for(10 * SECOND);
        assert!(out_of_placement(&simulation, 4), "seed {seed}: placed again after leaving");
    }
}

#[test]
fn a_resumed_daemon_declares_no_peer_dead_and_rejoins_within_five_seconds() {
    for seed in SEEDS {
        for pause_s in [1, 3, 20] {
            let mut simulation = settled(seed);
            simulation.pause(5, pause_s * SECOND);
            simulation.run_for(pause_s * SECOND);
            // Covers the time that a probe takes to fail, in which peers that answer must not be
            // declared dead.
            for _ in 0..100 {
                simulation.run_for(Duration::from_millis(10));
                let own = simulation.controller(5).unwrap();
                let mut others = (0..DAEMONS).filter(|other| *other != 5);
                let none_dead = others.all(|other| {
                    !matches!(state(own, &simulation, other), Some(MemberState::Dead))
                });
                assert!(none_dead, "seed {seed}: the resumed daemon declared a peer dead");
            }
            let rejoined = simulation.run_until(5 * SECOND, all_agree);
            assert!(rejoined.is_some(), "seed {seed}, pause {pause_s} s");
        }
    }
}

#[test]
fn a_restarted_daemon_rejoins_within_five_seconds() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.kill(2, false);
        simulation.run_for(5 * SECOND);
        simulation.restart(2);
        assert!(simulation.run_until(5 * SECOND, all_agree).is_some(), "seed {seed}");
    }
}

#[test]
fn a_document_change_is_in_force_at_all_daemons_within_three_seconds() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        simulation.store("bursar", Some(&document("bursar", 2000)));
        assert!(simulation.run_until(3 * SECOND, all_agree).is_some(), "seed {seed}");
        simulation.store("quota", None);
        assert!(simulation.run_until(3 * SECOND, all_agree).is_some(), "seed {seed}");
        assert!(simulation.running().all(|(_, c)| c.documents().get("quota").is_none()));
    }
}

#[test]
fn partitioned_data_centres_agree_within_five_seconds_of_healing() {
    for seed in SEEDS {
        for cut_s in [5, 60] {
            let mut simulation = settled(seed);
            for node in 0..DAEMONS {
                simulation.set_partition(node, (node % DATA_CENTRES) as u32);
                simulation.set_platform_reachable(node, node % DATA_CENTRES == 0);
            }
            simulation.run_for(cut_s * SECOND);
            simulation.store("bursar", Some(&document("bursar", 2000)));
            simulation.run_for(3 * SECOND);
            for (index, controller) in simulation.running() {
                // All daemons keep their documents; only those that reach the platform receive new
                // ones.
                assert!(controller.documents().get("quota").is_some());
                let has_new = controller.documents().get("bursar").is_some();
                assert_eq!(has_new, index % DATA_CENTRES == 0, "seed {seed}");
            }
            for node in 0..DAEMONS {
                simulation.set_partition(node, 0);
            }
            let healed = simulation.run_until(5 * SECOND, all_agree);
            assert!(healed.is_some(), "seed {seed}, cut for {cut_s} s");
        }
    }
}

#[test]
fn a_daemon_joins_by_its_seeds_while_the_platform_is_down() {
    for seed in SEEDS {
        let mut simulation = settled(seed);
        for node in 0..DAEMONS {
            simulation.set_platform_reachable(node, false);
        }
        simulation.kill(7, false);
        simulation.run_for(5 * SECOND);
        simulation.set_seeds(7, &[1]);
        simulation.restart(7);
        assert!(simulation.run_until(5 * SECOND, all_agree).is_some(), "seed {seed}");
    }
}

#[test]
fn platform_calls_do_not_grow_with_the_number_of_daemons() {
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
    // The interval between reads of the VM list grows with its length.
    assert!(calls(60) <= calls(30));
}

#[derive(Clone, Debug)]
enum Step {
    Kill(NodeIndex, bool),
    Restart(NodeIndex),
    Pause(NodeIndex, u64),
    Partition(NodeIndex, u32),
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
        (node.clone(), 0_u32..3).prop_map(|(node, partition)| Step::Partition(node, partition)),
        (node, any::<bool>()).prop_map(|(node, up)| Step::Platform(node, up)),
        (0_u8..3).prop_map(Step::Store),
        (0_u8..3).prop_map(Step::Delete),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Checks that after any faults no daemon returns to an older document, and that all daemons
    /// agree within 15 s of the end of the faults.
    #[test]
    fn daemons_agree_after_random_faults(
        seed: u64,
        steps in prop::collection::vec((step(), 0_u64..3_000), 1..25),
    ) {
        let mut simulation = settled(seed);
        for (step, millis) in steps {
            let before: Vec<_> =
                simulation.running().map(|(i, c)| (i, c.documents().clone())).collect();
            let mut restarted = None;
            match step {
                Step::Kill(node, silent) => simulation.kill(node, silent),
                Step::Restart(node) => {
                    simulation.restart(node);
                    restarted = Some(node);
                }
                Step::Pause(node, millis) => simulation.pause(node, Duration::from_millis(millis)),
                Step::Partition(node, partition) => simulation.set_partition(node, partition),
                Step::Platform(node, up) => simulation.set_platform_reachable(node, up),
                Step::Store(name) => {
                    let name = format!("s{name}");
                    simulation.store(&name, Some(&document(&name, 3000)));
                }
                Step::Delete(name) => simulation.store(&format!("s{name}"), None),
            }
            simulation.run_for(Duration::from_millis(millis));
            for (index, old) in before {
                let Some(new) =
                    simulation.controller(index).filter(|_| restarted != Some(index))
                else {
                    continue;
                };
                prop_assert!(new.documents().revision() >= old.revision());
                for document in old.iter() {
                    let now = new.documents().get(&document.name).map(|found| found.version);
                    let kept = now.map_or(new.documents().revision() > document.version, |now| {
                        now >= document.version
                    });
                    prop_assert!(kept, "document {} reverted", document.name);
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
        // Includes the rest of a pause of up to 5 s.
        let agreed = simulation.run_until(15 * SECOND, all_agree);
        prop_assert!(agreed.is_some(), "daemons disagree 15 s after the end of all faults");
    }
}
