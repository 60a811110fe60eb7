//! Service documents: what operators write, checked into what the system uses.

mod duration;
mod service;

pub use duration::{DurationText, parse_duration};
pub use service::{
    DocumentError, ReplicaSettings, ServiceOptions, ServiceSettings, ShardOptions, ShardSettings,
};
