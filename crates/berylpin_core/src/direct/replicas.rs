//! Per-thread statistics of replicas and the choice of a replica for an attempt.
//!
//! - The *work time* of an attempt is the time from its sending to its end, less the round trip.
//! - The *slowdown* of a replica is the moving average of its work times, each divided by the
//!   median work time of the route; it has no unit, and 1 is usual.
//! - The *cost* of a replica is a duration: the expected time to an answer (round trip, work time
//!   and queueing) plus penalties. The replica with the lowest cost is chosen.

use super::attempts::NotSent;
use super::event::AttemptKey;
use super::former_processes::RETENTION;
use super::in_flight::Part;
use super::route_latency::RouteLatencies;
use super::view::{Distance, Replica, Route, Service, Standing};
use super::wait_queue::WaitReason;
use crate::ids::{DataCentreId, ReplicaId, ReplicaTag};
use rand::Rng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Assumed round trips until one is measured: within a data centre, within a region, between
/// regions.
const INITIAL_ROUND_TRIPS: [Duration; 3] =
    [Duration::from_micros(400), Duration::from_millis(2), Duration::from_millis(20)];

/// The weight of a new sample in a replica's slowdown and failure rate.
const SMOOTHING: f64 = 1.0 / 6.0;

/// The maximum of a slowdown sample. With it, a single pause of a replica does not make replicas in
/// another region cheaper, but two late answers do.
const MAX_SLOWDOWN_SAMPLE: f64 = 4.0;

/// The time constant with which slowdown and failure rate decay, so that a slow replica is chosen
/// again later.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// The penalty of a silent replica. Pauses last about a quarter of a second; this is the expected
/// time until such a pause ends.
const SILENCE_PENALTY: Duration = Duration::from_millis(150);

/// The penalty of a failure rate of 1, in median work times of the route.
const FAILURE_PENALTY: f64 = 6.0;

/// The penalty of a replica in another region, because traffic between regions is billed. The
/// longer round trip is counted separately.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);

/// The penalty of a replica that refused an attempt within the last `BUSY_TIME`.
const BUSY_PENALTY: Duration = Duration::from_millis(60);

/// The penalty of a replica that is down; exceeds the cost of any replica that is not down.
const DOWN_PENALTY: Duration = Duration::from_secs(10);

/// How long a replica counts as busy after a refusal.
const BUSY_TIME: Duration = Duration::from_millis(60);

/// How long a replica counts as down after a failed connection; doubled with each further failure
/// up to `MAX_DOWN_TIME`.
const DOWN_TIME: Duration = Duration::from_millis(250);

/// The limit of the doubled `DOWN_TIME`.
const MAX_DOWN_TIME: Duration = Duration::from_secs(2);

/// The longest pause that a replica can ask for; a wrong value must not exclude it for good. Its id is
/// kept as long without an entry.
const MAX_PAUSE: Duration = RETENTION;

/// The maximum random increase of a cost, as a share, so that daemons choose different replicas.
const COST_JITTER: f64 = 0.1;

/// The share of a replica's connections that known daemons use; the rest is reserved for daemons
/// that this one does not know yet.
const CONNECTION_FRACTION: f64 = 0.9;

/// The share of a replica's connections that its owners may use together.
const OWNER_FRACTION: f64 = 0.5;

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    attempt: AttemptKey,
    sent: Instant,
    /// The time after `sent` from which the attempt is late.
    late_after: Duration,
}

/// The statistics of one replica.
#[derive(Debug)]
struct ReplicaState {
    id: ReplicaId,
    /// Ordered by the time of sending.
    open: Vec<OpenAttempt>,
    last_answer: Option<Instant>,
    round_trip: Option<Duration>,
    /// Moving average of work times in medians of the route; 1 if unknown.
    slowdown: f64,
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// The time up to which `slowdown` and `failure_rate` have decayed.
    updated: Instant,
    busy_until: Option<Instant>,
    /// The end of the pause that the replica asked for; it gets no attempt before.
    paused_until: Option<Instant>,
    down_until: Option<Instant>,
    /// Failed connections since the last answer.
    failed_connections: u32,
    /// Whether the replica can never be used again: another one answered at the address, or it
    /// announced that it leaves.
    gone: bool,
}

impl ReplicaState {
    fn new(id: ReplicaId, now: Instant) -> Self {
        Self {
            id,
            open: Vec::new(),
            last_answer: None,
            round_trip: None,
            slowdown: 1.0,
            failure_rate: 0.0,
            updated: now,
            busy_until: None,
            paused_until: None,
            down_until: None,
            failed_connections: 0,
            gone: false,
        }
    }

    /// Decays slowdown and failure rate towards 1 and 0.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let weight = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.slowdown = 1.0 + (self.slowdown - 1.0) * weight;
        self.failure_rate *= weight;
        self.updated = now;
    }

    fn add_sample(&mut self, slowdown: f64, failure: f64, now: Instant) {
        self.decay(now);
        self.slowdown += (slowdown.min(MAX_SLOWDOWN_SAMPLE) - self.slowdown) * SMOOTHING;
        self.failure_rate += (failure - self.failure_rate) * SMOOTHING;
    }

    /// Returns whether no answer arrived for longer than the `late_after` of the oldest attempt.
    fn is_silent(&self, now: Instant) -> bool {
        self.open.first().is_some_and(|oldest| {
            let since = self.last_answer.map_or(oldest.sent, |last| last.max(oldest.sent));
            now.saturating_duration_since(since) > oldest.late_after
        })
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| until > now)
    }
}

/// The replica chosen for an attempt.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) replica: Arc<Replica>,
    /// The time after sending from which the attempt is late.
    pub(super) late_after: Duration,
}

/// The statistics of all replicas that a thread considered.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    /// Sorted by id.
    states: Vec<ReplicaState>,
}

impl Replicas {
    /// Chooses the replica with the lowest expected cost, among those that the part may be sent to.
    ///
    /// Chooses only `required` if it is given.
    ///
    /// # Errors
    ///
    /// Fails if no replica may be used, or if none may be used before a connection is free or the
    /// back-off ends.
    pub(super) fn choose<H>(
        &mut self,
        service: &Service,
        route: &Route,
        (route_latencies, rng): (&RouteLatencies, &mut SmallRng),
        (part, required): (&Part<H>, Option<ReplicaId>),
        now: Instant,
    ) -> Result<Choice, NotSent> {
        let median = route_latencies.median(route.id, route.target_latency);
        let lateness = route_latencies.lateness_threshold(route.id, route.target_latency);
        let mut best: Option<(Duration, Choice)> = None;
        let (mut wait_reason, mut pause_end) = (None, None);
        for replica in &service.replicas {
            let excluded = required.is_some_and(|required| required != replica.id);
            if part.may_have_run_on.contains(&replica.id) || excluded {
                continue;
            }
            let state = self.state(replica.id, now);
            if state.gone {
                continue;
            }
            if let Some(until) = state.paused_until.filter(|until| *until > now) {
                let earliest = pause_end.map_or(until, |end: Instant| end.min(until));
                pause_end = Some(earliest);
                continue;
            }
            if part.backing_off.contains(&replica.id) {
                wait_reason.get_or_insert(WaitReason::BackOff);
                continue;
            }
            let round_trip = state.round_trip.unwrap_or(initial_round_trip(replica.distance));
            let busy_share = median.div_duration_f64(median + round_trip);
            let needed = f64::from(replica.slots) / busy_share;
            if state.open.len() >= connection_limit(service, needed) {
                if !state.is_down(now) {
                    wait_reason = Some(WaitReason::Connection);
                }
                continue;
            }
            state.decay(now);
            let queued = (state.open.len() + 1).saturating_sub(replica.slots as usize);
            let queueing = 1.0 + queued as f64 / f64::from(replica.slots);
            let expected = round_trip + median.mul_f64(state.slowdown.max(0.5) * queueing);
            let cost = expected + state.penalty(replica, median, now);
            let cost = cost.mul_f64(1.0 + rng.random_range(0.0..COST_JITTER));
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                let late_after = round_trip + lateness;
                best = Some((cost, Choice { replica: replica.clone(), late_after }));
            }
        }
        match (best, wait_reason) {
            // Prefer a wait for a reachable replica to an attempt at one that is down.
            (Some((cost, _)), Some(WaitReason::Connection)) if cost >= DOWN_PENALTY => {
                Err(NotSent::Wait(WaitReason::Connection))
            }
            (Some((_, choice)), _) => Ok(choice),
            (None, Some(reason)) => Err(NotSent::Wait(reason)),
            (None, None) => Err(pause_end
                .map_or(NotSent::NoReplica, |until| NotSent::Wait(WaitReason::Pause(until)))),
        }
    }

    /// Records that an attempt was sent.
    pub(super) fn record_attempt_sent(
        &mut self,
        attempt: AttemptKey,
        choice: &Choice,
        now: Instant,
    ) {
        let open = OpenAttempt { attempt, sent: now, late_after: choice.late_after };
        self.state(choice.replica.id, now).open.push(open);
    }

    /// Records that an attempt ended; returns its work time, which excludes the round trip.
    pub(super) fn record_attempt_ended(
        &mut self,
        id: ReplicaId,
        attempt: AttemptKey,
        now: Instant,
    ) -> Duration {
        let state = self.state(id, now);
        let Some(index) = state.open.iter().position(|open| open.attempt == attempt) else {
            return Duration::ZERO;
        };
        let open = state.open.remove(index);
        let elapsed = now.saturating_duration_since(open.sent);
        elapsed.saturating_sub(state.round_trip.unwrap_or_default())
    }

    /// Records an answer; `slowdown` is its work time in medians of the route, and `failed` is true
    /// for a server error.
    pub(super) fn record_answer(
        &mut self,
        id: ReplicaId,
        slowdown: f64,
        failed: bool,
        now: Instant,
    ) {
        let state = self.state(id, now);
        state.last_answer = Some(now);
        state.failed_connections = 0;
        state.down_until = None;
        state.add_sample(slowdown, if failed { 1.0 } else { 0.0 }, now);
    }

    /// Records an attempt that was aborted; `slowdown` is the time since its sending in medians of
    /// the route.
    pub(super) fn record_abandoned(&mut self, id: ReplicaId, slowdown: f64, now: Instant) {
        self.state(id, now).add_sample(slowdown, 0.0, now);
    }

    /// Records a broken connection or an unusable answer.
    pub(super) fn record_broken(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        let slowdown = state.slowdown;
        state.add_sample(slowdown, 1.0, now);
    }

    /// Records a refusal, which a replica without a free slot sends, and the pause that it asked
    /// for.
    pub(super) fn record_refusal(&mut self, id: ReplicaId, pause: Option<Duration>, now: Instant) {
        if let Some(pause) = pause {
            self.record_pause(id, pause, now);
        }
        let state = self.state(id, now);
        state.last_answer = Some(now);
        state.busy_until = Some(now + BUSY_TIME);
        let slowdown = state.slowdown;
        state.add_sample(slowdown, 1.0, now);
    }

    /// Records the pause that a replica asked for; a shorter one does not end one in force.
    pub(super) fn record_pause(&mut self, id: ReplicaId, pause: Duration, now: Instant) {
        let state = self.state(id, now);
        state.paused_until = state.paused_until.max(Some(now + pause.min(MAX_PAUSE)));
    }

    /// Records a failed connection.
    pub(super) fn record_unreachable(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        let down_time = DOWN_TIME * 2u32.pow(state.failed_connections.min(8));
        state.failed_connections += 1;
        state.down_until = Some(now + down_time.min(MAX_DOWN_TIME));
    }

    /// Records that a replica can never be used again; returns whether that is news.
    ///
    /// A restarted replica has another id.
    pub(super) fn record_gone(&mut self, id: ReplicaId, now: Instant) -> bool {
        !std::mem::replace(&mut self.state(id, now).gone, true)
    }

    /// Records how long a connection took to open, which is a round trip; keeps the minimum.
    pub(super) fn record_connect_time(&mut self, id: ReplicaId, elapsed: Duration, now: Instant) {
        let state = self.state(id, now);
        state.round_trip = Some(state.round_trip.map_or(elapsed, |minimum| minimum.min(elapsed)));
    }

    /// Removes the replicas that `keep` rejects, except those with an open attempt or a pause: their
    /// entries may come back before it ends.
    pub(super) fn retain<F>(&mut self, now: Instant, keep: F)
    where
        F: Fn(ReplicaId) -> bool,
    {
        self.states.retain(|state| !state.is_idle() || state.is_paused(now) || keep(state.id));
    }

    fn state(&mut self, id: ReplicaId, now: Instant) -> &mut ReplicaState {
        let index = match self.states.binary_search_by_key(&id, |state| state.id) {
            Ok(index) => index,
            Err(index) => {
                self.states.insert(index, ReplicaState::new(id, now));
                index
            }
        };
        &mut self.states[index]
    }
}

impl ReplicaState {
    /// Returns the part of a replica's cost that is added to the expected time to an answer.
    fn penalty(&self, replica: &Replica, median: Duration, now: Instant) -> Duration {
        let mut penalty = median.mul_f64(self.failure_rate * FAILURE_PENALTY);
        if replica.distance == Distance::Remote {
            penalty += REMOTE_PENALTY;
        }
        if self.is_silent(now) {
            penalty += SILENCE_PENALTY;
        }
        if self.busy_until.is_some_and(|until| until > now) {
            penalty += BUSY_PENALTY;
        }
        if self.is_down(now) {
            penalty += DOWN_PENALTY;
        }
        penalty
    }
}

/// Returns the replica with the lowest tag in the data centre or, if it has none, anywhere.
///
/// The result does not depend on the location of the daemon, so all daemons agree on it.
pub(super) fn nearest_replica(
    replicas: &[Arc<Replica>],
    data_centre: DataCentreId,
) -> Option<ReplicaTag> {
    let nearest = replicas.iter().min_by_key(|r| (r.data_centre != data_centre, r.tag));
    nearest.map(|replica| replica.tag)
}

fn initial_round_trip(distance: Distance) -> Duration {
    INITIAL_ROUND_TRIPS[distance as usize]
}

/// Returns how many connections one daemon may open to a replica.
///
/// Daemons share them equally, but an owner may open the `needed` ones, which keep the slots of the
/// replica busy, since almost all requests for the replica pass through the owners.
fn connection_limit(service: &Service, needed: f64) -> usize {
    let Standing { fleet_size, owners, is_owner, .. } = service.standing;
    let usable = f64::from(service.max_connections) * CONNECTION_FRACTION;
    let equal = usable / f64::from(fleet_size.max(1));
    let owned = needed.min(usable * OWNER_FRACTION / f64::from(owners.max(1)));
    let share = if is_owner { equal.max(owned) } else { equal };
    (share as usize).max(1)
}

#[cfg(test)]
mod tests;
