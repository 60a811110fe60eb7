use super::*;

fn range(position: u32, oldest: u64, newest: u64) -> (u32, SnapshotRange) {
    (position, SnapshotRange { oldest: Snapshot(oldest), newest: Snapshot(newest) })
}

#[test]
fn newest_snapshot_served_by_all_shards_is_chosen() {
    let ranges = [range(0, 1, 5), range(0, 1, 4), range(1, 2, 4), range(2, 3, 9)];
    assert_eq!(choose(&ranges), Some(Choice { snapshot: Snapshot(4), serving: 3 }));
}

#[test]
fn snapshot_served_by_more_shards_is_preferred_to_a_newer_one() {
    let ranges = [range(0, 9, 9), range(1, 2, 4), range(2, 3, 4)];
    assert_eq!(choose(&ranges), Some(Choice { snapshot: Snapshot(4), serving: 2 }));
}
