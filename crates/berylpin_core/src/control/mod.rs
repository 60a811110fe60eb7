//! Control state: which services, replicas and daemons there are, and who owns what.

mod placement;
mod topology;
mod view;

pub use placement::place;
pub use topology::{Group, Replica, Service, Shard, Topology};
pub use view::{Member, View};
