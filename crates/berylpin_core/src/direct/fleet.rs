//! The daemons that have entries in the store.

use super::configuration::DaemonEntry;
use super::store_era::StorePosition;
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
    /// Whether the store lost the entry when it was restored from a copy; the daemon then writes it
    /// again. The revision of such an entry is meaningless.
    lost: bool,
}

/// All daemons with an entry, including this one once its entry is stored.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    /// Sorted by name.
    daemons: Vec<KnownDaemon>,
    /// The position in the store at which the entries are current; `None` before they were listed.
    position: Option<StorePosition>,
    next_peer: usize,
}

impl Fleet {
    /// Replaces all entries; returns false if only renewals changed.
    ///
    /// A daemon without an entry in the first list after a restore stays in use until it writes its
    /// entry again, or until it has missed too many renewals.
    pub(super) fn set_entries(
        &mut self,
        entries: Vec<DaemonEntry>,
        position: StorePosition,
        now: Instant,
    ) -> bool {
        let before = self.position.replace(position);
        let mut changed = before.is_none();
        let is_restored = before.is_some_and(|before| before.era < position.era);
        let mut names: Vec<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        names.sort();
        let before = self.daemons.len();
        self.daemons.retain_mut(|known| {
            let is_listed = names.binary_search(&known.entry.name).is_ok();
            known.lost |= is_restored && !is_listed;
            is_listed || known.lost && !is_expired(known, now)
        });
        changed |= self.daemons.len() != before;
        for entry in entries {
            changed |= self.put(entry, now);
        }
        changed
    }

    /// Adds or updates an entry; returns false if the entry is only a renewal.
    pub(super) fn put(&mut self, entry: DaemonEntry, now: Instant) -> bool {
        match self.position_of(&entry.name) {
            Ok(index) => {
                let known = &mut self.daemons[index];
                if known.lost || known.entry.revision != entry.revision {
                    known.renewed_at = now;
                }
                known.lost = false;
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
                self.daemons.insert(index, KnownDaemon { entry, id, renewed_at: now, lost: false });
                true
            }
        }
    }

    /// Removes an entry; returns whether there was one.
    pub(super) fn remove(&mut self, name: &str) -> bool {
        self.position_of(name).is_ok_and(|index| {
            self.daemons.remove(index);
            true
        })
    }

    /// Records that the entries are current at a newer position.
    pub(super) fn advance(&mut self, position: StorePosition) {
        self.position = Some(position);
    }

    /// Restarts the expiry of all entries, because none could be renewed during the outage.
    pub(super) fn store_recovered(&mut self, now: Instant) {
        self.daemons.iter_mut().for_each(|known| known.renewed_at = now);
    }

    /// Returns the entries in the store that missed too many renewals; their VMs are presumed lost.
    pub(super) fn expired(&self, now: Instant) -> Vec<DaemonEntry> {
        let expired = self.daemons.iter().filter(|known| !known.lost && is_expired(known, now));
        expired.map(|known| known.entry.clone()).collect()
    }

    /// Drops the daemons whose lost entries were not written again in time; returns their names.
    pub(super) fn drop_lost(&mut self, now: Instant) -> Vec<String> {
        let is_gone = |known: &mut KnownDaemon| known.lost && is_expired(known, now);
        self.daemons.extract_if(.., is_gone).map(|known| known.entry.name).collect()
    }

    /// Returns the entry of a daemon, unless the store lost it.
    pub(super) fn stored_entry(&self, name: &str) -> Option<&DaemonEntry> {
        let known = &self.daemons[self.position_of(name).ok()?];
        (!known.lost).then_some(&known.entry)
    }

    /// Returns all entries in the store.
    pub(super) fn stored_entries(&self) -> impl Iterator<Item = &DaemonEntry> {
        self.daemons.iter().filter(|known| !known.lost).map(|known| &known.entry)
    }

    /// Returns all entries with their ids.
    pub(super) fn daemons(&self) -> impl Iterator<Item = (&DaemonEntry, PeerId)> {
        self.daemons.iter().map(|known| (&known.entry, known.id))
    }

    pub(super) fn position(&self) -> Option<StorePosition> {
        self.position
    }

    /// Returns the number of daemons that share budgets and connections.
    pub(super) fn size(&self) -> u32 {
        self.position.map_or(ASSUMED_SIZE, |_| self.daemons.len().max(1) as u32)
    }

    fn position_of(&self, name: &str) -> Result<usize, usize> {
        self.daemons.binary_search_by(|known| known.entry.name.as_str().cmp(name))
    }
}

fn is_expired(known: &KnownDaemon, now: Instant) -> bool {
    now.saturating_duration_since(known.renewed_at) > RENEWAL_INTERVAL * (MAX_MISSED_RENEWALS + 1)
}

#[cfg(test)]
mod tests;
