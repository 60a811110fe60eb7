//! The entry side of a query: snapshot choice, fan-out, merge, coverage and deadline.

mod answer;
mod coordinator;
mod snapshot;

pub use answer::{Answer, Coverage, Missing, Refusal, RefusalReason};
pub use coordinator::{Action, Coordinator, Event, Request, Ticket};
