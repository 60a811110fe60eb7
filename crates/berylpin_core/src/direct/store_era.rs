//! The store's eras: the store may come back from a copy some seconds old, which lacks its last
//! changes, and gives their revisions to other changes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How often the store has come back from a copy; revisions are unique only within an era.
///
/// The default stands for a store that names no era, and is the lowest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A position in the history of the store, ordered by era first.
///
/// The default is the position of incomplete state: any complete state is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StorePosition {
    /// The era in which the store gave out the revision.
    pub era: StoreEra,
    /// The revision.
    pub revision: u64,
}

impl StorePosition {
    /// A position that no state is newer than.
    pub const MAX: Self = Self { era: StoreEra(u64::MAX), revision: u64::MAX };
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

/// What an answer shows about the store's era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The era is not newer than the known one.
    None,
    /// The era is the first one that is known.
    First,
    /// The store came back from a copy; holds the era that was known before.
    Restored(StoreEra),
}

/// Whether an answer of the store may be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerUse {
    /// The answer continues the state that it was asked for.
    Apply,
    /// The answer is of another era than the state that it was asked for, which must be listed
    /// anew.
    ListAnew,
    /// The answer is of an era before the newest known one.
    Discard,
}

/// The newest era that is known; never decreases.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownEra {
    /// `None` before an answer has named an era.
    newest: Option<StoreEra>,
}

impl KnownEra {
    /// Records the era that an answer or a peer names.
    pub fn observe(&mut self, era: StoreEra) -> EraChange {
        match self.newest {
            Some(known) if era <= known => EraChange::None,
            Some(known) => {
                self.newest = Some(era);
                EraChange::Restored(known)
            }
            None => {
                self.newest = Some(era);
                EraChange::First
            }
        }
    }

    /// Returns the newest known era.
    pub fn newest(&self) -> StoreEra {
        self.newest.unwrap_or_default()
    }

    /// Returns the use of an answer of `era` to a call for the changes after `since`, or for a list
    /// if `since` is `None`.
    pub fn judge(&self, era: StoreEra, since: Option<StorePosition>) -> AnswerUse {
        if era < self.newest() {
            AnswerUse::Discard
        } else if since.is_some_and(|since| since.era != era) {
            AnswerUse::ListAnew
        } else {
            AnswerUse::Apply
        }
    }
}

#[cfg(test)]
mod tests;
