//! Daemons on the users' platform, run as processes against stand-ins for store and replicas.

mod connections;
mod long_bodies;
mod odd_entries;
mod planned_stop;
mod process;
mod replicas_in_trouble;
mod silent_store;
mod soak;
mod store_outage;
mod store_restore;
mod truncated_heads;
