//! The coordinator, which runs the queries that arrive at one traffic thread.

use super::answer::{Refusal, RefusalReason};
use super::event::{Action, Event, Request, Ticket};
use super::outbox::Outbox;
use super::replicas::{HINT_WAIT, Replicas};
use super::snapshot;
use super::state::Query;
use super::target_state::TargetState;
use crate::arena::{Arena, Slab, SlabKey};
use crate::control::View;
use crate::decision::Decision;
use crate::ids::{QueryTag, ReplicaId, ReplicaTag, ServiceId, ThreadId};
use crate::limits::{Budget, ConcurrencyLimit};
use crate::message::Hint;
use crate::rank::Rank;
use crate::timers::Timers;
use crate::verdict::Verdict;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum total number of shards of the queries in progress on one thread.
const MAX_RUNNING_SHARDS: u32 = 65_536;

/// The `retry_after` of a query refused because of `MAX_RUNNING_SHARDS`.
const RETRY_AFTER_AT_LIMIT: Duration = Duration::from_secs(1);

/// Obsolete timers are removed once there are more than `TIMER_SLACK`, plus `TIMERS_PER_QUERY` for
/// each running query.
const TIMER_SLACK: usize = 64;

/// See `TIMER_SLACK`.
const TIMERS_PER_QUERY: usize = 4;

/// A query is restarted only if more than its whole time divided by this remains until its
/// deadline.
const RESTART_TIME_DIVISOR: u32 = 4;

/// Runs the queries that arrive at one traffic thread, as their entry.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) thread: ThreadId,
    pub(super) view: Arc<View>,
    pub(super) replicas: Replicas,
    /// As long as the service arena of `view`; indexed by rank within a service.
    pub(super) budgets: Arena<ServiceId, [Budget; Rank::COUNT]>,
    pub(super) queries: Slab<Query>,
    /// The ticket and key of every query in progress, sorted.
    tickets: Vec<(Ticket, SlabKey)>,
    /// Queries that await hints; may contain keys of ended queries.
    awaiting_hints: Vec<SlabKey>,
    running_limit: ConcurrencyLimit,
    pub(super) timers: Timers<(SlabKey, Timer)>,
    pub(super) rng: SmallRng,
    pub(super) outbox: Outbox,
    target_state: TargetState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    HintTimeout,
    Wake,
    Deadline,
}

impl Coordinator {
    /// Creates the coordinator of one thread; `seed` initialises its random choices.
    pub fn new(thread: ThreadId, view: Arc<View>, seed: u64) -> Self {
        let mut coordinator = Self {
            thread,
            replicas: Replicas::default(),
            budgets: Arena::default(),
            queries: Slab::default(),
            tickets: Vec::new(),
            awaiting_hints: Vec::new(),
            running_limit: ConcurrencyLimit::new(MAX_RUNNING_SHARDS),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
            outbox: Outbox::default(),
            target_state: TargetState::default(),
            view: view.clone(),
        };
        coordinator.apply_view(view);
        coordinator
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns the number of queries in progress.
    pub fn running(&self) -> usize {
        self.queries.len()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => {
                self.apply_view(view);
                self.reroute_changed_owners(now, out);
            }
            Event::Request(ticket, request) => self.handle_request(now, ticket, request, out),
            Event::CallerDisconnected(ticket) => self.cancel_query(now, ticket, out),
            Event::Reply(reply) => self.handle_reply(now, reply, out),
            Event::Hints(hints) => self.handle_hints(now, &hints, out),
            Event::LinkDown(member) => self.reroute_lost_link(now, member, out),
            Event::Tick => self.fire_timers(now, out),
        }
    }

    fn apply_view(&mut self, view: Arc<View>) {
        self.replicas.apply_view(&view);
        self.budgets.grow(view.topology.services.len(), Default::default);
        self.view = view;
    }

    fn handle_request(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let refuse = |reason, retry_after| {
            let verdict = Verdict::NotRun;
            Action::Answer(ticket, Err(Refusal { verdict, reason, retry_after }))
        };
        let Some((_, shards)) = self.view.topology.target(&request.target) else {
            return out.push(refuse(RefusalReason::UnknownTarget, None));
        };
        if !self.running_limit.try_acquire(request.rank, shards.len() as u32) {
            return out.push(refuse(RefusalReason::Overloaded, Some(RETRY_AFTER_AT_LIMIT)));
        }
        let time_left = request.time_left;
        let tag = QueryTag(self.rng.random());
        let query = Query::new(now, ticket, tag, request, &self.view.topology, shards);
        let key = self.insert_query(query);
        if self.refresh_target_state(now, key, out) {
            let wait = HINT_WAIT.min(time_left / 4);
            self.set_timer(now + wait, key, Timer::HintTimeout);
            self.awaiting_hints.push(key);
        } else {
            self.pin_snapshot(now, key, out);
        }
    }

    /// Stores a query under a new key and sets its deadline timer.
    ///
    /// Replies to the first run of a restarted query carry its former key and are discarded.
    fn insert_query(&mut self, query: Query) -> SlabKey {
        let (ticket, deadline) = (query.ticket, query.deadline);
        let key = self.queries.insert(query);
        let at = self.tickets.partition_point(|other| *other < (ticket, key));
        self.tickets.insert(at, (ticket, key));
        self.set_timer(deadline, key, Timer::Deadline);
        key
    }

    /// Sets a timer of a query; removes obsolete timers once there are too many.
    pub(super) fn set_timer(&mut self, at: Instant, key: SlabKey, timer: Timer) {
        self.timers.set(at, (key, timer));
        if self.timers.len() > TIMER_SLACK + TIMERS_PER_QUERY * self.queries.len() {
            let queries = &self.queries;
            self.timers.retain(|at, (key, timer)| {
                let query = queries.get(*key);
                query.is_some_and(|query| match timer {
                    Timer::HintTimeout => query.snapshot.is_none(),
                    Timer::Wake => query.wake_at == Some(at),
                    Timer::Deadline => true,
                })
            });
        }
    }

    /// Updates `target_state` for a query and sends the hint requests that are due; returns whether
    /// hints are pending that the query should wait for.
    fn refresh_target_state(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) -> bool {
        let Some(query) = self.queries.get(key) else { return false };
        let (replicas, outbox) = (&mut self.replicas, &mut self.outbox);
        self.target_state.update(now, &self.view, query, replicas, outbox);
        self.outbox.flush_hint_requests(self.thread, out);
        self.target_state.hints_pending
    }

    fn handle_hints(&mut self, now: Instant, hints: &[(ReplicaTag, Hint)], out: &mut Vec<Action>) {
        for (tag, hint) in hints {
            if let Some(replica) = self.view.topology.replica(*tag) {
                self.record_hint(now, replica, *hint);
                if let Some(owner) = self.view.owner(replica) {
                    self.replicas.owners.record_contact(now, owner);
                }
            }
        }
        let mut waiting = std::mem::take(&mut self.awaiting_hints);
        waiting.retain(|key| {
            let is_waiting = self.queries.get(*key).is_some_and(|query| query.snapshot.is_none());
            if is_waiting && !self.refresh_target_state(now, *key, out) {
                self.pin_snapshot(now, *key, out);
                return false;
            }
            is_waiting
        });
        self.awaiting_hints.append(&mut waiting);
    }

    /// Records a hint, and suspends the budgets of the ranks that the owner sheds.
    pub(super) fn record_hint(&mut self, now: Instant, replica: ReplicaId, hint: Hint) {
        self.replicas.record_hint(now, replica, hint);
        if hint.shed_from.iter().any(|level| *level < QueryTag::LEVELS) {
            let shard = self.view.topology.replicas[replica].shard;
            let budgets = &mut self.budgets[self.view.topology.shards[shard].service];
            for (budget, level) in budgets.iter_mut().zip(hint.shed_from) {
                if level < QueryTag::LEVELS {
                    budget.suspend(now);
                }
            }
        }
    }

    /// Pins a query to a snapshot chosen from `target_state`, and sends the first attempts.
    ///
    /// The caller has refreshed `target_state` for the shards of the query.
    ///
    /// Refuses a query that would fail because of overload, unless this is its second run, and
    /// finishes one for which no snapshot is known.
    fn pin_snapshot(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(key).filter(|q| q.snapshot.is_none()) else {
            return;
        };
        if !query.restarted && self.target_state.is_overloaded(&self.view) {
            let refusal = query.refusal(RefusalReason::Overloaded);
            let (query, rank, reason) = (query.tag, query.rank, refusal.reason);
            out.push(Action::Log(Decision::Rejected { query, rank, reason }));
            if let Some(query) = self.remove(now, key, out) {
                out.push(Action::Answer(query.ticket, Err(refusal)));
            }
            return;
        }
        let Some(choice) = snapshot::choose(&self.target_state.ranges) else {
            return self.finish(now, key, out);
        };
        query.snapshot = Some(choice.snapshot);
        out.push(Action::Log(Decision::Pinned {
            query: query.tag,
            rank: query.rank,
            snapshot: choice.snapshot,
            shards: query.shards.len() as u32,
            serving: choice.serving,
        }));
        self.send_first_attempts(now, key, out);
        self.flush_and_try_finish(now, key, out);
    }

    /// Sends the messages queued for a query, and restarts or finishes the query if necessary.
    pub(super) fn flush_and_try_finish(
        &mut self,
        now: Instant,
        key: SlabKey,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(key) else { return };
        self.outbox.flush_batches(now, query, out);
        self.outbox.flush_cancels(out);
        let snapshot_expired = std::mem::take(&mut query.snapshot_expired);
        let open_shards = query.open_shards;
        if snapshot_expired && self.try_restart(now, key, out) {
            return;
        }
        if open_shards == 0 {
            self.finish(now, key, out);
        }
    }

    /// Restarts a query if more shards serve a newer snapshot than are answered or open in this
    /// run; returns whether the query was restarted.
    ///
    /// A query is restarted only once, with enough time left, and while none of its budgets is
    /// suspended.
    fn try_restart(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) -> bool {
        self.refresh_target_state(now, key, out);
        let Some(query) = self.queries.get(key) else { return false };
        let time_left = query.deadline.saturating_duration_since(now);
        let in_time = time_left > (query.deadline - query.started) / RESTART_TIME_DIVISOR;
        let newer = snapshot::choose(&self.target_state.ranges)
            .filter(|choice| Some(choice.snapshot) > query.snapshot)
            .filter(|choice| choice.serving > query.shards_not_missing());
        let budgets_active = query
            .shards
            .iter()
            .all(|progress| self.budgets[progress.service][query.rank.index()].is_active(now));
        let Some(from) = query.snapshot else { return false };
        if query.restarted || !in_time || newer.is_none() || !budgets_active {
            return false;
        }
        out.push(Action::Log(Decision::Restarted { query: query.tag, from }));
        let Some(query) = self.remove(now, key, out) else { return false };
        // Cannot fail: `remove` has just released the same number of shards.
        self.running_limit.try_acquire(query.rank, query.shards.len() as u32);
        let key = self.insert_query(query.restart());
        self.pin_snapshot(now, key, out);
        true
    }

    fn fire_timers(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((key, timer)) = self.timers.pop_due(now) {
            match timer {
                Timer::HintTimeout => {
                    self.refresh_target_state(now, key, out);
                    self.pin_snapshot(now, key, out);
                }
                Timer::Wake => self.send_due_attempts(now, key, out),
                Timer::Deadline => self.finish(now, key, out),
            }
        }
    }

    fn cancel_query(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Action>) {
        if let Ok(at) = self.tickets.binary_search_by_key(&ticket, |(other, _)| *other) {
            self.remove(now, self.tickets[at].1, out);
        }
    }

    /// Answers a query with the rows merged so far and cancels its open attempts.
    fn finish(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        if let Some(query) = self.remove(now, key, out) {
            let ticket = query.ticket;
            out.push(Action::Answer(ticket, query.result(now, &self.view.topology)));
        }
    }

    /// Removes a query and cancels its open attempts.
    fn remove(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) -> Option<Query> {
        let shards = self.queries.get(key)?.shards.len() as u32;
        for position in 0..shards {
            self.cancel_attempts(now, key, position);
        }
        self.outbox.flush_cancels(out);
        let query = self.queries.remove(key)?;
        if let Ok(at) = self.tickets.binary_search(&(query.ticket, key)) {
            self.tickets.remove(at);
        }
        self.running_limit.release(query.rank, shards);
        Some(query)
    }
}

#[cfg(test)]
mod tests;
