//! The daemon on the users' platform, with direct routing: a control thread, which watches the
//! store, and a traffic thread, which serves callers and sends requests to replicas.

mod attempt;
mod body;
mod bounded_stream;
mod caller;
mod connections;
mod control;
mod decision_log;
mod delivery;
mod disconnect;
mod failure;
mod lifecycle;
mod links;
mod peer_versions;
mod peers;
mod pool;
mod process;
mod status;
mod streams;
mod traffic;

pub use lifecycle::run_on_platform;
