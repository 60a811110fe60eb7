//! Which snapshots one replica serves, as far as its word can be trusted.

use crate::ids::Snapshot;
use crate::message::SnapshotRange;

/// What a replica reported, checked against what it answered.
#[derive(Debug, Default)]
pub(super) struct KnownSnapshots {
    /// The last range reported.
    reported: Option<SnapshotRange>,
    /// The highest newest snapshot ever reported.
    highest: Snapshot,
    /// The newest snapshot that it answered from.
    answered: Option<Snapshot>,
    /// A snapshot within the reported range that it refused as gone.
    gone: Option<Snapshot>,
}

impl KnownSnapshots {
    /// Notes a reported range; returns whether it is one.
    pub(super) fn report(&mut self, range: SnapshotRange) -> bool {
        if range.oldest > range.newest {
            return false;
        }
        if range.newest < self.highest {
            // Versions only grow, so an answer from before the step back proves nothing about it.
            self.answered = self.answered.filter(|snapshot| range.contains(*snapshot));
        }
        self.highest = self.highest.max(range.newest);
        self.gone = self.gone.filter(|snapshot| range.contains(*snapshot));
        self.reported = Some(range);
        true
    }

    /// Notes that it answered from a snapshot.
    pub(super) fn answered(&mut self, snapshot: Snapshot) {
        self.answered = self.answered.max(Some(snapshot));
        self.gone = self.gone.filter(|gone| *gone != snapshot);
    }

    /// Notes that it refused a snapshot as gone.
    pub(super) fn gone(&mut self, snapshot: Snapshot) {
        if self.reported.is_some_and(|range| range.contains(snapshot)) {
            self.gone = Some(snapshot);
        }
    }

    /// Returns the range that may be relied on; `None` while nothing is known.
    ///
    /// A replica whose newest snapshot stepped back is trusted up to what it answered since, or
    /// with its oldest snapshot alone.
    pub(super) fn trusted(&self) -> Option<SnapshotRange> {
        let SnapshotRange { oldest, mut newest } = self.reported?;
        if newest < self.highest {
            newest = self.answered.map_or(oldest, |snapshot| snapshot.clamp(oldest, newest));
        }
        match self.gone {
            // A refused oldest snapshot has just been retired; any other end is not to be trusted.
            Some(gone) if gone == oldest => range(Snapshot(oldest.0 + 1), newest),
            Some(gone) if gone <= newest => range(oldest, Snapshot(gone.0 - 1)),
            _ => Some(SnapshotRange { oldest, newest }),
        }
    }
}

fn range(oldest: Snapshot, newest: Snapshot) -> Option<SnapshotRange> {
    (oldest <= newest).then_some(SnapshotRange { oldest, newest })
}

#[cfg(test)]
mod tests;
