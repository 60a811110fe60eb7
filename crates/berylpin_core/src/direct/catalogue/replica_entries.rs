//! The replicas of the catalogue: their entries, outages of the store, and replicas that leave.

use super::eras::EntrySource;
use super::{Catalogue, KnownReplica, Outage};
use crate::direct::configuration::ReplicaEntry;
use crate::direct::store_era::StorePosition;
use crate::direct::store_times::StoreCall;
use crate::ids::{Key, ReplicaId};
use std::time::Instant;

impl Catalogue {
    /// Replaces all replicas with the entries at a position; returns whether a new view is needed.
    pub fn set_replicas(
        &mut self,
        mut entries: Vec<ReplicaEntry>,
        position: StorePosition,
        now: Instant,
    ) -> bool {
        let before = self.replicas_position.replace(position);
        let mut changed = before.is_none();
        let is_restored = before.is_some_and(|before| before.era < position.era);
        self.relist_at = self.relist_at.filter(|at| *at > now);
        if is_restored {
            self.remove_predecessors(&mut entries, now);
        }
        let mut names: Vec<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        names.sort();
        for entry in entries {
            changed |= self.apply_entry(entry, EntrySource::List, now);
        }
        let known = self.replicas.iter().map(|known| known.entry.id.clone());
        let missing: Vec<_> = known.filter(|name| names.binary_search(name).is_err()).collect();
        for name in missing {
            changed |= self.remove_replica(&name, now);
            if is_restored {
                self.mark_lost(&name);
            }
        }
        changed
    }

    /// Adds or updates a replica; returns whether a new view is needed.
    ///
    /// A replica that restarted or moved gets a new id, so that its statistics are not reused.
    pub fn put_replica(&mut self, entry: ReplicaEntry, now: Instant) -> bool {
        self.apply_entry(entry, EntrySource::Change, now)
    }

    fn apply_entry(&mut self, entry: ReplicaEntry, source: EntrySource, now: Instant) -> bool {
        self.add_service(&entry.service);
        self.add_data_centre(&entry.data_centre);
        let unproven = self.check_departed(&entry, source, now);
        let leaving = self.leaving.contains(&entry.id, entry.started_ms);
        match self.position(&entry.id) {
            Ok(index) => {
                let restarted = self.replicas[index].entry.started_ms != entry.started_ms;
                if restarted {
                    let predecessor = self.replicas[index].entry.clone();
                    self.record_departure(&predecessor, now);
                }
                let known = &mut self.replicas[index];
                let unchanged = known.entry.draining == entry.draining
                    && known.entry.address == entry.address
                    && known.entry.service == entry.service
                    && known.entry.slots == entry.slots
                    && known.unproven.is_some() == unproven.is_some()
                    && !restarted;
                if restarted || known.entry.address != entry.address {
                    known.id = ReplicaId::from_index(self.next_replica);
                    self.next_replica += 1;
                }
                known.entry = entry;
                known.expires_at = None;
                known.lost = false;
                known.leaving = leaving;
                known.unproven = unproven;
                !unchanged
            }
            Err(index) => {
                let id = ReplicaId::from_index(self.next_replica);
                self.next_replica += 1;
                let known =
                    KnownReplica { entry, id, expires_at: None, lost: false, leaving, unproven };
                self.replicas.insert(index, known);
                true
            }
        }
    }

    /// Records a call for the replicas; must precede the changes that the call returned.
    pub fn record_replicas_call(&mut self, call: StoreCall, now: Instant) {
        self.outage = match (call, self.outage) {
            (StoreCall::Failed, _) => Outage::Ongoing,
            (StoreCall::Late, _) | (StoreCall::InTime, Outage::Ongoing) => Outage::EndedAt(now),
            (StoreCall::InTime, outage) => outage,
        };
        self.extend_lost(now);
    }

    /// Removes a replica's entry; returns whether the replica was dropped, so that a new view is
    /// needed.
    ///
    /// The entry of a replica that does not drain may only have expired in an outage of the store.
    /// The replica then stays in use until running replicas are listed again.
    pub fn remove_replica(&mut self, name: &str, now: Instant) -> bool {
        let Ok(index) = self.position(name) else { return false };
        let grace_end = match self.outage {
            Outage::Never => now,
            Outage::Ongoing => now + self.expiry_grace,
            Outage::EndedAt(ended) => ended + self.expiry_grace,
        };
        let known = &mut self.replicas[index];
        let is_departed = known.entry.draining || known.unproven.is_some();
        if is_departed || known.expires_at.is_none() && grace_end <= now {
            let known = self.replicas.remove(index);
            self.record_departure(&known.entry, now);
            return true;
        }
        known.expires_at.get_or_insert(grace_end);
        known.lost = false;
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

    /// Records that the replicas are current at a newer position.
    pub fn advance_replicas(&mut self, position: StorePosition) {
        self.replicas_position = Some(position);
    }

    pub(in crate::direct) fn replicas_position(&self) -> Option<StorePosition> {
        self.replicas_position
    }

    /// Returns the entries of all replicas, without those that were removed.
    pub(in crate::direct) fn replica_entries(&self) -> Vec<ReplicaEntry> {
        let listed = self.replicas.iter().filter(|known| known.expires_at.is_none());
        listed.map(|known| known.entry.clone()).collect()
    }

    /// Removes the replicas whose grace period has ended; returns their names.
    pub fn expire_replicas(&mut self, now: Instant) -> Vec<String> {
        let is_away = matches!(self.outage, Outage::Ongoing);
        let is_expired = |known: &mut KnownReplica| {
            known.expires_at.is_some_and(|at| at <= now) && !(known.lost && is_away)
        };
        let expired: Vec<_> = self.replicas.extract_if(.., is_expired).collect();
        for known in &expired {
            self.record_departure(&known.entry, now);
        }
        expired.into_iter().map(|known| known.entry.id).collect()
    }
}
