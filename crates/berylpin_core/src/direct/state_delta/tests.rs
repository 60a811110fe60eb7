use super::*;
use crate::direct::store_era::EraChange;
use crate::direct::testing::{catalogue, configuration, daemon_entry, position, replica_entry};
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
    newer.set_replicas(vec![replica_entry("x", "shard-0", "palermo")], position(7), now);
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

fn replicas_at(catalogue: &mut Catalogue, era: u64, revision: u64, names: &[&str], now: Instant) {
    catalogue.observe_era(StoreEra(era), now);
    let entries = names.iter().map(|name| replica_entry(name, "shard-0", "palermo")).collect();
    let position = StorePosition { era: StoreEra(era), revision };
    catalogue.set_replicas(entries, position, now);
}

fn names(catalogue: &Catalogue) -> Vec<String> {
    catalogue.replica_entries().into_iter().map(|entry| entry.id).collect()
}

/// A peer that had not noticed the restore has higher revisions, and its state won.
#[test]
fn state_of_an_older_era_never_replaces_newer_state() {
    let now = Instant::now();
    let (mut before, mut restored) = (new_catalogue(), new_catalogue());
    replicas_at(&mut before, 1, 900, &["old"], now);
    replicas_at(&mut restored, 2, 40, &["new"], now);
    let late = before.delta_since(restored.revisions());
    assert_eq!(late.replicas, None);
    // The request may also be from before the restore.
    let late = before.delta_since(StateRevisions::default());
    assert_eq!(restored.observe_era(late.era, now), EraChange::None);
    assert!(!restored.apply_delta(late, now));
    assert_eq!(names(&restored), ["new"]);
    let newer = restored.delta_since(before.revisions());
    assert_eq!(before.observe_era(newer.era, now), EraChange::Restored(StoreEra(1)));
    assert!(before.apply_delta(newer, now));
    assert_eq!(names(&before), ["new"]);
    assert_eq!(before.revisions(), restored.revisions());
}

/// A daemon that knows of a restore and has not listed the entries since keeps what it has.
#[test]
fn state_from_before_a_known_restore_is_not_applied() {
    let now = Instant::now();
    let (mut peer, mut catalogue) = (new_catalogue(), new_catalogue());
    replicas_at(&mut peer, 1, 900, &["old"], now);
    replicas_at(&mut catalogue, 1, 800, &["known"], now);
    catalogue.observe_era(StoreEra(2), now);
    assert!(!catalogue.apply_delta(peer.delta_since(catalogue.revisions()), now));
    assert_eq!(names(&catalogue), ["known"]);
}

/// A daemon that asks for the configuration alone states the highest position for entries.
#[test]
fn a_request_for_the_configuration_alone_names_the_known_era() {
    let now = Instant::now();
    let mut catalogue = new_catalogue();
    replicas_at(&mut catalogue, 3, 40, &["a"], now);
    let revisions = catalogue.revisions().with_newest_entries();
    assert_eq!(revisions.era, StoreEra(3));
    assert_eq!(catalogue.delta_since(revisions).replicas, None);
}

/// A change in the store.
#[derive(Clone, Debug)]
enum Change {
    Configuration,
    Replica(usize),
    ReplicaRemoved(usize),
    Daemon(usize),
    /// The store comes back from a copy some revisions old.
    Restore(u64),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Configuration),
        (0usize..6).prop_map(Change::Replica),
        (0usize..6).prop_map(Change::ReplicaRemoved),
        (0usize..4).prop_map(Change::Daemon),
        (1u64..9).prop_map(Change::Restore),
    ]
}

/// Applies the change of a step at a position.
fn apply(
    catalogue: &mut Catalogue,
    (step, change): (usize, &Change),
    position: StorePosition,
    now: Instant,
) {
    let revision = position.revision;
    match change {
        Change::Configuration => {
            catalogue.apply_configuration(configuration(revision, 2));
        }
        Change::Replica(index) => {
            let mut entry = replica_entry(&format!("r{index}"), "shard-0", "palermo");
            entry.started_ms = step as u64;
            catalogue.put_replica(entry, now);
            catalogue.advance_replicas(position);
        }
        Change::ReplicaRemoved(index) => {
            catalogue.remove_replica(&format!("r{index}"), now);
            catalogue.advance_replicas(position);
        }
        Change::Daemon(index) => {
            let entry = DaemonEntry { revision, ..daemon_entry(&format!("d{index}"), "palermo") };
            catalogue.put_daemon(entry, now);
            catalogue.advance_daemons(position);
        }
        Change::Restore(_) => {
            catalogue.observe_era(position.era, now);
            let listed = catalogue.replica_entries();
            catalogue.set_replicas(listed, position, now);
            let listed = catalogue.fleet.stored_entries().cloned().collect();
            catalogue.set_daemons(listed, position, now);
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
        let mut at = position(1);
        for (step, (change, exchange)) in changes.iter().enumerate() {
            at = match change {
                Change::Restore(lost) => StorePosition {
                    era: StoreEra(at.era.0 + 1),
                    revision: at.revision.saturating_sub(*lost).max(1),
                },
                _ => StorePosition { revision: at.revision + 1, ..at },
            };
            apply(&mut connected, (step, change), at, now);
            if *exchange {
                let reply = isolated.delta_since(connected.revisions());
                let delta = connected.delta_since(isolated.revisions());
                isolated.observe_era(delta.era, now);
                isolated.apply_delta(delta, now);
                prop_assert!(!connected.apply_delta(reply, now), "an older delta was applied");
                prop_assert_eq!(full_state(&isolated), full_state(&connected));
            }
        }
    }
}
