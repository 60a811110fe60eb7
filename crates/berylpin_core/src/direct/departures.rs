//! Replicas that have departed, by a drain or a removal of their entries. A copy of the store from
//! before a departure still lists the replica as ready.

use super::configuration::ReplicaEntry;
use super::store_era::StoreEra;
use std::time::{Duration, Instant};

/// How long a departure is kept; a copy is some seconds old.
const RETENTION: Duration = Duration::from_mins(15);

/// The maximum number of departures; the oldest are dropped first.
const MAX_DEPARTURES: usize = 4096;

/// The departure of one replica process.
#[derive(Debug)]
struct Departure {
    replica: String,
    /// Distinguishes the process from a later one of the same name.
    started_ms: u64,
    /// The highest sequence that was read; the replica may have written higher ones since, which
    /// cause no change.
    sequence: u64,
    /// The era in which the departure was learned.
    era: StoreEra,
    /// Whether the replica reported in this era that it drains.
    draining: bool,
    learned: Instant,
}

/// The replica processes that departed.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Sorted by replica and start.
    departures: Vec<Departure>,
}

impl Departures {
    /// Adds the process that wrote an entry.
    pub(super) fn insert(&mut self, entry: &ReplicaEntry, era: StoreEra, now: Instant) {
        self.departures.retain(|d| now.saturating_duration_since(d.learned) < RETENTION);
        let sequence = entry.sequence;
        match self.position(&entry.id, entry.started_ms) {
            Ok(index) => {
                let departure = &mut self.departures[index];
                departure.draining = entry.draining || departure.draining && departure.era == era;
                departure.sequence = departure.sequence.max(sequence);
                departure.era = era;
                departure.learned = now;
            }
            Err(index) => {
                let (replica, started_ms) = (entry.id.clone(), entry.started_ms);
                let draining = entry.draining;
                let departure =
                    Departure { replica, started_ms, sequence, era, draining, learned: now };
                self.departures.insert(index, departure);
                self.drop_oldest();
            }
        }
    }

    /// Forgets a process, which has written its entry again.
    pub(super) fn remove(&mut self, entry: &ReplicaEntry) {
        if let Ok(index) = self.position(&entry.id, entry.started_ms) {
            self.departures.remove(index);
        }
    }

    /// Returns whether the process that wrote an entry has reported in an era that it drains.
    pub(super) fn is_draining(&self, entry: &ReplicaEntry, era: StoreEra) -> bool {
        self.position(&entry.id, entry.started_ms).is_ok_and(|index| {
            let departure = &self.departures[index];
            departure.draining && departure.era == era
        })
    }

    /// Returns the highest known sequence of the process that wrote an entry, if it departed in an
    /// era before `era`.
    pub(super) fn sequence_before(&self, entry: &ReplicaEntry, era: StoreEra) -> Option<u64> {
        let index = self.position(&entry.id, entry.started_ms).ok()?;
        let departure = &self.departures[index];
        (departure.era < era).then_some(departure.sequence)
    }

    fn drop_oldest(&mut self) {
        if self.departures.len() <= MAX_DEPARTURES {
            return;
        }
        let oldest = self.departures.iter().enumerate().min_by_key(|(_, d)| d.learned);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.departures.remove(index);
        }
    }

    fn position(&self, replica: &str, started_ms: u64) -> Result<usize, usize> {
        self.departures
            .binary_search_by(|d| (d.replica.as_str(), d.started_ms).cmp(&(replica, started_ms)))
    }
}

#[cfg(test)]
mod tests;
