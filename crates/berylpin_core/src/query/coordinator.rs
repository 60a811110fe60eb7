//! The queries that one traffic thread runs as their entry.

use super::answer::{Refusal, RefusalReason};
use super::event::{Action, Event, Request, Ticket};
use super::outbox::Outbox;
use super::replicas::{INQUIRY_WAIT, Replicas};
use super::snapshot;
use super::state::Query;
use super::survey::Survey;
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

/// Sub-queries of the queries that one thread runs at once.
const RUNNING_LIMIT: u32 = 65_536;

/// When a caller may resend a query that found no place.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Timers set beyond those that running queries need, before dead ones are dropped.
const TIMER_SLACK: usize = 64;

/// Timers set for each running query, before dead ones are dropped.
const TIMERS_PER_QUERY: usize = 4;

/// The part of a query's time that has to be left for a second run, as a divisor.
const RESTART_SHARE: u32 = 4;

/// The queries that one traffic thread runs as their entry.
#[derive(Debug)]
pub struct Coordinator {
    pub(super) thread: ThreadId,
    pub(super) view: Arc<View>,
    pub(super) replicas: Replicas,
    /// As long as the service arena of `view`; indexed by rank within a service.
    pub(super) budgets: Arena<ServiceId, [Budget; Rank::COUNT]>,
    pub(super) queries: Slab<Query>,
    /// Sorted by ticket; holds every query in progress.
    tickets: Vec<(Ticket, SlabKey)>,
    /// Queries that wait for hints; a key may belong to no query any more.
    waiting: Vec<SlabKey>,
    running: ConcurrencyLimit,
    pub(super) timers: Timers<(SlabKey, Timer)>,
    pub(super) rng: SmallRng,
    pub(super) outbox: Outbox,
    survey: Survey,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Inquiry,
    Wake,
    Deadline,
}

impl Coordinator {
    /// Makes the coordinator of one thread; `seed` drives its random choices.
    pub fn new(thread: ThreadId, view: Arc<View>, seed: u64) -> Self {
        let mut coordinator = Self {
            thread,
            replicas: Replicas::default(),
            budgets: Arena::default(),
            queries: Slab::default(),
            tickets: Vec::new(),
            waiting: Vec::new(),
            running: ConcurrencyLimit::new(RUNNING_LIMIT),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
            outbox: Outbox::default(),
            survey: Survey::default(),
            view: view.clone(),
        };
        coordinator.follow(view);
        coordinator
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns how many queries are in progress.
    pub fn running(&self) -> usize {
        self.queries.len()
    }

    /// Handles one event and appends what the shell is to do.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => {
                self.follow(view);
                self.reroute_moved(now, out);
            }
            Event::Request(ticket, request) => self.begin(now, ticket, request, out),
            Event::CallerGone(ticket) => self.abandon(now, ticket, out),
            Event::Reply(reply) => self.reply(now, reply, out),
            Event::Hints(hints) => self.hints(now, &hints, out),
            Event::LinkDown(member) => self.reroute_lost(now, member, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn follow(&mut self, view: Arc<View>) {
        self.replicas.install(&view);
        self.budgets.grow(view.topology.services.len(), Default::default);
        self.view = view;
    }

    fn begin(&mut self, now: Instant, ticket: Ticket, request: Request, out: &mut Vec<Action>) {
        let refuse = |reason, retry_after| {
            let verdict = Verdict::NotRun;
            Action::Answer(ticket, Err(Refusal { verdict, reason, retry_after }))
        };
        let Some((_, shards)) = self.view.topology.target(&request.target) else {
            return out.push(refuse(RefusalReason::UnknownTarget, None));
        };
        if !self.running.try_acquire(request.rank, shards.len() as u32) {
            return out.push(refuse(RefusalReason::Overloaded, Some(FULL_RETRY)));
        }
        let time_left = request.time_left;
        let tag = QueryTag(self.rng.random());
        let query = Query::new(now, ticket, tag, request, &self.view.topology, shards);
        let key = self.store(query);
        if self.survey(now, key, out) {
            let wait = INQUIRY_WAIT.min(time_left / 4);
            self.set_timer(now + wait, key, Timer::Inquiry);
            self.waiting.push(key);
        } else {
            self.pin(now, key, out);
        }
    }

    /// Stores a query under a new key; replies to earlier keys of it find nothing.
    fn store(&mut self, query: Query) -> SlabKey {
        let (ticket, deadline) = (query.ticket, query.deadline);
        let key = self.queries.insert(query);
        let at = self.tickets.partition_point(|known| *known < (ticket, key));
        self.tickets.insert(at, (ticket, key));
        self.set_timer(deadline, key, Timer::Deadline);
        key
    }

    /// Sets a timer of a query; drops dead timers once they outnumber the needed ones.
    pub(super) fn set_timer(&mut self, at: Instant, key: SlabKey, timer: Timer) {
        self.timers.set(at, (key, timer));
        if self.timers.len() > TIMER_SLACK + TIMERS_PER_QUERY * self.queries.len() {
            let queries = &self.queries;
            self.timers.retain(|at, (key, timer)| {
                let query = queries.get(*key);
                query.is_some_and(|query| match timer {
                    Timer::Inquiry => query.snapshot.is_none(),
                    Timer::Wake => query.wake == Some(at),
                    Timer::Deadline => true,
                })
            });
        }
    }

    /// Looks at what is known of a query's shards; returns whether it is worth waiting for more.
    fn survey(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) -> bool {
        let Some(query) = self.queries.get(key) else { return false };
        let (known, outbox) = (&mut self.replicas, &mut self.outbox);
        self.survey.take(now, &self.view, query, known, outbox);
        self.outbox.flush_inquiries(self.thread, out);
        self.survey.awaited
    }

    fn hints(&mut self, now: Instant, hints: &[(ReplicaTag, Hint)], out: &mut Vec<Action>) {
        for (tag, hint) in hints {
            if let Some(replica) = self.view.topology.replica(*tag) {
                self.learn(now, replica, *hint);
                if let Some(owner) = self.view.owner(replica) {
                    self.replicas.owners.heard(now, owner);
                }
            }
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|key| {
            let waits = self.queries.get(*key).is_some_and(|query| query.snapshot.is_none());
            if waits && !self.survey(now, *key, out) {
                self.pin(now, *key, out);
                return false;
            }
            waits
        });
        self.waiting.append(&mut waiting);
    }

    /// Takes what an owner said about a replica.
    pub(super) fn learn(&mut self, now: Instant, replica: ReplicaId, hint: Hint) {
        self.replicas.learn(now, replica, hint);
        if hint.shed_above.iter().any(|level| *level < QueryTag::LEVELS) {
            let shard = self.view.topology.replicas[replica].shard;
            let budgets = &mut self.budgets[self.view.topology.shards[shard].service];
            for (budget, level) in budgets.iter_mut().zip(hint.shed_above) {
                if level < QueryTag::LEVELS {
                    budget.close(now);
                }
            }
        }
    }

    /// Chooses the snapshot by the last survey and sends the first attempt at every shard.
    fn pin(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(key).filter(|q| q.snapshot.is_none()) else {
            return;
        };
        if !query.restarted && self.survey.is_overloaded(&self.view) {
            let refusal = query.refusal(RefusalReason::Overloaded);
            let (query, rank, reason) = (query.tag, query.rank, refusal.reason);
            out.push(Action::Decided(Decision::Rejected { query, rank, reason }));
            if let Some(query) = self.remove(now, key, out) {
                out.push(Action::Answer(query.ticket, Err(refusal)));
            }
            return;
        }
        let Some(choice) = snapshot::choose(&self.survey.ranges) else {
            return self.finish(now, key, out);
        };
        query.snapshot = Some(choice.snapshot);
        out.push(Action::Decided(Decision::Pinned {
            query: query.tag,
            rank: query.rank,
            snapshot: choice.snapshot,
            shards: query.shards.len() as u32,
            serving: choice.serving,
        }));
        self.attempt_first(now, key, out);
        self.settle(now, key, out);
    }

    /// Sends what was gathered for a query and ends it once nothing is open.
    pub(super) fn settle(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(key) else { return };
        self.outbox.flush_batches(now, query, out);
        self.outbox.flush_cancels(out);
        let snapshot_lost = std::mem::take(&mut query.snapshot_lost);
        let open = query.open;
        if snapshot_lost && self.restart(now, key, out) {
            return;
        }
        if open == 0 {
            self.finish(now, key, out);
        }
    }

    /// Starts a query again on a newer snapshot, if that covers more shards.
    fn restart(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) -> bool {
        self.survey(now, key, out);
        let Some(query) = self.queries.get(key) else { return false };
        let time_left = query.deadline.saturating_duration_since(now);
        let in_time = time_left > (query.deadline - query.started) / RESTART_SHARE;
        let newer = snapshot::choose(&self.survey.ranges)
            .filter(|choice| Some(choice.snapshot) > query.snapshot)
            .filter(|choice| choice.serving > query.hopeful());
        let calm = query
            .shards
            .iter()
            .all(|progress| self.budgets[progress.service][query.rank.index()].is_open(now));
        let Some(from) = query.snapshot else { return false };
        if query.restarted || !in_time || newer.is_none() || !calm {
            return false;
        }
        out.push(Action::Decided(Decision::Restarted { query: query.tag, from }));
        let Some(query) = self.remove(now, key, out) else { return false };
        // The places of the first run were given back just now.
        self.running.try_acquire(query.rank, query.shards.len() as u32);
        let key = self.store(query.restart());
        self.pin(now, key, out);
        true
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((key, timer)) = self.timers.pop_due(now) {
            match timer {
                Timer::Inquiry => {
                    self.survey(now, key, out);
                    self.pin(now, key, out);
                }
                Timer::Wake => self.wake(now, key, out),
                Timer::Deadline => self.finish(now, key, out),
            }
        }
    }

    fn abandon(&mut self, now: Instant, ticket: Ticket, out: &mut Vec<Action>) {
        if let Ok(at) = self.tickets.binary_search_by_key(&ticket, |(known, _)| *known) {
            self.remove(now, self.tickets[at].1, out);
        }
    }

    /// Answers with what there is and cancels the rest.
    fn finish(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        if let Some(query) = self.remove(now, key, out) {
            let ticket = query.ticket;
            out.push(Action::Answer(ticket, query.result(now, &self.view.topology)));
        }
    }

    /// Takes a query out and cancels its open attempts.
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
        self.running.release(query.rank, shards);
        Some(query)
    }
}

#[cfg(test)]
mod tests;
