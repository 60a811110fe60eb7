//! The replicas of the catalogue: their entries, outages of the store, and replicas that leave.

use super::{Catalogue, KnownReplica};
use crate::direct::configuration::ReplicaEntry;
use crate::direct::entry_check::ReplicaName;
use crate::direct::store_times::StoreCall;
use crate::ids::{Key, ReplicaId};
use std::time::Instant;

impl Catalogue {
    /// Replaces all replicas with the entries at a revision; returns whether a new view is needed.
    ///
    /// An unusable entry, which a peer may send too, counts as missing.
    pub fn set_replicas(
        &mut self,
        mut entries: Vec<ReplicaEntry>,
        revision: u64,
        now: Instant,
    ) -> bool {
        let previous = self.replicas_revision.replace(revision);
        if Some(revision) < previous {
            self.contact.record_restored_store(now);
        }
        let mut changed = previous.is_none();
        entries.retain(|entry| entry.check().is_ok());
        let mut names: Vec<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        names.sort();
        for entry in entries {
            changed |= self.put_replica(entry);
        }
        let known = self.replicas.iter().map(|known| known.entry.id.clone());
        let missing: Vec<_> = known.filter(|name| names.binary_search(name).is_err()).collect();
        for name in missing {
            self.remove_replica(&name, now);
            // Also for a replica that stays in use: peers compare the view's revision.
            changed = true;
        }
        changed
    }

    /// Adds or updates a replica; returns whether a new view is needed.
    ///
    /// Ignores an unusable entry. A replica that restarted or moved gets a new id, so that its statistics are not reused.
    pub fn put_replica(&mut self, entry: ReplicaEntry) -> bool {
        let Ok(name) = entry.check().and_then(|()| ReplicaName::new(&entry.id)) else {
            return false;
        };
        self.add_service(&entry.service);
        self.add_data_centre(&entry.data_centre);
        let leaving = self.leaving.contains(&entry.id, entry.started_ms);
        match self.position(&entry.id) {
            Ok(index) => {
                let known = &mut self.replicas[index];
                let restarted = known.entry.started_ms != entry.started_ms;
                let unchanged = known.entry.draining == entry.draining
                    && known.entry.address == entry.address
                    && known.entry.service == entry.service
                    && known.entry.slots == entry.slots
                    && !restarted;
                if restarted || known.entry.address != entry.address {
                    known.id = ReplicaId::from_index(self.next_replica);
                    self.next_replica += 1;
                }
                known.entry = entry;
                known.expires_at = None;
                known.leaving = leaving;
                !unchanged
            }
            Err(index) => {
                let id = ReplicaId::from_index(self.next_replica);
                self.next_replica += 1;
                let known = KnownReplica { entry, name, id, expires_at: None, leaving };
                self.replicas.insert(index, known);
                true
            }
        }
    }

    /// Records that a call for the replicas begins; calls that are recorded do not overlap.
    pub fn begin_replicas_call(&mut self, now: Instant) {
        self.contact.begin_call(now);
    }

    /// Records the end of a call for the replicas; must precede the changes that it returned.
    pub fn record_replicas_call(&mut self, call: StoreCall, now: Instant) {
        self.contact.record_call(call, now);
    }

    /// Records that the replicas of a peer are applied; must precede their changes.
    pub(in crate::direct) fn record_peer_replicas(&mut self) {
        self.contact.record_peer_state();
    }

    /// Removes a replica's entry; returns whether the replica was dropped, so that a new view is
    /// needed.
    ///
    /// The entry of a replica that does not drain may only have expired in an outage of the store.
    /// The replica then stays in use until running replicas are listed again.
    pub fn remove_replica(&mut self, name: &str, now: Instant) -> bool {
        let Ok(index) = self.position(name) else { return false };
        let grace_end = self.contact.grace_end(now);
        let known = &mut self.replicas[index];
        if known.entry.draining || known.expires_at.is_none() && grace_end <= now {
            self.replicas.remove(index);
            return true;
        }
        known.expires_at.get_or_insert(grace_end);
        false
    }

    /// Excludes a replica that announced that it leaves, until a new process of its name starts.
    ///
    /// Returns its service and the number of the service's replicas that still accept work; `None`
    /// if the replica is not known or already excluded.
    pub fn exclude_leaving(&mut self, id: ReplicaId, now: Instant) -> Option<(String, usize)> {
        let known = self.replicas.iter_mut().find(|known| known.id == id && !known.leaving)?;
        known.leaving = true;
        self.leaving.insert(&known.entry.id, known.entry.started_ms, now);
        let service = known.entry.service.clone();
        let in_service =
            |known: &&KnownReplica| known.entry.service == service && known.accepts_work();
        let remaining = self.replicas.iter().filter(in_service).count();
        Some((service, remaining))
    }

    /// Records that the replicas are current at a newer revision.
    pub fn advance_replicas_revision(&mut self, revision: u64) {
        self.replicas_revision = Some(revision);
    }

    pub(in crate::direct) fn replicas_revision(&self) -> Option<u64> {
        self.replicas_revision
    }

    /// Returns the entries of all replicas, without those that were removed.
    pub(in crate::direct) fn replica_entries(&self) -> Vec<ReplicaEntry> {
        let listed = self.replicas.iter().filter(|known| known.expires_at.is_none());
        listed.map(|known| known.entry.clone()).collect()
    }

    /// Removes the replicas whose grace period has ended; returns their names.
    pub fn expire_replicas(&mut self, now: Instant) -> Vec<String> {
        let mut expired = Vec::new();
        self.replicas.retain(|known| {
            let keep = known.expires_at.is_none_or(|at| at > now);
            if !keep {
                expired.push(known.entry.id.clone());
            }
            keep
        });
        expired
    }
}
