use super::*;

fn range(position: u32, oldest: u64, newest: u64) -> (u32, SnapshotRange) {
    (position, SnapshotRange { oldest: Snapshot(oldest), newest: Snapshot(newest) })
}

#[test]
fn the_newest_snapshot_that_all_shards_serve_is_chosen() {
    let ranges = [range(0, 1, 5), range(0, 1, 4), range(1, 2, 4), range(2, 3, 9)];
    assert_eq!(choose(&ranges), Some(Choice { snapshot: Snapshot(4), serving: 3 }));
}

#[test]
fn the_most_shards_go_before_the_newest_snapshot() {
    let ranges = [range(0, 9, 9), range(1, 2, 4), range(2, 3, 4)];
    assert_eq!(choose(&ranges), Some(Choice { snapshot: Snapshot(4), serving: 2 }));
}
