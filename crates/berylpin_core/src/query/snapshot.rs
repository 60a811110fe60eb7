//! The choice of the snapshot that a query is pinned to.

use crate::ids::Snapshot;
use crate::message::SnapshotRange;

/// The snapshot chosen for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Choice {
    pub(super) snapshot: Snapshot,
    /// The number of shards known to serve it.
    pub(super) serving: u32,
}

/// Chooses the snapshot that the most shards serve, and of several such the newest.
///
/// `ranges` holds the range of each usable replica with the position of its shard, positions in
/// ascending order. Only the newest snapshot of some range is a candidate: every range that
/// contains another snapshot also contains the next candidate above it.
pub(super) fn choose(ranges: &[(u32, SnapshotRange)]) -> Option<Choice> {
    let mut candidates: Vec<Snapshot> = Vec::new();
    for (_, range) in ranges {
        if let Err(at) = candidates.binary_search(&range.newest) {
            candidates.insert(at, range.newest);
        }
    }
    let shards = count_shards(ranges, |_| true);
    let mut best: Option<Choice> = None;
    for snapshot in candidates.into_iter().rev() {
        let serving = count_shards(ranges, |range| range.contains(snapshot));
        if best.is_none_or(|choice| serving > choice.serving) {
            best = Some(Choice { snapshot, serving });
        }
        if serving == shards {
            break;
        }
    }
    best
}

/// Counts the shards with at least one range that `matches` accepts.
fn count_shards<F>(ranges: &[(u32, SnapshotRange)], matches: F) -> u32
where
    F: Fn(SnapshotRange) -> bool,
{
    let mut count = 0;
    let mut last = None;
    for (position, range) in ranges {
        if last != Some(position) && matches(*range) {
            count += 1;
            last = Some(position);
        }
    }
    count
}

#[cfg(test)]
mod tests;
