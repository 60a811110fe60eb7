//! The verdict on a request: not run, may have run, or ran.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What is known about whether a request ran at an upstream.
///
/// Ordered by certainty that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No upstream ran the request: no byte of the request was sent to one, or the request was
    /// refused before execution.
    NotRun,
    /// An upstream may have run the request; there is no proof that none did.
    MayHaveRun,
    /// An upstream ran the request.
    Ran,
}

impl Verdict {
    /// Returns the combined verdict of two attempts at the same request.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Returns the name used in answers and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
