mod simulation;

use super::*;
use crate::direct::store_times::{ExpiryGrace, StoreCall};
use crate::direct::testing::{
    EXPIRY_GRACE, HEARTBEAT, catalogue, configuration, daemon_entry, expiry_grace, replica_entry,
};

const SHARD: &str = "shard-0";

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), revision }
}

fn entry(id: &str, sequence: u64) -> ReplicaEntry {
    ReplicaEntry { sequence, ..replica_entry(id, SHARD, "palermo") }
}

/// Returns a catalogue in era 1 whose shard has the replicas `a` and `b`.
fn known_catalogue(now: Instant) -> Catalogue {
    let mut catalogue = Catalogue::new("palermo-1".to_owned(), "palermo".to_owned(), Vec::new())
        .with_expiry_grace(expiry_grace())
        .with_heartbeat(HEARTBEAT);
    assert_eq!(catalogue.observe_era(StoreEra(1), now), EraChange::First);
    catalogue.apply_configuration(configuration(1, 1));
    catalogue.set_replicas(vec![entry("a", 5), entry("b", 5)], position(1, 50), now);
    catalogue.set_daemons(vec![daemon_entry("palermo-1", "palermo")], position(1, 50), now);
    catalogue
}

fn in_use(catalogue: &Catalogue) -> Vec<String> {
    let view = catalogue.view().unwrap();
    let services = view.services.iter().filter(|(_, service)| *service.name == *SHARD);
    let mut names: Vec<_> = services
        .flat_map(|(_, service)| service.replicas.iter().map(|r| r.name.to_string()))
        .collect();
    names.sort();
    names
}

fn restore(catalogue: &mut Catalogue, entries: Vec<ReplicaEntry>, now: Instant) {
    assert_eq!(catalogue.observe_era(StoreEra(2), now), EraChange::Restored(StoreEra(1)));
    catalogue.record_replicas_call(StoreCall::InTime, now);
    catalogue.set_replicas(entries, position(2, 40), now);
}

/// The replica registered after the copy was made; it was dropped at once.
#[test]
fn a_replica_that_the_copy_lacks_stays_in_use_for_the_grace_time() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    restore(&mut catalogue, vec![entry("a", 3)], now);
    assert_eq!(in_use(&catalogue), ["a", "b"]);
    assert!(catalogue.expire_replicas(now + EXPIRY_GRACE / 2).is_empty());
    catalogue.put_replica(entry("b", 6), now + EXPIRY_GRACE / 2);
    assert!(catalogue.expire_replicas(now + EXPIRY_GRACE * 2).is_empty());
    assert_eq!(in_use(&catalogue), ["a", "b"]);
}

#[test]
fn a_replica_that_the_copy_lacks_and_that_is_not_written_again_is_dropped() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    restore(&mut catalogue, vec![entry("a", 3)], now);
    assert_eq!(catalogue.expire_replicas(now + EXPIRY_GRACE), ["b"]);
    assert_eq!(in_use(&catalogue), ["a"]);
}

/// The grace time ended although no replica could write to the store.
#[test]
fn a_replica_that_the_copy_lacks_is_kept_while_the_store_is_away_again() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    restore(&mut catalogue, vec![entry("a", 3)], now);
    catalogue.record_replicas_call(StoreCall::Failed, now + EXPIRY_GRACE / 2);
    assert!(catalogue.expire_replicas(now + EXPIRY_GRACE * 2).is_empty());
    let back = now + EXPIRY_GRACE * 3;
    catalogue.record_replicas_call(StoreCall::InTime, back);
    assert!(catalogue.expire_replicas(back + EXPIRY_GRACE / 2).is_empty());
    assert_eq!(catalogue.expire_replicas(back + EXPIRY_GRACE), ["b"]);
}

/// Unlike after a failed call alone, it is certain that entries are missing: the time after the
/// beginning of that call does not bound the grace time.
#[test]
fn a_replica_that_the_copy_lacks_keeps_the_grace_time_after_a_long_failed_call() {
    let now = Instant::now();
    let after_failed_call = EXPIRY_GRACE / 2;
    let mut catalogue =
        known_catalogue(now).with_expiry_grace(ExpiryGrace { after_failed_call, ..expiry_grace() });
    catalogue.begin_replicas_call(now);
    let back = now + EXPIRY_GRACE;
    catalogue.record_replicas_call(StoreCall::Failed, back);
    catalogue.begin_replicas_call(back);
    restore(&mut catalogue, vec![entry("a", 3)], back);
    assert!(catalogue.expire_replicas(back + after_failed_call).is_empty());
    assert_eq!(catalogue.expire_replicas(back + EXPIRY_GRACE), ["b"]);
}

/// Peers compare the position of the view, which would stay in the era before the restore.
#[test]
fn a_list_of_a_new_era_needs_a_new_view() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    catalogue.observe_era(StoreEra(2), now);
    assert!(catalogue.set_replicas(vec![entry("a", 5), entry("b", 5)], position(2, 40), now));
    assert_eq!(catalogue.view().unwrap().replicas_position, position(2, 40));
    assert!(!catalogue.set_replicas(vec![entry("a", 5), entry("b", 5)], position(2, 41), now));
}

/// A daemon that is cut off alone learns from its peers that the replica did not come back.
#[test]
fn a_replica_that_the_copy_lacks_is_dropped_if_a_later_list_lacks_it_too() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    restore(&mut catalogue, vec![entry("a", 3)], now);
    let later = now + EXPIRY_GRACE * 2;
    catalogue.record_replicas_call(StoreCall::Failed, later);
    assert!(catalogue.expire_replicas(later).is_empty());
    catalogue.set_replicas(vec![entry("a", 3)], position(2, 60), later);
    assert_eq!(catalogue.expire_replicas(later), ["b"]);
}

/// The copy lists the replica as ready, and it got requests again.
#[test]
fn a_replica_that_departed_before_the_restore_is_not_used_until_it_is_written_again() {
    for draining in [true, false] {
        let now = Instant::now();
        let mut catalogue = known_catalogue(now);
        if draining {
            catalogue.put_replica(ReplicaEntry { draining, ..entry("b", 6) }, now);
        }
        if !draining {
            assert!(catalogue.remove_replica("b", now));
        }
        // The copy may hold a higher sequence than the last change before the removal did.
        restore(&mut catalogue, vec![entry("a", 9), entry("b", 9)], now);
        assert_eq!(in_use(&catalogue), ["a"]);
        catalogue.set_replicas(vec![entry("a", 9), entry("b", 9)], position(2, 41), now);
        assert_eq!(in_use(&catalogue), ["a"]);
        catalogue.put_replica(entry("b", 10), now);
        assert_eq!(in_use(&catalogue), ["a", "b"]);
    }
}

#[test]
fn a_new_process_of_a_departed_replica_is_used_at_once() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    catalogue.remove_replica("b", now);
    restore(&mut catalogue, vec![entry("a", 3), entry("b", 3)], now);
    catalogue.put_replica(ReplicaEntry { started_ms: 9, ..entry("b", 1) }, now);
    assert_eq!(in_use(&catalogue), ["a", "b"]);
}

/// A renewal that changes nothing but the sequence causes no event.
#[test]
fn a_departed_replica_is_used_if_its_entry_outlives_the_removal_of_silent_ones() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    catalogue.remove_replica("b", now);
    let listed = || vec![entry("a", 3), entry("b", 3)];
    restore(&mut catalogue, listed(), now);
    let due = now + HEARTBEAT * HEARTBEATS_UNTIL_REMOVAL;
    assert!(!catalogue.needs_replica_list(now + HEARTBEAT));
    assert!(catalogue.needs_replica_list(due));
    catalogue.set_replicas(listed(), position(2, 45), due);
    assert_eq!(in_use(&catalogue), ["a", "b"]);
    assert!(!catalogue.needs_replica_list(due));
}

#[test]
fn a_departed_replica_whose_entry_is_removed_after_the_restore_is_dropped_at_once() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    catalogue.remove_replica("b", now);
    restore(&mut catalogue, vec![entry("a", 3), entry("b", 3)], now);
    assert!(catalogue.remove_replica("b", now));
    assert!(!catalogue.needs_replica_list(now + HEARTBEAT * HEARTBEATS_UNTIL_REMOVAL));
}

/// The replica was cut off from the store for a while before the restore.
#[test]
fn a_replica_that_departed_and_came_back_before_the_restore_stays_in_use() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    catalogue.remove_replica("b", now);
    catalogue.put_replica(entry("b", 6), now);
    restore(&mut catalogue, vec![entry("a", 3), entry("b", 3)], now);
    assert_eq!(in_use(&catalogue), ["a", "b"]);
}

/// The copy holds the entry of the process before; the restarted one lost its place to it.
#[test]
fn a_restarted_replica_is_not_replaced_by_its_predecessor() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    let address = ([127, 0, 0, 9], 8080).into();
    let restarted = ReplicaEntry { started_ms: 9, address, ..entry("b", 1) };
    catalogue.put_replica(restarted.clone(), now);
    restore(&mut catalogue, vec![entry("a", 3), entry("b", 3)], now);
    let used = catalogue.replica_entries();
    assert!(used.iter().all(|entry| entry.id != "b" || entry.started_ms == 9));
    assert_eq!(in_use(&catalogue), ["a", "b"]);
    catalogue.put_replica(restarted, now);
    assert_eq!(in_use(&catalogue), ["a", "b"]);
    // The clocks of two VMs may differ, so the lower start may be the later one.
    let due = now + HEARTBEAT * HEARTBEATS_UNTIL_REMOVAL;
    assert!(catalogue.needs_replica_list(due));
    catalogue.set_replicas(vec![entry("a", 3), entry("b", 9)], position(2, 45), due);
    assert!(catalogue.replica_entries().iter().all(|entry| entry.started_ms == 1));
    assert!(!catalogue.needs_replica_list(due + HEARTBEAT));
}

/// A revision that was given out again could belong to an entry that was written since.
#[test]
fn no_daemon_entry_is_removed_by_a_revision_of_an_older_era() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    let own = || daemon_entry("palermo-1", "palermo");
    let peer = || daemon_entry("palermo-2", "palermo");
    catalogue.set_daemons(vec![own(), peer()], position(1, 60), now);
    let long = Duration::from_hours(2);
    assert_eq!(catalogue.expired_daemons(now + long).len(), 1);
    catalogue.observe_era(StoreEra(2), now);
    assert!(catalogue.expired_daemons(now + long).is_empty());
    // The store lost the peer's entry, so that its revision means nothing any more.
    catalogue.set_daemons(vec![own()], position(2, 40), now);
    assert!(catalogue.expired_daemons(now + long).is_empty());
    assert_eq!(catalogue.peer_addresses(), [peer().address]);
    assert_eq!(catalogue.drop_lost_daemons(now + long), ["palermo-2"]);
}

#[test]
fn a_daemon_writes_its_entry_again_if_the_store_lost_it() {
    let now = Instant::now();
    let mut catalogue = known_catalogue(now);
    let entries = || vec![daemon_entry("palermo-1", "palermo")];
    catalogue.set_daemons(entries(), position(1, 60), now);
    assert!(matches!(catalogue.own_entry(), Some(Some(_))));
    catalogue.observe_era(StoreEra(2), now);
    assert_eq!(catalogue.own_entry(), None);
    catalogue.set_daemons(Vec::new(), position(2, 40), now);
    assert_eq!(catalogue.own_entry(), Some(None));
    catalogue.put_daemon(daemon_entry("palermo-1", "palermo"), now);
    assert!(matches!(catalogue.own_entry(), Some(Some(_))));
}
