//! The three ranks of work.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How urgent a request is; orders from most to least urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// A person waits at a release station or before a pour.
    Urgent,
    /// A person waits at a desk.
    Standard,
    /// Nobody waits.
    Background,
}

impl Rank {
    /// How many ranks there are.
    pub const COUNT: usize = 3;
    /// All ranks, the most urgent first.
    pub const ALL: [Self; Self::COUNT] = [Self::Urgent, Self::Standard, Self::Background];

    /// Returns the index into arrays that hold one entry a rank.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in documents, requests and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Background => "background",
        }
    }

    /// Finds the rank with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.name() == name)
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
