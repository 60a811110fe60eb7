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
const FIRST_ROUND_TRIPS: [Duration; 3] =
    [Duration::from_micros(400), Duration::from_millis(2), Duration::from_millis(20)];

/// Weight of a new sample in a replica's factor and failure rate.
const SMOOTHING: f64 = 1.0 / 6.0;

/// The highest factor that one sample counts as: one pause alone does not move work to another
/// region, two late answers do.
const FACTOR_LIMIT: f64 = 4.0;

/// How fast an old factor or failure rate is forgotten, so that a slow replica is tried again.
const MEMORY: Duration = Duration::from_secs(3);

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
const NOISE: f64 = 0.1;

/// The part of a replica's connections that daemons use; the rest is left for daemons that this one
/// has not heard of.
const CONNECTIONS_USED: f64 = 0.9;

/// An attempt that a replica has not answered.
#[derive(Clone, Copy, Debug)]
struct Open {
    attempt: AttemptKey,
    sent: Instant,
    /// How long it may take before it counts as late.
    late: Duration,
}

/// What is known of one replica.
#[derive(Debug)]
struct State {
    id: ReplicaId,
    /// In the order of sending.
    open: Vec<Open>,
    heard: Option<Instant>,
    round_trip: Option<Duration>,
    /// Work time in medians of the route; at least a fraction, 1 when unknown.
    factor: f64,
    /// From 0 to 1.
    failure_rate: f64,
    /// When `factor` and `failure_rate` were true.
    updated: Instant,
    busy_until: Option<Instant>,
    down_until: Option<Instant>,
    failed_connections: u32,
    /// Another replica answered at the address.
    replaced: bool,
}

impl State {
    fn new(id: ReplicaId, now: Instant) -> Self {
        Self {
            id,
            open: Vec::new(),
            heard: None,
            round_trip: None,
            factor: 1.0,
            failure_rate: 0.0,
            updated: now,
            busy_until: None,
            down_until: None,
            failed_connections: 0,
            replaced: false,
        }
    }

    /// Lets what was learned long ago count less.
    fn fade(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.factor = 1.0 + (self.factor - 1.0) * kept;
        self.failure_rate *= kept;
        self.updated = now;
    }

    fn learn(&mut self, factor: f64, failure: f64, now: Instant) {
        self.fade(now);
        self.factor += (factor.min(FACTOR_LIMIT) - self.factor) * SMOOTHING;
        self.failure_rate += (failure - self.failure_rate) * SMOOTHING;
    }

    /// Returns whether nothing came for longer than the oldest attempt should take.
    fn is_silent(&self, now: Instant) -> bool {
        self.open.first().is_some_and(|oldest| {
            let since = self.heard.map_or(oldest.sent, |heard| heard.max(oldest.sent));
            now.saturating_duration_since(since) > oldest.late
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
    pub(super) late: Duration,
}

/// All replicas that a thread has used.
#[derive(Debug, Default)]
pub(super) struct Replicas {
    /// Sorted by id.
    states: Vec<State>,
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
        (part, home): (&Part<H>, Option<ReplicaId>),
        now: Instant,
    ) -> Result<Choice, NotSent> {
        let median = route_latencies.median(route.id, route.target_latency);
        let late = route_latencies.late(route.id, route.target_latency);
        let connections = connections(service.max_connections, view.fleet_size);
        let mut best: Option<(Duration, Choice)> = None;
        let mut wait = None;
        for replica in &service.replicas {
            let other = home.is_some_and(|home| home != replica.id);
            if part.tried.contains(&replica.id) || other {
                continue;
            }
            let state = self.state(replica.id, now);
            if state.replaced {
                continue;
            }
            if part.refused.contains(&replica.id) {
                wait.get_or_insert(WaitReason::Refusal);
                continue;
            }
            if state.open.len() >= connections {
                if !state.is_down(now) {
                    wait = Some(WaitReason::Connection);
                }
                continue;
            }
            state.fade(now);
            let round_trip = state.round_trip.unwrap_or(first_round_trip(replica.distance));
            let ahead = (state.open.len() + 1).saturating_sub(replica.slots as usize);
            let queue = 1.0 + ahead as f64 / f64::from(replica.slots);
            let expected = round_trip + median.mul_f64(state.factor.max(0.5) * queue);
            let cost = expected + state.penalty(replica, median, now);
            let cost = cost.mul_f64(1.0 + rng.random_range(0.0..NOISE));
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let late = round_trip + late;
                best = Some((cost, Choice { replica: replica.clone(), late }));
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
    pub(super) fn sent(&mut self, attempt: AttemptKey, choice: &Choice, now: Instant) {
        let open = Open { attempt, sent: now, late: choice.late };
        self.state(choice.replica.id, now).open.push(open);
    }

    /// Notes that an attempt is over; returns how long it took, without the way there and back.
    pub(super) fn ended(&mut self, id: ReplicaId, attempt: AttemptKey, now: Instant) -> Duration {
        let state = self.state(id, now);
        let Some(index) = state.open.iter().position(|open| open.attempt == attempt) else {
            return Duration::ZERO;
        };
        let open = state.open.remove(index);
        let elapsed = now.saturating_duration_since(open.sent);
        elapsed.saturating_sub(state.round_trip.unwrap_or_default())
    }

    /// Learns from an answer that took `factor` medians.
    pub(super) fn answered(&mut self, id: ReplicaId, factor: f64, failed: bool, now: Instant) {
        let state = self.state(id, now);
        state.heard = Some(now);
        state.failed_connections = 0;
        state.down_until = None;
        state.learn(factor, if failed { 1.0 } else { 0.0 }, now);
    }

    /// Learns from an attempt that was given up after `factor` medians.
    pub(super) fn given_up(&mut self, id: ReplicaId, factor: f64, now: Instant) {
        self.state(id, now).learn(factor, 0.0, now);
    }

    /// Learns from a connection that broke or an answer that could not be used.
    pub(super) fn broke(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        let factor = state.factor;
        state.learn(factor, 1.0, now);
    }

    /// Learns from a refusal for want of room.
    pub(super) fn refused(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        state.heard = Some(now);
        state.busy_until = Some(now + BUSY_TIME);
        let factor = state.factor;
        state.learn(factor, 1.0, now);
    }

    /// Learns from a failed connection.
    pub(super) fn unreachable(&mut self, id: ReplicaId, now: Instant) {
        let state = self.state(id, now);
        let doubled = DOWN_TIME * 2u32.pow(state.failed_connections.min(8));
        state.failed_connections += 1;
        state.down_until = Some(now + doubled.min(DOWN_TIME_LIMIT));
    }

    /// Learns that another replica has the address.
    pub(super) fn replaced(&mut self, id: ReplicaId, now: Instant) {
        self.state(id, now).replaced = true;
    }

    /// Learns how long a connection took to open, which is a round trip.
    pub(super) fn connected(&mut self, id: ReplicaId, elapsed: Duration, now: Instant) {
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

    fn state(&mut self, id: ReplicaId, now: Instant) -> &mut State {
        let index = match self.states.binary_search_by_key(&id, |state| state.id) {
            Ok(index) => index,
            Err(index) => {
                self.states.insert(index, State::new(id, now));
                index
            }
        };
        &mut self.states[index]
    }
}

impl State {
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
pub(super) fn home(replicas: &[Arc<Replica>], near: DataCentreId) -> Option<ReplicaTag> {
    let nearest = replicas.iter().min_by_key(|r| (r.data_centre != near, r.tag));
    nearest.map(|replica| replica.tag)
}

fn first_round_trip(distance: Distance) -> Duration {
    FIRST_ROUND_TRIPS[distance as usize]
}

/// Returns how many connections one daemon may have at a replica.
fn connections(accepted: u32, fleet_size: u32) -> usize {
    let part = f64::from(accepted) * CONNECTIONS_USED / f64::from(fleet_size.max(1));
    (part as usize).max(1)
}

#[cfg(test)]
mod tests;
