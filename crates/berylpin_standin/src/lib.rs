//! Small stand-ins for what surrounds the system: the platform, upstreams and callers.

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
