//! The owner side of a replica: slots, ranked queue, load shedding, ejection, probes and drain.

mod calls;
mod execution;
mod health;
mod job;
mod latency;
mod owner;
mod probes;
mod queue;
mod requests;
mod shares;
mod shedding;
mod slots;
mod snapshots;
mod state;

pub use calls::{Call, CallKey, CallResult};
pub use execution::Availability;
pub use owner::{Action, Event, Owner};
pub use probes::{Probe, ProbeResult};
