//! At-most-once execution of non-idempotent requests.
//!
//! An idempotency key names the daemon thread that issued it. A key is *started* when that thread,
//! the *holder*, accepts the first request with it, and *closed* once the holder refuses to start
//! it. Only the holder starts the key, so running its request twice would require two processes
//! that drew the same random incarnation. The [`Forwarder`] of the entry sends a request to the
//! holder of its key, the [`Holder`] sends an attempt to the owner of one replica, and the
//! [`Runner`] of the owner calls the upstream.

mod answer;
mod forward;
mod holder;
mod key;
mod message;
mod replay;
mod run;
mod table;

pub use answer::{Answer, Execution, Refusal, RefusalReason};
pub use forward::{Event as ForwardEvent, Forwarder, Request};
pub use holder::{Event as HolderEvent, Holder};
pub use key::{ExecutionKey, Issuer, KEY_VALIDITY, KeyId, ParseKeyError};
pub use message::{AttemptId, ExecuteMessage, Outcome, RequestId, Run, Submit};
pub use run::{Call, CallKey, CallResult, Event as RunEvent, Runner};

use crate::decision::Decision;
use crate::ids::{MemberId, ReplicaId};
use crate::message::FailReason;
use crate::query::Ticket;

/// An action that the shell performs for a [`Forwarder`], [`Holder`] or [`Runner`].
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon, which may be this one.
    Send(MemberId, ExecuteMessage),
    /// Answer a caller.
    Answer(Ticket, Answer),
    /// Call an upstream and pass the result back in [`RunEvent::CallEnded`].
    Call(Call),
    /// Report to the replica owner on this thread that an execution ended; `None` means success.
    ExecutionEnded(ReplicaId, Option<FailReason>),
    /// Log a decision.
    Log(Decision),
}

#[cfg(test)]
mod tests;
