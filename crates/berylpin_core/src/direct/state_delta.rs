//! What daemons tell each other while some of them cannot reach the store.

use super::catalogue::Catalogue;
use super::configuration::{Configuration, DaemonEntry, ReplicaEntry};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// How far a daemon's knowledge of the store goes; `None` where it knows nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRevisions {
    /// The version of the configuration in force.
    pub version: Option<u64>,
    /// The store's revision that the replicas hold at.
    pub replicas: Option<u64>,
    /// The store's revision that the daemons hold at.
    pub daemons: Option<u64>,
}

/// What one daemon knows that another does not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateDelta {
    /// A newer configuration.
    pub configuration: Option<Configuration>,
    /// All replicas at a newer revision.
    pub replicas: Option<(u64, Vec<ReplicaEntry>)>,
    /// All daemons at a newer revision.
    pub daemons: Option<(u64, Vec<DaemonEntry>)>,
}

impl Catalogue {
    /// Returns how far this daemon's knowledge goes.
    pub fn revisions(&self) -> StateRevisions {
        StateRevisions {
            version: self.version(),
            replicas: self.replicas_revision(),
            daemons: self.fleet.revision(),
        }
    }

    /// Returns what a daemon does not know whose knowledge goes as far as `progress`.
    pub fn delta_since(&self, known: StateRevisions) -> StateDelta {
        let own = self.revisions();
        let newer = |own: Option<u64>, other: Option<u64>| own.filter(|own| Some(*own) > other);
        StateDelta {
            configuration: newer(own.version, known.version)
                .and_then(|_| self.configuration().cloned()),
            replicas: newer(own.replicas, known.replicas)
                .map(|revision| (revision, self.replica_entries())),
            daemons: newer(own.daemons, known.daemons).map(|revision| {
                (revision, self.fleet.daemons().map(|(entry, _)| entry.clone()).collect())
            }),
        }
    }

    /// Takes what another daemon knew; returns whether anything changed.
    ///
    /// The answer may have been under way for long, so nothing older than what is known is taken.
    pub fn apply_delta(&mut self, delta: StateDelta, now: Instant) -> bool {
        let own = self.revisions();
        let mut changed = delta.configuration.is_some_and(|newer| self.apply_configuration(newer));
        if let Some((revision, entries)) = delta.replicas
            && Some(revision) > own.replicas
        {
            changed |= self.set_replicas(entries, revision, now);
        }
        if let Some((revision, entries)) = delta.daemons
            && Some(revision) > own.daemons
        {
            changed |= self.set_daemons(entries, revision, now);
        }
        changed
    }
}

#[cfg(test)]
mod tests;
