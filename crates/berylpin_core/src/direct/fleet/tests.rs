use super::*;
use crate::direct::testing::{daemon_entry, position};
use std::net::SocketAddr;

const EXPIRY_TIME: Duration = RENEWAL_INTERVAL.saturating_mul(MAX_MISSED_RENEWALS + 1);

fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    assert!(fleet.set_entries(
        vec![daemon_entry("a", "palermo"), daemon_entry("b", "catania")],
        position(5),
        now
    ));
    fleet
}

fn renewal(name: &str, revision: u64) -> DaemonEntry {
    DaemonEntry { revision, ..daemon_entry(name, "palermo") }
}

fn peer_id(fleet: &Fleet, name: &str) -> PeerId {
    fleet.daemons().find(|(entry, _)| entry.name == name).map(|(_, id)| id).unwrap()
}

#[test]
fn a_renewal_keeps_the_peer_id_and_a_move_changes_it() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let before = peer_id(&fleet, "a");
    assert!(!fleet.put(renewal("a", 9), now));
    assert_eq!(peer_id(&fleet, "a"), before);
    let address = SocketAddr::from(([127, 0, 0, 9], 7380));
    assert!(fleet.put(DaemonEntry { address, ..renewal("a", 10) }, now));
    assert_ne!(peer_id(&fleet, "a"), before);
}

#[test]
fn an_entry_expires_without_renewals() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.put(renewal("a", 9), now + EXPIRY_TIME / 2);
    assert!(fleet.expired(now + EXPIRY_TIME).is_empty());
    let later = now + EXPIRY_TIME + Duration::from_secs(1);
    assert_eq!(fleet.expired(later), [daemon_entry("b", "catania")]);
    assert!(fleet.remove("b"));
    assert!(!fleet.remove("b"));
    assert_eq!(fleet.size(), 1);
}

#[test]
fn no_entry_expires_because_of_an_outage_of_the_store() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let recovered = now + EXPIRY_TIME * 2;
    fleet.store_recovered(recovered);
    assert!(fleet.expired(recovered + EXPIRY_TIME).is_empty());
}

#[test]
fn an_unchanged_list_renews_no_entry() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let again = vec![daemon_entry("a", "palermo"), daemon_entry("b", "catania")];
    assert!(!fleet.set_entries(again, position(6), now + EXPIRY_TIME));
    assert_eq!(fleet.expired(now + EXPIRY_TIME + Duration::from_secs(1)).len(), 2);
}

#[test]
fn the_fleet_size_is_assumed_until_the_daemons_are_listed() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.size(), ASSUMED_SIZE);
    fleet.set_entries(Vec::new(), position(1), Instant::now());
    assert_eq!(fleet.size(), 1);
}
