//! What a traffic thread knows of each replica, and the choice between replicas.

use super::attempts::NotSent;
use super::event::AttemptKey;
use super::in_flight::Part;
use super::route_latency::RouteLatencies;
use super::view::{Distance, Replica, Route, Service, View};
use super::wait_queue::WaitReason;
use crate::ids::{DataCentreId, ReplicaId, ReplicaTag};
use rand::Rng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Round trips until one is measured: within a data centre, a region, and between regions.
const INITIAL_ROUND_TRIPS: [Duration; 3] =
    [Duration::from_micros(400), Duration::from_millis(2), Duration::from_millis(20)];

/// Weight of a new sample in a replica's slowdown and failure rate.
const SMOOTHING: f64 = 1.0 / 6.0;

/// The highest slowdown that one sample counts as: one pause alone does not move work to another
/// region, two late answers do.
const SLOWDOWN_LIMIT: f64 = 4.0;

/// How fast an old slowdown or failure rate is forgotten, so that a slow replica is tried again.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// What a silent replica is expected to cost: the rest of a pause of about a quarter of a second.
const SILENCE_COST: Duration = Duration::from_millis(150);

/// What one failure in each attempt would cost, in medians.
const FAILURE_COST: f64 = 6.0;

/// What a replica costs that is far away, beside the round trip: its bytes are paid for.
const REMOTE_COST: Duration = Duration::from_millis(4);

/// What a replica costs that refused just now.
const BUSY_COST: Duration = Duration::from_millis(60);

/// What a replica costs that cannot be connected to; more than any other cost.
const DOWN_COST: Duration = Duration::from_secs(10);

/// How long a replica that refused counts as busy.
const BUSY_TIME: Duration = Duration::from_millis(60);

/// How long a replica counts as down after one failed connection, doubled with each further one.
const DOWN_TIME: Duration = Duration::from_millis(250);
const DOWN_TIME_LIMIT: Duration = Duration::from_secs(2);

/// Up to this share of the cost is added at random, so that daemons do not all choose alike.
const COST_JITTER: f64 = 0.1;

/// The part of a replica's connections that daemons use; the rest is left for daemons that this one
/// has not heard of.
const CONNECTION_SHARE: f64 = 0.9;

/// An attempt that a replica has not answered.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    attempt: AttemptKey,
    sent: Instant,
    /// How long it may take before it counts as late.
    late_after: Duration,
}

/// What is known of one replica.
#[derive(Debug)]
struct ReplicaState {
    id: ReplicaId,
    /// In the order of sending.
    open: Vec<OpenAttempt>,
    last_answer: Option<Instant>,
    round_trip: Option<Duration>,
    /// Work time in medians of the route; at least a fraction, 1 when unknown.
    slowdown: f64,
    /// From 0 to 1.
    failure_rate: f64,
    /// When `slowdown` and `failure_rate` were true.
    updated: Instant,
    busy_until: Option<Instant>,
    down_until: Option<Instant>,
    failed_connections: u32,
    /// Another replica answered at the address.
    replaced: bool,
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
            down_until: None,
            failed_connections: 0,
            replaced: false,
        }
    }

    /// Lets what was learned long ago count less.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let weight = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.slowdown = 1.0 + (self.slowdown - 1.0) * weight;
        self.failure_rate *= weight;
        self.updated = now;
    }

    fn add_sample(&mut self, slowdown: f64, failure: f64, now: Instant) {
        self.decay(now);
        self.slowdown += (slowdown.min(SLOWDOWN_LIMIT) - self.slowdown) * SMOOTHING;
        self.failure_rate += (failure - self.failure_rate) * SMOOTHING;
    }

    /// Returns whether nothing came for longer than the oldest attempt should take.
    fn is_silent(&self, now: Instant) -> bool {
        self.open.first().is_some_and(|oldest| {
            let since = self.last_answer.map_or(oldest.sent, |last| last.max(oldest.sent));
            now.saturating_duration_since(since) > oldest.late_after
        })
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| until > now)
    }
}

/// A replica that was chosen.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) replica: Arc<Replica>,
    /// When the answer is due; later than that counts as late.
    pub(super) late_after: Duration,
}

/// All replicas that a thread has used.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    /// Sorted by id.
    states: Vec<ReplicaState>,
}

impl Replicas {
    /// Chooses the replica that is expected to answer first, of those that the part may be sent to.
    ///
    /// With `home` no other replica than that one is chosen.
    pub(super) fn choose<H>(
        &mut self,
        (view, service): (&View, &Service),
        route: &Route,
        (route_latencies, rng): (&RouteLatencies, &mut SmallRng),
        (part, pinned): (&Part<H>, Option<ReplicaId>),
        now: Instant,
    ) -> Result<Choice, NotSent> {
        let median = route_latencies.median(route.id, route.target_latency);
        let lateness = route_latencies.lateness_threshold(route.id, route.target_latency);
        let connection_limit = connection_limit(service.max_connections, view.fleet_size);
        let mut best: Option<(Duration, Choice)> = None;
        let mut wait = None;
        for replica in &service.replicas {
            let excluded = pinned.is_some_and(|pinned| pinned != replica.id);
            if part.tried.contains(&replica.id) || excluded {
                continue;
            }
            let state = self.state(replica.id, now);
            if state.replaced {
                continue;
            }
            if part.refused.contains(&replica.id) {
                wait.get_or_insert(WaitReason::BackOff);
                continue;
            }
            if state.open.len() >= connection_limit {
                if !state.is_down(now) {
                    wait = Some(WaitReason::Connection);
                }
                continue;
            }
            state.decay(now);
            let round_trip = state.round_trip.unwrap_or(initial_round_trip(replica.distance));
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
        match (best, wait) {
            // One that answers is worth waiting for.
            (Some((cost, _)), Some(WaitReason::Connection)) if cost >= DOWN_COST => {
                Err(NotSent::Wait(WaitReason::Connection))
            }
            (Some((_, choice)), _) => Ok(choice),
            (None, Some(wait)) => Err(NotSent::Wait(wait)),
            (None, None) => Err(NotSent::NoReplica),
        }
    }

    /// Notes that an attempt was sent.
    pub(super) fn attempt_sent(&mut self, attempt: AttemptKey, choice: &Choice, now: Instant) {
        let open = OpenAttempt { attempt, sent: now, late_after: choice.late_after };
        self.state(choice.replica.id, now).open.push(open);
    }

    /// Notes that an attempt is over; returns how long it took, without the way there and back.
    pub(super) fn attempt_ended(
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

    /// Learns from an answer that took `slowdown` medians.
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

    /// Learns from an attempt that was given up after `slowdown` medians.
    pub(super) fn record_abandoned(&mut self, id: ReplicaId, slowdown: f64, now: Instant) {
        self.state(id, now).add_sample(slowdown, 0.0, now);
    }

    /// Learns from a connection that broke or an answer that could not be used.
    pub(super) fn record_broken(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        let slowdown = state.slowdown;
        state.add_sample(slowdown, 1.0, now);
    }

    /// Learns from a refusal for want of room.
    pub(super) fn record_refusal(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        state.last_answer = Some(now);
        state.busy_until = Some(now + BUSY_TIME);
        let slowdown = state.slowdown;
        state.add_sample(slowdown, 1.0, now);
    }

    /// Learns from a failed connection.
    pub(super) fn record_unreachable(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        let down_time = DOWN_TIME * 2u32.pow(state.failed_connections.min(8));
        state.failed_connections += 1;
        state.down_until = Some(now + down_time.min(DOWN_TIME_LIMIT));
    }

    /// Learns that another replica has the address.
    pub(super) fn record_replaced(&mut self, id: ReplicaId, now: Instant) {
        self.state(id, now).replaced = true;
    }

    /// Learns how long a connection took to open, which is a round trip.
    pub(super) fn record_connect_time(&mut self, id: ReplicaId, elapsed: Duration, now: Instant) {
        let state = self.state(id, now);
        state.round_trip = Some(state.round_trip.map_or(elapsed, |least| least.min(elapsed)));
    }

    /// Forgets replicas that `keep` turns down and that have no attempt open.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(ReplicaId) -> bool,
    {
        self.states.retain(|state| !state.is_idle() || keep(state.id));
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
    /// Returns what speaks against a replica beside its expected time.
    fn penalty(&self, replica: &Replica, median: Duration, now: Instant) -> Duration {
        let mut penalty = median.mul_f64(self.failure_rate * FAILURE_COST);
        if replica.distance == Distance::Remote {
            penalty += REMOTE_COST;
        }
        if self.is_silent(now) {
            penalty += SILENCE_COST;
        }
        if self.busy_until.is_some_and(|until| until > now) {
            penalty += BUSY_COST;
        }
        if self.is_down(now) {
            penalty += DOWN_COST;
        }
        penalty
    }
}

/// Returns the replica of a service that is nearest to a data centre.
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

/// Returns how many connections one daemon may have at a replica.
fn connection_limit(accepted: u32, fleet_size: u32) -> usize {
    let share = f64::from(accepted) * CONNECTION_SHARE / f64::from(fleet_size.max(1));
    (share as usize).max(1)
}

#[cfg(test)]
mod tests;
