//! Attempts at shards: the first ones, retries, and what their replies do.

use super::coordinator::Coordinator;
use super::event::Action;
use super::progress::{AttemptState, Parked, ShardState};
use super::replicas::{Replicas, Route, Wanted};
use super::state::Query;
use crate::arena::SlabKey;
use crate::decision::{AttemptCause, Decision};
use crate::message::{AttemptId, FailReason, Outcome, Part, PartReply, Row};
use crate::verdict::Verdict;
use rand::Rng;
use std::time::Instant;

/// The first pause of a retry at the same replica, in microseconds; each further one doubles it.
const PARK_MICROS: u32 = 10_000;

/// Why an attempt has no result.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    reason: FailReason,
    verdict: Verdict,
    /// Whether another attempt needs no budget: it repeats no work of an upstream, or the owner
    /// of the attempt was lost.
    free: bool,
}

impl Failure {
    /// The owner of the attempt was lost with it.
    pub(super) const OWNER_LOST: Self =
        Self { reason: FailReason::Connection, verdict: Verdict::MayHaveRun, free: true };

    fn new(verdict: Verdict, reason: FailReason) -> Self {
        Self { reason, verdict, free: verdict == Verdict::NotRun && is_misrouted(reason) }
    }
}

impl Coordinator {
    /// Sends the first attempt at every shard.
    pub(super) fn attempt_first(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let shards = self.queries.get(key).map_or(0, |query| query.shards.len() as u32);
        for position in 0..shards {
            match self.choose(now, key, position) {
                Some(route) => self.attempt(now, key, position, route, AttemptCause::First, out),
                None => self.miss_first(key, position),
            }
        }
        self.plan_wake(now, key);
    }

    /// Chooses the replica for the next attempt at a shard.
    pub(super) fn choose(&mut self, now: Instant, key: SlabKey, position: u32) -> Option<Route> {
        let query = self.queries.get(key)?;
        let (rank, level) = (query.rank, query.tag.level());
        let wanted = Wanted { snapshot: query.snapshot?, rank, level };
        let progress = &query.shards[position as usize];
        self.replicas.choose(now, &self.view, wanted, progress, self.rng.random())
    }

    /// Adds an attempt to the messages that `settle` sends.
    pub(super) fn attempt(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        route: Route,
        cause: AttemptCause,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let (tag, rank, sent) = (query.tag, query.rank, query.micros(now));
        let progress = &mut query.shards[position as usize];
        let ordinal = progress.add(route.replica, route.owner, sent);
        if cause == AttemptCause::First && !query.restarted {
            let share = self.view.topology.services[progress.service].settings.extra_load;
            self.budgets[progress.service][rank.index()].deposit(share);
        }
        self.replicas.started(route.replica, route.owner);
        let replica = self.view.topology.replicas[route.replica].settings.tag;
        let attempt = AttemptId { thread: self.thread, query: key, tag, position, ordinal };
        self.outbox.send(route.owner, Part { attempt, replica });
        out.push(Action::Decided(Decision::Routed { query: tag, replica, cause }));
    }

    pub(super) fn reply(&mut self, now: Instant, reply: PartReply, out: &mut Vec<Action>) {
        let AttemptId { query: key, tag, position, ordinal, .. } = reply.attempt;
        let refused = matches!(reply.outcome, Outcome::Failed { reason: FailReason::NotOwner, .. });
        let replica = self.view.topology.replica(reply.replica);
        // A daemon that does not own the replica knows nothing of its state.
        if let Some(replica) = replica.filter(|_| !refused) {
            self.learn(now, replica, reply.hint);
        }
        let Some(query) = self.queries.get_mut(key).filter(|query| query.tag == tag) else {
            return;
        };
        let attempt = query
            .shards
            .get_mut(position as usize)
            .and_then(|progress| progress.attempts_mut().get_mut(usize::from(ordinal)))
            .filter(|attempt| Some(attempt.replica) == replica)
            .filter(|attempt| attempt.is_awaited());
        let Some(attempt) = attempt else { return };
        let ended = *attempt;
        attempt.state = AttemptState::Ended;
        if ended.state == AttemptState::Open {
            self.replicas.ended(&ended);
        }
        self.replicas.owners.heard(now, ended.owner);
        let failure = match reply.outcome {
            Outcome::Rows { snapshot, rows } if Some(snapshot) == query.snapshot => {
                let elapsed = now.saturating_duration_since(query.moment(ended.sent));
                self.replicas.succeeded(now, ended.replica, elapsed);
                self.merge(now, key, position, rows);
                return self.settle(now, key, out);
            }
            Outcome::Rows { .. } => Failure::new(Verdict::Ran, FailReason::BadReply),
            Outcome::Failed { verdict, reason } => Failure::new(verdict, reason),
        };
        if is_fault(failure.reason) {
            self.replicas.avoid(now, ended.replica);
        }
        self.failed(now, key, position, failure, out);
        self.settle(now, key, out);
    }

    /// Merges valid rows and cancels the other attempts at the shard.
    fn merge(&mut self, now: Instant, key: SlabKey, position: u32, rows: Vec<Row>) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if !query.merge(position, rows) {
            return;
        }
        self.cancel_attempts(now, key, position);
        if self.queries.get_mut(key).is_some_and(Query::becomes_few) {
            self.plan_wake(now, key);
        }
    }

    /// Cancels the attempts at a shard whose replies may still come.
    pub(super) fn cancel_attempts(&mut self, now: Instant, key: SlabKey, position: u32) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let tag = query.tag;
        let started = query.started;
        let attempts = query.shards[position as usize].attempts_mut().iter_mut().enumerate();
        for (ordinal, attempt) in attempts.filter(|(_, attempt)| attempt.is_awaited()) {
            if attempt.state == AttemptState::Open {
                self.replicas.ended(attempt);
                let age = now.saturating_duration_since(attempt.sent_at(started));
                self.replicas.sample_unanswered(now, attempt.replica, age);
            }
            attempt.state = AttemptState::Cancelled;
            let ordinal = ordinal as u8;
            let id = AttemptId { thread: self.thread, query: key, tag, position, ordinal };
            let replica = self.view.topology.replicas[attempt.replica].settings.tag;
            self.outbox.cancel(attempt.owner, Part { attempt: id, replica });
        }
    }

    fn failed(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let progress = &mut query.shards[position as usize];
        progress.verdict = progress.verdict.and(failure.verdict);
        if failure.reason == FailReason::Overloaded {
            self.budgets[progress.service][query.rank.index()].close(now);
        }
        self.recover(now, key, position, failure, out);
        let Some(query) = self.queries.get_mut(key) else { return };
        let state = query.shards[position as usize].state;
        query.snapshot_lost |= state == ShardState::Missing(FailReason::SnapshotGone);
    }

    /// Makes another attempt at a shard without an open one, or gives the shard up.
    pub(super) fn recover(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get(key) else { return };
        let progress = &query.shards[position as usize];
        if progress.state != ShardState::Open || progress.open().next().is_some() {
            return;
        }
        if !progress.may_retry() || now >= query.deadline {
            return self.miss(key, position, failure.reason);
        }
        let made = progress.attempts().len() as u32;
        let due = query.micros(now).saturating_add(PARK_MICROS << made);
        match self.choose(now, key, position) {
            Some(route) if self.is_new(key, position, route) => {
                self.retry(now, key, position, route, failure, out);
            }
            _ if is_repeatable(failure.reason) => {
                let Failure { reason, free, .. } = failure;
                self.park(key, position, Parked { reason, free, due });
            }
            _ => self.miss(key, position, failure.reason),
        }
    }

    /// Returns whether no attempt at the shard took this route.
    fn is_new(&self, key: SlabKey, position: u32, route: Route) -> bool {
        self.queries.get(key).is_some_and(|query| {
            let mut attempts = query.shards[position as usize].attempts().iter();
            !attempts.any(|a| a.replica == route.replica && a.owner == route.owner)
        })
    }

    fn retry(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        route: Route,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get(key) else { return };
        let budgets = &mut self.budgets[query.shards[position as usize].service];
        if failure.free {
            self.attempt(now, key, position, route, AttemptCause::Reroute, out);
        } else if budgets[query.rank.index()].try_withdraw(now) {
            self.attempt(now, key, position, route, AttemptCause::Retry, out);
        } else {
            return self.miss(key, position, failure.reason);
        }
        self.plan_wake(now, key);
    }

    fn park(&mut self, key: SlabKey, position: u32, parked: Parked) {
        let Some(query) = self.queries.get_mut(key) else { return };
        query.shards[position as usize].parked = Some(parked);
        let at = query.moment(parked.due);
        self.set_wake(key, at);
    }

    /// Makes the parked retry of a shard.
    pub(super) fn unpark(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        parked: Parked,
        out: &mut Vec<Action>,
    ) {
        let Parked { reason, free, .. } = parked;
        let failure = Failure { reason, verdict: Verdict::NotRun, free };
        match self.choose(now, key, position) {
            Some(route) => self.retry(now, key, position, route, failure, out),
            None => self.miss(key, position, reason),
        }
    }

    fn miss(&mut self, key: SlabKey, position: u32, reason: FailReason) {
        if let Some(query) = self.queries.get_mut(key) {
            query.miss(position, reason);
        }
    }

    fn miss_first(&mut self, key: SlabKey, position: u32) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let shard = query.shards[position as usize].shard;
        query.miss(position, Replicas::absence(&self.view, shard));
    }
}

/// Returns whether the failure is a reason to ask other replicas for a moment.
fn is_fault(reason: FailReason) -> bool {
    use FailReason::{BadReply, Connection, NotOwner, UpstreamError};
    matches!(reason, BadReply | Connection | NotOwner | UpstreamError)
}

/// Returns whether the sub-query only went to the wrong place, if no upstream ran it.
fn is_misrouted(reason: FailReason) -> bool {
    use FailReason::{Connection, Draining, NotOwner, SnapshotGone, Unreachable};
    matches!(reason, Connection | Draining | NotOwner | SnapshotGone | Unreachable)
}

/// Returns whether the same replica may give a result a moment later.
fn is_repeatable(reason: FailReason) -> bool {
    use FailReason::{BadReply, Connection, NotOwner, Unreachable, UpstreamError};
    matches!(reason, BadReply | Connection | NotOwner | Unreachable | UpstreamError)
}
