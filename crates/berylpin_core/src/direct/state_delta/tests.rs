use super::*;
use crate::direct::testing::{catalogue, configuration, daemon_entry, replica_entry};
use proptest::prelude::*;

fn new_catalogue() -> Catalogue {
    Catalogue::new("palermo-9".to_owned(), "palermo".to_owned(), Vec::new())
}

/// Returns the whole state of a catalogue, as sent to a daemon without any.
fn full_state(catalogue: &Catalogue) -> StateDelta {
    let mut delta = catalogue.delta_since(StateRevisions::default());
    delta.replicas.iter_mut().for_each(|(_, entries)| entries.sort_by(|a, b| a.id.cmp(&b.id)));
    delta
}

#[test]
fn an_empty_catalogue_receives_the_full_state() {
    let now = Instant::now();
    let known = catalogue("palermo-1", "palermo", 3, now);
    let mut empty_catalogue = new_catalogue();
    assert!(empty_catalogue.apply_delta(known.delta_since(empty_catalogue.revisions()), now));
    assert_eq!(full_state(&empty_catalogue), full_state(&known));
    assert_eq!(empty_catalogue.view().unwrap().version, 1);
    assert_eq!(known.delta_since(empty_catalogue.revisions()), StateDelta::default());
}

#[test]
fn an_older_delta_is_ignored() {
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
fn a_removed_entry_in_its_grace_period_is_not_sent() {
    let now = Instant::now();
    let mut known = catalogue("palermo-1", "palermo", 3, now);
    known.remove_replica("palermo-0", now);
    let (_, entries) = full_state(&known).replicas.unwrap();
    assert!(entries.iter().all(|entry| entry.id != "palermo-0"));
}

/// A change in the store.
#[derive(Clone, Debug)]
enum Change {
    Configuration,
    Replica(usize),
    ReplicaRemoved(usize),
    Daemon(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Configuration),
        (0usize..6).prop_map(Change::Replica),
        (0usize..6).prop_map(Change::ReplicaRemoved),
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
        Change::ReplicaRemoved(index) => {
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
    fn daemons_that_exchange_deltas_agree_on_the_newest_state(
        changes in proptest::collection::vec((change(), any::<bool>()), 1..40),
    ) {
        let now = Instant::now();
        let mut connected = catalogue("palermo-1", "palermo", 2, now);
        let mut isolated = catalogue("palermo-2", "palermo", 2, now);
        for (step, (change, exchange)) in changes.iter().enumerate() {
            apply(&mut connected, change, step as u64 + 2, now);
            if *exchange {
                let reply = isolated.delta_since(connected.revisions());
                isolated.apply_delta(connected.delta_since(isolated.revisions()), now);
                prop_assert!(!connected.apply_delta(reply, now), "an older delta was applied");
                prop_assert_eq!(full_state(&isolated), full_state(&connected));
            }
        }
    }
}
