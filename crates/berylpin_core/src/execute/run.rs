//! Owner side of non-idempotent requests: queues and starts executions at owned replicas and
//! reports their outcomes.

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

/// Divisor of a replica's slots that gives its maximum number of concurrent executions, which is at
/// least one.
const EXECUTION_SLOTS_DIVISOR: u16 = 2;

/// Maximum length of a replica's queue, per execution that may run concurrently.
const QUEUED_PER_RUNNING: usize = 4;

/// How long after the end of a pause a received message may have been buffered during the pause.
const RESUME_BACKLOG_PERIOD: Duration = Duration::from_secs(1);

/// Interval between resends of an unacknowledged outcome.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// How long an unacknowledged outcome is resent before it is discarded.
const RESEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of unacknowledged outcomes; further outcomes are sent once and not resent.
const MAX_UNACKNOWLEDGED: usize = 4096;

/// Identifies a call to an upstream; the key of an ended call matches no call.
pub type CallKey = SlabKey;

/// An execution that the shell sends to an upstream, without retries.
#[derive(Clone, Debug)]
pub struct Call {
    /// Passed back in [`Event::CallEnded`].
    pub key: CallKey,
    /// The replica to call.
    pub replica: ReplicaId,
    /// Request id, which the upstream echoes.
    pub request: QueryTag,
    /// Sent to the upstream so that it can record the key itself.
    pub idempotency_key: ExecutionKey,
    /// Rank of the request.
    pub rank: Rank,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Request body.
    pub body: Bytes,
}

/// Result of a call to an upstream.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// The upstream returned a success status and a well-formed body.
    Replied {
        /// Request id echoed by the upstream.
        request: QueryTag,
        /// Shard echoed by the upstream.
        shard: String,
        /// Result of the execution.
        result: String,
    },
    /// The call ended without a result.
    Failed {
        /// What is known about whether the execution ran.
        verdict: Verdict,
        /// Why the call failed.
        reason: FailReason,
    },
}

/// Input of a [`Runner`].
#[derive(Debug)]
pub enum Event {
    /// A new view of the control state.
    View(Arc<View>),
    /// A holder sent an attempt.
    Run(MemberId, Run),
    /// A holder acknowledged the outcome of an attempt.
    Acknowledged(AttemptId),
    /// A call to an upstream ended.
    CallEnded(CallKey, CallResult),
    /// The process resumed after a pause of this length, during which messages may have been
    /// buffered.
    Resumed(Duration),
    /// A timer may be due.
    Tick,
}

/// Runs the executions at the replicas that one traffic thread owns.
#[derive(Debug)]
pub struct Runner {
    thread: ThreadId,
    threads: usize,
    view: Arc<View>,
    /// Indexed by replica.
    replicas: Arena<ReplicaId, ReplicaState>,
    jobs: Slab<Job>,
    replay_guard: ReplayGuard,
    /// Length of the last pause, and until when messages buffered during the pause may arrive.
    last_pause: Option<(Duration, Instant)>,
    /// Sorted by attempt.
    unacknowledged: Vec<UnacknowledgedOutcome>,
    /// Whether a `Resend` timer is set; at most one is set at a time.
    resend_timer_set: bool,
    timers: Timers<Timer>,
    rng: SmallRng,
}

#[derive(Debug, Default)]
struct ReplicaState {
    /// Number of calls in flight.
    running: u16,
    /// Rank, deadline and job of each queued execution, sorted by rank and deadline.
    queue: Vec<(Rank, Instant, SlabKey)>,
}

#[derive(Debug)]
struct Job {
    from: MemberId,
    replica: ReplicaId,
    run: Run,
    /// Request id of the call; `None` while the job is queued.
    request: Option<QueryTag>,
}

#[derive(Debug)]
struct UnacknowledgedOutcome {
    attempt: AttemptId,
    to: MemberId,
    replica: ReplicaTag,
    outcome: Outcome,
    /// No resends from this time on.
    resend_until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    QueueDeadline(ReplicaId),
    Resend,
}

impl Runner {
    /// Creates the runner of `thread`, one of `threads`; `seed` seeds its random choices.
    pub fn new(thread: ThreadId, threads: usize, view: Arc<View>, seed: u64) -> Self {
        Self {
            thread,
            threads,
            view,
            replicas: Arena::default(),
            jobs: Slab::default(),
            replay_guard: ReplayGuard::default(),
            last_pause: None,
            unacknowledged: Vec::new(),
            resend_timer_set: false,
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns the number of executions that are queued, running or not yet acknowledged.
    pub fn in_progress(&self) -> usize {
        self.jobs.len() + self.unacknowledged.len()
    }

    /// Handles one event and appends the resulting actions to `out`.
    ///
    /// `availability` returns the owner's current state of a replica.
    pub fn handle<F>(&mut self, now: Instant, event: Event, availability: F, out: &mut Vec<Action>)
    where
        F: Fn(ReplicaId) -> Availability,
    {
        match event {
            Event::View(view) => self.view = view,
            Event::Run(from, run) => self.handle_run(now, from, run, availability, out),
            Event::Resumed(pause) => self.last_pause = Some((pause, now + RESUME_BACKLOG_PERIOD)),
            Event::Acknowledged(attempt) => {
                if let Ok(at) = self.find_unacknowledged(attempt) {
                    self.unacknowledged.remove(at);
                }
            }
            Event::CallEnded(key, result) => {
                self.handle_call_ended(now, key, result, availability, out);
            }
            Event::Tick => {
                while let Some(timer) = self.timers.pop_due(now) {
                    match timer {
                        Timer::QueueDeadline(replica) => self.refuse_expired(now, replica, out),
                        Timer::Resend => self.resend(now, out),
                    }
                }
            }
        }
    }

    fn handle_run<F>(
        &mut self,
        now: Instant,
        from: MemberId,
        run: Run,
        availability: F,
        out: &mut Vec<Action>,
    ) where
        F: Fn(ReplicaId) -> Availability,
    {
        if !self.replay_guard.accept(run.attempt) {
            return;
        }
        let time_left = run.time_left.saturating_sub(self.max_message_delay(now));
        let admitted =
            self.owned_replica(run.replica).and_then(|replica| match availability(replica) {
                _ if time_left.is_zero() => Err(FailReason::Deadline),
                Availability::Draining => Err(FailReason::Draining),
                Availability::Ejected if !run.is_last => Err(FailReason::Unreachable),
                Availability::Usable | Availability::Ejected => Ok(replica),
            });
        let replica = match admitted {
            Ok(replica) => replica,
            Err(reason) => {
                let outcome = Outcome::Failed { verdict: Verdict::NotRun, reason };
                return self.report(now, from, &run, outcome, out);
            }
        };
        let (rank, deadline) = (run.rank, now + time_left);
        let key = self.jobs.insert(Job { from, replica, run, request: None });
        let queue = &mut self.replicas[replica].queue;
        let at = queue.partition_point(|(r, d, _)| (*r, *d) <= (rank, deadline));
        queue.insert(at, (rank, deadline, key));
        self.timers.set(deadline, Timer::QueueDeadline(replica));
        self.start_queued(now, replica, availability, out);
        self.trim_queue(now, replica, out);
    }

    /// Refuses the executions beyond the queue limit, which are those of the lowest rank and latest
    /// deadline.
    fn trim_queue(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        let slots = self.view.topology.replicas[replica].settings.slots;
        let limit = QUEUED_PER_RUNNING * usize::from(concurrency_limit(slots));
        let queue = &mut self.replicas[replica].queue;
        let excess = queue.split_off(limit.min(queue.len()));
        for (_, _, key) in excess {
            self.refuse(now, key, FailReason::Overloaded, out);
        }
    }

    /// Returns how long a message received now may have been buffered while the process was paused.
    ///
    /// `time_left` does not account for the buffering, whose length is unknown, so the caller
    /// subtracts the whole pause.
    fn max_message_delay(&self, now: Instant) -> Duration {
        let last_pause = self.last_pause.filter(|(_, until)| now < *until);
        last_pause.map_or(Duration::ZERO, |(length, _)| length)
    }

    /// Returns the replica if this thread owns it, and ensures that `replicas` contains it.
    fn owned_replica(&mut self, tag: ReplicaTag) -> Result<ReplicaId, FailReason> {
        let topology = &self.view.topology;
        let replica = topology.replica(tag).ok_or(FailReason::NotOwner)?;
        let is_owned = topology.replicas[replica].listed
            && self.view.owner(replica) == Some(self.view.own)
            && tag.thread(self.threads) == self.thread;
        if !is_owned {
            return Err(FailReason::NotOwner);
        }
        self.replicas.grow(topology.replicas.len(), ReplicaState::default);
        Ok(replica)
    }

    /// Starts queued executions while the replica is below its concurrency limit.
    fn start_queued<F>(
        &mut self,
        now: Instant,
        replica: ReplicaId,
        availability: F,
        out: &mut Vec<Action>,
    ) where
        F: Fn(ReplicaId) -> Availability,
    {
        let settings = &self.view.topology.replicas[replica].settings;
        let (tag, limit) = (settings.tag, concurrency_limit(settings.slots));
        let draining = availability(replica) == Availability::Draining;
        while self.replicas[replica].running < limit && !self.replicas[replica].queue.is_empty() {
            let (rank, deadline, key) = self.replicas[replica].queue.remove(0);
            if draining || deadline <= now {
                let reason = if draining { FailReason::Draining } else { FailReason::Deadline };
                self.refuse(now, key, reason, out);
                continue;
            }
            let request = QueryTag(self.rng.random());
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.request = Some(request);
            self.replicas[replica].running += 1;
            let id = job.run.key.id;
            out.push(Action::Log(Decision::ExecutionStarted { key: id, replica: tag }));
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

    fn handle_call_ended<F>(
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
            CallResult::Replied { request: echoed_request, shard: echoed_shard, result }
                if echoed_request == request && echoed_shard == shard.name =>
            {
                Outcome::Ran(Execution { replica: job.run.replica, shard: echoed_shard, result })
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
        out.push(Action::ExecutionEnded(replica, failure));
        self.replicas[replica].running -= 1;
        if let Some(job) = self.jobs.remove(key) {
            self.report(now, job.from, &job.run, outcome, out);
        }
        self.start_queued(now, replica, availability, out);
    }

    /// Refuses the queued executions whose deadline passed.
    fn refuse_expired(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        let queue = &mut self.replicas[replica].queue;
        let expired: Vec<_> = queue.extract_if(.., |(_, deadline, _)| *deadline <= now).collect();
        for (_, _, key) in expired {
            self.refuse(now, key, FailReason::Deadline, out);
        }
    }

    /// Removes an execution that was not started and reports it as not run.
    fn refuse(&mut self, now: Instant, key: SlabKey, reason: FailReason, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(key) else { return };
        let outcome = Outcome::Failed { verdict: Verdict::NotRun, reason };
        self.report(now, job.from, &job.run, outcome, out);
    }

    /// Sends the outcome to the holder and keeps it for resending until it is acknowledged.
    fn report(
        &mut self,
        now: Instant,
        to: MemberId,
        run: &Run,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let resend_until = now + RESEND_TIMEOUT;
        let unacked = UnacknowledgedOutcome {
            attempt: run.attempt,
            to,
            replica: run.replica,
            outcome,
            resend_until,
        };
        out.push(unacked.message());
        if self.unacknowledged.len() >= MAX_UNACKNOWLEDGED {
            return;
        }
        if let Err(at) = self.find_unacknowledged(unacked.attempt) {
            self.unacknowledged.insert(at, unacked);
        }
        self.schedule_resend(now);
    }

    fn resend(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.resend_timer_set = false;
        self.unacknowledged.retain(|unacked| now < unacked.resend_until);
        out.extend(self.unacknowledged.iter().map(UnacknowledgedOutcome::message));
        self.schedule_resend(now);
    }

    fn schedule_resend(&mut self, now: Instant) {
        if !self.resend_timer_set && !self.unacknowledged.is_empty() {
            self.resend_timer_set = true;
            self.timers.set(now + RESEND_INTERVAL, Timer::Resend);
        }
    }

    fn find_unacknowledged(&self, attempt: AttemptId) -> Result<usize, usize> {
        self.unacknowledged.binary_search_by_key(&attempt, |unacked| unacked.attempt)
    }
}

impl UnacknowledgedOutcome {
    fn message(&self) -> Action {
        let (attempt, replica) = (self.attempt, self.replica);
        let outcome = self.outcome.clone();
        Action::Send(self.to, ExecuteMessage::AttemptEnded { attempt, replica, outcome })
    }
}

/// Returns how many executions a replica with this many slots runs concurrently.
fn concurrency_limit(slots: u16) -> u16 {
    (slots / EXECUTION_SLOTS_DIVISOR).max(1)
}

#[cfg(test)]
mod tests;
