//! What the entry knows of each replica, and which one it asks.

use super::owners::Owners;
use super::progress::{Attempt, Progress};
use crate::arena::Arena;
use crate::control::View;
use crate::ids::{GroupId, MemberId, QueryTag, ReplicaId, ShardId, Snapshot};
use crate::latency::Latency;
use crate::limits::{HINT_TTL, effective_shed_level};
use crate::message::{FailReason, Hint, SnapshotRange};
use crate::rank::Rank;
use std::time::{Duration, Instant};

/// How long what an owner said about snapshots and usability holds without a refresh.
const HINT_EXPIRY: Duration = Duration::from_secs(5);

/// Pause between two inquiries about a replica whose snapshots its owner did not know.
const INQUIRY_PAUSE: Duration = Duration::from_millis(250);

/// How long a query waits for owners to say which snapshots they serve.
pub(super) const INQUIRY_WAIT: Duration = Duration::from_millis(50);

/// How long a replica is avoided after a failure; each further one in a row makes it four times
/// as long.
const AVOID_REPLICA: Duration = Duration::from_millis(500);

/// Failures in a row after which the avoidance does not become longer.
const AVOID_STEPS: u32 = 3;

/// Age from which on a hint that says its owner sheds is asked for again.
const SHED_REFRESH: Duration = Duration::from_millis(200);

/// Time after which the measured latency of an unused replica counts half.
const FORGET_LATENCY: Duration = Duration::from_secs(10);

/// The latency assumed of an unmeasured replica in another data centre, in microseconds.
const REMOTE_MICROS: u32 = 10_000;

/// Means that a replica may take before a hedge while its quantiles are unknown.
const UNMEASURED_MEANS: u32 = 4;

/// The unit in which expected delays are compared, in microseconds.
const DELAY_STEP: u32 = 64;

/// What the entry knows of one replica.
#[derive(Clone, Debug)]
struct ReplicaState {
    hint: Hint,
    /// When `hint` came; `None` before the first.
    heard: Option<Instant>,
    /// The first and the last inquiry that no hint followed.
    inquired: Option<(Instant, Instant)>,
    avoid_until: Option<Instant>,
    /// Failures in a row, at most `AVOID_STEPS`.
    failures: u32,
    sampled: Option<Instant>,
    /// Open attempts of this thread.
    in_flight: u32,
    slots: u32,
    /// Whether it runs in the data centre of this daemon.
    local: bool,
    /// The group of its service; `None` before the first view that lists it.
    group: Option<GroupId>,
    latency: Latency,
}

/// What a sub-query asks of a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    pub(super) snapshot: Snapshot,
    pub(super) rank: Rank,
    /// The shed level of the query.
    pub(super) level: u16,
}

/// What a query is judged by before it starts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) rank: Rank,
    /// The shed level of the query.
    pub(super) level: u16,
    pub(super) time_left: Duration,
}

/// The replica chosen for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Route {
    pub(super) replica: ReplicaId,
    pub(super) owner: MemberId,
    /// Whether an earlier attempt at the shard went there.
    pub(super) tried: bool,
    /// Whether its owner takes work for it and it did not fail lately.
    pub(super) healthy: bool,
    /// When its reply is expected, from now.
    pub(super) delay: Duration,
}

/// Latencies over all replicas of a group.
///
/// One replica gives a thread too few samples for quantiles in a small fleet, and a replica that
/// is slow for good would make its own slowness the norm.
#[derive(Clone, Debug, Default)]
struct GroupLatency {
    /// Replicas in the data centre of this daemon.
    local: Latency,
    /// Replicas in other data centres.
    remote: Latency,
}

/// What the entry knows of all replicas; as long as the replica arena of the view.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    states: Arena<ReplicaId, ReplicaState>,
    /// As long as the group arena of the view.
    groups: Arena<GroupId, GroupLatency>,
    pub(super) owners: Owners,
}

impl Replicas {
    /// Follows a change of control state.
    pub(super) fn install(&mut self, view: &View) {
        self.owners.grow(view.members.len());
        self.states.grow(view.topology.replicas.len(), ReplicaState::default);
        self.groups.grow(view.topology.groups.len(), GroupLatency::default);
        let own = &view.members[view.own].data_centre;
        for (id, replica) in view.topology.replicas.iter() {
            let state = &mut self.states[id];
            state.slots = replica.settings.slots.into();
            state.local = replica.settings.data_centre == *own;
            state.group = Some(view.topology.service_of(id).group);
        }
    }

    /// Takes what an owner said about a replica.
    pub(super) fn learn(&mut self, now: Instant, replica: ReplicaId, hint: Hint) {
        let state = &mut self.states[replica];
        if hint.ejected {
            state.avoid_until = Some(now + HINT_EXPIRY);
        } else if state.hint.ejected {
            state.avoid_until = None;
        }
        state.hint = hint;
        state.heard = Some(now);
        state.inquired = None;
    }

    /// Counts an attempt as in flight.
    pub(super) fn started(&mut self, replica: ReplicaId, owner: MemberId) {
        self.states[replica].in_flight += 1;
        self.owners.started(owner);
    }

    /// Counts an attempt as over.
    pub(super) fn ended(&mut self, attempt: &Attempt) {
        self.states[attempt.replica].in_flight -= 1;
        self.owners.ended(attempt.owner);
    }

    /// Takes how long an attempt took that gave rows.
    pub(super) fn succeeded(&mut self, now: Instant, replica: ReplicaId, elapsed: Duration) {
        self.states[replica].failures = 0;
        self.states[replica].avoid_until = None;
        self.sample(now, replica, elapsed);
    }

    fn sample(&mut self, now: Instant, replica: ReplicaId, elapsed: Duration) {
        let state = &mut self.states[replica];
        state.latency.record(elapsed);
        state.sampled = Some(now);
        if let Some(group) = state.group {
            self.groups[group].of(state.local).record(elapsed);
        }
    }

    /// Takes how long an attempt went unanswered, which says something once it is long.
    pub(super) fn sample_unanswered(&mut self, now: Instant, replica: ReplicaId, age: Duration) {
        if self.states[replica].latency.mean().is_none_or(|mean| age > mean) {
            self.sample(now, replica, age);
        }
    }

    /// Avoids a replica for a while after a failure.
    pub(super) fn avoid(&mut self, now: Instant, replica: ReplicaId) {
        let state = &mut self.states[replica];
        let until = now + AVOID_REPLICA * 4_u32.pow(state.failures);
        state.avoid_until = state.avoid_until.max(Some(until));
        state.failures = (state.failures + 1).min(AVOID_STEPS);
    }

    /// Returns all open attempts of this thread.
    #[cfg(test)]
    pub(super) fn in_flight(&self) -> u32 {
        self.states.iter().map(|(_, state)| state.in_flight).sum()
    }

    /// Returns how long to wait for a reply before a hedge; `None` before the first sample.
    ///
    /// That is a quantile of the replica's own latency, or of its group's if that is shorter.
    pub(super) fn hedge_delay(&self, replica: ReplicaId, few_left: bool) -> Option<Duration> {
        let state = &self.states[replica];
        let latency = &state.latency;
        let own = if few_left { latency.p95() } else { latency.p99() };
        let group = state.group.and_then(|group| {
            let GroupLatency { local, remote } = &self.groups[group];
            if state.local { local.p99() } else { remote.p99() }
        });
        let quantile = own.into_iter().chain(group).min();
        quantile.or_else(|| latency.mean().map(|mean| mean * UNMEASURED_MEANS))
    }

    /// Returns whether a replica may get work as far as is known.
    pub(super) fn is_usable(&self, now: Instant, replica: ReplicaId) -> bool {
        let state = &self.states[replica];
        state.hint.usable || state.age(now).is_none_or(|age| age >= HINT_EXPIRY)
    }

    /// Returns the snapshots of a replica that may get work.
    pub(super) fn snapshots(&self, now: Instant, replica: ReplicaId) -> Option<SnapshotRange> {
        let state = &self.states[replica];
        let known = state.age(now).is_some_and(|age| age < HINT_EXPIRY) && state.hint.usable;
        state.hint.snapshots.filter(|_| known)
    }

    /// Returns the snapshots of a replica as last heard, however long ago.
    pub(super) fn last_snapshots(&self, replica: ReplicaId) -> Option<SnapshotRange> {
        self.states[replica].hint.snapshots
    }

    /// Returns whether an inquiry is due, and marks it as made.
    pub(super) fn inquire(&mut self, now: Instant, replica: ReplicaId) -> bool {
        let known = &mut self.states[replica];
        let sheds = known.hint.shed_above.iter().any(|level| *level < QueryTag::LEVELS);
        let refresh = match known.hint.snapshots {
            None => INQUIRY_PAUSE,
            Some(_) if sheds => SHED_REFRESH,
            Some(_) => HINT_TTL,
        };
        let paused = |(_, last)| now.saturating_duration_since(last) < INQUIRY_PAUSE;
        let due =
            known.age(now).is_none_or(|age| age >= refresh) && !known.inquired.is_some_and(paused);
        if due {
            let first = known.inquired.map_or(now, |(first, _)| first);
            known.inquired = Some((first, now));
        }
        due
    }

    /// Returns whether nothing is known of a replica and its owner may soon say something.
    pub(super) fn is_awaited(&self, now: Instant, replica: ReplicaId) -> bool {
        let state = &self.states[replica];
        let known = state.age(now).is_some_and(|age| age < HINT_EXPIRY);
        !known
            && state
                .inquired
                .is_some_and(|(first, _)| now.saturating_duration_since(first) < INQUIRY_WAIT)
    }

    /// Returns whether a replica would shed the query or start it too late.
    ///
    /// Only what its owner said counts: the entry's own latencies outlast a fault by seconds.
    pub(super) fn is_overloaded(&self, now: Instant, replica: ReplicaId, load: Load) -> bool {
        let state = &self.states[replica];
        // All other ranks go before background work, so the delay of the queue is its own.
        let waits = load.rank == Rank::Background
            && Duration::from_micros(state.waiting_micros(now)) > load.time_left;
        waits || state.sheds(now, load.rank, load.level)
    }

    /// Returns why no replica of a shard can be asked.
    pub(super) fn absence(view: &View, shard: ShardId) -> FailReason {
        let mut replicas = view.topology.shards[shard].replicas.iter();
        let owned = replicas.any(|replica| view.owner(*replica).is_some());
        if owned { FailReason::SnapshotGone } else { FailReason::Unreachable }
    }

    /// Chooses the replica with the least expected delay; one that was not tried goes first.
    ///
    /// `spread` is a random number that keeps entries with the same hints from all choosing the
    /// same replica.
    pub(super) fn choose(
        &self,
        now: Instant,
        view: &View,
        wanted: Wanted,
        progress: &Progress,
        spread: u64,
    ) -> Option<Route> {
        let replicas = view.topology.shards[progress.shard].replicas.iter();
        let routes = replicas.enumerate().filter_map(|(index, &replica)| {
            let owner = view.owner(replica)?;
            let state = &self.states[replica];
            if progress.is_open_at(replica) || state.is_excluded(now, wanted.snapshot) {
                return None;
            }
            let tried = progress.was_tried(replica);
            let avoided = is_future(now, state.avoid_until) || self.owners.is_avoided(now, owner);
            let serves = state.hint.snapshots.is_some_and(|range| range.contains(wanted.snapshot));
            let sheds = state.sheds(now, wanted.rank, wanted.level);
            let noise = spread.rotate_left(8 * index as u32) as u32;
            let expected = state.expected_micros(now);
            let delay = Duration::from_micros(expected.into());
            let jittered = expected.saturating_add(expected / 128 * (noise % 32)) / DELAY_STEP;
            let usable = self.is_usable(now, replica);
            let score = (tried, !usable, avoided, !serves, sheds, jittered, !state.local, noise);
            let healthy = usable && !avoided;
            Some((score, Route { replica, owner, tried, healthy, delay }))
        });
        routes.min_by_key(|(score, _)| *score).map(|(_, route)| route)
    }
}

impl GroupLatency {
    fn of(&mut self, local: bool) -> &mut Latency {
        if local { &mut self.local } else { &mut self.remote }
    }
}

impl Default for ReplicaState {
    fn default() -> Self {
        Self {
            hint: Hint::default(),
            heard: None,
            inquired: None,
            avoid_until: None,
            failures: 0,
            sampled: None,
            in_flight: 0,
            slots: 1,
            local: false,
            group: None,
            latency: Latency::default(),
        }
    }
}

impl ReplicaState {
    fn age(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_duration_since(heard))
    }

    /// Returns whether the owner would refuse the sub-query for sure.
    fn is_excluded(&self, now: Instant, snapshot: Snapshot) -> bool {
        let Some(age) = self.age(now) else { return false };
        let gone = self.hint.snapshots.is_some_and(|range| !range.contains(snapshot));
        age < HINT_TTL && gone
    }

    fn sheds(&self, now: Instant, rank: Rank, level: u16) -> bool {
        let shed_above = self.hint.shed_above[rank.index()];
        self.age(now).is_some_and(|age| level >= effective_shed_level(shed_above, age))
    }

    /// Returns how long a sub-query waits at the owner, in microseconds; less as the hint ages.
    fn waiting_micros(&self, now: Instant) -> u64 {
        let trust = HINT_TTL.as_micros() as u64;
        let age = self.age(now).map_or(trust, |age| age.as_micros().min(trust.into()) as u64);
        let queue = self.hint.queue_delay.as_micros().min(u32::MAX.into()) as u64;
        queue * (trust - age) / trust
    }

    /// Returns the delay of one more sub-query, in microseconds.
    fn expected_micros(&self, now: Instant) -> u32 {
        let unmeasured = if self.local { 0 } else { REMOTE_MICROS };
        let mean = self.latency.mean().map_or(unmeasured, |mean| mean.as_micros() as u32);
        // What the owner measured is newer than what this thread saw of the replica.
        let measured = self.hint.service_time.as_micros().min(u32::MAX.into()) as u32;
        let idle = self
            .sampled
            .map_or(0, |at| now.saturating_duration_since(at).as_secs() / FORGET_LATENCY.as_secs());
        let service = (mean >> idle.min(16)).max(measured);
        let own = u64::from(service) * u64::from(self.in_flight) / u64::from(self.slots.max(1));
        (u64::from(service) + self.waiting_micros(now) + own).min(u32::MAX.into()) as u32
    }
}

fn is_future(now: Instant, until: Option<Instant>) -> bool {
    until.is_some_and(|until| until > now)
}
