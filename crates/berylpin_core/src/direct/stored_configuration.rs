//! The configuration that the store holds, which may be older than the one in force.

use super::store_era::{StoreEra, StorePosition};

/// The newest known state of the configuration in the store.
///
/// A copy of the store may hold an older version than the one in force, or none. An answer of such
/// a store does not show that the version in force is the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoredConfiguration {
    /// The position of the object's last change, or of the list without it.
    position: StorePosition,
    /// `None` if the store holds no configuration, or before it was read.
    version: Option<u64>,
}

impl StoredConfiguration {
    /// Records the version in the store as of a position, `None` if there is none; ignores an older
    /// position than the known one.
    pub fn record(&mut self, position: StorePosition, version: Option<u64>) {
        if position >= self.position {
            *self = Self { position, version };
        }
    }

    /// Returns whether an answer in `era` without newer changes confirms the version in force.
    pub fn confirms(&self, in_force: Option<u64>, era: StoreEra) -> bool {
        in_force.is_none() || self.version == in_force && self.position.era == era
    }

    /// Returns the version in the store.
    pub fn version(&self) -> Option<u64> {
        self.version
    }
}

#[cfg(test)]
mod tests;
