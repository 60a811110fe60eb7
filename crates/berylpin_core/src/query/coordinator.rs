//! The queries that one traffic thread runs as their entry.

use super::answer::{Answer, Coverage, Missing, Refusal, RefusalReason};
use super::snapshot;
use crate::arena::{Arena, Slab, SlabKey};
use crate::control::View;
use crate::decision::{AttemptCause, Decision};
use crate::ids::{MemberId, QueryTag, ReplicaId, ReplicaTag, ShardId, Snapshot, ThreadId};
use crate::message::{
    AttemptId, Batch, FailReason, Hint, Outcome, Part, PartReply, QueryMessage, Row,
};
use crate::rank::Rank;
use crate::timers::Timers;
use crate::verdict::Verdict;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a query waits for owners to say which snapshots they serve.
const INQUIRY_WAIT: Duration = Duration::from_millis(50);

/// Attempts at one shard, the first included.
const ATTEMPT_LIMIT: u8 = 3;

/// Names a caller's request within one thread; chosen by the front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A checked request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// A service or a group.
    pub target: String,
    /// How urgent it is.
    pub rank: Rank,
    /// How long the caller waits.
    pub time_left: Duration,
    /// The most rows wanted.
    pub limit: usize,
    /// What is asked of each shard.
    pub body: Bytes,
}

/// What happens to the queries of a thread.
#[derive(Debug)]
pub enum Event {
    /// Control state changed.
    View(Arc<View>),
    /// A caller sent a request.
    Request(Ticket, Request),
    /// The caller does not wait any more.
    CallerGone(Ticket),
    /// An owner replied to a sub-query.
    Reply(PartReply),
    /// Owners said what state their replicas are in.
    Hints(Vec<(ReplicaTag, Hint)>),
    /// The link to a daemon broke; what was sent over it may be lost.
    LinkDown(MemberId),
    /// A timer may be due.
    Tick,
}

/// What the shell is to do.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a daemon, which may be this one.
    Send(MemberId, QueryMessage),
    /// Answer a caller.
    Answer(Ticket, Result<Answer, Refusal>),
    /// Log a decision.
    Decided(Decision),
}

/// The queries that one traffic thread runs as their entry.
#[derive(Debug)]
pub struct Coordinator {
    thread: ThreadId,
    view: Arc<View>,
    /// Indexed by replica; as long as the replica arena of `view`.
    hints: Arena<ReplicaId, Hint>,
    queries: Slab<Query>,
    timers: Timers<(SlabKey, Timer)>,
    rng: SmallRng,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Inquiry,
    Deadline,
}

#[derive(Debug)]
struct Query {
    ticket: Ticket,
    tag: QueryTag,
    rank: Rank,
    deadline: Instant,
    limit: usize,
    minimum_coverage: f64,
    body: Bytes,
    /// `None` until the snapshot is chosen; never changes afterwards.
    snapshot: Option<Snapshot>,
    /// In the order of the target's shards.
    shards: Vec<ShardProgress>,
    /// Shards without rows and with an attempt in progress.
    open: u32,
    rows: Vec<Row>,
}

#[derive(Debug)]
struct ShardProgress {
    shard: ShardId,
    state: ShardState,
    attempts: u8,
    /// The replica of the newest attempt.
    replica: Option<ReplicaId>,
    /// Whether any attempt may have run.
    verdict: Verdict,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShardState {
    /// An attempt is in progress, or the snapshot is not chosen yet.
    Open,
    /// Its rows are merged.
    Answered,
    /// No attempt is left.
    Missing(FailReason),
}

impl Coordinator {
    /// Makes the coordinator of one thread; `seed` drives its random choices.
    pub fn new(thread: ThreadId, view: Arc<View>, seed: u64) -> Self {
        let mut coordinator = Self {
            thread,
            hints: Arena::default(),
            queries: Slab::default(),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
            view: view.clone(),
        };
        coordinator.install(view);
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
            Event::View(view) => self.install(view),
            Event::Request(ticket, request) => self.begin(now, ticket, request, out),
            Event::CallerGone(ticket) => self.abandon(ticket, out),
            Event::Reply(reply) => self.reply(now, reply, out),
            Event::Hints(hints) => self.learn(now, &hints, out),
            Event::LinkDown(member) => self.link_down(now, member, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn install(&mut self, view: Arc<View>) {
        self.hints.grow(view.topology.replicas.len(), Hint::default);
        self.view = view;
    }

    fn begin(&mut self, now: Instant, ticket: Ticket, request: Request, out: &mut Vec<Action>) {
        let view = self.view.clone();
        let Some((_, shards)) = view.topology.target(&request.target) else {
            let refusal = Refusal {
                verdict: Verdict::NotRun,
                reason: RefusalReason::UnknownTarget,
                retry_after: None,
            };
            return out.push(Action::Answer(ticket, Err(refusal)));
        };
        let progress = |&shard| ShardProgress {
            shard,
            state: ShardState::Open,
            attempts: 0,
            replica: None,
            verdict: Verdict::NotRun,
        };
        let service = &view.topology.services[view.topology.shards[shards[0]].service];
        let deadline = now + request.time_left;
        let key = self.queries.insert(Query {
            ticket,
            tag: QueryTag(self.rng.random()),
            rank: request.rank,
            deadline,
            limit: request.limit,
            minimum_coverage: service.settings.minimum_coverage,
            body: request.body,
            snapshot: None,
            open: shards.len() as u32,
            shards: shards.iter().map(progress).collect(),
            rows: Vec::new(),
        });
        self.timers.set(deadline, (key, Timer::Deadline));
        let unknown = self.unknown_replicas(key);
        if unknown.is_empty() {
            return self.pin(now, key, out);
        }
        self.timers.set(now + INQUIRY_WAIT.min(request.time_left / 4), (key, Timer::Inquiry));
        self.inquire(&unknown, out);
    }

    /// Returns the replicas of shards of which no replica's snapshots are known.
    fn unknown_replicas(&self, key: SlabKey) -> Vec<ReplicaId> {
        let Some(query) = self.queries.get(key) else { return Vec::new() };
        let shards = query.shards.iter().map(|progress| progress.shard);
        shards
            .map(|shard| &self.view.topology.shards[shard].replicas)
            .filter(|replicas| replicas.iter().all(|r| self.hints[*r].snapshots.is_none()))
            .flatten()
            .copied()
            .filter(|replica| self.view.owner(*replica).is_some())
            .collect()
    }

    fn inquire(&self, replicas: &[ReplicaId], out: &mut Vec<Action>) {
        let view = &self.view;
        let asked = replicas.iter().filter_map(|r| Some((view.owner(*r)?, *r)));
        for (owner, replicas) in by_owner(asked.collect()) {
            let tags = replicas.iter().map(|r| view.topology.replicas[*r].settings.tag);
            let message = QueryMessage::Inquire { thread: self.thread, replicas: tags.collect() };
            out.push(Action::Send(owner, message));
        }
    }

    fn learn(&mut self, now: Instant, hints: &[(ReplicaTag, Hint)], out: &mut Vec<Action>) {
        for (tag, hint) in hints {
            if let Some(replica) = self.view.topology.replica(*tag) {
                self.hints[replica] = *hint;
            }
        }
        let waiting: Vec<SlabKey> =
            self.queries.iter().filter(|(_, q)| q.snapshot.is_none()).map(|(key, _)| key).collect();
        for key in waiting {
            if self.unknown_replicas(key).is_empty() {
                self.pin(now, key, out);
            }
        }
    }

    /// Chooses the snapshot and sends the first attempt at every shard.
    fn pin(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(key).filter(|q| q.snapshot.is_none()) else {
            return;
        };
        let mut ranges = Vec::with_capacity(query.shards.len() * 2);
        for (position, progress) in query.shards.iter().enumerate() {
            let replicas = &self.view.topology.shards[progress.shard].replicas;
            let known = replicas.iter().filter_map(|r| self.hints[*r].snapshots);
            ranges.extend(known.map(|range| (position as u32, range)));
        }
        let Some(choice) = snapshot::choose(&ranges) else {
            return self.finish(key, out);
        };
        query.snapshot = Some(choice.snapshot);
        out.push(Action::Decided(Decision::Pinned {
            query: query.tag,
            rank: query.rank,
            snapshot: choice.snapshot,
            shards: query.shards.len() as u32,
            serving: choice.serving,
        }));
        let positions: Vec<u32> = (0..query.shards.len() as u32).collect();
        self.attempt(now, key, &positions, AttemptCause::First, out);
    }

    /// Sends an attempt at each of the given shards, one message an owner.
    fn attempt(
        &mut self,
        now: Instant,
        key: SlabKey,
        positions: &[u32],
        cause: AttemptCause,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let Some(snapshot) = query.snapshot else { return };
        let mut parts = Vec::with_capacity(positions.len());
        for &position in positions {
            let progress = &mut query.shards[position as usize];
            let Some((owner, replica)) = pick(&self.view, &self.hints, progress, snapshot) else {
                progress.state = ShardState::Missing(FailReason::Unreachable);
                query.open -= 1;
                continue;
            };
            let tag = self.view.topology.replicas[replica].settings.tag;
            let ordinal = progress.attempts;
            let attempt = AttemptId { thread: self.thread, query: key, position, ordinal };
            progress.attempts += 1;
            progress.replica = Some(replica);
            out.push(Action::Decided(Decision::Routed { query: query.tag, replica: tag, cause }));
            parts.push((owner, Part { attempt, replica: tag }));
        }
        for (owner, parts) in by_owner(parts) {
            let batch = Batch {
                query: query.tag,
                rank: query.rank,
                time_left: query.deadline.saturating_duration_since(now),
                snapshot,
                body: query.body.clone(),
                parts,
            };
            out.push(Action::Send(owner, QueryMessage::Batch(batch)));
        }
        if query.open == 0 {
            self.finish(key, out);
        }
    }

    fn reply(&mut self, now: Instant, reply: PartReply, out: &mut Vec<Action>) {
        if let Some(replica) = self.view.topology.replica(reply.replica) {
            self.hints[replica] = reply.hint;
        }
        let AttemptId { query: key, position, ordinal, .. } = reply.attempt;
        let Some(query) = self.queries.get_mut(key) else { return };
        let Some(progress) = query.shards.get_mut(position as usize) else { return };
        let current = ordinal + 1 == progress.attempts && progress.state == ShardState::Open;
        if !current {
            return;
        }
        match reply.outcome {
            Outcome::Rows { snapshot, rows } if Some(snapshot) == query.snapshot => {
                progress.state = ShardState::Answered;
                query.open -= 1;
                query.rows.extend(rows);
                if query.open == 0 {
                    self.finish(key, out);
                }
            }
            Outcome::Rows { .. } => self.failed(now, key, position, FailReason::BadReply, out),
            Outcome::Failed { verdict, reason } => {
                progress.verdict = progress.verdict.and(verdict);
                self.failed(now, key, position, reason, out);
            }
        }
    }

    fn failed(
        &mut self,
        now: Instant,
        key: SlabKey,
        position: u32,
        reason: FailReason,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(key) else { return };
        let progress = &mut query.shards[position as usize];
        if progress.attempts < ATTEMPT_LIMIT && now < query.deadline {
            return self.attempt(now, key, &[position], AttemptCause::Retry, out);
        }
        progress.state = ShardState::Missing(reason);
        query.open -= 1;
        if query.open == 0 {
            self.finish(key, out);
        }
    }

    fn link_down(&mut self, now: Instant, member: MemberId, out: &mut Vec<Action>) {
        let view = self.view.clone();
        let lost = |progress: &ShardProgress| {
            progress.state == ShardState::Open
                && progress.replica.and_then(|replica| view.owner(replica)) == Some(member)
        };
        let mut open = Vec::new();
        for (key, query) in self.queries.iter() {
            let positions = query.shards.iter().enumerate().filter(|(_, p)| lost(p));
            open.extend(positions.map(|(position, _)| (key, position as u32)));
        }
        for (key, position) in open {
            self.failed(now, key, position, FailReason::Connection, out);
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((key, timer)) = self.timers.pop_due(now) {
            match timer {
                Timer::Inquiry => self.pin(now, key, out),
                Timer::Deadline => self.finish(key, out),
            }
        }
    }

    fn abandon(&mut self, ticket: Ticket, out: &mut Vec<Action>) {
        let key = self.queries.iter().find(|(_, q)| q.ticket == ticket).map(|(key, _)| key);
        if let Some(query) = key.and_then(|key| self.queries.remove(key).map(|q| (key, q))) {
            self.cancel_open(query.0, &query.1, out);
        }
    }

    /// Answers with what there is and cancels the rest.
    fn finish(&mut self, key: SlabKey, out: &mut Vec<Action>) {
        let Some(mut query) = self.queries.remove(key) else { return };
        self.cancel_open(key, &query, out);
        let missing: Vec<Missing> = query.shards.iter().filter_map(missing_of).collect();
        let asked = query.shards.len() as u32;
        let answered = asked - missing.len() as u32;
        let verdict = query.shards.iter().map(shard_verdict).fold(Verdict::NotRun, Verdict::and);
        let refuse = |reason| Err(Refusal { verdict, reason, retry_after: None });
        let enough = f64::from(answered) >= query.minimum_coverage * f64::from(asked);
        let result = match query.snapshot {
            None => refuse(RefusalReason::NoSnapshot),
            Some(_) if answered == 0 => refuse(RefusalReason::Deadline),
            Some(_) if !enough => refuse(RefusalReason::Coverage),
            Some(snapshot) => {
                query.rows.sort_unstable();
                query.rows.truncate(query.limit);
                let coverage = Coverage { asked, answered, missing };
                Ok(Answer { snapshot, rows: query.rows, coverage })
            }
        };
        out.push(Action::Answer(query.ticket, result));
    }

    fn cancel_open(&self, key: SlabKey, query: &Query, out: &mut Vec<Action>) {
        let mut parts = Vec::new();
        for (position, progress) in query.shards.iter().enumerate() {
            let Some(replica) = progress.replica.filter(|_| progress.state == ShardState::Open)
            else {
                continue;
            };
            let Some(owner) = self.view.owner(replica) else { continue };
            let attempt = AttemptId {
                thread: self.thread,
                query: key,
                position: position as u32,
                ordinal: progress.attempts - 1,
            };
            let tag = self.view.topology.replicas[replica].settings.tag;
            parts.push((owner, Part { attempt, replica: tag }));
        }
        for (owner, parts) in by_owner(parts) {
            out.push(Action::Send(owner, QueryMessage::Cancel(parts)));
        }
    }
}

/// Picks the replica with the least expected delay; one that was not tried yet goes first.
fn pick(
    view: &View,
    hints: &Arena<ReplicaId, Hint>,
    progress: &ShardProgress,
    snapshot: Snapshot,
) -> Option<(MemberId, ReplicaId)> {
    let replicas = &view.topology.shards[progress.shard].replicas;
    let owned = replicas.iter().filter_map(|r| Some((view.owner(*r)?, *r)));
    owned.min_by_key(|(_, replica)| {
        let hint = &hints[*replica];
        let serves = hint.snapshots.is_some_and(|range| range.contains(snapshot));
        (progress.replica == Some(*replica), !serves, !hint.usable, hint.queue_delay)
    })
}

fn missing_of(progress: &ShardProgress) -> Option<Missing> {
    let reason = match progress.state {
        ShardState::Answered => return None,
        ShardState::Open => FailReason::Deadline,
        ShardState::Missing(reason) => reason,
    };
    Some(Missing { shard: progress.shard, reason })
}

fn shard_verdict(progress: &ShardProgress) -> Verdict {
    match progress.state {
        ShardState::Answered => Verdict::Ran,
        ShardState::Open if progress.attempts > 0 => Verdict::MayHaveRun,
        ShardState::Open | ShardState::Missing(_) => progress.verdict,
    }
}

/// Gathers items by owner, owners in order of their ids.
fn by_owner<T>(mut items: Vec<(MemberId, T)>) -> Vec<(MemberId, Vec<T>)> {
    items.sort_by_key(|(owner, _)| *owner);
    let mut gathered: Vec<(MemberId, Vec<T>)> = Vec::new();
    for (owner, item) in items {
        match gathered.last_mut() {
            Some((known, items)) if *known == owner => items.push(item),
            _ => gathered.push((owner, vec![item])),
        }
    }
    gathered
}
