//! What goes into a dispatcher and what comes out of it.

use super::peers::{CallKey, PartsReply, PartsRequest};
use super::view::{Peer, Replica, View};
use crate::arena::SlabKey;
use crate::ids::PeerId;
use crate::verdict::Verdict;
use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Names a caller's request within one thread; chosen by the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Names an attempt within one thread; never used twice.
pub type AttemptKey = SlabKey;

/// What is known of a request before its body is needed.
#[derive(Clone, Debug)]
pub struct Request {
    /// In lower case and without a port.
    pub host: String,
    /// With the query, if there is one.
    pub path: String,
    /// How long the caller waits, if it says so.
    pub time_left: Option<Duration>,
}

/// What happens to the requests of a thread; `H` is how the front end keeps an answer's headers.
#[derive(Debug)]
pub enum Event<H> {
    /// Control state changed.
    View(Arc<View>),
    /// A caller sent a request.
    Request(Ticket, Request),
    /// The caller does not wait any more.
    CallerDisconnected(Ticket),
    /// An attempt ended.
    AttemptEnded(AttemptKey, Outcome<H>),
    /// Another daemon asked for parts.
    PartsRequest(Ticket, PartsRequest),
    /// Another daemon sent parts; `true` if it sends no more for the call.
    PartsReply(CallKey, PartsReply, bool),
    /// A call to another daemon broke before its last reply.
    CallFailed(CallKey, Verdict),
    /// A connection to another daemon opened or broke.
    PeerConnected(PeerId, bool),
    /// Time passed.
    Wake,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome<H> {
    /// The replica answered in full.
    Answered(Reply<H>),
    /// The replica refused and did not run the request.
    Refused,
    /// Another replica has the address.
    WrongReplica,
    /// The replica could not be connected to.
    Unreachable(Failure),
    /// There is no answer that can be used.
    Broken(Verdict, Failure),
}

/// What went wrong between this daemon and a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection did not open in time.
    ConnectTimeout,
    /// The replica refused the connection, or there is no way to it.
    ConnectError,
    /// The connection ended before the request was sent.
    ClosedBefore,
    /// The connection ended before the answer's head, or bytes came that are none.
    NoAnswer,
    /// The answer's body broke off.
    Truncated,
    /// The answer names another request.
    ForeignAnswer,
    /// The answer is encoded, so that its body is not the replica's.
    Encoded,
}

impl Failure {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ConnectTimeout => "connect_timeout",
            Self::ConnectError => "connect_error",
            Self::ClosedBefore => "closed_before",
            Self::NoAnswer => "no_answer",
            Self::Truncated => "truncated",
            Self::ForeignAnswer => "foreign_answer",
            Self::Encoded => "encoded",
        }
    }
}

/// A complete answer of a replica to the request that it was sent.
#[derive(Clone, Debug)]
pub struct Reply<H> {
    /// The status.
    pub status: u16,
    /// Proves that the replica gave the answer.
    pub signature: Option<Box<str>>,
    /// The whole body.
    pub body: Bytes,
    /// For the front end.
    pub headers: H,
}

impl<H> Reply<H> {
    /// Returns whether the replica did what was asked.
    pub(super) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// What a dispatcher wants done.
#[derive(Debug)]
pub enum Action<H> {
    /// Send the request to a replica.
    Send {
        /// The request.
        ticket: Ticket,
        /// Names the attempt in `Ended` and `Abort`.
        attempt: AttemptKey,
        /// The replica.
        replica: Arc<Replica>,
        /// How long the replica may take.
        time_left: Duration,
        /// Whether the request may run more than once, so that a connection used before may do.
        idempotent: bool,
    },
    /// Break an attempt off; nothing more is to be heard of it.
    Abort {
        /// The attempt.
        attempt: AttemptKey,
        /// The replica was silent for so long that its other connections may have gone silent too.
        silent: bool,
    },
    /// Ask another daemon for parts of the request.
    Delegate {
        /// The request.
        ticket: Ticket,
        /// Names the call in events and in `Withdraw`.
        call: CallKey,
        /// The daemon.
        peer: Arc<Peer>,
        /// What to ask.
        request: PartsRequest,
    },
    /// Break a call to another daemon off; nothing more is to be heard of it.
    CancelCall(CallKey),
    /// Open a connection to another daemon, unless that is under way.
    Connect(Arc<Peer>),
    /// Close the connection to another daemon, as nothing comes from it.
    Disconnect(PeerId),
    /// Send parts to the daemon that asked for them; more follow unless `true`.
    SendParts(Ticket, PartsReply, bool),
    /// Answer the caller.
    Answer(Ticket, Answer<H>),
    /// Write a log line.
    Log(Ticket, DirectDecision),
}

/// What a caller gets.
#[derive(Debug)]
pub enum Answer<H> {
    /// A replica's answer as it is.
    Relayed(Reply<H>),
    /// The greatest records of several shards.
    Merged {
        /// Of the shards that are included.
        signatures: Vec<Box<str>>,
        /// Shards that are left out.
        missing: usize,
        /// The records.
        records: Bytes,
    },
    /// No answer.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether the request may have run.
        verdict: Verdict,
        /// When it is worth coming back.
        retry_after: Option<Duration>,
    },
}

/// Why a caller gets no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NotReady,
    /// No route matches.
    NoRoute,
    /// No replica is known that could take the request.
    NoReplica,
    /// The replicas refused.
    Overloaded,
    /// The replicas failed or answered with bytes that cannot be used.
    Failed,
    /// The time ran out.
    Timeout,
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
        }
    }
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The first attempt at a shard.
    First,
    /// The earlier attempt failed.
    Retry,
    /// The earlier attempt is slow.
    Hedge,
    /// The daemon that was to fetch the shard is silent.
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

/// A part without an answer when its request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingPart {
    /// The service that was asked.
    pub service: Arc<str>,
    /// What it lacked.
    pub cause: MissingCause,
}

/// Why a part has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MissingCause {
    /// These replicas have not answered.
    InFlight(Vec<Arc<str>>),
    /// All connections that this daemon may have were in use.
    NoConnection,
    /// The budget of extra attempts was used up.
    NoBudget,
    /// All its replicas had failed it a moment before.
    BackOff,
    /// The daemon that was to fetch it has not sent it.
    Delegated,
    /// It was given up.
    GivenUp,
}

impl fmt::Display for MissingPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, cause } = self;
        match cause {
            MissingCause::InFlight(replicas) => {
                write!(f, "{service} under way at {}", replicas.join(" and "))
            }
            MissingCause::NoConnection => write!(f, "{service} waits for a connection"),
            MissingCause::NoBudget => write!(f, "{service} waits for the budget"),
            MissingCause::BackOff => write!(f, "{service} waits after failures"),
            MissingCause::Delegated => write!(f, "{service} left to a peer"),
            MissingCause::GivenUp => write!(f, "{service} given up"),
        }
    }
}

/// A decision about a request, for the log.
#[derive(Clone, Debug)]
pub enum DirectDecision {
    /// Extra work was sent for a shard.
    ExtraAttempt {
        /// Why.
        cause: Cause,
        /// The name of the replica chosen.
        replica: Arc<str>,
        /// How long the shard had been waited for.
        waited: Duration,
        /// Extra attempts that are left for the service.
        budget_left: f64,
    },
    /// An attempt ended without a usable answer.
    AttemptFailed {
        /// The name of the replica.
        replica: Arc<str>,
        /// What happened.
        outcome: &'static str,
        /// What went wrong with the connection or the answer, if that is it.
        failure: Option<Failure>,
        /// Whether it ran there.
        verdict: Verdict,
        /// How long the attempt took.
        elapsed: Duration,
    },
    /// Shards were left to another daemon.
    Delegated {
        /// Where the daemon listens.
        peer: SocketAddr,
        /// How many shards.
        parts: usize,
    },
    /// Another daemon did not answer.
    PeerSilent {
        /// Where the daemon listens.
        peer: SocketAddr,
        /// Shards that it was asked for.
        parts: usize,
    },
    /// The request was refused on arrival.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// The version of the configuration, if one is known.
        version: Option<u64>,
    },
    /// The request is over.
    Done {
        /// The route.
        route: Arc<str>,
        /// The version of the configuration that it was routed by.
        version: u64,
        /// What became of it.
        outcome: &'static str,
        /// Shards asked, or 1.
        parts: usize,
        /// Parts without an answer.
        missing: usize,
        /// Some of the parts without an answer.
        missing_parts: Vec<MissingPart>,
        /// Attempts made.
        attempts: u32,
        /// From the request's arrival.
        elapsed: Duration,
        /// The target, for lateness.
        target: Duration,
    },
}
