//! Decisions of the berylpin query tier, without input or output.
//!
//! Every part is a state machine: a typed event and the current time go in, typed actions are
//! appended to a buffer that the caller passes in. Sockets, files, timers and threads belong to
//! the shell, so a test, a benchmark or another front end can drive the same code.

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
