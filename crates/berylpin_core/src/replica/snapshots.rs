//! The snapshots that one replica serves, checked against its answers and refusals.

use crate::ids::Snapshot;
use crate::message::SnapshotRange;

/// The range of snapshots that a replica reported, with the answers and refusals that confirm or
/// contradict it.
#[derive(Debug, Default)]
pub(super) struct KnownSnapshots {
    /// The last reported range.
    reported: Option<SnapshotRange>,
    /// The highest newest snapshot ever reported; a report with a lower one is a step back.
    max_newest: Snapshot,
    /// The newest snapshot that the replica answered from; cleared by a step back to a range that
    /// excludes it.
    answered: Option<Snapshot>,
    /// A snapshot within the reported range that the replica refused to serve.
    refused: Option<Snapshot>,
}

impl KnownSnapshots {
    /// Records a reported range; returns `false` for an invalid one, which is ignored.
    pub(super) fn record_report(&mut self, range: SnapshotRange) -> bool {
        if range.oldest > range.newest {
            return false;
        }
        if range.newest < self.max_newest {
            // Versions only increase, so a step back makes the report doubtful. An answer from a
            // snapshot outside the new range does not confirm that range.
            self.answered = self.answered.filter(|snapshot| range.contains(*snapshot));
        }
        self.max_newest = self.max_newest.max(range.newest);
        self.refused = self.refused.filter(|snapshot| range.contains(*snapshot));
        self.reported = Some(range);
        true
    }

    /// Records that the replica answered from a snapshot.
    pub(super) fn record_answer(&mut self, snapshot: Snapshot) {
        self.answered = self.answered.max(Some(snapshot));
        self.refused = self.refused.filter(|refused| *refused != snapshot);
    }

    /// Records that the replica refused to serve a snapshot.
    pub(super) fn record_refusal(&mut self, snapshot: Snapshot) {
        if self.reported.is_some_and(|range| range.contains(snapshot)) {
            self.refused = Some(snapshot);
        }
    }

    /// Returns the range that queries may be pinned to, if any.
    ///
    /// After a step back, the range ends at the newest snapshot that the replica answered from, or
    /// contains only the oldest one if there is no such answer.
    pub(super) fn trusted(&self) -> Option<SnapshotRange> {
        let SnapshotRange { oldest, mut newest } = self.reported?;
        if newest < self.max_newest {
            newest = self.answered.map_or(oldest, |snapshot| snapshot.clamp(oldest, newest));
        }
        match self.refused {
            // A refused oldest snapshot has just been retired. After any other refusal only the
            // snapshots before the refused one are trusted.
            Some(refused) if refused == oldest => range(Snapshot(oldest.0 + 1), newest),
            Some(refused) if refused <= newest => range(oldest, Snapshot(refused.0 - 1)),
            _ => Some(SnapshotRange { oldest, newest }),
        }
    }
}

fn range(oldest: Snapshot, newest: Snapshot) -> Option<SnapshotRange> {
    (oldest <= newest).then_some(SnapshotRange { oldest, newest })
}

#[cfg(test)]
mod tests;
