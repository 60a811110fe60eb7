//! Exchange of the control state between daemons while some of them cannot reach the store.

use super::catalogue::Catalogue;
use super::configuration::{Configuration, DaemonEntry, ReplicaEntry};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// The revisions of a daemon's control state; `None` for a kind that it has not received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRevisions {
    /// The version of the configuration in force.
    pub version: Option<u64>,
    /// The store's revision at which the replicas are current.
    pub replicas: Option<u64>,
    /// The store's revision at which the daemons are current.
    pub daemons: Option<u64>,
}

impl StateRevisions {
    /// Returns the revisions with which a daemon asks for the configuration alone.
    #[must_use]
    pub fn with_newest_entries(self) -> Self {
        Self { replicas: Some(u64::MAX), daemons: Some(u64::MAX), ..self }
    }
}

/// The control state that is newer on one daemon than on another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateDelta {
    /// The configuration, if it is newer.
    pub configuration: Option<Configuration>,
    /// The revision and all replicas, if they are newer.
    pub replicas: Option<(u64, Vec<ReplicaEntry>)>,
    /// The revision and all daemons, if they are newer.
    pub daemons: Option<(u64, Vec<DaemonEntry>)>,
}

impl Catalogue {
    /// Returns the revisions of this daemon's state.
    pub fn revisions(&self) -> StateRevisions {
        StateRevisions {
            version: self.version(),
            replicas: self.replicas_revision(),
            daemons: self.fleet.revision(),
        }
    }

    /// Returns the state that is newer than the `known` revisions.
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

    /// Applies the state of another daemon; returns whether anything changed.
    ///
    /// Ignores state that is not newer; a delayed reply may be older than the state of this daemon.
    pub fn apply_delta(&mut self, delta: StateDelta, now: Instant) -> bool {
        let own = self.revisions();
        let mut changed = delta.configuration.is_some_and(|newer| self.apply_configuration(newer));
        if let Some((revision, entries)) = delta.replicas
            && Some(revision) > own.replicas
        {
            // Peers are asked only while the store is unreachable.
            self.record_peer_replicas();
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
