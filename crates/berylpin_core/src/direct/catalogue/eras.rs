//! Restores of the store from a copy, and what a copy from before may not change.

use super::Catalogue;
use crate::direct::configuration::{DaemonEntry, ReplicaEntry};
use crate::direct::store_era::{AnswerUse, EraChange, StoreEra, StorePosition};
use std::time::{Duration, Instant};

/// An entry that the store still holds after this number of heartbeat intervals was renewed: silent
/// ones are removed after three, and the removal may come somewhat later.
const HEARTBEATS_UNTIL_REMOVAL: u32 = 4;

/// What an entry must show before its replica, which departed before the store was restored, is
/// used again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unproven {
    /// The era of the sequence; another restore may bring back an older copy.
    era: StoreEra,
    /// A higher sequence shows that the replica wrote the entry after the restore.
    sequence: u64,
    /// An entry that the store still holds from then on was renewed.
    until: Instant,
}

/// Where the entry of a replica was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntrySource {
    /// A list, in which entries may come from the copy.
    List,
    /// A change, which was made after the store was restored.
    Change,
}

impl Catalogue {
    /// Records the era that an answer of the store or a peer names; must precede the changes that
    /// come with it.
    ///
    /// After a restore, replicas and daemons may lack entries that they had, as after an outage.
    pub fn observe_era(&mut self, era: StoreEra, now: Instant) -> EraChange {
        let has_state = self.replicas_position.is_some() || self.fleet.position().is_some();
        let before = self.era.newest();
        let change = match self.era.observe(era) {
            EraChange::First if has_state && era > before => EraChange::Restored(before),
            change => change,
        };
        if let EraChange::Restored(_) = change {
            self.contact.record_new_era(now);
            self.extend_lost(now);
            self.fleet.store_recovered(now);
        }
        change
    }

    /// Returns the newest known era of the store.
    pub fn era(&self) -> StoreEra {
        self.era.newest()
    }

    /// Returns the use of an answer, see [`crate::direct::KnownEra::judge`].
    pub fn judge_answer(&self, era: StoreEra, since: Option<StorePosition>) -> AnswerUse {
        self.era.judge(era, since)
    }

    /// Returns whether the replicas must be listed again, because their entries must be newer than
    /// the copy by now, or because some were rejected whose service is named since.
    ///
    /// A renewal alone is no change, so watches do not show it.
    pub fn needs_replica_list(&self, now: Instant) -> bool {
        let unproven = self.replicas.iter().filter_map(|known| known.unproven);
        let mut due = unproven.map(|unproven| unproven.until).chain(self.relist_at);
        self.must_relist || due.any(|at| at <= now)
    }

    /// Returns the entries of other daemons that were not renewed in time.
    ///
    /// Returns none before the daemons were listed in the newest era, because their revisions may
    /// have been given out again.
    pub fn expired_daemons(&self, now: Instant) -> Vec<DaemonEntry> {
        if self.fleet.position().is_none_or(|position| position.era < self.era()) {
            return Vec::new();
        }
        let mut expired = self.fleet.expired(now);
        expired.retain(|entry| entry.name != self.location.daemon);
        expired
    }

    /// Drops the daemons whose entries the store lost and that did not write them again in time;
    /// returns their names.
    pub fn drop_lost_daemons(&mut self, now: Instant) -> Vec<String> {
        self.fleet.drop_lost(now)
    }

    /// Returns the entry of this daemon.
    ///
    /// `None` before the daemons are listed in the newest era, `Some(None)` if this daemon has no
    /// entry.
    pub fn own_entry(&self) -> Option<Option<&DaemonEntry>> {
        let position = self.fleet.position()?;
        (position.era >= self.era()).then(|| self.fleet.stored_entry(&self.location.daemon))
    }

    /// Returns what an entry must show before its replica is used; `None` if it may be used now.
    pub(super) fn check_departed(
        &mut self,
        entry: &ReplicaEntry,
        source: EntrySource,
        now: Instant,
    ) -> Option<Unproven> {
        if entry.draining {
            self.record_departure(entry, now);
            return None;
        }
        let Some(departed) = self.departures.sequence_before(entry, self.era()) else {
            // The replica departed and came back in the same era.
            self.departures.remove(entry);
            return None;
        };
        let known = self.position(&entry.id).ok().map(|index| &self.replicas[index]);
        let before = known
            .filter(|known| known.entry.started_ms == entry.started_ms)
            .and_then(|known| known.unproven)
            .filter(|before| before.era == self.era());
        let proven = match (before, source) {
            (Some(before), _) => entry.sequence > before.sequence || before.until <= now,
            // The sequence at the departure is a lower bound: the copy may hold a higher one.
            (None, EntrySource::List) => false,
            (None, EntrySource::Change) => entry.sequence > departed,
        };
        if proven {
            self.departures.remove(entry);
            return None;
        }
        let (sequence, until) = (departed.max(entry.sequence), now + self.removal_time());
        Some(before.unwrap_or(Unproven { era: self.era(), sequence, until }))
    }

    /// Removes the entries of processes whose names later ones have taken from the first list after
    /// a restore.
    pub(super) fn remove_predecessors(&mut self, entries: &mut Vec<ReplicaEntry>, now: Instant) {
        let count = entries.len();
        entries.retain(|entry| {
            let known = self.position(&entry.id).ok().map(|index| &self.replicas[index].entry);
            known.is_none_or(|known| known.started_ms <= entry.started_ms)
        });
        if entries.len() < count {
            self.relist_at = Some(now + self.removal_time());
        }
    }

    /// Removes a replica whose entry the first list after a restore lacks.
    ///
    /// It has the whole grace time: the store is known to have lost entries, so that no silent
    /// connection explains what is missing.
    pub(super) fn lose_replica(&mut self, name: &str, now: Instant) {
        let grace_end = self.contact.lost_grace_end(now);
        self.remove_entry(name, grace_end, now);
        if let Ok(index) = self.position(name) {
            self.replicas[index].lost = true;
        }
    }

    /// Gives the replicas that the store lost the whole grace time after the end of an outage.
    pub(super) fn extend_lost(&mut self, now: Instant) {
        if self.contact.returned_at() == Some(now) {
            let grace_end = self.contact.lost_grace_end(now);
            let lost = self.replicas.iter_mut().filter(|known| known.lost);
            lost.for_each(|known| known.expires_at = Some(grace_end));
        }
    }

    /// Returns how long an entry is stored without a renewal.
    fn removal_time(&self) -> Duration {
        self.heartbeat * HEARTBEATS_UNTIL_REMOVAL
    }

    /// Remembers the process that wrote an entry, so that neither a copy of the store nor another
    /// writer brings it back.
    ///
    /// Entries of services that no configuration names are of any writers, and would take the room.
    pub(super) fn record_departure(&mut self, entry: &ReplicaEntry, now: Instant) {
        if !self.may_be_named(&entry.service) {
            return;
        }
        self.departures.insert(entry, self.era(), now);
    }
}

#[cfg(test)]
mod tests;
