//! Service documents: the TOML that operators write, and its validated form.

mod drain;
mod duration;
mod section;
mod service;

pub use drain::set_drain;
pub use duration::{DurationText, parse_duration};
pub use section::{
    EXPECTED_ADDRESS, EXPECTED_BOOL, EXPECTED_INTEGER, EXPECTED_NUMBER, EXPECTED_STRING, Located,
    Problem, Problems, Section,
};
pub use service::{
    DocumentError, MAX_DOCUMENT_BYTES, ReplicaSettings, ServiceSettings, ShardSettings,
};
