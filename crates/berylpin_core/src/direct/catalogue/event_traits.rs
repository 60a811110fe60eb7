//! What the events of the store show by the entries that are known.

use super::Catalogue;
use crate::direct::configuration::ReplicaEntry;
use crate::direct::provenance::EventTraits;

impl Catalogue {
    /// Returns the traits of an event that puts a replica's entry.
    ///
    /// A new entry of a service that no configuration names may be any writer's. Those that are known
    /// are trusted, since other systems may keep theirs in the same store.
    pub fn replica_traits(&self, entry: &ReplicaEntry) -> EventTraits {
        let known = self.listed_replica(&entry.id);
        let is_named = self.may_be_named(&entry.service);
        let changes_identity = known.is_some_and(|known| !known.is_same_process(entry));
        EventTraits {
            trusted: is_named || known.is_some() && !changes_identity,
            effective: is_named || known.is_some(),
            changes_identity,
        }
    }

    /// Returns the traits of an event that removes a replica's entry.
    pub fn replica_removal_traits(&self, name: &str) -> EventTraits {
        let is_known = self.has_replica(name);
        EventTraits { trusted: is_known, effective: is_known, changes_identity: false }
    }

    /// Returns whether a replica has a known entry, which was not removed.
    pub fn has_replica(&self, name: &str) -> bool {
        self.listed_replica(name).is_some()
    }

    /// Returns the traits of an event that removes a daemon's entry.
    pub fn daemon_removal_traits(&self, name: &str) -> EventTraits {
        let is_known = self.has_daemon(name);
        EventTraits { trusted: is_known, effective: is_known, changes_identity: false }
    }

    /// Returns whether a daemon has a known entry.
    pub fn has_daemon(&self, name: &str) -> bool {
        self.fleet.stored_entry(name).is_some()
    }

    /// Returns whether a configuration names the service, as far as is known.
    pub(super) fn may_be_named(&self, service: &str) -> bool {
        self.configuration.is_none() || self.find_service(service).is_some()
    }

    fn listed_replica(&self, name: &str) -> Option<&ReplicaEntry> {
        let known = &self.replicas[self.position(name).ok()?];
        known.expires_at.is_none().then_some(&known.entry)
    }
}

#[cfg(test)]
mod tests;
