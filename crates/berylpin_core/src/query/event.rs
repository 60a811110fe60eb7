//! What goes into a coordinator and what comes out of it.

use super::answer::{Answer, Refusal};
use crate::control::View;
use crate::decision::Decision;
use crate::ids::{MemberId, ReplicaTag};
use crate::message::{Hint, QueryMessage, SubQueryReply};
use crate::rank::Rank;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Names a caller's request within one thread; chosen by the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A checked request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// A service or a group.
    pub target: String,
    /// How urgent it is.
    pub rank: Rank,
    /// How long the caller waits.
    pub time_left: Duration,
    /// The most rows wanted.
    pub limit: usize,
    /// What is asked of each shard.
    pub body: Bytes,
}

/// What happens to the queries of a thread.
#[derive(Debug)]
pub enum Event {
    /// Control state changed.
    View(Arc<View>),
    /// A caller sent a request.
    Request(Ticket, Request),
    /// The caller does not wait any more.
    CallerGone(Ticket),
    /// An owner replied to a sub-query.
    Reply(SubQueryReply),
    /// Owners said what state their replicas are in.
    Hints(Vec<(ReplicaTag, Hint)>),
    /// The link to a daemon broke; what was sent over it may be lost.
    LinkDown(MemberId),
    /// A timer may be due.
    Tick,
}

/// What the shell is to do.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon, which may be this one.
    Send(MemberId, QueryMessage),
    /// Answer a caller.
    Answer(Ticket, Result<Answer, Refusal>),
    /// Log a decision.
    Decided(Decision),
}
