//! The entry's view of each replica, and the choice of the replica for an attempt.

use super::owners::Owners;
use super::progress::{Attempt, ShardProgress};
use crate::arena::Arena;
use crate::control::View;
use crate::ids::{GroupId, MemberId, QueryTag, ReplicaId, ShardId, Snapshot};
use crate::latency::LatencyHistogram;
use crate::limits::{HINT_TTL, effective_shed_level};
use crate::message::{FailReason, Hint, SnapshotRange};
use crate::rank::Rank;
use std::time::{Duration, Instant};

/// How long the snapshots and usability in a hint are valid without a newer hint.
const HINT_EXPIRY: Duration = Duration::from_secs(5);

/// The minimum interval between requests for the hint of a replica, and the age at which a hint
/// without snapshots is refreshed.
const HINT_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// How long a query waits for hints of the snapshots that replicas serve.
pub(super) const HINT_WAIT: Duration = Duration::from_millis(50);

/// How long a replica is avoided after a failure; quadrupled for each consecutive failure.
const REPLICA_AVOIDANCE: Duration = Duration::from_millis(500);

/// The number of consecutive failures after which the avoidance stops growing.
const MAX_AVOIDANCE_STEPS: u32 = 3;

/// The age at which the hint of a shedding replica is refreshed.
const SHED_REFRESH: Duration = Duration::from_millis(200);

/// The time in which the mean latency of an unused replica decays by half.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);

/// The latency assumed for a replica without samples in another data centre, in microseconds.
const UNMEASURED_REMOTE_MICROS: u32 = 10_000;

/// The hedge delay of a replica without known percentiles, as a multiple of its mean latency.
const HEDGE_MEAN_FACTOR: u32 = 4;

/// The resolution at which expected delays are compared, in microseconds.
const DELAY_STEP_MICROS: u32 = 64;

/// The state of one replica as the entry knows it.
#[derive(Clone, Debug)]
struct ReplicaState {
    hint: Hint,
    /// When `hint` was received; `None` before the first.
    hint_received: Option<Instant>,
    /// The times of the first and last hint request since the last hint arrived.
    unanswered_requests: Option<(Instant, Instant)>,
    avoid_until: Option<Instant>,
    /// Consecutive failures, at most `MAX_AVOIDANCE_STEPS`.
    failures: u32,
    last_sample: Option<Instant>,
    /// Attempts of this thread that await a reply.
    in_flight: u32,
    slots: u32,
    /// Whether the replica is in the data centre of this daemon.
    local: bool,
    /// The group of the replica's service; `None` before the first view with the replica.
    group: Option<GroupId>,
    latency: LatencyHistogram,
}

/// What a sub-query requires of a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requirements {
    pub(super) snapshot: Snapshot,
    pub(super) rank: Rank,
    /// The `QueryTag::level` of the query, which is compared with the shed level of a replica.
    pub(super) level: u16,
}

/// The properties of a query that decide whether a replica is too loaded for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueryProfile {
    pub(super) rank: Rank,
    /// The `QueryTag::level` of the query, which is compared with the shed level of a replica.
    pub(super) level: u16,
    pub(super) time_left: Duration,
}

/// The replica chosen for an attempt, with its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Route {
    pub(super) replica: ReplicaId,
    pub(super) owner: MemberId,
    /// Whether an earlier attempt at the shard was sent to the replica.
    pub(super) tried: bool,
    /// Whether the replica accepts work and neither it nor its owner is avoided.
    pub(super) healthy: bool,
    /// The expected time until the reply.
    pub(super) delay: Duration,
}

/// Latencies of all replicas of a group.
///
/// In a small fleet, one replica yields too few samples per thread for percentiles. Besides,
/// a permanently slow replica would raise its own hedge delay.
#[derive(Clone, Debug, Default)]
struct GroupLatency {
    /// Replicas in the data centre of this daemon.
    local: LatencyHistogram,
    /// Replicas in other data centres.
    remote: LatencyHistogram,
}

/// The states of all replicas and their owners.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    /// As long as the replica arena of the view.
    states: Arena<ReplicaId, ReplicaState>,
    /// As long as the group arena of the view.
    groups: Arena<GroupId, GroupLatency>,
    pub(super) owners: Owners,
}

impl Replicas {
    /// Adds states for the new replicas, groups and owners of a view and updates their settings.
    pub(super) fn apply_view(&mut self, view: &View) {
        self.owners.grow(view.members.len());
        self.states.grow(view.topology.replicas.len(), ReplicaState::default);
        self.groups.grow(view.topology.groups.len(), GroupLatency::default);
        let own_data_centre = &view.members[view.own].data_centre;
        for (id, replica) in view.topology.replicas.iter() {
            let state = &mut self.states[id];
            state.slots = replica.settings.slots.into();
            state.local = replica.settings.data_centre == *own_data_centre;
            state.group = Some(view.topology.service_of(id).group);
        }
    }

    /// Records a hint; an ejected replica is avoided for `HINT_EXPIRY` or until a hint without
    /// ejection.
    pub(super) fn record_hint(&mut self, now: Instant, replica: ReplicaId, hint: Hint) {
        let state = &mut self.states[replica];
        if hint.ejected {
            state.avoid_until = Some(now + HINT_EXPIRY);
        } else if state.hint.ejected {
            state.avoid_until = None;
        }
        state.hint = hint;
        state.hint_received = Some(now);
        state.unanswered_requests = None;
    }

    /// Counts an attempt as in flight.
    pub(super) fn attempt_started(&mut self, replica: ReplicaId, owner: MemberId) {
        self.states[replica].in_flight += 1;
        self.owners.attempt_started(owner);
    }

    /// Counts an attempt as no longer in flight.
    pub(super) fn attempt_ended(&mut self, attempt: &Attempt) {
        self.states[attempt.replica].in_flight -= 1;
        self.owners.attempt_ended(attempt.owner);
    }

    /// Records an attempt that returned rows after `elapsed`; ends the avoidance of the replica.
    pub(super) fn record_success(&mut self, now: Instant, replica: ReplicaId, elapsed: Duration) {
        self.states[replica].failures = 0;
        self.states[replica].avoid_until = None;
        self.sample(now, replica, elapsed);
    }

    fn sample(&mut self, now: Instant, replica: ReplicaId, elapsed: Duration) {
        let state = &mut self.states[replica];
        state.latency.record(elapsed);
        state.last_sample = Some(now);
        if let Some(group) = state.group {
            self.groups[group].histogram_mut(state.local).record(elapsed);
        }
    }

    /// Records the age of an unanswered attempt as a latency sample if it exceeds the mean.
    ///
    /// A shorter age is no evidence of the latency.
    pub(super) fn sample_unanswered(&mut self, now: Instant, replica: ReplicaId, age: Duration) {
        if self.states[replica].latency.mean().is_none_or(|mean| age > mean) {
            self.sample(now, replica, age);
        }
    }

    /// Avoids a replica after a failure, longer for consecutive failures.
    pub(super) fn avoid(&mut self, now: Instant, replica: ReplicaId) {
        let state = &mut self.states[replica];
        let until = now + REPLICA_AVOIDANCE * 4_u32.pow(state.failures);
        state.avoid_until = state.avoid_until.max(Some(until));
        state.failures = (state.failures + 1).min(MAX_AVOIDANCE_STEPS);
    }

    /// Returns the number of attempts in flight from this thread.
    #[cfg(test)]
    pub(super) fn in_flight(&self) -> u32 {
        self.states.iter().map(|(_, state)| state.in_flight).sum()
    }

    /// Returns how long to wait for a reply before a hedge; `None` before the first sample.
    ///
    /// The delay is the shorter of two percentiles, as far as they are known: the replica's 99th,
    /// or its 95th if `few_left`, and the 99th of the local or of the remote replicas of its group.
    pub(super) fn hedge_delay(&self, replica: ReplicaId, few_left: bool) -> Option<Duration> {
        let state = &self.states[replica];
        let latency = &state.latency;
        let replica_percentile = if few_left { latency.p95() } else { latency.p99() };
        let group_percentile = state.group.and_then(|group| {
            let GroupLatency { local, remote } = &self.groups[group];
            if state.local { local.p99() } else { remote.p99() }
        });
        let percentile = replica_percentile.into_iter().chain(group_percentile).min();
        percentile.or_else(|| latency.mean().map(|mean| mean * HEDGE_MEAN_FACTOR))
    }

    /// Returns false only if a current hint says that the replica accepts no work.
    pub(super) fn is_usable(&self, now: Instant, replica: ReplicaId) -> bool {
        let state = &self.states[replica];
        state.hint.usable || state.hint_age(now).is_none_or(|age| age >= HINT_EXPIRY)
    }

    /// Returns the snapshots of a usable replica with a current hint.
    pub(super) fn snapshots(&self, now: Instant, replica: ReplicaId) -> Option<SnapshotRange> {
        let state = &self.states[replica];
        let is_current =
            state.hint_age(now).is_some_and(|age| age < HINT_EXPIRY) && state.hint.usable;
        state.hint.snapshots.filter(|_| is_current)
    }

    /// Returns the snapshots in the last hint, even if it has expired.
    pub(super) fn last_snapshots(&self, replica: ReplicaId) -> Option<SnapshotRange> {
        self.states[replica].hint.snapshots
    }

    /// Returns whether a request for the hint of a replica is due, and if so records it as sent.
    pub(super) fn record_hint_request_if_due(&mut self, now: Instant, replica: ReplicaId) -> bool {
        let state = &mut self.states[replica];
        let is_shedding = state.hint.shed_from.iter().any(|level| *level < QueryTag::LEVELS);
        let refresh = match state.hint.snapshots {
            None => HINT_REQUEST_INTERVAL,
            Some(_) if is_shedding => SHED_REFRESH,
            Some(_) => HINT_TTL,
        };
        let is_recent = |(_, last)| now.saturating_duration_since(last) < HINT_REQUEST_INTERVAL;
        let is_due = state.hint_age(now).is_none_or(|age| age >= refresh)
            && !state.unanswered_requests.is_some_and(is_recent);
        if is_due {
            let first = state.unanswered_requests.map_or(now, |(first, _)| first);
            state.unanswered_requests = Some((first, now));
        }
        is_due
    }

    /// Returns whether the first hint request for a replica without a current hint was sent within
    /// `HINT_WAIT`.
    pub(super) fn is_hint_pending(&self, now: Instant, replica: ReplicaId) -> bool {
        let state = &self.states[replica];
        let is_current = state.hint_age(now).is_some_and(|age| age < HINT_EXPIRY);
        !is_current
            && state
                .unanswered_requests
                .is_some_and(|(first, _)| now.saturating_duration_since(first) < HINT_WAIT)
    }

    /// Returns whether a replica would shed the query or start it too late.
    ///
    /// Only the owner's hint counts, because the entry's latency samples remain high for seconds
    /// after a fault.
    pub(super) fn is_overloaded(
        &self,
        now: Instant,
        replica: ReplicaId,
        profile: QueryProfile,
    ) -> bool {
        let state = &self.states[replica];
        // All other ranks precede background work, so only for it the whole queue delay applies.
        let queue_too_long = profile.rank == Rank::Background
            && Duration::from_micros(state.queue_delay_micros(now)) > profile.time_left;
        queue_too_long || state.sheds(now, profile.rank, profile.level)
    }

    /// Returns why no replica of a shard can receive an attempt.
    pub(super) fn unroutable_reason(view: &View, shard: ShardId) -> FailReason {
        let mut replicas = view.topology.shards[shard].replicas.iter();
        let owned = replicas.any(|replica| view.owner(*replica).is_some());
        if owned { FailReason::SnapshotGone } else { FailReason::Unreachable }
    }

    /// Chooses the replica for an attempt.
    ///
    /// Prefers, in this order, replicas that are untried, usable, not avoided, known to serve the
    /// snapshot and not shedding; among those, the one with the least expected delay, and of equals
    /// a local one. Replicas with an open attempt at the shard, and those whose fresh hint excludes
    /// the snapshot, are not chosen. `random` varies the choice, so that entries with the same
    /// hints do not all choose the same replica.
    pub(super) fn choose_route(
        &self,
        now: Instant,
        view: &View,
        required: Requirements,
        progress: &ShardProgress,
        random: u64,
    ) -> Option<Route> {
        let replicas = view.topology.shards[progress.shard].replicas.iter();
        let routes = replicas.enumerate().filter_map(|(index, &replica)| {
            let owner = view.owner(replica)?;
            let state = &self.states[replica];
            if progress.is_open_at(replica) || state.lacks_snapshot(now, required.snapshot) {
                return None;
            }
            let tried = progress.was_tried(replica);
            let avoided = is_future(now, state.avoid_until) || self.owners.is_avoided(now, owner);
            let serves =
                state.hint.snapshots.is_some_and(|range| range.contains(required.snapshot));
            let sheds = state.sheds(now, required.rank, required.level);
            let jitter = random.rotate_left(8 * index as u32) as u32;
            let expected = state.expected_delay_micros(now);
            let delay = Duration::from_micros(expected.into());
            // Adds up to a quarter of the expected delay at random.
            let jittered =
                expected.saturating_add(expected / 128 * (jitter % 32)) / DELAY_STEP_MICROS;
            let usable = self.is_usable(now, replica);
            let score = (tried, !usable, avoided, !serves, sheds, jittered, !state.local, jitter);
            let healthy = usable && !avoided;
            Some((score, Route { replica, owner, tried, healthy, delay }))
        });
        routes.min_by_key(|(score, _)| *score).map(|(_, route)| route)
    }
}

impl GroupLatency {
    fn histogram_mut(&mut self, local: bool) -> &mut LatencyHistogram {
        if local { &mut self.local } else { &mut self.remote }
    }
}

impl Default for ReplicaState {
    fn default() -> Self {
        Self {
            hint: Hint::default(),
            hint_received: None,
            unanswered_requests: None,
            avoid_until: None,
            failures: 0,
            last_sample: None,
            in_flight: 0,
            slots: 1,
            local: false,
            group: None,
            latency: LatencyHistogram::default(),
        }
    }
}

impl ReplicaState {
    fn hint_age(&self, now: Instant) -> Option<Duration> {
        self.hint_received.map(|received| now.saturating_duration_since(received))
    }

    /// Returns whether a fresh hint shows that the replica does not serve the snapshot.
    fn lacks_snapshot(&self, now: Instant, snapshot: Snapshot) -> bool {
        let Some(age) = self.hint_age(now) else { return false };
        let lacking = self.hint.snapshots.is_some_and(|range| !range.contains(snapshot));
        age < HINT_TTL && lacking
    }

    fn sheds(&self, now: Instant, rank: Rank, level: u16) -> bool {
        let shed_from = self.hint.shed_from[rank.index()];
        self.hint_age(now).is_some_and(|age| level >= effective_shed_level(shed_from, age))
    }

    /// Returns the hinted queue delay in microseconds, which decays to 0 as the hint ages.
    fn queue_delay_micros(&self, now: Instant) -> u64 {
        let ttl = HINT_TTL.as_micros() as u64;
        let age = self.hint_age(now).map_or(ttl, |age| age.as_micros().min(ttl.into()) as u64);
        let queue = self.hint.queue_delay.as_micros().min(u32::MAX.into()) as u64;
        queue * (ttl - age) / ttl
    }

    /// Returns the expected time until the reply to one more sub-query, in microseconds.
    fn expected_delay_micros(&self, now: Instant) -> u32 {
        let unmeasured = if self.local { 0 } else { UNMEASURED_REMOTE_MICROS };
        let mean = self.latency.mean().map_or(unmeasured, |mean| mean.as_micros() as u32);
        // The owner's figure is more recent than this thread's samples.
        let hinted = self.hint.service_time.as_micros().min(u32::MAX.into()) as u32;
        let half_lives = self.last_sample.map_or(0, |at| {
            now.saturating_duration_since(at).as_secs() / LATENCY_HALF_LIFE.as_secs()
        });
        let service_time = (mean >> half_lives.min(16)).max(hinted);
        let in_flight_delay =
            u64::from(service_time) * u64::from(self.in_flight) / u64::from(self.slots.max(1));
        (u64::from(service_time) + self.queue_delay_micros(now) + in_flight_delay)
            .min(u32::MAX.into()) as u32
    }
}

fn is_future(now: Instant, until: Option<Instant>) -> bool {
    until.is_some_and(|until| until > now)
}
