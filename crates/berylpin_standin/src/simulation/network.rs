//! The queue of events in flight to simulated daemons.

use berylpin_core::arena::{Slab, SlabKey};
use berylpin_core::control::Event;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Minimum and maximum latency of a message.
const MESSAGE_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_micros(200), Duration::from_millis(12));

/// Events in flight, ordered by arrival.
#[derive(Debug)]
pub(super) struct Network {
    /// Arrival, sequence number, receiver and key of each event. Events with the same arrival are
    /// ordered by sequence number, which is the order of sending.
    arrivals: BinaryHeap<Reverse<(Instant, u64, usize, SlabKey)>>,
    events: Slab<Event>,
    sent: u64,
    rng: SmallRng,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { arrivals: BinaryHeap::new(), events: Slab::default(), sent: 0, rng }
    }

    /// Draws the latency of a message.
    pub(super) fn delay(&mut self) -> Duration {
        self.rng.random_range(MESSAGE_DELAY_RANGE.0..MESSAGE_DELAY_RANGE.1)
    }

    /// Schedules an event for a daemon.
    pub(super) fn push(&mut self, at: Instant, to: usize, event: Event) {
        self.sent += 1;
        let key = self.events.insert(event);
        self.arrivals.push(Reverse((at, self.sent, to, key)));
    }

    /// Returns the arrival time of the next event.
    pub(super) fn next_arrival(&self) -> Option<Instant> {
        self.arrivals.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the next event and returns it with its arrival time and receiver.
    pub(super) fn pop(&mut self) -> Option<(Instant, usize, Event)> {
        let Reverse((at, _, to, key)) = self.arrivals.pop()?;
        Some((at, to, self.events.remove(key)?))
    }
}
