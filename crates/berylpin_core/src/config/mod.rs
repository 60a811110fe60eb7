//! Service documents: what operators write, checked into what the system uses.

mod drain;
mod duration;
mod section;
mod service;

pub use drain::set_drain;
pub use duration::{DurationText, parse_duration};
pub use section::{ADDRESS, COUNT, FLAG, NUMBER, Placed, Problem, Problems, Section, TEXT};
pub use service::{DOCUMENT_LIMIT, DocumentError, ReplicaSettings, ServiceSettings, ShardSettings};
