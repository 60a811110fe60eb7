//! Which snapshots one replica serves, as far as its word can be trusted.

use crate::ids::Snapshot;
use crate::message::SnapshotRange;

/// What a replica reported, checked against what it answered.
#[derive(Debug, Default)]
pub(super) struct KnownSnapshots {
    /// The last range reported.
    reported: Option<SnapshotRange>,
    /// The max_newest newest snapshot ever reported.
    max_newest: Snapshot,
    /// The newest snapshot that it answered from.
    answered: Option<Snapshot>,
    /// A snapshot within the reported range that it refused as gone.
    refused: Option<Snapshot>,
}

impl KnownSnapshots {
    /// Notes a reported range; returns whether it is one.
    pub(super) fn record_report(&mut self, range: SnapshotRange) -> bool {
        if range.oldest > range.newest {
            return false;
        }
        if range.newest < self.max_newest {
            // Versions only grow, so an answer from before the step back proves nothing about it.
            self.answered = self.answered.filter(|snapshot| range.contains(*snapshot));
        }
        self.max_newest = self.max_newest.max(range.newest);
        self.refused = self.refused.filter(|snapshot| range.contains(*snapshot));
        self.reported = Some(range);
        true
    }

    /// Notes that it answered from a snapshot.
    pub(super) fn record_answer(&mut self, snapshot: Snapshot) {
        self.answered = self.answered.max(Some(snapshot));
        self.refused = self.refused.filter(|refused| *refused != snapshot);
    }

    /// Notes that it refused a snapshot as gone.
    pub(super) fn record_refusal(&mut self, snapshot: Snapshot) {
        if self.reported.is_some_and(|range| range.contains(snapshot)) {
            self.refused = Some(snapshot);
        }
    }

    /// Returns the range that may be relied on; `None` while nothing is known.
    ///
    /// A replica whose newest snapshot stepped back is trusted up to what it answered since, or
    /// with its oldest snapshot alone.
    pub(super) fn trusted(&self) -> Option<SnapshotRange> {
        let SnapshotRange { oldest, mut newest } = self.reported?;
        if newest < self.max_newest {
            newest = self.answered.map_or(oldest, |snapshot| snapshot.clamp(oldest, newest));
        }
        match self.refused {
            // A refused oldest snapshot has just been retired; any other end is not to be trusted.
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
