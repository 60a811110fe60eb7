//! Log levels and the sampling of decisions, which can be changed while the daemon runs.

use berylpin_core::ids::QueryTag;
use slog::{Level, Record};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use thiserror::Error;

/// The parts of the daemon that write log lines, sorted; a line starts with its part and a colon.
pub const LOG_PARTS: [&str; 10] = [
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

/// Why a log level cannot be set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LevelError {
    /// No part has that name.
    #[error("`{0}` is not a part; use one of {parts}", parts = LOG_PARTS.join(", "))]
    UnknownPart(String),
    /// No level has that name.
    #[error("`{0}` is not a level; use error, warn, info, debug or trace")]
    UnknownLevel(String),
}

/// The log level of each part and the share of queries whose decisions are logged.
#[derive(Clone)]
pub struct LogLevels {
    shared: Arc<Shared>,
}

/// State shared by all clones.
struct Shared {
    /// Indexed like `LOG_PARTS`; each value is a `Level::as_usize`.
    levels: [AtomicUsize; LOG_PARTS.len()],
    /// The decisions of one query in this many are logged; never 0.
    sample_divisor: AtomicU32,
}

impl Default for LogLevels {
    fn default() -> Self {
        let levels = LOG_PARTS.map(|_| AtomicUsize::new(Level::Debug.as_usize()));
        Self { shared: Arc::new(Shared { levels, sample_divisor: AtomicU32::new(1) }) }
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
    /// Returns the unknown name and the valid ones.
    pub fn set(&self, part: &str, level: &str) -> Result<(), LevelError> {
        let index =
            LOG_PARTS.binary_search(&part).map_err(|_| LevelError::UnknownPart(part.to_owned()))?;
        let level = match level {
            "error" => Level::Error,
            "warn" => Level::Warning,
            "info" => Level::Info,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => return Err(LevelError::UnknownLevel(level.to_owned())),
        };
        self.shared.levels[index].store(level.as_usize(), Ordering::Relaxed);
        Ok(())
    }

    /// Logs the decisions of one query in `divisor`; 0 counts as 1.
    pub fn set_sample_divisor(&self, divisor: u32) {
        self.shared.sample_divisor.store(divisor.max(1), Ordering::Relaxed);
    }

    /// Returns whether the decisions of a query are logged; daemons with the same divisor select
    /// the same queries.
    pub(crate) fn is_sampled(&self, query: QueryTag) -> bool {
        let divisor = self.shared.sample_divisor.load(Ordering::Relaxed);
        ((query.0 >> 32) as u32).is_multiple_of(divisor)
    }

    /// Returns whether a record is logged; a record without a known part always is.
    pub(crate) fn is_enabled(&self, record: &Record<'_>) -> bool {
        let part = record.msg().as_str().and_then(|msg| msg.split_once(':')).map(|(part, _)| part);
        let index = part.and_then(|part| LOG_PARTS.binary_search(&part).ok());
        index.is_none_or(|index| {
            record.level().as_usize() <= self.shared.levels[index].load(Ordering::Relaxed)
        })
    }
}

#[cfg(test)]
mod tests;
