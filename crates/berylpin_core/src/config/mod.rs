//! Service documents: what operators write, checked into what the system uses.

mod duration;
mod section;
mod service;

pub use duration::{DurationText, parse_duration};
pub use section::{Placed, Problem, Problems, Section};
pub use service::{DocumentError, ReplicaSettings, ServiceOptions, ServiceSettings, ShardSettings};
