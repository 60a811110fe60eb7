//! The delay that a peer adds to its replies: the round trip and the wait for its processor.
//!
//! A reply is sent when it is complete, and otherwise at an agreed time after the request arrived.
//! Whatever passes beyond that time is the delay. The entry subtracts it from the time that it
//! gives a peer, so that the last reply arrives in time, and takes a peer for silent only after a
//! delay that this peer has not shown before.

use super::view::Distance;
use std::time::{Duration, Instant};

/// Assumed round trips until one is measured: within a data centre, within a region, between
/// regions.
const INITIAL_ROUND_TRIPS: [Duration; 3] =
    [Duration::from_millis(1), Duration::from_millis(3), Duration::from_millis(40)];

/// The assumed mean deviation of delays until some are measured. A VM with an eighth of a core
/// answers concurrent queries this unevenly.
const INITIAL_DEVIATION: Duration = Duration::from_millis(4);

/// The smallest deviation that is assumed, because timers fire late and VMs are scheduled in slices.
const MIN_DEVIATION: Duration = Duration::from_millis(3);

/// The weights of a new sample in the mean and in the mean deviation.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// A reply is overdue this many mean deviations after its mean delay.
const OVERDUE_DEVIATIONS: f64 = 5.0;

/// The deviations that the last reply is given to arrive in time.
const RESERVED_DEVIATIONS: f64 = 1.0;

/// The time constant with which lateness is forgotten, so that a peer that was slow for a while is
/// expected in time again.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// The measured delays of one peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerDelay {
    /// The shortest round trip seen on the present connection; `None` before one is known.
    round_trip: Option<Duration>,
    /// The mean delay beyond the round trip, in seconds; at least 0.
    lateness: f64,
    /// The mean deviation of the lateness, in seconds; at least 0.
    deviation: f64,
    /// The time up to which `lateness` and `deviation` have decayed.
    updated: Instant,
}

impl PeerDelay {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            round_trip: None,
            lateness: 0.0,
            deviation: INITIAL_DEVIATION.as_secs_f64(),
            updated: now,
        }
    }

    /// Records the round trip of a new connection, which may take another path than the last one.
    pub(super) fn record_round_trip(&mut self, round_trip: Duration) {
        self.round_trip = Some(round_trip);
    }

    /// Records the first reply of a call.
    ///
    /// `elapsed` is the time since the call was sent. `due` is the time after which the peer sends
    /// what it has; a `complete` reply may have been sent at any earlier time.
    pub(super) fn record_reply(
        &mut self,
        (elapsed, due, complete): (Duration, Duration, bool),
        distance: Distance,
        now: Instant,
    ) {
        self.decay(now);
        let round_trip = self.round_trip(distance).min(elapsed);
        if self.round_trip.is_some_and(|known| round_trip < known) {
            self.round_trip = Some(round_trip);
        }
        let least = elapsed.saturating_sub(due + round_trip).as_secs_f64();
        let most = if complete { elapsed.saturating_sub(round_trip).as_secs_f64() } else { least };
        let sample = self.lateness.clamp(least, most.max(least));
        let error = sample - self.lateness;
        self.lateness += error * MEAN_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * DEVIATION_WEIGHT;
    }

    /// Returns the time to leave for the delay of a reply that must not be late.
    pub(super) fn reserve(&mut self, distance: Distance, now: Instant) -> Duration {
        self.after_deviations(RESERVED_DEVIATIONS, distance, now)
    }

    /// Returns the delay after which a reply is overdue.
    pub(super) fn overdue_after(&mut self, distance: Distance, now: Instant) -> Duration {
        self.after_deviations(OVERDUE_DEVIATIONS, distance, now)
    }

    fn after_deviations(&mut self, count: f64, distance: Distance, now: Instant) -> Duration {
        self.decay(now);
        let deviation = self.deviation.max(MIN_DEVIATION.as_secs_f64());
        self.round_trip(distance) + Duration::from_secs_f64(self.lateness + deviation * count)
    }

    fn round_trip(&self, distance: Distance) -> Duration {
        self.round_trip.unwrap_or(INITIAL_ROUND_TRIPS[distance as usize])
    }

    /// Decays the lateness towards 0 and its deviation towards the initial one.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let weight = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        let initial = INITIAL_DEVIATION.as_secs_f64();
        self.lateness *= weight;
        self.deviation = initial + (self.deviation - initial) * weight;
        self.updated = now;
    }
}

#[cfg(test)]
mod tests;
