//! The owner side of a replica: slots, queue, probes and what upstreams say.

mod owner;

pub use owner::{Action, Call, CallKey, CallResult, Event, Owner, Probe, ProbeResult};
