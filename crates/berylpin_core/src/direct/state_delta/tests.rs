use super::*;
use crate::direct::testing::{catalogue, configuration, daemon_entry, replica_entry};
use proptest::prelude::*;

fn empty() -> Catalogue {
    Catalogue::new("palermo-9".to_owned(), "palermo".to_owned(), Vec::new())
}

/// Returns all that a catalogue would tell a daemon that knows nothing.
fn full_state(catalogue: &Catalogue) -> StateDelta {
    let mut delta = catalogue.delta_since(StateRevisions::default());
    delta.replicas.iter_mut().for_each(|(_, entries)| entries.sort_by(|a, b| a.id.cmp(&b.id)));
    delta
}

#[test]
fn a_daemon_that_knows_nothing_is_told_everything() {
    let now = Instant::now();
    let known = catalogue("palermo-1", "palermo", 3, now);
    let mut fresh = empty();
    assert!(fresh.apply_delta(known.delta_since(fresh.revisions()), now));
    assert_eq!(full_state(&fresh), full_state(&known));
    assert_eq!(fresh.view().unwrap().version, 1);
    assert_eq!(known.delta_since(fresh.revisions()), StateDelta::default());
}

#[test]
fn what_is_older_is_not_taken() {
    let now = Instant::now();
    let old = catalogue("palermo-1", "palermo", 3, now);
    let mut newer = catalogue("palermo-2", "palermo", 3, now);
    newer.apply_configuration(configuration(4, 2));
    newer.set_replicas(vec![replica_entry("x", "shard-0", "palermo")], 7, now);
    let before = full_state(&newer);
    assert!(!newer.apply_delta(full_state(&old), now));
    assert_eq!(full_state(&newer), before);
}

#[test]
fn an_entry_that_may_only_have_lapsed_is_not_told() {
    let now = Instant::now();
    let mut known = catalogue("palermo-1", "palermo", 3, now);
    known.remove_replica("palermo-0", now);
    let (_, entries) = full_state(&known).replicas.unwrap();
    assert!(entries.iter().all(|entry| entry.id != "palermo-0"));
}

/// What happens in the store.
#[derive(Clone, Debug)]
enum Change {
    Configuration,
    Replica(usize),
    ReplicaGone(usize),
    Daemon(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Configuration),
        (0usize..6).prop_map(Change::Replica),
        (0usize..6).prop_map(Change::ReplicaGone),
        (0usize..4).prop_map(Change::Daemon),
    ]
}

fn apply(catalogue: &mut Catalogue, change: &Change, revision: u64, now: Instant) {
    match change {
        Change::Configuration => {
            catalogue.apply_configuration(configuration(revision, 2));
        }
        Change::Replica(index) => {
            let mut entry = replica_entry(&format!("r{index}"), "shard-0", "palermo");
            entry.started_ms = revision;
            catalogue.put_replica(entry);
            catalogue.advance_replicas_revision(revision);
        }
        Change::ReplicaGone(index) => {
            catalogue.remove_replica(&format!("r{index}"), now);
            catalogue.advance_replicas_revision(revision);
        }
        Change::Daemon(index) => {
            let entry = DaemonEntry { revision, ..daemon_entry(&format!("d{index}"), "palermo") };
            catalogue.put_daemon(entry, now);
            catalogue.advance_daemons_revision(revision);
        }
    }
}

proptest! {
    #[test]
    fn daemons_that_talk_agree_on_the_newest(
        changes in proptest::collection::vec((change(), any::<bool>()), 1..40),
    ) {
        let now = Instant::now();
        let mut reaching = catalogue("palermo-1", "palermo", 2, now);
        let mut cut = catalogue("palermo-2", "palermo", 2, now);
        for (step, (change, talk)) in changes.iter().enumerate() {
            apply(&mut reaching, change, step as u64 + 2, now);
            if *talk {
                let back = cut.delta_since(reaching.revisions());
                cut.apply_delta(reaching.delta_since(cut.revisions()), now);
                prop_assert!(!reaching.apply_delta(back, now), "older news was taken");
                prop_assert_eq!(full_state(&cut), full_state(&reaching));
            }
        }
    }
}
