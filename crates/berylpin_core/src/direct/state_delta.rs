//! Exchange of the control state between daemons while some of them cannot reach the store.

use super::catalogue::Catalogue;
use super::configuration::{Configuration, DaemonEntry, ReplicaEntry};
use super::store_era::{StoreEra, StorePosition};
use std::time::Instant;

/// The positions of a daemon's control state; `None` for a kind that it has not received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateRevisions {
    /// The version of the configuration in force.
    pub version: Option<u64>,
    /// The position in the store at which the replicas are current.
    pub replicas: Option<StorePosition>,
    /// The position in the store at which the daemons are current.
    pub daemons: Option<StorePosition>,
    /// The newest known era of the store.
    pub era: StoreEra,
}

impl StateRevisions {
    /// Returns the positions with which a daemon asks for the configuration alone.
    #[must_use]
    pub fn with_newest_entries(self) -> Self {
        let newest = Some(StorePosition::MAX);
        Self { replicas: newest, daemons: newest, ..self }
    }
}

/// The control state that is newer on one daemon than on another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateDelta {
    /// The configuration, if it is newer.
    pub configuration: Option<Configuration>,
    /// The position and all replicas, if they are newer.
    pub replicas: Option<(StorePosition, Vec<ReplicaEntry>)>,
    /// The position and all daemons, if they are newer.
    pub daemons: Option<(StorePosition, Vec<DaemonEntry>)>,
    /// The newest era of the store that the sender knows.
    pub era: StoreEra,
}

impl Catalogue {
    /// Returns the positions of this daemon's state.
    pub fn revisions(&self) -> StateRevisions {
        StateRevisions {
            version: self.version(),
            replicas: self.replicas_position(),
            daemons: self.fleet.position(),
            era: self.era(),
        }
    }

    /// Returns the state that is newer than the `known` positions.
    pub fn delta_since(&self, known: StateRevisions) -> StateDelta {
        let own = self.revisions();
        let newer = |own: Option<StorePosition>, other| own.filter(|own| Some(*own) > other);
        StateDelta {
            configuration: self.configuration().filter(|_| own.version > known.version).cloned(),
            replicas: newer(own.replicas, known.replicas)
                .map(|position| (position, self.replica_entries())),
            daemons: newer(own.daemons, known.daemons)
                .map(|position| (position, self.fleet.stored_entries().cloned().collect())),
            era: own.era,
        }
    }

    /// Applies the state of another daemon, whose era must have been observed; returns whether
    /// anything changed.
    ///
    /// Ignores state that is not newer, and entries of an era before the newest known one; a delayed
    /// reply may be older than the state of this daemon.
    pub fn apply_delta(&mut self, delta: StateDelta, now: Instant) -> bool {
        let own = self.revisions();
        let is_newer = |position: StorePosition, known: Option<StorePosition>| {
            position.era >= own.era && Some(position) > known
        };
        let mut changed = delta.configuration.is_some_and(|newer| self.apply_configuration(newer));
        if let Some((position, entries)) = delta.replicas
            && is_newer(position, own.replicas)
        {
            // Peers are asked only while the store is unreachable.
            self.record_peer_replicas();
            changed |= self.set_peer_replicas(entries, position, now);
        }
        if let Some((position, entries)) = delta.daemons
            && is_newer(position, own.daemons)
        {
            changed |= self.set_daemons(entries, position, now);
        }
        changed
    }
}

#[cfg(test)]
mod tests;
