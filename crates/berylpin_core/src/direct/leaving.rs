//! Replicas that announced in an answer that they leave.

use std::time::{Duration, Instant};

/// How long an announcement is kept; a process exits much sooner after it.
const RETENTION: Duration = Duration::from_mins(15);

/// The maximum number of announcements; the oldest are dropped first.
const MAX_ANNOUNCEMENTS: usize = 4096;

/// The announcement of one replica process.
#[derive(Debug)]
struct Announcement {
    replica: String,
    /// Distinguishes the process from a later one of the same name.
    started_ms: u64,
    received: Instant,
}

/// The replica processes that leave.
///
/// They are kept apart from the replicas' entries: an entry may be removed and come back, or still
/// say that the replica is ready.
#[derive(Debug, Default)]
pub(super) struct LeavingReplicas {
    /// Sorted by replica and start.
    announcements: Vec<Announcement>,
}

impl LeavingReplicas {
    /// Adds a process.
    pub(super) fn insert(&mut self, replica: &str, started_ms: u64, now: Instant) {
        self.announcements.retain(|a| now.saturating_duration_since(a.received) < RETENTION);
        if self.announcements.len() >= MAX_ANNOUNCEMENTS {
            let oldest = self.announcements.iter().enumerate().min_by_key(|(_, a)| a.received);
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.announcements.remove(index);
            }
        }
        if let Err(index) = self.position(replica, started_ms) {
            let announcement =
                Announcement { replica: replica.to_owned(), started_ms, received: now };
            self.announcements.insert(index, announcement);
        }
    }

    /// Returns whether a process leaves.
    pub(super) fn contains(&self, replica: &str, started_ms: u64) -> bool {
        self.position(replica, started_ms).is_ok()
    }

    fn position(&self, replica: &str, started_ms: u64) -> Result<usize, usize> {
        self.announcements
            .binary_search_by(|a| (a.replica.as_str(), a.started_ms).cmp(&(replica, started_ms)))
    }
}

#[cfg(test)]
mod tests;
