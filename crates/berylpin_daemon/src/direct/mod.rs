//! The daemon on the users' platform: one control thread, which follows the store, and one traffic
//! thread, which serves callers and sends to replicas itself.

mod attempt;
mod caller;
mod control;
mod decision_log;
mod links;
mod peers;
mod pool;
mod process;
mod status;
mod streams;
mod traffic;

pub use process::{RunError, run_on_platform};
