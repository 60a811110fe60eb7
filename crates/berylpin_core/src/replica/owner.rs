//! The replicas that one traffic thread owns.

use crate::arena::{Arena, Slab, SlabKey};
use crate::control::View;
use crate::decision::Decision;
use crate::ids::{MemberId, QueryTag, ReplicaId, ReplicaTag, Snapshot, ThreadId};
use crate::message::{
    AttemptId, Batch, FailReason, Hint, Outcome, Part, PartReply, QueryMessage, Row, SnapshotRange,
};
use crate::rank::Rank;
use crate::timers::Timers;
use crate::verdict::Verdict;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often an idle replica is asked for its snapshots.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Weight of a new sample in the mean service time, as a divisor.
const SMOOTHING: u32 = 8;

/// Names a call to an upstream; an old key finds nothing.
pub type CallKey = SlabKey;

/// A call that the shell makes to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Returned with the result.
    pub key: CallKey,
    /// The replica to call.
    pub replica: ReplicaId,
    /// Sent as the request id; the upstream echoes it.
    pub request: QueryTag,
    /// The snapshot to answer from.
    pub snapshot: Snapshot,
    /// How urgent it is.
    pub rank: Rank,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// What is asked.
    pub body: Bytes,
}

/// A probe that the shell makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The replica to probe.
    pub replica: ReplicaId,
}

/// What an upstream said to a call.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// A success status with a well-formed body.
    Rows {
        /// The request id echoed.
        request: QueryTag,
        /// The shard echoed.
        shard: String,
        /// The snapshot of the rows.
        snapshot: Snapshot,
        /// The snapshots that the upstream serves.
        serves: SnapshotRange,
        /// The rows.
        rows: Vec<Row>,
    },
    /// There is no result.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why there is none.
        reason: FailReason,
    },
}

/// What an upstream said to a probe; `None` if nothing useful.
pub type ProbeResult = Option<SnapshotRange>;

/// What happens to the replicas of a thread.
#[derive(Debug)]
pub enum Event {
    /// Control state changed.
    View(Arc<View>),
    /// An entry wants sub-queries run.
    Batch(MemberId, Batch),
    /// An entry does not need sub-queries any more.
    Cancel(Vec<Part>),
    /// An entry asks for the state of replicas.
    Inquire(MemberId, ThreadId, Vec<ReplicaTag>),
    /// A call ended.
    Called(CallKey, CallResult),
    /// A probe ended.
    Probed(ReplicaId, ProbeResult),
    /// A timer may be due.
    Tick,
}

/// What the shell is to do.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon, which may be this one.
    Send(MemberId, QueryMessage),
    /// Call an upstream.
    Call(Call),
    /// Tell an upstream that the result of a call is not needed; its `Called` still follows.
    Abort {
        /// The replica that was called.
        replica: ReplicaId,
        /// The request id of the call.
        request: QueryTag,
    },
    /// Probe an upstream.
    Probe(Probe),
    /// Log a decision.
    Decided(Decision),
}

/// The replicas that one traffic thread owns.
#[derive(Debug)]
pub struct Owner {
    thread: ThreadId,
    threads: usize,
    view: Arc<View>,
    /// Indexed by replica; holds state for those of this thread only.
    replicas: Arena<ReplicaId, ReplicaState>,
    jobs: Slab<Job>,
    timers: Timers<ReplicaId>,
    rng: SmallRng,
}

#[derive(Debug, Default)]
struct ReplicaState {
    /// Whether this thread owns it in the current view.
    owned: bool,
    /// Jobs with a call in progress; never more than the slots of the replica.
    running: u16,
    /// Jobs that wait for a slot, in order of rank and deadline.
    queue: Vec<(Rank, Instant, SlabKey)>,
    snapshots: Option<SnapshotRange>,
    mean_service: Duration,
}

#[derive(Debug)]
struct Job {
    from: MemberId,
    attempt: AttemptId,
    query: QueryTag,
    replica: ReplicaId,
    rank: Rank,
    snapshot: Snapshot,
    body: Bytes,
    /// When the call started and with what request id; `None` while it waits.
    started: Option<(Instant, QueryTag)>,
    /// Whether the entry cancelled it; its slot is taken until the call ends.
    cancelled: bool,
}

impl Owner {
    /// Makes the owner of one of `threads` threads; `seed` drives its random choices.
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
        owner.install(now, view);
        owner
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns how many sub-queries wait or run.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Handles one event and appends what the shell is to do.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.install(now, view),
            Event::Batch(from, batch) => self.batch(now, from, &batch, out),
            Event::Cancel(parts) => self.cancel(&parts, out),
            Event::Inquire(from, thread, tags) => self.inquired(from, thread, &tags, out),
            Event::Called(key, result) => self.called(now, key, result, out),
            Event::Probed(replica, result) => self.replicas[replica].snapshots = result,
            Event::Tick => self.tick(now, out),
        }
    }

    fn install(&mut self, now: Instant, view: Arc<View>) {
        self.view = view;
        self.replicas.grow(self.view.topology.replicas.len(), ReplicaState::default);
        for (id, state) in self.replicas.iter_mut() {
            let replica = &self.view.topology.replicas[id];
            let owned = replica.listed
                && self.view.owner(id) == Some(self.view.own)
                && replica.settings.tag.thread(self.threads) == self.thread;
            if owned && !state.owned {
                self.timers.set(now, id);
            }
            state.owned = owned;
        }
    }

    fn batch(&mut self, now: Instant, from: MemberId, batch: &Batch, out: &mut Vec<Action>) {
        for part in &batch.parts {
            let owned = self.view.topology.replica(part.replica);
            let Some(replica) = owned.filter(|id| self.replicas[*id].owned) else {
                let hint = Hint::default();
                let (verdict, reason) = (Verdict::NotRun, FailReason::NotOwner);
                let outcome = Outcome::Failed { verdict, reason };
                let reply =
                    PartReply { attempt: part.attempt, replica: part.replica, outcome, hint };
                out.push(Action::Send(from, QueryMessage::Reply(reply)));
                continue;
            };
            let deadline = now + batch.time_left;
            let key = self.jobs.insert(Job {
                from,
                attempt: part.attempt,
                query: batch.query,
                replica,
                rank: batch.rank,
                snapshot: batch.snapshot,
                body: batch.body.clone(),
                started: None,
                cancelled: false,
            });
            let queue = &mut self.replicas[replica].queue;
            let entry = (batch.rank, deadline, key);
            let at = queue.binary_search(&entry).unwrap_or_else(|at| at);
            queue.insert(at, entry);
            self.start_waiting(now, replica, out);
        }
    }

    /// Starts waiting jobs while slots are free.
    fn start_waiting(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        let slots = self.view.topology.replicas[replica].settings.slots;
        while self.replicas[replica].running < slots && !self.replicas[replica].queue.is_empty() {
            let (_, deadline, key) = self.replicas[replica].queue.remove(0);
            if deadline <= now {
                self.fail(key, Verdict::NotRun, FailReason::Deadline, out);
                continue;
            }
            let request = QueryTag(self.rng.random());
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.started = Some((now, request));
            self.replicas[replica].running += 1;
            let tag = self.view.topology.replicas[replica].settings.tag;
            out.push(Action::Decided(Decision::Started { query: job.query, replica: tag }));
            out.push(Action::Call(Call {
                key,
                replica,
                request,
                snapshot: job.snapshot,
                rank: job.rank,
                time_left: deadline - now,
                body: job.body.clone(),
            }));
        }
    }

    fn called(&mut self, now: Instant, key: CallKey, result: CallResult, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(key) else { return };
        let Some((started, request)) = job.started else { return };
        let replica = job.replica;
        let state = &mut self.replicas[replica];
        state.running -= 1;
        let elapsed = now.saturating_duration_since(started);
        state.mean_service = (state.mean_service * (SMOOTHING - 1) + elapsed) / SMOOTHING;
        let shard = &self.view.topology.shards[self.view.topology.replicas[replica].shard];
        let outcome = match result {
            CallResult::Rows { request: echoed, shard: name, snapshot, serves, rows } => {
                let matches = echoed == request && name == shard.name && snapshot == job.snapshot;
                if matches {
                    state.snapshots = Some(serves);
                    Outcome::Rows { snapshot, rows }
                } else {
                    Outcome::Failed { verdict: Verdict::MayHaveRun, reason: FailReason::BadReply }
                }
            }
            CallResult::Failed { verdict, reason } => Outcome::Failed { verdict, reason },
        };
        self.respond(key, outcome, out);
        self.start_waiting(now, replica, out);
    }

    fn cancel(&mut self, parts: &[Part], out: &mut Vec<Action>) {
        for part in parts {
            let job = self.jobs.iter().find(|(_, job)| job.attempt == part.attempt);
            let Some((key, job)) = job else { continue };
            let replica = job.replica;
            if let Some((_, request)) = job.started {
                out.push(Action::Abort { replica, request });
                if let Some(job) = self.jobs.get_mut(key) {
                    job.cancelled = true;
                }
            } else {
                self.jobs.remove(key);
                self.replicas[replica].queue.retain(|(_, _, waiting)| *waiting != key);
            }
        }
    }

    fn inquired(
        &self,
        from: MemberId,
        thread: ThreadId,
        tags: &[ReplicaTag],
        out: &mut Vec<Action>,
    ) {
        let known = tags.iter().filter_map(|tag| Some((*tag, self.view.topology.replica(*tag)?)));
        let owned = known.filter(|(_, id)| self.replicas[*id].owned);
        let hints: Vec<_> = owned.map(|(tag, id)| (tag, self.hint(id))).collect();
        if !hints.is_empty() {
            out.push(Action::Send(from, QueryMessage::Hints { thread, hints }));
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(replica) = self.timers.pop_due(now) {
            if self.replicas[replica].owned {
                out.push(Action::Probe(Probe { replica }));
                self.timers.set(now + PROBE_INTERVAL, replica);
            }
        }
    }

    fn fail(&mut self, key: SlabKey, verdict: Verdict, reason: FailReason, out: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get(key) {
            let replica = self.view.topology.replicas[job.replica].settings.tag;
            out.push(Action::Decided(Decision::Refused { query: job.query, replica, reason }));
        }
        self.respond(key, Outcome::Failed { verdict, reason }, out);
    }

    fn respond(&mut self, key: SlabKey, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.remove(key).filter(|job| !job.cancelled) else { return };
        let replica = self.view.topology.replicas[job.replica].settings.tag;
        let hint = self.hint(job.replica);
        let reply = PartReply { attempt: job.attempt, replica, outcome, hint };
        out.push(Action::Send(job.from, QueryMessage::Reply(reply)));
    }

    fn hint(&self, replica: ReplicaId) -> Hint {
        let state = &self.replicas[replica];
        let settings = &self.view.topology.replicas[replica].settings;
        let waiting = state.queue.len() as u32 + u32::from(state.running);
        Hint {
            snapshots: state.snapshots,
            queue_delay: state.mean_service * waiting / u32::from(settings.slots),
            shed_above: [QueryTag::LEVELS; Rank::COUNT],
            usable: !settings.drain,
        }
    }
}

impl ReplicaTag {
    /// Returns the traffic thread, of `threads`, that owns the replica at its owner.
    pub fn thread(self, threads: usize) -> ThreadId {
        use crate::ids::Key;
        ThreadId::from_index((self.0 % threads as u64) as usize)
    }
}
