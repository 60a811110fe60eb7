//! Requests in progress and their attempts.

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

/// Parts without an answer that the log tells the cause of; a line stays under 1 KB.
const MAX_LOGGED_MISSING_PARTS: usize = 4;

/// Names a request in progress within one thread.
pub(super) type RequestKey = SlabKey;

/// A request in progress.
#[derive(Debug)]
pub(super) struct InFlightRequest<H> {
    pub(super) ticket: Ticket,
    /// All parts of the answer come from this version, whatever is in force meanwhile.
    pub(super) view: Arc<View>,
    /// Index into the routes of the view.
    pub(super) route_index: usize,
    pub(super) arrived: Instant,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// When an incomplete answer is worth more than a later one.
    pub(super) answer_by: Instant,
    /// One for each shard; one in all for a request to a single replica.
    pub(super) parts: Vec<Part<H>>,
    /// Attempts made at all parts.
    pub(super) attempts: u32,
    /// Who asked.
    pub(super) origin: Origin,
    /// Calls to other daemons that are not over.
    pub(super) calls: Vec<CallKey>,
    /// Records that other daemons merged; each part is in at most one of them.
    pub(super) peer_records: Vec<Bytes>,
}

/// Who asked for parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller, who gets one answer.
    Caller,
    /// Another daemon, which gets what there is and at most this many records.
    Peer {
        /// The most records wanted.
        limit: usize,
    },
}

/// What is asked of one service.
#[derive(Debug)]
pub(super) struct Part<H> {
    pub(super) service: ServiceId,
    /// Replicas that it was sent to and that did not prove that it did not run there.
    pub(super) tried: Vec<ReplicaId>,
    /// Replicas that did not run it and are left alone for now.
    pub(super) refused: Vec<ReplicaId>,
    /// How often it did not run where it was sent.
    pub(super) refusals: u32,
    /// What it waits for, if it is entered among the parts that wait for a replica.
    pub(super) wait_reason: Option<WaitReason>,
    /// Attempts that are not over.
    pub(super) open_attempts: Vec<AttemptKey>,
    /// The call to another daemon that is to fetch it.
    pub(super) call: Option<CallKey>,
    /// Set where two daemons may attempt it: the replica of a rescue.
    pub(super) pinned: Option<ReplicaTag>,
    pub(super) state: PartState<H>,
    /// Over all attempts that ended.
    pub(super) verdict: Verdict,
}

/// What is known of a part.
#[derive(Debug)]
pub(super) enum PartState<H> {
    /// Attempts are open or may follow.
    Open,
    /// A replica answered.
    Answered(Reply<H>),
    /// Another daemon answered; holds the signature.
    Fetched(Box<str>),
    /// It was sent to the daemon that asked for it.
    Reported,
    /// No attempt is left; holds the replica's own failure, if there is one.
    Failed(Option<Reply<H>>),
}

/// One try at a part on one replica.
#[derive(Debug)]
pub(super) struct Attempt {
    /// `None` once the request is over.
    pub(super) request: Option<RequestKey>,
    pub(super) part: usize,
    pub(super) replica: ReplicaId,
    pub(super) service: ServiceId,
    /// The name of the replica, for the log.
    pub(super) replica_name: Arc<str>,
    pub(super) route: RouteId,
    pub(super) target: Duration,
    pub(super) sent: Instant,
}

impl<H> InFlightRequest<H> {
    pub(super) fn route(&self) -> &Route {
        &self.view.routes[self.route_index]
    }

    /// Returns how many parts an answer needs.
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

    /// Returns why some parts have no answer; `name` tells the replica of an attempt.
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
                None if part.call.is_some() => MissingCause::Delegated,
                None => MissingCause::GivenUp,
            };
            let service = self.view.services.get(part.service).map(|service| service.name.clone());
            MissingPart { service: service.unwrap_or_default(), cause }
        });
        missing.collect()
    }

    /// Returns whether any attempt may have run, the open ones included.
    pub(super) fn verdict(&self) -> Verdict {
        let parts = self.parts.iter().map(|part| match &part.state {
            PartState::Answered(_) | PartState::Fetched(_) | PartState::Reported => Verdict::Ran,
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
            tried: Vec::new(),
            refused: Vec::new(),
            refusals: 0,
            wait_reason: None,
            open_attempts: Vec::new(),
            call: None,
            pinned: None,
            state: PartState::Open,
            verdict: Verdict::NotRun,
        }
    }

    pub(super) fn is_answered(&self) -> bool {
        matches!(self.state, PartState::Answered(_) | PartState::Fetched(_) | PartState::Reported)
    }

    /// Returns whether nothing is under way for it and nothing is to follow.
    pub(super) fn is_idle(&self) -> bool {
        self.has_nothing_in_flight() && self.wait_reason.is_none()
    }

    fn has_nothing_in_flight(&self) -> bool {
        self.open_attempts.is_empty() && self.call.is_none()
    }

    /// Notes that a replica did not run it.
    pub(super) fn record_not_run(&mut self, replica: ReplicaId) {
        self.tried.retain(|tried| *tried != replica);
        self.refused.push(replica);
        self.refusals += 1;
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, PartState::Open)
    }
}
