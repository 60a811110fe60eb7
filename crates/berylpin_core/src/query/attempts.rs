//! Attempts at shards: first attempts, retries, and the handling of their replies.

use super::coordinator::Coordinator;
use super::event::Action;
use super::progress::{AttemptState, PendingRetry, ShardState};
use super::replicas::{Replicas, Requirements, Route};
use super::state::Query;
use crate::arena::SlabKey;
use crate::decision::{AttemptCause, Decision};
use crate::message::{AttemptId, FailReason, Outcome, Row, SubQuery, SubQueryReply};
use crate::verdict::Verdict;
use rand::Rng;
use std::time::Instant;

/// The base of the back-off before a retry while no untried route is left, in microseconds; doubled
/// for each attempt made.
const RETRY_BACKOFF_MICROS: u32 = 10_000;

/// The failure of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Failure {
    reason: FailReason,
    verdict: Verdict,
    /// Whether the next attempt is exempt from the budget, because it repeats no work of an
    /// upstream or because the owner of the failed attempt was lost.
    budget_exempt: bool,
}

impl Failure {
    /// The loss of the owner that the attempt was sent to.
    pub(super) const OWNER_LOST: Self =
        Self { reason: FailReason::Connection, verdict: Verdict::MayHaveRun, budget_exempt: true };

    fn new(verdict: Verdict, reason: FailReason) -> Self {
        Self { reason, verdict, budget_exempt: verdict == Verdict::NotRun && is_misrouted(reason) }
    }
}

impl Coordinator {
    /// Sends the first attempt at every shard.
    pub(super) fn send_first_attempts(
        &mut self,
        now: Instant,
        key: SlabKey,
        out: &mut Vec<Action>,
    ) {
        let shards = self.queries.get(key).map_or(0, |query| query.shards.len() as u32);
        for position in 0..shards {
            match self.choose_route(now, key, position) {
                Some(route) => {
                    self.queue_attempt(now, key, position, route, AttemptCause::First, out);
                }
                None => self.mark_unroutable(key, position),
            }
        }
        self.schedule_wake(now, key);
    }

    /// Chooses the replica for the next attempt at a shard.
    pub(super) fn choose_route(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
    ) -> Option<Route> {
        let query = self.queries.get(key)?;
        let (rank, level) = (query.rank, query.tag.level());
        let required = Requirements { snapshot: query.snapshot?, rank, level };
        let progress = &query.shards[position as usize];
        self.replicas.choose_route(now, &self.view, required, progress, self.rng.random())
    }

    /// Records an attempt and queues its sub-query, which `flush_and_try_finish` sends.
    pub(super) fn queue_attempt(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        route: Route,
        cause: AttemptCause,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let (tag, rank, sent) = (query.tag, query.rank, query.micros_since_start(now));
        let progress = &mut query.shards[position as usize];
        let ordinal = progress.add_attempt(route.replica, route.owner, sent);
        if cause == AttemptCause::First && !query.restarted {
            let share = self.view.topology.services[progress.service].settings.extra_load;
            self.budgets[progress.service][rank.index()].deposit(share);
        }
        self.replicas.attempt_started(route.replica, route.owner);
        let replica = self.view.topology.replicas[route.replica].settings.tag;
        let attempt = AttemptId { thread: self.thread, query: key, tag, position, ordinal };
        self.outbox.queue_sub_query(route.owner, SubQuery { attempt, replica });
        out.push(Action::Log(Decision::Routed { query: tag, replica, cause }));
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Instant,
        reply: SubQueryReply,
        out: &mut Vec<Action>,
    ) {
        let AttemptId { query: key, tag, position, ordinal, .. } = reply.attempt;
        let not_owner =
            matches!(reply.outcome, Outcome::Failed { reason: FailReason::NotOwner, .. });
        let replica = self.view.topology.replica(reply.replica);
        // A daemon that does not own the replica has no state of it to report.
        if let Some(replica) = replica.filter(|_| !not_owner) {
            self.record_hint(now, replica, reply.hint);
        }
        let Some(query) = self.queries.get_mut(key).filter(|query| query.tag == tag) else {
            return;
        };
        let attempt = query
            .shards
            .get_mut(position as usize)
            .and_then(|progress| progress.attempts_mut().get_mut(usize::from(ordinal)))
            .filter(|attempt| Some(attempt.replica) == replica)
            .filter(|attempt| attempt.accepts_reply());
        let Some(attempt) = attempt else { return };
        let ended = *attempt;
        attempt.state = AttemptState::Ended;
        if ended.state == AttemptState::Open {
            self.replicas.attempt_ended(&ended);
        }
        self.replicas.owners.record_contact(now, ended.owner);
        let failure = match reply.outcome {
            Outcome::Rows { snapshot, rows } if Some(snapshot) == query.snapshot => {
                let elapsed = now.saturating_duration_since(query.instant_at(ended.sent));
                self.replicas.record_success(now, ended.replica, elapsed);
                self.merge_rows(now, key, position, rows);
                return self.flush_and_try_finish(now, key, out);
            }
            Outcome::Rows { .. } => Failure::new(Verdict::Ran, FailReason::BadReply),
            Outcome::Failed { verdict, reason } => Failure::new(verdict, reason),
        };
        if should_avoid_replica(failure.reason) {
            self.replicas.avoid(now, ended.replica);
        }
        self.handle_failure(now, key, position, failure, out);
        self.flush_and_try_finish(now, key, out);
    }

    /// Merges valid rows and cancels the other attempts at the shard.
    fn merge_rows(&mut self, now: Instant, key: SlabKey, position: u32, rows: Vec<Row>) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if !query.merge_rows(position, rows) {
            return;
        }
        self.cancel_attempts(now, key, position);
        if self.queries.get_mut(key).is_some_and(Query::update_few_left) {
            self.schedule_wake(now, key);
        }
    }

    /// Cancels the attempts at a shard that still accept replies.
    pub(super) fn cancel_attempts(&mut self, now: Instant, key: SlabKey, position: u32) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let tag = query.tag;
        let started = query.started;
        let attempts = query.shards[position as usize].attempts_mut().iter_mut().enumerate();
        for (ordinal, attempt) in attempts.filter(|(_, attempt)| attempt.accepts_reply()) {
            if attempt.state == AttemptState::Open {
                self.replicas.attempt_ended(attempt);
                let age = now.saturating_duration_since(attempt.sent_at(started));
                self.replicas.sample_unanswered(now, attempt.replica, age);
            }
            attempt.state = AttemptState::Cancelled;
            let ordinal = ordinal as u8;
            let id = AttemptId { thread: self.thread, query: key, tag, position, ordinal };
            let replica = self.view.topology.replicas[attempt.replica].settings.tag;
            self.outbox.queue_cancel(attempt.owner, SubQuery { attempt: id, replica });
        }
    }

    fn handle_failure(
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
            self.budgets[progress.service][query.rank.index()].suspend(now);
        }
        self.retry_or_mark_missing(now, key, position, failure, out);
        let Some(query) = self.queries.get_mut(key) else { return };
        let state = query.shards[position as usize].state;
        query.snapshot_expired |= state == ShardState::Missing(FailReason::SnapshotGone);
    }

    /// Retries at a shard without an open attempt, at once or after a back-off, or marks the shard
    /// as missing.
    pub(super) fn retry_or_mark_missing(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get(key) else { return };
        let progress = &query.shards[position as usize];
        if progress.state != ShardState::Open || progress.open_attempts().next().is_some() {
            return;
        }
        if !progress.may_retry() || now >= query.deadline {
            return self.mark_missing(key, position, failure.reason);
        }
        let attempts_made = progress.attempts().len() as u32;
        let due =
            query.micros_since_start(now).saturating_add(RETRY_BACKOFF_MICROS << attempts_made);
        match self.choose_route(now, key, position) {
            Some(route) if self.is_untried_route(key, position, route) => {
                self.retry(now, key, position, route, failure, out);
            }
            _ if may_retry_same_replica(failure.reason) => {
                let Failure { reason, budget_exempt, .. } = failure;
                self.schedule_retry(key, position, PendingRetry { reason, budget_exempt, due });
            }
            _ => self.mark_missing(key, position, failure.reason),
        }
    }

    /// Returns whether no attempt at the shard had the same replica and owner.
    fn is_untried_route(&self, key: SlabKey, position: u32, route: Route) -> bool {
        self.queries.get(key).is_some_and(|query| {
            let mut attempts = query.shards[position as usize].attempts().iter();
            !attempts.any(|a| a.replica == route.replica && a.owner == route.owner)
        })
    }

    /// Queues a retry, or marks the shard as missing if the budget does not allow the retry.
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
        if failure.budget_exempt {
            self.queue_attempt(now, key, position, route, AttemptCause::Reroute, out);
        } else if budgets[query.rank.index()].try_withdraw(now) {
            self.queue_attempt(now, key, position, route, AttemptCause::Retry, out);
        } else {
            return self.mark_missing(key, position, failure.reason);
        }
        self.schedule_wake(now, key);
    }

    fn schedule_retry(&mut self, key: SlabKey, position: u32, pending_retry: PendingRetry) {
        let Some(query) = self.queries.get_mut(key) else { return };
        query.shards[position as usize].pending_retry = Some(pending_retry);
        let at = query.instant_at(pending_retry.due);
        self.set_wake(key, at);
    }

    /// Makes the delayed retry of a shard.
    pub(super) fn run_pending_retry(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        pending_retry: PendingRetry,
        out: &mut Vec<Action>,
    ) {
        let PendingRetry { reason, budget_exempt, .. } = pending_retry;
        let failure = Failure { reason, verdict: Verdict::NotRun, budget_exempt };
        match self.choose_route(now, key, position) {
            Some(route) => self.retry(now, key, position, route, failure, out),
            None => self.mark_missing(key, position, reason),
        }
    }

    fn mark_missing(&mut self, key: SlabKey, position: u32, reason: FailReason) {
        if let Some(query) = self.queries.get_mut(key) {
            query.mark_missing(position, reason);
        }
    }

    fn mark_unroutable(&mut self, key: SlabKey, position: u32) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let shard = query.shards[position as usize].shard;
        query.mark_missing(position, Replicas::unroutable_reason(&self.view, shard));
    }
}

/// Returns whether the replica is avoided for a while after an attempt that failed for this reason.
fn should_avoid_replica(reason: FailReason) -> bool {
    use FailReason::{BadReply, Connection, NotOwner, UpstreamError};
    matches!(reason, BadReply | Connection | NotOwner | UpstreamError)
}

/// Returns whether a sub-query that no upstream ran failed only because of the daemon or replica
/// that it was sent to.
fn is_misrouted(reason: FailReason) -> bool {
    use FailReason::{Connection, Draining, NotOwner, SnapshotGone, Unreachable};
    matches!(reason, Connection | Draining | NotOwner | SnapshotGone | Unreachable)
}

/// Returns whether a retry at the same replica may succeed.
fn may_retry_same_replica(reason: FailReason) -> bool {
    use FailReason::{BadReply, Connection, NotOwner, Unreachable, UpstreamError};
    matches!(reason, BadReply | Connection | NotOwner | Unreachable | UpstreamError)
}
