//! The ids of replica processes whose entries are not in use.
//!
//! What traffic threads know of a process, such as a pause that it asked for, belongs to its id. An
//! entry may be removed and come back, or be odd for a while, so a process keeps its id meanwhile.

use super::configuration::ReplicaEntry;
use crate::ids::ReplicaId;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an id is kept; no pause lasts longer.
pub(super) const RETENTION: Duration = Duration::from_mins(15);

/// The maximum number of processes; the oldest are dropped first.
const MAX_PROCESSES: usize = 4096;

/// A process whose entry is not in use.
#[derive(Debug)]
struct FormerProcess {
    replica: String,
    /// Distinguishes the process from a later one of the same name.
    started_ms: u64,
    /// Another one would be reached at another address.
    address: SocketAddr,
    id: ReplicaId,
    /// When the entry was last in use.
    used: Instant,
}

/// The replica processes whose entries are not in use.
#[derive(Debug, Default)]
pub(super) struct FormerProcesses {
    /// Sorted by replica, start and address.
    processes: Vec<FormerProcess>,
}

impl FormerProcesses {
    /// Adds the process that wrote an entry.
    pub(super) fn insert(&mut self, entry: &ReplicaEntry, id: ReplicaId, now: Instant) {
        self.processes.retain(|p| now.saturating_duration_since(p.used) < RETENTION);
        match self.position(entry) {
            Ok(index) => {
                let process = &mut self.processes[index];
                (process.id, process.used) = (id, now);
            }
            Err(index) => {
                let (replica, started_ms, address) =
                    (entry.id.clone(), entry.started_ms, entry.address);
                let process = FormerProcess { replica, started_ms, address, id, used: now };
                self.processes.insert(index, process);
                self.drop_oldest();
            }
        }
    }

    /// Removes the process that wrote an entry; returns its id.
    pub(super) fn remove(&mut self, entry: &ReplicaEntry, now: Instant) -> Option<ReplicaId> {
        let process = self.processes.remove(self.position(entry).ok()?);
        let is_kept = now.saturating_duration_since(process.used) < RETENTION;
        is_kept.then_some(process.id)
    }

    fn drop_oldest(&mut self) {
        if self.processes.len() <= MAX_PROCESSES {
            return;
        }
        let oldest = self.processes.iter().enumerate().min_by_key(|(_, p)| p.used);
        if let Some(index) = oldest.map(|(index, _)| index) {
            self.processes.remove(index);
        }
    }

    fn position(&self, entry: &ReplicaEntry) -> Result<usize, usize> {
        let key = (entry.id.as_str(), entry.started_ms, entry.address);
        self.processes.binary_search_by(|p| (p.replica.as_str(), p.started_ms, p.address).cmp(&key))
    }
}

#[cfg(test)]
mod tests;
