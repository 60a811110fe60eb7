//! The three ranks of requests.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The urgency of a request; `Ord` places the most urgent rank first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Interactive requests whose delay holds up time-critical work.
    Urgent,
    /// All other interactive requests: a person is waiting for the result.
    Standard,
    /// Batch requests: nobody is waiting for the result.
    Background,
}

impl Rank {
    /// The number of ranks.
    pub const COUNT: usize = 3;
    /// All ranks, most urgent first.
    pub const ALL: [Self; Self::COUNT] = [Self::Urgent, Self::Standard, Self::Background];

    /// Returns the index into arrays with one element per rank.
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

    /// Returns the rank with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.name() == name)
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
