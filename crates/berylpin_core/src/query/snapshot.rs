//! Which snapshot a query is pinned to.

use crate::ids::Snapshot;
use crate::message::SnapshotRange;

/// The snapshot chosen for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Choice {
    /// The snapshot.
    pub(super) snapshot: Snapshot,
    /// How many shards are known to serve it.
    pub(super) serving: u32,
}

/// Chooses the newest snapshot that the most shards serve.
///
/// `ranges` holds the range of each usable replica with the position of its shard, positions in
/// ascending order. Only the newest end of a range can be the best choice: a snapshot between
/// ends has the same shards as the next end above it.
pub(super) fn choose(ranges: &[(u32, SnapshotRange)]) -> Option<Choice> {
    let mut candidates: Vec<Snapshot> = ranges.iter().map(|(_, range)| range.newest).collect();
    candidates.sort_unstable_by(|a, b| b.cmp(a));
    candidates.dedup();
    let count = |snapshot| {
        let mut serving = 0;
        let mut last = None;
        for (position, range) in ranges {
            if last != Some(position) && range.contains(snapshot) {
                serving += 1;
                last = Some(position);
            }
        }
        Choice { snapshot, serving }
    };
    candidates.into_iter().map(count).reduce(
        |best, next| {
            if next.serving > best.serving { next } else { best }
        },
    )
}

#[cfg(test)]
mod tests;
