//! Requests in flight, their parts and their attempts.

use super::event::{AttemptKey, MissingCause, MissingPart, Reply, Ticket};
use super::peers::CallKey;
use super::view::{Route, RouteId, Target, View};
use super::wait_queue::WaitReason;
use crate::arena::SlabKey;
use crate::ids::{ReplicaId, ReplicaTag, ServiceId};
use crate::verdict::Verdict;
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Missing parts that a log line lists; keeps the line under 1 KB.
const MAX_LOGGED_MISSING_PARTS: usize = 4;

/// Identifies a request in flight within one thread.
pub(super) type RequestKey = SlabKey;

/// A request that has not been answered.
#[derive(Debug)]
pub(super) struct InFlightRequest<H> {
    pub(super) ticket: Ticket,
    /// The view at arrival; all parts of the answer come from its version of the configuration.
    pub(super) view: Arc<View>,
    /// Index into the routes of the view.
    pub(super) route_index: usize,
    pub(super) arrived: Instant,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// The time from which an incomplete answer with enough parts is sent, because a later complete
    /// one would be late.
    pub(super) answer_by: Instant,
    /// One for each shard of a query; exactly one for any other request.
    pub(super) parts: Vec<Part<H>>,
    /// Attempts sent by this daemon, over all parts.
    pub(super) attempts: u32,
    /// The sender of the request.
    pub(super) origin: Origin,
    /// Calls to peers that have not ended.
    pub(super) calls: Vec<CallKey>,
    /// Merged records received from peers; each part is in at most one of them.
    pub(super) peer_records: Vec<Bytes>,
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller, which receives one answer.
    Caller,
    /// A peer, which receives all answered parts, however few.
    Peer {
        /// The maximum number of records in a reply.
        limit: usize,
    },
}

/// The share of a request that one service answers.
#[derive(Debug)]
pub(super) struct Part<H> {
    pub(super) service: ServiceId,
    /// Replicas that ran an attempt or may run one: those that an attempt was sent to, except those
    /// known not to have run it.
    pub(super) may_have_run_on: Vec<ReplicaId>,
    /// Replicas whose last attempt is known not to have run; not chosen until the back-off ends.
    pub(super) backing_off: Vec<ReplicaId>,
    /// The number of attempts known not to have run, over all back-offs.
    pub(super) not_run_attempts: u32,
    /// When the first of its replicas may be used again; set if the part failed because all of them
    /// asked for a pause.
    pub(super) paused_until: Option<Instant>,
    /// Why the part is in the wait queue; `None` if it is not.
    pub(super) wait_reason: Option<WaitReason>,
    /// Attempts that have not ended.
    pub(super) open_attempts: Vec<AttemptKey>,
    /// The call that delegates the part to a peer.
    pub(super) call: Option<CallKey>,
    /// The replica of a delegated part that both daemons may use: the entry sends rescues to no
    /// other, and the peer reserves its last attempt for this replica unless it was used before. So
    /// at most `max_attempts` replicas run the part. Set at both daemons.
    pub(super) rescue_replica: Option<ReplicaTag>,
    pub(super) state: PartState<H>,
    /// The combined verdict of all attempts and calls that ended.
    pub(super) verdict: Verdict,
}

/// The state of a part.
#[derive(Debug)]
pub(super) enum PartState<H> {
    /// Not answered; attempts are in flight or may follow.
    Open,
    /// A replica answered.
    Answered(Reply<H>),
    /// A peer fetched the part; holds the signature.
    Fetched(Box<str>),
    /// The answer was sent to the peer that requested the part.
    SentToPeer,
    /// No further attempt is made; holds the last error answer of a replica, if there is one.
    Failed(Option<Reply<H>>),
}

/// One attempt at a part on one replica.
#[derive(Debug)]
pub(super) struct Attempt {
    /// `None` once the request has ended.
    pub(super) request: Option<RequestKey>,
    pub(super) part: usize,
    pub(super) replica: ReplicaId,
    pub(super) service: ServiceId,
    /// The name of the replica, for the log.
    pub(super) replica_name: Arc<str>,
    pub(super) route: RouteId,
    pub(super) target_latency: Duration,
    pub(super) sent: Instant,
}

impl<H> InFlightRequest<H> {
    pub(super) fn route(&self) -> &Route {
        &self.view.routes[self.route_index]
    }

    /// Returns the minimum number of parts in an answer.
    pub(super) fn min_parts(&self) -> usize {
        match (self.origin, &self.route().target) {
            (Origin::Peer { .. }, _) => 0,
            (Origin::Caller, Target::Split(_)) => 1,
            (Origin::Caller, Target::Shards { min_parts, .. }) => *min_parts,
        }
    }

    pub(super) fn answered_count(&self) -> usize {
        self.parts.iter().filter(|part| part.is_answered()).count()
    }

    pub(super) fn failed_count(&self) -> usize {
        self.parts.iter().filter(|part| matches!(part.state, PartState::Failed(_))).count()
    }

    /// Returns the first parts without an answer, at most `MAX_LOGGED_MISSING_PARTS`.
    ///
    /// `replica_name` returns the name of an attempt's replica.
    pub(super) fn missing_parts<F>(&self, replica_name: F) -> Vec<MissingPart>
    where
        F: Fn(AttemptKey) -> Option<Arc<str>>,
    {
        let unanswered = self.parts.iter().filter(|part| !part.is_answered());
        let missing = unanswered.take(MAX_LOGGED_MISSING_PARTS).map(|part| {
            let open: Vec<_> =
                part.open_attempts.iter().filter_map(|open| replica_name(*open)).collect();
            let cause = match part.wait_reason {
                _ if !open.is_empty() => MissingCause::InFlight(open),
                Some(WaitReason::Connection) => MissingCause::NoConnection,
                Some(WaitReason::Budget) => MissingCause::NoBudget,
                Some(WaitReason::BackOff) => MissingCause::BackOff,
                Some(WaitReason::Pause(_)) => MissingCause::Paused,
                None if part.paused_until.is_some() => MissingCause::Paused,
                None if part.call.is_some() => MissingCause::Delegated,
                None => MissingCause::NoAttemptsLeft,
            };
            let service = self.view.services.get(part.service).map(|service| service.name.clone());
            MissingPart { service: service.unwrap_or_default(), cause }
        });
        missing.collect()
    }

    /// Returns the combined verdict of all parts; a part in flight may have run.
    pub(super) fn verdict(&self) -> Verdict {
        let parts = self.parts.iter().map(|part| match &part.state {
            PartState::Answered(_) | PartState::Fetched(_) | PartState::SentToPeer => Verdict::Ran,
            _ if part.has_nothing_in_flight() => part.verdict,
            _ => part.verdict.and(Verdict::MayHaveRun),
        });
        parts.fold(Verdict::NotRun, Verdict::and)
    }
}

impl<H> Part<H> {
    pub(super) fn new(service: ServiceId) -> Self {
        Self {
            service,
            may_have_run_on: Vec::new(),
            backing_off: Vec::new(),
            not_run_attempts: 0,
            paused_until: None,
            wait_reason: None,
            open_attempts: Vec::new(),
            call: None,
            rescue_replica: None,
            state: PartState::Open,
            verdict: Verdict::NotRun,
        }
    }

    pub(super) fn is_answered(&self) -> bool {
        matches!(self.state, PartState::Answered(_) | PartState::Fetched(_) | PartState::SentToPeer)
    }

    /// Returns whether the part is neither in flight nor in the wait queue.
    pub(super) fn is_idle(&self) -> bool {
        self.has_nothing_in_flight() && self.wait_reason.is_none()
    }

    fn has_nothing_in_flight(&self) -> bool {
        self.open_attempts.is_empty() && self.call.is_none()
    }

    /// Records that a replica did not run an attempt.
    pub(super) fn record_not_run(&mut self, replica: ReplicaId) {
        self.may_have_run_on.retain(|other| *other != replica);
        self.backing_off.push(replica);
        self.not_run_attempts += 1;
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, PartState::Open)
    }
}
