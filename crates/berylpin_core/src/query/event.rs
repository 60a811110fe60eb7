//! The events that a coordinator handles and the actions that it returns.

use super::answer::{Answer, Refusal};
use crate::control::View;
use crate::decision::Decision;
use crate::ids::{MemberId, ReplicaTag};
use crate::message::{Hint, QueryMessage, SubQueryReply};
use crate::rank::Rank;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a caller's request within one thread; assigned by the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The name of a service or a group.
    pub target: String,
    /// The rank.
    pub rank: Rank,
    /// The time until the caller stops waiting.
    pub time_left: Duration,
    /// The maximum number of rows in the answer.
    pub limit: usize,
    /// The request body that is sent to each shard.
    pub body: Bytes,
}

/// An event that affects the queries of a thread.
#[derive(Debug)]
pub enum Event {
    /// The control state changed.
    View(Arc<View>),
    /// A caller sent a request.
    Request(Ticket, Request),
    /// The caller no longer waits for an answer.
    CallerDisconnected(Ticket),
    /// An owner replied to a sub-query.
    Reply(SubQueryReply),
    /// An owner sent the hints of its replicas.
    Hints(Vec<(ReplicaTag, Hint)>),
    /// The link to a daemon failed; messages sent over it may be lost.
    LinkDown(MemberId),
    /// A timer may be due.
    Tick,
}

/// An action for the shell to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon, which may be this one.
    Send(MemberId, QueryMessage),
    /// Answer a caller.
    Answer(Ticket, Result<Answer, Refusal>),
    /// Log a decision.
    Log(Decision),
}
