//! Stand-ins of the platform, the upstreams, the network and the callers, for tests, experiments
//! and the demo.

pub mod charges;
pub mod checker;
pub mod http_server;
pub mod ledger;
pub mod load;
pub mod net;
pub mod platform;
pub mod ports;
pub mod simulation;
pub mod sites;
pub mod upstream;
