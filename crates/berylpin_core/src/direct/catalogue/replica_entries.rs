//! The replicas of the catalogue: their entries, outages of the store, and replicas that leave.

use super::eras::EntrySource;
use super::{Catalogue, KnownReplica};
use crate::direct::configuration::ReplicaEntry;
use crate::direct::entry_check::ReplicaName;
use crate::direct::store_era::StorePosition;
use crate::direct::store_times::StoreCall;
use crate::ids::{Key, ReplicaId};
use std::time::Instant;

impl Catalogue {
    /// Replaces all replicas with the entries at a position; returns whether a new view is needed.
    ///
    /// An unusable entry, which a peer may send too, counts as missing.
    pub fn set_replicas(
        &mut self,
        mut entries: Vec<ReplicaEntry>,
        position: StorePosition,
        now: Instant,
    ) -> bool {
        let before = self.replicas_position.replace(position);
        let is_new_era = before.is_some_and(|before| before.era < position.era);
        if !is_new_era && Some(position) < before {
            self.contact.record_restored_store(now);
        }
        // Also for a list of a new era without other entries: peers compare the view's position.
        let mut changed = before.is_none() || is_new_era;
        self.relist_at = self.relist_at.filter(|at| *at > now);
        self.must_relist = false;
        entries.retain(|entry| entry.check().is_ok());
        self.drop_over_capacity(&mut entries);
        if is_new_era {
            self.remove_predecessors(&mut entries, now);
        }
        let mut names: Vec<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        names.sort();
        for entry in entries {
            changed |= self.apply_entry(entry, EntrySource::List, now);
        }
        self.register_data_centres_in_use();
        let known = self.replicas.iter().map(|known| known.entry.id.clone());
        let missing: Vec<_> = known.filter(|name| names.binary_search(name).is_err()).collect();
        for name in missing {
            // Also for a replica that stays in use: peers compare the view's position.
            changed = true;
            if is_new_era {
                self.lose_replica(&name, now);
            } else {
                self.remove_replica(&name, now);
            }
        }
        changed
    }

    /// Replaces all replicas with those of a peer, which may have rejected entries as well.
    pub(in crate::direct) fn set_peer_replicas(
        &mut self,
        entries: Vec<ReplicaEntry>,
        position: StorePosition,
        now: Instant,
    ) -> bool {
        let (must_relist, has_rejected) = (self.must_relist, self.has_rejected);
        let changed = self.set_replicas(entries, position, now);
        self.must_relist |= must_relist;
        self.has_rejected |= has_rejected;
        changed
    }

    /// Adds or updates a replica; returns whether a new view is needed.
    ///
    /// Ignores an unusable entry. A replica that restarted or moved gets a new id, so that its
    /// statistics are not reused; a process that comes back has its id again.
    pub fn put_replica(&mut self, entry: ReplicaEntry, now: Instant) -> bool {
        if self.names_service_of(&entry) {
            self.register_data_centre(&entry.data_centre);
        }
        if !self.has_capacity_for(&entry) {
            self.record_rejected();
            return false;
        }
        self.apply_entry(entry, EntrySource::Change, now)
    }

    fn apply_entry(&mut self, mut entry: ReplicaEntry, source: EntrySource, now: Instant) -> bool {
        let Ok(name) = entry.check().and_then(|()| ReplicaName::new(&entry.id)) else {
            return false;
        };
        let drain_kept = self.keeps_drain(&entry);
        entry.draining |= drain_kept;
        let unproven = self.check_departed(&entry, source, now);
        let leaving = self.leaving.contains(&entry.id, entry.started_ms);
        match self.position(&entry.id) {
            Ok(index) => {
                let known = &self.replicas[index];
                let restarted = known.entry.started_ms != entry.started_ms;
                let mut id = known.id;
                if restarted || known.entry.address != entry.address {
                    let former = known.entry.clone();
                    self.record_former(&former, id, now);
                    id = self.assign_id(&entry, now);
                    if restarted {
                        self.record_departure(&former, now);
                    }
                }
                let known = &mut self.replicas[index];
                let unchanged = known.entry.draining == entry.draining
                    && known.entry.address == entry.address
                    && known.entry.service == entry.service
                    && known.entry.slots == entry.slots
                    && known.unproven.is_some() == unproven.is_some()
                    && !restarted;
                known.id = id;
                known.drain_kept = drain_kept;
                known.entry = entry;
                known.expires_at = None;
                known.lost = false;
                known.leaving = leaving;
                known.unproven = unproven;
                !unchanged
            }
            Err(index) => {
                let id = self.assign_id(&entry, now);
                let known = KnownReplica {
                    entry,
                    name,
                    id,
                    drain_kept,
                    expires_at: None,
                    lost: false,
                    leaving,
                    unproven,
                };
                self.replicas.insert(index, known);
                true
            }
        }
    }

    /// Returns whether an entry says ready of a process that drains.
    ///
    /// A process whose drain is listed may take it back itself. After an odd or missing entry, one that
    /// says ready is out of date or of another writer.
    fn keeps_drain(&self, entry: &ReplicaEntry) -> bool {
        let known = self.position(&entry.id).ok().map(|index| &self.replicas[index]);
        let is_listed = known.is_some_and(|known| {
            let is_same = known.entry.started_ms == entry.started_ms;
            is_same && known.expires_at.is_none() && !known.drain_kept
        });
        !entry.draining && !is_listed && self.departures.is_draining(entry, self.era())
    }

    /// Returns the id of the process that wrote an entry, which it may have had before.
    fn assign_id(&mut self, entry: &ReplicaEntry, now: Instant) -> ReplicaId {
        self.former.remove(entry, now).unwrap_or_else(|| {
            self.next_replica += 1;
            ReplicaId::from_index(self.next_replica - 1)
        })
    }

    /// Remembers the id of a process whose entry is not in use any more.
    fn record_former(&mut self, entry: &ReplicaEntry, id: ReplicaId, now: Instant) {
        if self.names_service_of(entry) {
            self.former.insert(entry, id, now);
        }
    }

    /// Records that a call for the replicas begins; calls that are recorded do not overlap.
    pub fn begin_replicas_call(&mut self, now: Instant) {
        self.contact.begin_call(now);
    }

    /// Records the end of a call for the replicas; must precede the changes that it returned.
    pub fn record_replicas_call(&mut self, call: StoreCall, now: Instant) {
        self.contact.record_call(call, now);
        self.extend_lost(now);
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
        self.remove_entry(name, self.contact.grace_end(now), now)
    }

    /// Removes the entry of a replica, which stays in use until `grace_end` unless it drained.
    pub(super) fn remove_entry(&mut self, name: &str, grace_end: Instant, now: Instant) -> bool {
        let Ok(index) = self.position(name) else { return false };
        let known = &mut self.replicas[index];
        let is_departed = known.entry.draining || known.unproven.is_some();
        if is_departed || known.expires_at.is_none() && grace_end <= now {
            let known = self.replicas.remove(index);
            self.record_former(&known.entry, known.id, now);
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
        let is_away = self.contact.is_away();
        let is_expired = |known: &mut KnownReplica| {
            known.expires_at.is_some_and(|at| at <= now) && !(known.lost && is_away)
        };
        let expired: Vec<_> = self.replicas.extract_if(.., is_expired).collect();
        for known in &expired {
            self.record_former(&known.entry, known.id, now);
            self.record_departure(&known.entry, now);
        }
        expired.into_iter().map(|known| known.entry.id).collect()
    }
}
