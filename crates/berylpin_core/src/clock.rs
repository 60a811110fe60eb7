//! The clock that the shell passes in.

use std::time::{Instant, SystemTime};

/// A source of time; tests pass their own.
pub trait Clock: Send + Sync {
    /// Returns monotonic time.
    fn now(&self) -> Instant;
    /// Returns wall time, for stamps that people read.
    fn wall(&self) -> SystemTime;
}
