//! The entry side of a query: snapshot choice, fan-out, hedges and retries, merge, coverage and
//! deadline.

mod answer;
mod attempts;
mod coordinator;
mod event;
mod hedge;
mod outbox;
mod owners;
mod progress;
mod replicas;
mod reroute;
mod snapshot;
mod state;
mod target_state;

pub use answer::{Answer, Coverage, Missing, Refusal, RefusalReason};
pub use coordinator::Coordinator;
pub use event::{Action, Event, Request, Ticket};
