//! Whether a request may have run.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Says whether a request that got no result may have run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No upstream ran it: no byte was written, or it was refused before execution.
    NotRun,
    /// Nothing proves that it did not run.
    MayHaveRun,
    /// An upstream ran it.
    Ran,
}

impl Verdict {
    /// Returns the verdict over two attempts at the same request.
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
