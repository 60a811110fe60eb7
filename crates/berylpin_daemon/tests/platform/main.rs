//! Daemons of the users' platform, run as processes on stand-ins.

mod connections;
mod process;
mod soak;
mod store_outage;
