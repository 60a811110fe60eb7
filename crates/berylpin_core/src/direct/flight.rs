//! Requests in progress and their attempts.

use super::event::{AttemptKey, Reply, Ticket};
use super::view::{Route, Target, View};
use crate::arena::SlabKey;
use crate::ids::{ReplicaId, ServiceId};
use crate::verdict::Verdict;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Names a request in progress within one thread.
pub(super) type FlightKey = SlabKey;

/// A request in progress.
#[derive(Debug)]
pub(super) struct Flight<H> {
    pub(super) ticket: Ticket,
    /// All parts of the answer come from this version, whatever is in force meanwhile.
    pub(super) view: Arc<View>,
    /// Index into the routes of the view.
    pub(super) route: usize,
    pub(super) arrived: Instant,
    /// When the caller stops waiting.
    pub(super) deadline: Instant,
    /// When an incomplete answer is worth more than a later one.
    pub(super) answer_by: Instant,
    /// One for each shard; one in all for a request to a single replica.
    pub(super) parts: Vec<Part<H>>,
    /// Attempts made at all parts.
    pub(super) attempts: u32,
}

/// What is asked of one service.
#[derive(Debug)]
pub(super) struct Part<H> {
    pub(super) service: ServiceId,
    /// Replicas that it was sent to.
    pub(super) tried: Vec<ReplicaId>,
    /// Attempts that are not over.
    pub(super) open: Vec<AttemptKey>,
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
    /// No attempt is left; holds the replica's own failure, if there is one.
    Failed(Option<Reply<H>>),
}

/// One try at a part on one replica.
#[derive(Debug)]
pub(super) struct Attempt {
    /// `None` once the request is over.
    pub(super) flight: Option<FlightKey>,
    pub(super) part: usize,
    pub(super) replica: ReplicaId,
    pub(super) route: super::view::RouteId,
    pub(super) target: Duration,
    pub(super) sent: Instant,
}

impl<H> Flight<H> {
    pub(super) fn config(&self) -> &Route {
        &self.view.routes[self.route]
    }

    /// Returns how many parts an answer needs.
    pub(super) fn min_parts(&self) -> usize {
        match &self.config().target {
            Target::Split(_) => 1,
            Target::Shards { min_parts, .. } => *min_parts,
        }
    }

    pub(super) fn answered(&self) -> usize {
        self.parts.iter().filter(|part| matches!(part.state, PartState::Answered(_))).count()
    }

    pub(super) fn failed(&self) -> usize {
        self.parts.iter().filter(|part| matches!(part.state, PartState::Failed(_))).count()
    }

    /// Returns whether any attempt may have run, the open ones included.
    pub(super) fn verdict(&self) -> Verdict {
        let parts = self.parts.iter().map(|part| match &part.state {
            PartState::Answered(_) => Verdict::Ran,
            _ if part.open.is_empty() => part.verdict,
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
            open: Vec::new(),
            state: PartState::Open,
            verdict: Verdict::NotRun,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, PartState::Open)
    }
}
