use super::*;
use crate::direct::testing::replica_entry;

fn entry(id: &str, sequence: u64) -> ReplicaEntry {
    ReplicaEntry { sequence, ..replica_entry(id, "shard-0", "palermo") }
}

#[test]
fn a_departure_concerns_only_later_eras_and_the_same_process() {
    let now = Instant::now();
    let mut departures = Departures::default();
    departures.insert(&entry("a", 7), StoreEra(1), now);
    departures.insert(&entry("a", 5), StoreEra(1), now);
    assert_eq!(departures.sequence_before(&entry("a", 0), StoreEra(1)), None);
    assert_eq!(departures.sequence_before(&entry("a", 0), StoreEra(2)), Some(7));
    let restarted = ReplicaEntry { started_ms: 9, ..entry("a", 0) };
    assert_eq!(departures.sequence_before(&restarted, StoreEra(2)), None);
    departures.remove(&entry("a", 8));
    assert_eq!(departures.sequence_before(&entry("a", 0), StoreEra(2)), None);
}

#[test]
fn the_oldest_departures_are_dropped() {
    let now = Instant::now();
    let mut departures = Departures::default();
    for index in 0..MAX_DEPARTURES as u64 + 10 {
        let learned = now + Duration::from_millis(index);
        departures.insert(&entry(&format!("r{index}"), 1), StoreEra(1), learned);
    }
    assert_eq!(departures.departures.len(), MAX_DEPARTURES);
    let known = |index: u64| {
        departures.sequence_before(&entry(&format!("r{index}"), 1), StoreEra(2)).is_some()
    };
    assert!(!known(9) && known(10));
    departures.insert(&entry("late", 1), StoreEra(1), now + RETENTION * 2);
    assert_eq!(departures.departures.len(), 1);
}
