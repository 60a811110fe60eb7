//! The daemons that have entries in the store.

use super::configuration::DaemonEntry;
use crate::ids::{Key, PeerId};
use std::time::{Duration, Instant};

/// The interval at which a daemon renews its entry; 600 daemons cause one write per second.
pub const RENEWAL_INTERVAL: Duration = Duration::from_mins(10);

/// The number of renewals that a daemon may miss before the others remove its entry.
const MAX_MISSED_RENEWALS: u32 = 3;

/// The assumed number of daemons before they are listed; most fleets have fewer.
const ASSUMED_SIZE: u32 = 100;

/// A daemon with an entry.
#[derive(Debug)]
struct KnownDaemon {
    entry: DaemonEntry,
    /// Stable while the daemon's address and data centre stay the same.
    id: PeerId,
    /// When the entry was last written, or when the store recovered if that is later.
    renewed_at: Instant,
}

/// All daemons with an entry, including this one once its entry is stored.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Sorted by name.
    daemons: Vec<KnownDaemon>,
    /// The store's revision at which the entries are current; `None` before they were listed.
    revision: Option<u64>,
    next_peer: usize,
}

impl Fleet {
    /// Replaces all entries; returns false if only renewals changed.
    pub(super) fn set_entries(
        &mut self,
        entries: Vec<DaemonEntry>,
        revision: u64,
        now: Instant,
    ) -> bool {
        let mut changed = self.revision.replace(revision).is_none();
        let mut names: Vec<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        names.sort();
        let before = self.daemons.len();
        self.daemons.retain(|known| names.binary_search(&known.entry.name).is_ok());
        changed |= self.daemons.len() != before;
        for entry in entries {
            changed |= self.put(entry, now);
        }
        changed
    }

    /// Adds or updates an entry; returns false if the entry is only a renewal.
    pub(super) fn put(&mut self, entry: DaemonEntry, now: Instant) -> bool {
        match self.position(&entry.name) {
            Ok(index) => {
                let known = &mut self.daemons[index];
                if known.entry.revision != entry.revision {
                    known.renewed_at = now;
                }
                let moved = !known.entry.has_same_location(&entry);
                if moved {
                    known.id = PeerId::from_index(self.next_peer);
                    self.next_peer += 1;
                }
                known.entry = entry;
                moved
            }
            Err(index) => {
                let id = PeerId::from_index(self.next_peer);
                self.next_peer += 1;
                self.daemons.insert(index, KnownDaemon { entry, id, renewed_at: now });
                true
            }
        }
    }

    /// Removes an entry; returns whether there was one.
    pub(super) fn remove(&mut self, name: &str) -> bool {
        self.position(name).is_ok_and(|index| {
            self.daemons.remove(index);
            true
        })
    }

    /// Records that the entries are current at a newer revision.
    pub(super) fn advance_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
    }

    /// Restarts the expiry of all entries, because none could be renewed during the outage.
    pub(super) fn store_recovered(&mut self, now: Instant) {
        self.daemons.iter_mut().for_each(|known| known.renewed_at = now);
    }

    /// Returns the entries that missed too many renewals; their VMs are presumed lost.
    pub(super) fn expired(&self, now: Instant) -> Vec<DaemonEntry> {
        let timeout = RENEWAL_INTERVAL * (MAX_MISSED_RENEWALS + 1);
        let is_expired =
            |known: &&KnownDaemon| now.saturating_duration_since(known.renewed_at) > timeout;
        self.daemons.iter().filter(is_expired).map(|known| known.entry.clone()).collect()
    }

    /// Returns the entry of a daemon.
    pub(super) fn entry(&self, name: &str) -> Option<&DaemonEntry> {
        self.position(name).ok().map(|index| &self.daemons[index].entry)
    }

    /// Returns all entries with their ids.
    pub(super) fn daemons(&self) -> impl Iterator<Item = (&DaemonEntry, PeerId)> {
        self.daemons.iter().map(|known| (&known.entry, known.id))
    }

    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the number of daemons that share budgets and connections.
    pub(super) fn size(&self) -> u32 {
        self.revision.map_or(ASSUMED_SIZE, |_| self.daemons.len().max(1) as u32)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.daemons.binary_search_by(|known| known.entry.name.as_str().cmp(name))
    }
}

#[cfg(test)]
mod tests;
