//! Which log lines are written; changeable while the daemon runs.

use berylpin_core::ids::QueryTag;
use slog::{Level, Record};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use thiserror::Error;

/// The parts that write log lines, sorted; a line starts with its part and a colon.
pub const PARTS: [&str; 10] = [
    "admin",
    "control",
    "daemon",
    "execute",
    "link",
    "membership",
    "owner",
    "placement",
    "query",
    "route",
];

/// Why a level is not set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LevelError {
    /// No part has that name.
    #[error("`{0}` is not a part; use one of {parts}", parts = PARTS.join(", "))]
    UnknownPart(String),
    /// No level has that name.
    #[error("`{0}` is not a level; use error, warn, info, debug or trace")]
    UnknownLevel(String),
}

/// The level of each part and the share of queries whose decisions are written.
#[derive(Clone)]
pub struct LogLevels {
    shared: Arc<Shared>,
}

struct Shared {
    /// Indexed like `PARTS`; holds `Level::as_usize`.
    levels: [AtomicUsize; PARTS.len()],
    /// One query in this many has its decisions written; never 0.
    sample: AtomicU32,
}

impl Default for LogLevels {
    fn default() -> Self {
        let levels = PARTS.map(|_| AtomicUsize::new(Level::Debug.as_usize()));
        Self { shared: Arc::new(Shared { levels, sample: AtomicU32::new(1) }) }
    }
}

impl fmt::Debug for LogLevels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogLevels").finish_non_exhaustive()
    }
}

impl LogLevels {
    /// Sets the level of a part.
    ///
    /// # Errors
    ///
    /// Returns which name is unknown and what is allowed.
    pub fn set(&self, part: &str, level: &str) -> Result<(), LevelError> {
        let at =
            PARTS.binary_search(&part).map_err(|_| LevelError::UnknownPart(part.to_owned()))?;
        let level = match level {
            "error" => Level::Error,
            "warn" => Level::Warning,
            "info" => Level::Info,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => return Err(LevelError::UnknownLevel(level.to_owned())),
        };
        self.shared.levels[at].store(level.as_usize(), Ordering::Relaxed);
        Ok(())
    }

    /// Writes the decisions of one query in `queries`; 0 counts as 1.
    pub fn set_sample(&self, queries: u32) {
        self.shared.sample.store(queries.max(1), Ordering::Relaxed);
    }

    /// Returns whether the decisions of a query are written; every daemon picks the same queries.
    pub(crate) fn samples(&self, query: QueryTag) -> bool {
        let sample = self.shared.sample.load(Ordering::Relaxed);
        ((query.0 >> 32) as u32).is_multiple_of(sample)
    }

    /// Returns whether a record is written; one without a known part always is.
    pub(crate) fn allow(&self, record: &Record<'_>) -> bool {
        let part = record.msg().as_str().and_then(|msg| msg.split_once(':')).map(|(part, _)| part);
        let at = part.and_then(|part| PARTS.binary_search(&part).ok());
        at.is_none_or(|at| {
            record.level().as_usize() <= self.shared.levels[at].load(Ordering::Relaxed)
        })
    }
}

#[cfg(test)]
mod tests;
