//! Non-idempotent requests, which run at most once.
//!
//! A key names the daemon thread that issued it. Only that thread, the *holder*, ever starts the
//! key, so two executions would need two processes with the same random incarnation. The
//! [`Forwarder`] of the daemon that a request arrives at sends it to the holder, the [`Holder`]
//! sends it to the owner of one replica, and the [`Runner`] of the owner calls the upstream.

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

/// What the shell is to do for any of the state machines here.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon, which may be this one.
    Send(MemberId, ExecuteMessage),
    /// Answer a caller.
    Answer(Ticket, Answer),
    /// Call an upstream.
    Call(Call),
    /// Tell the owner on this thread what came of an execution at a replica; `None` is a result.
    Executed(ReplicaId, Option<FailReason>),
    /// Log a decision.
    Decided(Decision),
}

#[cfg(test)]
mod tests;
