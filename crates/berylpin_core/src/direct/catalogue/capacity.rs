//! The capacity for entries of replicas whose services no configuration names, and of daemons whose
//! data centres the settings do not name.
//!
//! Replicas start some time before a configuration names their service, so their entries are kept.
//! Other writers may leave any number of such entries, so the capacity is bounded. Entries of services
//! that a configuration names are always kept, and when it names further ones after entries were
//! rejected, the replicas are listed again.

use super::Catalogue;
use crate::direct::configuration::{DaemonEntry, ReplicaEntry};

/// The maximum number of entries of services that no configuration names, and of daemons in data
/// centres that the settings do not name; a repartition of the largest fleet starts about half as many
/// replicas.
pub const MAX_UNNAMED_ENTRIES: usize = 8192;

impl Catalogue {
    /// Returns whether a configuration has named the service of an entry.
    pub fn names_service_of(&self, entry: &ReplicaEntry) -> bool {
        self.find_service(&entry.service).is_some()
    }

    /// Returns whether the settings name the data centre of a daemon.
    pub fn names_data_centre_of(&self, entry: &DaemonEntry) -> bool {
        let name = entry.data_centre.as_str();
        name == self.location.data_centre || self.location.region(name).is_some()
    }

    /// Returns whether a changed entry of a daemon is kept.
    pub(super) fn has_capacity_for_daemon(&self, entry: &DaemonEntry) -> bool {
        self.names_data_centre_of(entry)
            || self.has_daemon(&entry.name)
            || self.fleet.daemons().count() < MAX_UNNAMED_ENTRIES
    }

    /// Records that entries over the capacity were rejected.
    pub fn record_rejected(&mut self) {
        self.has_rejected = true;
    }

    /// Requires a list of the replicas if a newly named service may be that of a rejected entry.
    pub(super) fn relist_rejected(&mut self) {
        self.must_relist |= std::mem::take(&mut self.has_rejected);
    }

    /// Removes the entries over the capacity.
    pub(super) fn drop_over_capacity(&mut self, entries: &mut Vec<ReplicaEntry>) {
        let mut unnamed = 0;
        let count = entries.len();
        entries.retain(|entry| {
            let is_named = self.names_service_of(entry);
            unnamed += usize::from(!is_named);
            is_named || unnamed <= MAX_UNNAMED_ENTRIES
        });
        self.has_rejected |= entries.len() < count;
    }

    /// Returns whether a changed entry is kept.
    pub(super) fn has_capacity_for(&self, entry: &ReplicaEntry) -> bool {
        if self.replicas.len() < MAX_UNNAMED_ENTRIES
            || self.names_service_of(entry)
            || self.position(&entry.id).is_ok()
        {
            return true;
        }
        let unnamed = self.replicas.iter().filter(|known| !self.names_service_of(&known.entry));
        unnamed.count() < MAX_UNNAMED_ENTRIES
    }
}

#[cfg(test)]
mod tests;
