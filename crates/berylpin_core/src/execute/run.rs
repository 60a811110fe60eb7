//! The owner side: executions at the replicas that one traffic thread owns.

use super::Action;
use super::answer::Execution;
use super::key::ExecutionKey;
use super::message::{AttemptId, ExecuteMessage, Outcome, Run};
use super::replay::ReplayGuard;
use crate::arena::{Arena, Slab, SlabKey};
use crate::control::View;
use crate::decision::Decision;
use crate::ids::{MemberId, QueryTag, ReplicaId, ReplicaTag, ThreadId};
use crate::message::FailReason;
use crate::rank::Rank;
use crate::replica::Availability;
use crate::timers::Timers;
use crate::verdict::Verdict;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Executions take at most this share of the slots of a replica, as a divisor, and at least one.
const SLOT_SHARE: u16 = 2;

/// Executions that may wait for a replica, for each that may run.
const QUEUE_PER_PLACE: usize = 4;

/// How long after a pause messages that waited in sockets may still arrive.
const RESUME_BACKLOG: Duration = Duration::from_secs(1);

/// How often an outcome is sent again until the holder has it.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// How long an outcome is sent again.
const RESEND_LIMIT: Duration = Duration::from_secs(10);

/// Outcomes kept for sending again; more are sent once.
const UNACKNOWLEDGED_LIMIT: usize = 4096;

/// Names a call to an upstream; an old key finds nothing.
pub type CallKey = SlabKey;

/// An execution that the shell sends to an upstream, once.
#[derive(Clone, Debug)]
pub struct Call {
    /// Returned with the result.
    pub key: CallKey,
    /// The replica to call.
    pub replica: ReplicaId,
    /// Sent as the request id; the upstream echoes it.
    pub request: QueryTag,
    /// Sent for the upstream's own record.
    pub idempotency_key: ExecutionKey,
    /// How urgent it is.
    pub rank: Rank,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// What is to run.
    pub body: Bytes,
}

/// What an upstream said to an execution.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// A success status with a well-formed body.
    Replied {
        /// The request id echoed.
        request: QueryTag,
        /// The shard echoed.
        shard: String,
        /// What the upstream returned.
        result: String,
    },
    /// There is no result.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why there is none.
        reason: FailReason,
    },
}

/// What happens to the executions of a thread.
#[derive(Debug)]
pub enum Event {
    /// Control state changed.
    View(Arc<View>),
    /// A holder wants an attempt made.
    Run(MemberId, Run),
    /// A holder has the outcome of an attempt.
    Acknowledged(AttemptId),
    /// A call ended.
    Called(CallKey, CallResult),
    /// The process was paused for so long; messages may have waited for it meanwhile.
    Resumed(Duration),
    /// A timer may be due.
    Tick,
}

/// The executions at the replicas that one traffic thread owns.
#[derive(Debug)]
pub struct Runner {
    thread: ThreadId,
    threads: usize,
    view: Arc<View>,
    /// Indexed by replica.
    replicas: Arena<ReplicaId, ReplicaState>,
    jobs: Slab<Job>,
    guard: ReplayGuard,
    /// How long the process was paused, and until when messages from then may arrive.
    resumed: Option<(Duration, Instant)>,
    /// Sorted by attempt.
    unacknowledged: Vec<Ended>,
    /// Whether a `Resend` timer is set; there is never more than one.
    resend_set: bool,
    timers: Timers<Timer>,
    rng: SmallRng,
}

#[derive(Debug, Default)]
struct ReplicaState {
    running: u16,
    /// Sorted by rank and deadline.
    queue: Vec<(Rank, Instant, SlabKey)>,
}

#[derive(Debug)]
struct Job {
    from: MemberId,
    replica: ReplicaId,
    run: Run,
    /// The request id of the call; `None` while it waits.
    request: Option<QueryTag>,
}

#[derive(Debug)]
struct Ended {
    attempt: AttemptId,
    to: MemberId,
    replica: ReplicaTag,
    outcome: Outcome,
    /// When sending it again ends.
    until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Queue(ReplicaId),
    Resend,
}

impl Runner {
    /// Makes the runner of one of `threads` threads; `seed` drives its random choices.
    pub fn new(thread: ThreadId, threads: usize, view: Arc<View>, seed: u64) -> Self {
        Self {
            thread,
            threads,
            view,
            replicas: Arena::default(),
            jobs: Slab::default(),
            guard: ReplayGuard::default(),
            resumed: None,
            unacknowledged: Vec::new(),
            resend_set: false,
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns how many executions wait, run or have an outcome that its holder may not have.
    pub fn in_progress(&self) -> usize {
        self.jobs.len() + self.unacknowledged.len()
    }

    /// Handles one event and appends what the shell is to do.
    ///
    /// `availability` says which replicas are used.
    pub fn handle<F>(&mut self, now: Instant, event: Event, availability: F, out: &mut Vec<Action>)
    where
        F: Fn(ReplicaId) -> Availability,
    {
        match event {
            Event::View(view) => self.view = view,
            Event::Run(from, run) => self.run(now, from, run, availability, out),
            Event::Resumed(pause) => self.resumed = Some((pause, now + RESUME_BACKLOG)),
            Event::Acknowledged(attempt) => {
                if let Ok(at) = self.find_unacknowledged(attempt) {
                    self.unacknowledged.remove(at);
                }
            }
            Event::Called(key, result) => self.called(now, key, result, availability, out),
            Event::Tick => {
                while let Some(timer) = self.timers.pop_due(now) {
                    match timer {
                        Timer::Queue(replica) => self.drop_expired(now, replica, out),
                        Timer::Resend => self.resend(now, out),
                    }
                }
            }
        }
    }

    fn run<F>(
        &mut self,
        now: Instant,
        from: MemberId,
        run: Run,
        availability: F,
        out: &mut Vec<Action>,
    ) where
        F: Fn(ReplicaId) -> Availability,
    {
        if !self.guard.is_new(run.attempt) {
            return;
        }
        let time_left = run.time_left.saturating_sub(self.possible_delay(now));
        let admitted = self.admit(run.replica).and_then(|replica| match availability(replica) {
            _ if time_left.is_zero() => Err(FailReason::Deadline),
            Availability::Draining => Err(FailReason::Draining),
            Availability::Ejected if !run.last_choice => Err(FailReason::Unreachable),
            Availability::Usable | Availability::Ejected => Ok(replica),
        });
        let replica = match admitted {
            Ok(replica) => replica,
            Err(reason) => {
                let outcome = Outcome::Failed { verdict: Verdict::NotRun, reason };
                return self.end(now, from, &run, outcome, out);
            }
        };
        let (rank, deadline) = (run.rank, now + time_left);
        let key = self.jobs.insert(Job { from, replica, run, request: None });
        let queue = &mut self.replicas[replica].queue;
        let at = queue.partition_point(|(r, d, _)| (*r, *d) <= (rank, deadline));
        queue.insert(at, (rank, deadline, key));
        self.timers.set(deadline, Timer::Queue(replica));
        self.start_waiting(now, replica, availability, out);
        self.bound_queue(now, replica, out);
    }

    /// Refuses what the queue has no room for, the least urgent first.
    fn bound_queue(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        let slots = self.view.topology.replicas[replica].settings.slots;
        let limit = QUEUE_PER_PLACE * usize::from(places(slots));
        let queue = &mut self.replicas[replica].queue;
        let excess = queue.split_off(limit.min(queue.len()));
        for (_, _, key) in excess {
            self.refuse(now, key, FailReason::Overloaded, out);
        }
    }

    /// Returns how long a message that arrives now may have waited for this process.
    fn possible_delay(&self, now: Instant) -> Duration {
        let resumed = self.resumed.filter(|(_, until)| now < *until);
        resumed.map_or(Duration::ZERO, |(pause, _)| pause)
    }

    /// Returns the replica if it takes another execution.
    fn admit(&mut self, tag: ReplicaTag) -> Result<ReplicaId, FailReason> {
        let topology = &self.view.topology;
        let replica = topology.replica(tag).ok_or(FailReason::NotOwner)?;
        let owned = topology.replicas[replica].listed
            && self.view.owner(replica) == Some(self.view.own)
            && tag.thread(self.threads) == self.thread;
        if !owned {
            return Err(FailReason::NotOwner);
        }
        self.replicas.grow(topology.replicas.len(), ReplicaState::default);
        Ok(replica)
    }

    /// Starts waiting executions while the replica has room for them.
    fn start_waiting<F>(
        &mut self,
        now: Instant,
        replica: ReplicaId,
        availability: F,
        out: &mut Vec<Action>,
    ) where
        F: Fn(ReplicaId) -> Availability,
    {
        let settings = &self.view.topology.replicas[replica].settings;
        let (tag, limit) = (settings.tag, places(settings.slots));
        let drain = availability(replica) == Availability::Draining;
        while self.replicas[replica].running < limit && !self.replicas[replica].queue.is_empty() {
            let (rank, deadline, key) = self.replicas[replica].queue.remove(0);
            if drain || deadline <= now {
                let reason = if drain { FailReason::Draining } else { FailReason::Deadline };
                self.refuse(now, key, reason, out);
                continue;
            }
            let request = QueryTag(self.rng.random());
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.request = Some(request);
            self.replicas[replica].running += 1;
            let id = job.run.key.id;
            out.push(Action::Decided(Decision::ExecutionStarted { key: id, replica: tag }));
            out.push(Action::Call(Call {
                key,
                replica,
                request,
                idempotency_key: job.run.key,
                rank,
                time_left: deadline - now,
                body: job.run.body.clone(),
            }));
        }
    }

    fn called<F>(
        &mut self,
        now: Instant,
        key: CallKey,
        result: CallResult,
        availability: F,
        out: &mut Vec<Action>,
    ) where
        F: Fn(ReplicaId) -> Availability,
    {
        let Some(job) = self.jobs.get(key) else { return };
        let Some(request) = job.request else { return };
        let replica = job.replica;
        let shard = &self.view.topology.shards[self.view.topology.replicas[replica].shard];
        let outcome = match result {
            CallResult::Replied { request: echoed, shard: name, result }
                if echoed == request && name == shard.name =>
            {
                Outcome::Ran(Execution { replica: job.run.replica, shard: name, result })
            }
            CallResult::Replied { .. } => {
                Outcome::Failed { verdict: Verdict::MayHaveRun, reason: FailReason::BadReply }
            }
            CallResult::Failed { verdict, reason } => Outcome::Failed { verdict, reason },
        };
        let failure = match &outcome {
            Outcome::Ran(_) => None,
            Outcome::Failed { reason, .. } => Some(*reason),
        };
        out.push(Action::Executed(replica, failure));
        self.replicas[replica].running -= 1;
        if let Some(job) = self.jobs.remove(key) {
            self.end(now, job.from, &job.run, outcome, out);
        }
        self.start_waiting(now, replica, availability, out);
    }

    fn drop_expired(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        let queue = &mut self.replicas[replica].queue;
        let expired: Vec<_> = queue.extract_if(.., |(_, deadline, _)| *deadline <= now).collect();
        for (_, _, key) in expired {
            self.refuse(now, key, FailReason::Deadline, out);
        }
    }

    /// Ends an execution that was not started.
    fn refuse(&mut self, now: Instant, key: SlabKey, reason: FailReason, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(key) else { return };
        let outcome = Outcome::Failed { verdict: Verdict::NotRun, reason };
        self.end(now, job.from, &job.run, outcome, out);
    }

    fn end(
        &mut self,
        now: Instant,
        to: MemberId,
        run: &Run,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let until = now + RESEND_LIMIT;
        let ended = Ended { attempt: run.attempt, to, replica: run.replica, outcome, until };
        out.push(ended.message());
        if self.unacknowledged.len() >= UNACKNOWLEDGED_LIMIT {
            return;
        }
        if let Err(at) = self.find_unacknowledged(ended.attempt) {
            self.unacknowledged.insert(at, ended);
        }
        self.set_resend(now);
    }

    fn resend(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.resend_set = false;
        self.unacknowledged.retain(|ended| now < ended.until);
        out.extend(self.unacknowledged.iter().map(Ended::message));
        self.set_resend(now);
    }

    fn set_resend(&mut self, now: Instant) {
        if !self.resend_set && !self.unacknowledged.is_empty() {
            self.resend_set = true;
            self.timers.set(now + RESEND_INTERVAL, Timer::Resend);
        }
    }

    fn find_unacknowledged(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.unacknowledged.binary_search_by_key(&attempt, |ended| ended.attempt)
    }
}

impl Ended {
    fn message(&self) -> Action {
        let (attempt, replica) = (self.attempt, self.replica);
        let outcome = self.outcome.clone();
        Action::Send(self.to, ExecuteMessage::AttemptEnded { attempt, replica, outcome })
    }
}

/// Returns how many executions run at once at a replica.
fn places(slots: u16) -> u16 {
    (slots / SLOT_SHARE).max(1)
}

#[cfg(test)]
mod tests;
