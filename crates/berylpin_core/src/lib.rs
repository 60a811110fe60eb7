//! Decision logic of the berylpin query tier, without I/O.
//!
//! Each component is a state machine: it handles a typed event at the given time and appends typed
//! actions to a caller-provided buffer. Sockets, files, timers and threads belong to the shell (the
//! daemon around this crate), so tests, benchmarks and other front ends can drive the same code.

pub mod arena;
pub mod clock;
pub mod config;
pub mod control;
pub mod decision;
pub mod direct;
pub mod execute;
pub mod ids;
mod latency;
pub mod limits;
pub mod message;
pub mod query;
pub mod rank;
pub mod replica;
mod timers;
pub mod verdict;
