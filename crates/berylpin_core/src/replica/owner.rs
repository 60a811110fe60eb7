//! The state machine of the replicas that one traffic thread owns.

use super::calls::{Call, CallKey, CallResult};
use super::health::HealthChange;
use super::job::{Job, JobId};
use super::probes::{PROBE_INTERVAL, Probe, ProbeResult};
use super::shares::MinimumShares;
use super::shedding::ADJUST_INTERVAL;
use super::state::ReplicaState;
use crate::arena::{Arena, Slab, SlabKey};
use crate::control::View;
use crate::decision::Decision;
use crate::ids::{MemberId, QueryTag, ReplicaId, ReplicaTag, ThreadId};
use crate::message::{Batch, FailReason, Hint, Outcome, QueryMessage, SubQuery, SubQueryReply};
use crate::rank::Rank;
use crate::timers::Timers;
use crate::verdict::Verdict;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Instant;

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// A new view of control state.
    View(Arc<View>),
    /// An entry sent sub-queries.
    Batch(MemberId, Batch),
    /// An entry cancelled sub-queries.
    Cancel(MemberId, Vec<SubQuery>),
    /// An entry requested the hints of replicas.
    RequestHints(MemberId, ThreadId, Vec<ReplicaTag>),
    /// A call ended.
    CallEnded(CallKey, CallResult),
    /// An execution at a replica ended; the reason is `None` for a result.
    ExecutionEnded(ReplicaId, Option<FailReason>),
    /// A probe ended.
    ProbeEnded(ReplicaId, ProbeResult),
    /// A timer may be due.
    Tick,
}

/// An output of the state machine, carried out by the shell.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon, which may be this one.
    Send(MemberId, QueryMessage),
    /// Call an upstream; exactly one `CallEnded` event follows.
    Call(Call),
    /// Ask an upstream to abort a call; its `CallEnded` event still follows.
    Abort {
        /// The replica that was called.
        replica: ReplicaId,
        /// The request id of the call.
        request: QueryTag,
    },
    /// Close the idle connections of a replica and the connection of a stalled call; later requests
    /// open new ones.
    Reconnect {
        /// The replica.
        replica: ReplicaId,
        /// The stalled call, if there is one; its `CallEnded` event follows.
        call: Option<CallKey>,
    },
    /// Probe an upstream; exactly one `ProbeEnded` event follows.
    Probe(Probe),
    /// Log a decision.
    Log(Decision),
}

/// A timer of one job or replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A call has reached its timeout, unless it ended before.
    CallOverdue(SlabKey),
    /// The next probe of the replica may be due.
    Probe(ReplicaId),
    /// The pause of calls after a refusal by an overloaded upstream ends.
    Resume(ReplicaId),
    /// The shed levels of the replica are due for adjustment.
    AdjustShedLevels(ReplicaId),
}

/// The state machine of the replicas that one traffic thread owns.
#[derive(Debug)]
pub struct Owner {
    pub(super) thread: ThreadId,
    pub(super) threads: usize,
    pub(super) view: Arc<View>,
    /// Indexed by replica; only those owned by this thread are in use.
    pub(super) replicas: Arena<ReplicaId, ReplicaState>,
    pub(super) jobs: Slab<Job>,
    pub(super) timers: Timers<Timer>,
    pub(super) rng: SmallRng,
}

impl Owner {
    /// Creates the state machine of one of `threads` traffic threads; `seed` initialises its random
    /// choices.
    pub fn new(thread: ThreadId, threads: usize, view: Arc<View>, seed: u64, now: Instant) -> Self {
        let mut owner = Self {
            thread,
            threads,
            view: view.clone(),
            replicas: Arena::default(),
            jobs: Slab::default(),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        // Without jobs, a new view causes no actions.
        owner.apply_view(now, view, &mut Vec::new());
        owner
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns the number of sub-queries that are queued or in flight.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.apply_view(now, view, out),
            Event::Batch(from, batch) => self.handle_batch(now, from, &batch, out),
            Event::Cancel(from, sub_queries) => self.handle_cancel(from, &sub_queries, out),
            Event::RequestHints(from, thread, tags) => {
                self.handle_hint_request(from, thread, &tags, out);
            }
            Event::CallEnded(key, result) => self.handle_call_ended(now, key, result, out),
            Event::ExecutionEnded(replica, failure) => {
                self.handle_execution_ended(now, replica, failure, out);
            }
            Event::ProbeEnded(replica, result) => {
                self.handle_probe_ended(now, replica, result, out);
            }
            Event::Tick => self.fire_timers(now, out),
        }
    }

    fn apply_view(&mut self, now: Instant, view: Arc<View>, out: &mut Vec<Action>) {
        self.view = view.clone();
        self.replicas.grow(view.topology.replicas.len(), ReplicaState::default);
        for (id, replica) in view.topology.replicas.iter() {
            let settings = &replica.settings;
            let state = &mut self.replicas[id];
            let withdrawn = settings.drain || !replica.listed;
            if state.withdrawn && !withdrawn {
                state.health.reset();
            }
            state.withdrawn = withdrawn;
            let shares = view.topology.service_of(id).settings.minimum_shares;
            state.queue.set_shares(MinimumShares::new(shares));
            state.owned = replica.listed
                && view.owner(id) == Some(view.own)
                && settings.tag.thread(self.threads) == self.thread;
            if state.owned && !state.probes.timer_set {
                state.probes.timer_set = true;
                self.timers.set(now, Timer::Probe(id));
            }
            if withdrawn {
                self.refuse_queued(id, FailReason::Draining, out);
            } else if !self.replicas[id].owned {
                self.refuse_queued(id, FailReason::NotOwner, out);
            } else {
                // The new view may give the replica more slots.
                self.start_queued(now, id, out);
            }
        }
    }

    fn fire_timers(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::CallOverdue(key) => self.handle_overdue_call(now, key, out),
                Timer::Probe(replica) => self.probe_if_due(now, replica, out),
                Timer::Resume(replica) => self.start_queued(now, replica, out),
                Timer::AdjustShedLevels(replica) => self.adjust_shed_levels(now, replica, out),
            }
        }
    }

    fn probe_if_due(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        let state = &mut self.replicas[replica];
        if !state.owned {
            state.probes.timer_set = false;
            return;
        }
        if state.probes.is_due(now, state.health.is_usable()) {
            state.probes.in_flight = true;
            state.recent_service_time.decay();
            out.push(Action::Probe(Probe { replica }));
        }
        // Jitter spreads the probes of replicas that became owned at the same time.
        let interval = PROBE_INTERVAL.mul_f64(self.rng.random_range(0.75..1.0));
        self.timers.set(now + interval, Timer::Probe(replica));
    }

    fn handle_probe_ended(
        &mut self,
        now: Instant,
        replica: ReplicaId,
        result: ProbeResult,
        out: &mut Vec<Action>,
    ) {
        self.replicas[replica].probes.in_flight = false;
        if result == ProbeResult::Failed {
            // The probe's connection and the idle ones may be dead without having been closed.
            out.push(Action::Reconnect { replica, call: None });
        }
        let state = &mut self.replicas[replica];
        let change = match result {
            ProbeResult::Serves(range) if state.snapshots.record_report(range) => {
                state.health.probe_succeeded(now)
            }
            ProbeResult::Serves(_) | ProbeResult::Failed => state.health.probe_failed(now),
            ProbeResult::Draining => return self.mark_draining(now, replica, out),
        };
        self.apply_health_change(replica, change, out);
        self.start_queued(now, replica, out);
    }

    /// Ends an interval of the shed levels; refuses the queued jobs that are late, and those at or
    /// above a changed level.
    fn adjust_shed_levels(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        self.refuse_late(now, replica, out);
        let tag = self.tag(replica);
        let state = &mut self.replicas[replica];
        let changes = state.levels.adjust(state.queue.oldest_waits(now), state.queue.shares());
        let mut shed = Vec::new();
        for (rank, level) in Rank::ALL.into_iter().zip(changes) {
            let Some(level) = level else { continue };
            out.push(Action::Log(Decision::ShedLevel { replica: tag, rank, level }));
            shed.extend(state.queue.extract(rank, |queued| queued.level >= level));
        }
        state.adjust_timer_set =
            !(state.queue.is_empty() && state.calls_in_flight == 0 && state.levels.admits_all());
        if state.adjust_timer_set {
            self.timers.set(now + ADJUST_INTERVAL, Timer::AdjustShedLevels(replica));
        }
        for key in shed {
            self.refuse(key, FailReason::Overloaded, out);
        }
    }

    /// Logs a change of health; refuses the queued jobs of an ejected replica, so that the entries
    /// retry elsewhere.
    pub(super) fn apply_health_change(
        &mut self,
        replica: ReplicaId,
        change: HealthChange,
        out: &mut Vec<Action>,
    ) {
        let tag = self.tag(replica);
        match change {
            HealthChange::None => {}
            HealthChange::Ejected => {
                out.push(Action::Log(Decision::Ejected { replica: tag }));
                self.refuse_queued(replica, FailReason::Unreachable, out);
            }
            HealthChange::Returned => {
                out.push(Action::Log(Decision::Returned { replica: tag }));
            }
        }
    }

    /// Marks a replica that reported itself as draining, and refuses its queued jobs.
    pub(super) fn mark_draining(
        &mut self,
        now: Instant,
        replica: ReplicaId,
        out: &mut Vec<Action>,
    ) {
        let state = &mut self.replicas[replica];
        if !state.health.is_draining() {
            let tag = self.tag(replica);
            out.push(Action::Log(Decision::Drained { replica: tag }));
        }
        self.replicas[replica].health.mark_draining(now);
        self.refuse_queued(replica, FailReason::Draining, out);
    }

    fn refuse_queued(&mut self, replica: ReplicaId, reason: FailReason, out: &mut Vec<Action>) {
        for key in self.replicas[replica].queue.drain() {
            self.refuse(key, reason, out);
        }
    }

    /// Refuses a job that was removed from the queue before it started.
    pub(super) fn refuse(&mut self, key: SlabKey, reason: FailReason, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(key) else { return };
        self.replicas[job.replica].remove_job(job.id);
        let replica = self.tag(job.replica);
        out.push(Action::Log(Decision::Refused { query: job.query, replica, reason }));
        let outcome = Outcome::Failed { verdict: Verdict::NotRun, reason };
        self.reply(job.id, job.replica, outcome, out);
    }

    pub(super) fn reply(
        &self,
        (from, attempt): JobId,
        replica: ReplicaId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let reply = SubQueryReply {
            attempt,
            replica: self.tag(replica),
            outcome,
            hint: self.hint(replica),
        };
        out.push(Action::Send(from, QueryMessage::Reply(reply)));
    }

    pub(super) fn hint(&self, replica: ReplicaId) -> Hint {
        self.replicas[replica].hint(&self.view.topology.replicas[replica].settings)
    }

    pub(super) fn tag(&self, replica: ReplicaId) -> ReplicaTag {
        self.view.topology.replicas[replica].settings.tag
    }
}

impl ReplicaTag {
    /// Returns which of the `threads` traffic threads of its owner owns the replica.
    pub fn thread(self, threads: usize) -> ThreadId {
        use crate::ids::Key;
        ThreadId::from_index((self.0 % threads as u64) as usize)
    }
}

#[cfg(test)]
mod tests;
