//! Input events and output actions of a dispatcher.

use super::peers::{CallKey, PartsReply, PartsRequest};
use super::stop::Stop;
use super::view::{Peer, Replica, View};
use crate::arena::SlabKey;
use crate::ids::PeerId;
use crate::verdict::Verdict;
use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identifies a request within one thread; assigned by the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Identifies an attempt within one thread; never reused.
pub type AttemptKey = SlabKey;

/// The part of a request that routing needs.
#[derive(Clone, Debug)]
pub struct Request {
    /// In lower case and without a port.
    pub host: String,
    /// The path, with the query string if there is one.
    pub path: String,
    /// The time until the caller's deadline, if the caller sent one.
    pub time_left: Option<Duration>,
}

/// An input of a dispatcher; `H` is the shell's type for an answer's headers.
#[derive(Debug)]
pub enum Event<H> {
    /// The control thread published a new view.
    View(Arc<View>),
    /// A caller sent a request.
    Request(Ticket, Request),
    /// The caller, or the daemon that requested parts, disconnected before the last answer.
    CallerDisconnected(Ticket),
    /// An attempt completed or failed.
    AttemptEnded(AttemptKey, Outcome<H>),
    /// A peer requested parts.
    PartsRequest(Ticket, PartsRequest),
    /// A peer sent parts; `true` if this is the last reply of the call.
    PartsReply(CallKey, PartsReply, bool),
    /// A call to a peer failed before its last reply.
    CallFailed(CallKey, Verdict),
    /// A connection to a peer opened (`true`) or closed (`false`).
    PeerConnected(PeerId, bool),
    /// The daemon received a stop signal.
    Stop(Stop),
    /// The time returned by `Dispatcher::next_wake` has come.
    Wake,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub enum Outcome<H> {
    /// The replica sent a complete answer.
    Answered(Reply<H>),
    /// The replica rejected the request and did not run it; holds the pause that it asked for.
    Refused(Option<Duration>),
    /// Another replica now has the address; the request did not run.
    WrongReplica,
    /// No connection to the replica could be opened.
    Unreachable(Failure),
    /// The connection failed, or the answer is invalid.
    Broken(Verdict, Failure),
}

/// A fault in the connection to a replica or in its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The TCP connection was not established within the connect timeout.
    ConnectTimeout,
    /// The operating system reported an error for the TCP connection, such as a refusal.
    ConnectError,
    /// The HTTP handshake failed, or the connection closed before any of the request was sent.
    ClosedBefore,
    /// After the request was at least partly sent, the connection closed before the whole head of
    /// the answer arrived, or the head could not be parsed.
    NoAnswer,
    /// The connection closed before the end of the answer's body, or the body is too long.
    Truncated,
    /// The status of the answer is not that of a final answer.
    InvalidStatus,
    /// The answer is a success that says that the request did not run, or one without content that
    /// states a body.
    Contradictory,
    /// The status of the answer promises callers that the request did not run, and the answer does
    /// not prove it.
    UnprovenRefusal,
    /// The answer carries the id of another request, or it is a success without an id.
    ForeignAnswer,
    /// The answer has a content encoding, so its body is not the one that the replica produced.
    Encoded,
    /// The head, the interim answers or the body exceed their limit.
    TooLong,
    /// Other answers use up the memory for answers; says nothing about the replica.
    NoMemory,
}

impl Failure {
    /// Returns the value used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectTimeout => "connect_timeout",
            Self::ConnectError => "connect_error",
            Self::ClosedBefore => "closed_before",
            Self::NoAnswer => "no_answer",
            Self::Truncated => "truncated",
            Self::InvalidStatus => "invalid_status",
            Self::Contradictory => "contradictory",
            Self::UnprovenRefusal => "unproven_refusal",
            Self::ForeignAnswer => "foreign_answer",
            Self::Encoded => "encoded",
            Self::TooLong => "too_long",
            Self::NoMemory => "no_memory",
        }
    }
}

/// A complete answer of a replica.
#[derive(Clone, Debug)]
pub struct Reply<H> {
    /// The HTTP status code; from 200 to 599, and none that promises callers that the request did not
    /// run: an answer that proves it is [`Outcome::Refused`].
    pub status: u16,
    /// The replica's signature, which proves the origin of the answer.
    pub signature: Option<Box<str>>,
    /// The whole body.
    pub body: Bytes,
    /// The headers, kept for the shell.
    pub headers: H,
}

impl<H> Reply<H> {
    /// Returns whether the status is 2xx.
    pub(super) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Limits on the body of a replica's answer, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// If the answer states its length.
    pub declared: usize,
    /// If it does not; such a body may never end.
    pub undeclared: usize,
}

/// An output of a dispatcher, carried out by the shell.
#[derive(Debug)]
pub enum Action<H> {
    /// Send the request to a replica.
    Send {
        /// The request.
        ticket: Ticket,
        /// Identifies the attempt in `AttemptEnded` and `Abort`.
        attempt: AttemptKey,
        /// The replica.
        replica: Arc<Replica>,
        /// The time until the deadline.
        time_left: Duration,
        /// Whether the request may run more than once, so that a pooled connection may be used.
        idempotent: bool,
        /// The limits on the body of the answer.
        body_limits: BodyLimits,
    },
    /// Abort an attempt and send no more events of it.
    Abort {
        /// The attempt.
        attempt: AttemptKey,
        /// Whether the replica did not answer for so long that its other connections may be dead.
        silent: bool,
    },
    /// Request parts from a peer.
    Delegate {
        /// The request.
        ticket: Ticket,
        /// Identifies the call in events and in `CancelCall`.
        call: CallKey,
        /// The peer.
        peer: Arc<Peer>,
        /// The message to send.
        request: PartsRequest,
    },
    /// Cancel a call to a peer and send no more events of it.
    CancelCall(CallKey),
    /// Open a connection to a peer, unless one is being opened.
    Connect(Arc<Peer>),
    /// Close the connection to a peer that does not respond.
    Disconnect(PeerId),
    /// Send parts to the daemon that requested them; `true` if this is the last reply.
    SendParts(Ticket, PartsReply, bool),
    /// Answer the caller.
    Answer(Ticket, Answer<H>),
    /// Write a log line.
    Log(Ticket, DirectDecision),
}

/// The final answer to a caller.
#[derive(Debug)]
pub enum Answer<H> {
    /// A replica's answer, unchanged.
    Relayed(Reply<H>),
    /// The greatest records over several shards.
    Merged {
        /// One signature for each shard that is included.
        signatures: Vec<Box<str>>,
        /// The number of shards that are not included.
        missing: usize,
        /// The records, greatest first.
        records: Bytes,
    },
    /// An error: the request was not sent to any replica or peer, too few parts were answered by
    /// the deadline, or too few can still be answered; and there is no replica's error answer to
    /// relay.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// What is known about whether the request ran: the combined verdict of all parts, and
        /// `NotRun` if nothing was sent to a replica or a peer.
        verdict: Verdict,
        /// The delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
}

/// Why a request is answered with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// This daemon has not received a configuration yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// Too few of the services have a replica that accepts new work.
    NoReplica,
    /// The limit of requests in flight is reached, or no replica ran the request.
    Overloaded,
    /// Attempts failed, and the request may have run.
    Failed,
    /// The deadline passed.
    Timeout,
    /// This daemon stops before the request could be answered.
    Stopping,
    /// The memory for the bodies of requests is used up.
    NoMemory,
}

impl RefusalReason {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::NoReplica => "no_replica",
            Self::Overloaded => "overloaded",
            Self::Failed => "failed",
            Self::Timeout => "timeout",
            Self::Stopping => "stopping",
            Self::NoMemory => "no_memory",
        }
    }
}

/// Why an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The first attempt at a part.
    First,
    /// The earlier attempt failed.
    Retry,
    /// The earlier attempt is late.
    Hedge,
    /// The peer that the part was delegated to does not respond.
    Rescue,
}

impl Cause {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
            Self::Rescue => "rescue",
        }
    }
}

/// A part without an answer at the end of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingPart {
    /// The service of the part.
    pub service: Arc<str>,
    /// Why there is no answer.
    pub cause: MissingCause,
}

/// Why a part has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MissingCause {
    /// Attempts at the named replicas have not ended.
    InFlight(Vec<Arc<str>>),
    /// The part waits for a connection: all that this daemon may open are in use.
    NoConnection,
    /// The part waits for the budget of extra attempts.
    NoBudget,
    /// The part waits for a back-off, because no replica ran it.
    BackOff,
    /// All replicas that could run the part asked for a pause.
    Paused,
    /// The part is delegated to a peer that has not sent it.
    Delegated,
    /// No further attempt was possible.
    NoAttemptsLeft,
}

impl fmt::Display for MissingPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, cause } = self;
        match cause {
            MissingCause::InFlight(replicas) => {
                write!(f, "{service} in flight at {}", replicas.join(" and "))
            }
            MissingCause::NoConnection => write!(f, "{service} waiting for a connection"),
            MissingCause::NoBudget => {
                write!(f, "{service} waiting for the budget of extra attempts")
            }
            MissingCause::BackOff => write!(f, "{service} backing off"),
            MissingCause::Paused => write!(f, "{service} waiting for the pause of its replicas"),
            MissingCause::Delegated => write!(f, "{service} delegated to a peer"),
            MissingCause::NoAttemptsLeft => write!(f, "{service} has no attempts left"),
        }
    }
}

/// A decision about a request, for logs and metrics.
#[derive(Clone, Debug)]
pub enum DirectDecision {
    /// A hedge, retry or rescue was sent.
    ExtraAttempt {
        /// Why.
        cause: Cause,
        /// The name of the chosen replica.
        replica: Arc<str>,
        /// The time since the request arrived.
        waited: Duration,
        /// The rest of this daemon's budget of extra attempts for the service.
        budget_left: f64,
    },
    /// An attempt ended without a usable answer.
    AttemptFailed {
        /// The name of the replica.
        replica: Arc<str>,
        /// The kind of failure.
        outcome: &'static str,
        /// The fault in the connection or the answer, if there is one.
        failure: Option<Failure>,
        /// What is known about whether the attempt ran on the replica.
        verdict: Verdict,
        /// The time since the attempt was sent.
        elapsed: Duration,
    },
    /// Parts were delegated to a peer.
    Delegated {
        /// The address of the peer.
        peer: SocketAddr,
        /// The number of parts.
        parts: usize,
    },
    /// A peer did not reply in time.
    PeerSilent {
        /// The address of the peer.
        peer: SocketAddr,
        /// The number of parts that were delegated to the peer.
        parts: usize,
    },
    /// The request was refused before any attempt.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// The version of the configuration, if one is known.
        version: Option<u64>,
    },
    /// The request ended.
    Done {
        /// The route.
        route: Arc<str>,
        /// The version of the configuration that routed the request.
        version: u64,
        /// How the request ended.
        outcome: &'static str,
        /// The number of parts: one for each shard, or 1.
        parts: usize,
        /// The number of parts without an answer.
        missing: usize,
        /// The first few of the parts without an answer.
        missing_parts: Vec<MissingPart>,
        /// The number of attempts that this daemon sent.
        attempts: u32,
        /// The time since the request arrived.
        elapsed: Duration,
        /// The route's target latency; a longer request is logged as late.
        target: Duration,
    },
}
