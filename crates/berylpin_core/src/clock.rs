//! The clock interface, implemented by the shell.

use std::time::{Instant, SystemTime};

/// A source of time; tests supply a virtual clock.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, for timestamps in logs and other output for people.
    fn wall(&self) -> SystemTime;
}
