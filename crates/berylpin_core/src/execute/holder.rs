//! Holder side of non-idempotent requests: issues keys and starts each key at most once.

use super::Action;
use super::answer::{Answer, Refusal, RefusalReason};
use super::key::{ExecutionKey, Issuer, KEY_VALIDITY};
use super::message::{AttemptId, ExecuteMessage, Outcome, Run, Submit};
use super::table::{KeyTable, Record, Running, State, TableLimits, Waiter};
use crate::arena::SlabKey;
use crate::control::{Topology, View};
use crate::decision::Decision;
use crate::ids::{MemberId, ReplicaId, ReplicaTag, ShardId};
use crate::message::FailReason;
use crate::timers::Timers;
use crate::verdict::Verdict;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// How long the record of a used key is retained after the key expires; longer than any execution.
const RETENTION_MARGIN: Duration = Duration::from_mins(2);

/// Maximum number of attempts for one key; the next starts only if the previous provably did not
/// run.
const MAX_ATTEMPTS: usize = 3;

/// Maximum number of requests that wait for the outcome of one key.
const MAX_WAITERS: usize = 32;

/// How long a stopping holder still starts keys, for requests that are in flight.
const STOP_GRACE: Duration = Duration::from_secs(1);

/// Limits of the key table of one thread.
const TABLE_LIMITS: TableLimits = TableLimits { keys: 64 * 1024, result_bytes: 32 * 1024 * 1024 };

/// Input of a [`Holder`].
#[derive(Debug)]
pub enum Event {
    /// A new view of the control state.
    View(Arc<View>),
    /// An entry forwarded a request.
    Submit(MemberId, Submit),
    /// An owner reported the outcome of an attempt.
    AttemptEnded(MemberId, AttemptId, ReplicaTag, Outcome),
    /// An attempt was discarded before any byte of the message was written to the link.
    Undelivered(AttemptId),
    /// The daemon is stopping; no further key is started once a grace period has passed.
    Stop,
    /// A timer may be due.
    Tick,
}

/// Starts the keys that one traffic thread issued and keeps their outcomes.
#[derive(Debug)]
pub struct Holder {
    issuer: Issuer,
    view: Arc<View>,
    table: KeyTable,
    /// Number of the last attempt of this thread; never repeats.
    attempts: u64,
    /// Whether the grace period after a stop has ended, so that no further key is started.
    stopped: bool,
    /// Whether an `Expiry` timer is set; at most one is set at a time.
    expiry_timer_set: bool,
    timers: Timers<Timer>,
    rng: SmallRng,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Deadline(SlabKey),
    Expiry,
    Stop,
}

/// The replica chosen for the next attempt.
struct Choice {
    replica: ReplicaId,
    owner: MemberId,
    /// Whether no further attempt follows.
    is_last: bool,
}

impl Holder {
    /// Creates the holder of the issuer's thread; `seed` seeds its random choices.
    pub fn new(issuer: Issuer, view: Arc<View>, seed: u64) -> Self {
        Self::with_limits(issuer, view, seed, TABLE_LIMITS)
    }

    pub(super) fn with_limits(
        issuer: Issuer,
        view: Arc<View>,
        seed: u64,
        limits: TableLimits,
    ) -> Self {
        Self {
            issuer,
            view,
            table: KeyTable::new(limits),
            attempts: 0,
            stopped: false,
            expiry_timer_set: false,
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Issues a key.
    pub fn issue(&mut self, now: Instant) -> ExecutionKey {
        self.issuer.issue(now)
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns whether the holder has stopped and no key is running or has waiting requests.
    pub fn is_done(&self) -> bool {
        self.stopped && self.table.in_progress() == 0
    }

    /// Returns the number of keys that are running or have waiting requests.
    pub fn in_progress(&self) -> usize {
        self.table.in_progress()
    }

    /// Returns the number of used keys that have a record.
    pub fn used_keys(&self) -> usize {
        self.table.len()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.view = view,
            Event::Submit(from, submit) => self.handle_submit(now, from, submit, out),
            Event::AttemptEnded(from, attempt, replica, outcome) => {
                out.push(Action::Send(from, ExecuteMessage::Acknowledged { attempt, replica }));
                self.handle_attempt_ended(now, attempt, outcome, out);
            }
            Event::Undelivered(attempt) => {
                let (verdict, reason) = (Verdict::NotRun, FailReason::Unreachable);
                self.handle_attempt_ended(now, attempt, Outcome::Failed { verdict, reason }, out);
            }
            Event::Stop => self.timers.set(now + STOP_GRACE, Timer::Stop),
            Event::Tick => self.tick(now, out),
        }
    }

    fn handle_submit(
        &mut self,
        now: Instant,
        from: MemberId,
        submit: Submit,
        out: &mut Vec<Action>,
    ) {
        let (request, deadline) = (submit.request, now + submit.time_left);
        let waiter = Waiter { from, request, deadline };
        let key = submit.key;
        let existing = self.issuer.is_authentic(&key).then(|| self.table.find(key.id.sequence));
        if let Some(Some(slab_key)) = existing {
            return self.handle_resubmit(slab_key, &submit, waiter, out);
        }
        if let Some(refusal) = self.refusal(now, &key) {
            return respond(waiter, &key, Err(refusal), out);
        }
        if self.table.is_full() {
            // The table has no space to record the refusal. Closing all unused keys makes it final
            // without a record.
            self.table.close_below(self.issuer.next_sequence());
            let refusal = Refusal { verdict: Verdict::NotRun, reason: RefusalReason::Overloaded };
            return respond(waiter, &key, Err(refusal), out);
        }
        self.start(now, submit, waiter, out);
    }

    /// Returns the refusal of a key without a record, or `None` if the key may start.
    fn refusal(&self, now: Instant, key: &ExecutionKey) -> Option<Refusal> {
        let refuse = |verdict, reason| Some(Refusal { verdict, reason });
        if !self.issuer.is_own(key) {
            return refuse(Verdict::MayHaveRun, RefusalReason::HolderGone);
        }
        if !self.issuer.is_authentic(key) {
            return refuse(Verdict::NotRun, RefusalReason::InvalidKey);
        }
        let valid_until = self.issuer.issued_at(key) + KEY_VALIDITY;
        if valid_until + RETENTION_MARGIN <= now {
            return refuse(Verdict::MayHaveRun, RefusalReason::KeyExpired);
        }
        if valid_until <= now {
            return refuse(Verdict::NotRun, RefusalReason::KeyExpired);
        }
        if self.stopped {
            return refuse(Verdict::NotRun, RefusalReason::Stopping);
        }
        if self.table.is_closed(key.id.sequence) {
            return refuse(Verdict::NotRun, RefusalReason::KeyClosed);
        }
        None
    }

    fn handle_resubmit(
        &mut self,
        slab_key: SlabKey,
        submit: &Submit,
        waiter: Waiter,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.table.get_mut(slab_key) else { return };
        let refuse = |reason| Err(Refusal { verdict: record.verdict(), reason });
        if record.fingerprint != fingerprint(submit) {
            return respond(waiter, &submit.key, refuse(RefusalReason::Conflict), out);
        }
        if let Some(answer) = record.answer() {
            return respond(waiter, &submit.key, answer, out);
        }
        if record.waiters.iter().any(|w| w.request == waiter.request) {
            return;
        }
        if record.waiters.len() >= MAX_WAITERS {
            return respond(waiter, &submit.key, refuse(RefusalReason::Overloaded), out);
        }
        record.waiters.push(waiter);
        self.timers.set(waiter.deadline, Timer::Deadline(slab_key));
    }

    fn start(&mut self, now: Instant, submit: Submit, waiter: Waiter, out: &mut Vec<Action>) {
        let expires = self.issuer.issued_at(&submit.key) + KEY_VALIDITY + RETENTION_MARGIN;
        let target = find_shard(&self.view.topology, &submit.service, submit.shard.as_deref());
        let slab_key = self.table.insert(Record {
            id: submit.key.id,
            expires,
            fingerprint: fingerprint(&submit),
            // Replaced by `send_attempt` if the target exists.
            state: State::NotRun(RefusalReason::UnknownTarget),
            waiters: vec![waiter],
        });
        self.schedule_expiry();
        let Some(shard) = target else { return self.answer_waiters(slab_key, out) };
        let running = Running {
            key: submit.key,
            shard,
            rank: submit.rank,
            deadline: waiter.deadline,
            body: submit.body,
            tried: Vec::new(),
            attempt: self.next_attempt(slab_key),
        };
        self.timers.set(waiter.deadline, Timer::Deadline(slab_key));
        self.send_attempt(now, slab_key, running, FailReason::Unreachable, out);
    }

    fn next_attempt(&mut self, slab_key: SlabKey) -> AttemptId {
        self.attempts += 1;
        let (incarnation, thread) = self.issuer.identity();
        AttemptId { incarnation, thread, slab_key, number: self.attempts }
    }

    /// Sends the next attempt, or closes the key as not run if the deadline passed or no replica
    /// can be chosen.
    ///
    /// All earlier attempts provably did not run; `last_failure` is the reason of the last one.
    fn send_attempt(
        &mut self,
        now: Instant,
        slab_key: SlabKey,
        mut running: Running,
        last_failure: FailReason,
        out: &mut Vec<Action>,
    ) {
        let choice = self.choose_replica(&running).filter(|_| now < running.deadline);
        let Some(Choice { replica, owner, is_last }) = choice else {
            let timed_out = now >= running.deadline;
            let reason = if timed_out { FailReason::Deadline } else { last_failure };
            self.table.set_state(slab_key, State::NotRun(RefusalReason::Replica(reason)));
            return self.answer_waiters(slab_key, out);
        };
        running.tried.push(replica);
        running.attempt = self.next_attempt(slab_key);
        let tag = self.view.topology.replicas[replica].settings.tag;
        let attempt = running.tried.len() as u32;
        let key = running.key.id;
        out.push(Action::Log(Decision::ExecutionRouted { key, replica: tag, attempt }));
        let run = Run {
            attempt: running.attempt,
            key: running.key,
            replica: tag,
            is_last,
            rank: running.rank,
            time_left: running.deadline - now,
            body: running.body.clone(),
        };
        self.table.set_state(slab_key, State::Running(Box::new(running)));
        out.push(Action::Send(owner, ExecuteMessage::Run(run)));
    }

    /// Chooses at random a usable replica that was not tried, in the holder's data centre if
    /// possible.
    ///
    /// Returns `None` if there is none or the attempts are used up.
    fn choose_replica(&mut self, running: &Running) -> Option<Choice> {
        if running.tried.len() >= MAX_ATTEMPTS {
            return None;
        }
        let view = &self.view;
        let own_data_centre = &view.members[view.own].data_centre;
        let rng = &mut self.rng;
        let shard = view.topology.shards.get(running.shard)?;
        let candidates = shard.replicas.iter().copied();
        let candidates = candidates.filter_map(|id| {
            let replica = &view.topology.replicas[id];
            let usable = replica.listed && !replica.settings.drain && !running.tried.contains(&id);
            let owner = view.owner(id).filter(|_| usable)?;
            Some((replica.settings.data_centre != *own_data_centre, rng.random::<u32>(), id, owner))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_unstable();
        let (_, _, replica, owner) = *candidates.first()?;
        let is_last = candidates.len() == 1 || running.tried.len() + 1 == MAX_ATTEMPTS;
        Some(Choice { replica, owner, is_last })
    }

    fn handle_attempt_ended(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let slab_key = attempt.slab_key;
        let Some(record) = self.table.get_mut(slab_key).filter(|r| r.awaits_outcome_of(attempt))
        else {
            return;
        };
        let state = match outcome {
            Outcome::Ran(execution) => State::Ran(execution),
            Outcome::Failed { verdict: Verdict::NotRun, reason } => {
                let refused = State::NotRun(RefusalReason::Replica(reason));
                match std::mem::replace(&mut record.state, refused) {
                    State::Running(running) => {
                        return self.send_attempt(now, slab_key, *running, reason, out);
                    }
                    _ => State::NotRun(RefusalReason::Replica(reason)),
                }
            }
            Outcome::Failed { reason, .. } => {
                State::Unknown(attempt, RefusalReason::Replica(reason))
            }
        };
        self.table.set_state(slab_key, state);
        self.answer_waiters(slab_key, out);
    }

    /// Answers all requests that wait for a key, if the key has an outcome.
    fn answer_waiters(&mut self, slab_key: SlabKey, out: &mut Vec<Action>) {
        let Some(record) = self.table.get_mut(slab_key) else { return };
        let Some(answer) = record.answer() else { return };
        let key = record.id;
        if let Err(Refusal { verdict, reason }) = answer {
            out.push(Action::Log(Decision::ExecutionRefused { key, verdict, reason }));
        }
        for waiter in record.waiters.drain(..) {
            let (request, answer) = (waiter.request, answer.clone());
            let message = ExecuteMessage::Answered { request, key, answer };
            out.push(Action::Send(waiter.from, message));
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(slab_key) => self.handle_deadline(now, slab_key, out),
                Timer::Stop => self.stopped = true,
                Timer::Expiry => {
                    self.expiry_timer_set = false;
                    self.table.expire(now);
                    self.schedule_expiry();
                }
            }
        }
    }

    fn schedule_expiry(&mut self) {
        if self.expiry_timer_set {
            return;
        }
        if let Some(at) = self.table.next_expiry() {
            self.expiry_timer_set = true;
            self.timers.set(at, Timer::Expiry);
        }
    }

    /// Refuses the waiting requests whose deadline passed.
    ///
    /// The record stays, so an outcome that arrives later is still stored.
    fn handle_deadline(&mut self, now: Instant, slab_key: SlabKey, out: &mut Vec<Action>) {
        let Some(record) = self.table.get_mut(slab_key) else { return };
        if let State::Running(running) = &record.state
            && running.deadline <= now
        {
            record.state = State::Unknown(running.attempt, RefusalReason::Deadline);
        }
        let (key, verdict) = (record.id, record.verdict());
        let refusal = Refusal { verdict, reason: RefusalReason::Deadline };
        for waiter in record.waiters.extract_if(.., |waiter| waiter.deadline <= now) {
            let (request, answer) = (waiter.request, Err(refusal));
            let message = ExecuteMessage::Answered { request, key, answer };
            out.push(Action::Send(waiter.from, message));
        }
    }
}

fn respond(waiter: Waiter, key: &ExecutionKey, answer: Answer, out: &mut Vec<Action>) {
    if let Err(Refusal { verdict, reason }) = answer {
        out.push(Action::Log(Decision::ExecutionRefused { key: key.id, verdict, reason }));
    }
    let (request, key) = (waiter.request, key.id);
    out.push(Action::Send(waiter.from, ExecuteMessage::Answered { request, key, answer }));
}

/// Finds the named shard of a service, or its only shard if none is named.
fn find_shard(topology: &Topology, service: &str, shard: Option<&str>) -> Option<ShardId> {
    let service = topology.service(service)?;
    let Some(name) = shard else {
        return (service.shards.len() == 1).then(|| service.shards[0]);
    };
    service.shards.iter().copied().find(|id| topology.shards[*id].name == name)
}

/// Hashes service, shard and body of a request.
///
/// Rank and deadline are left out because a resubmitted request may change them.
fn fingerprint(submit: &Submit) -> u128 {
    let mut hasher = Xxh3::new();
    let shard = submit.shard.as_deref().unwrap_or_default();
    for part in [submit.service.as_bytes(), shard.as_bytes(), &submit.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
