//! Compares routing through one owner per replica with direct sending from every entry, by a
//! simulation in virtual time.
//!
//! The simulated replica has slots and a short FIFO queue and sheds requests beyond them. Requests
//! reach it through queues ordered by rank: one at the owner, or one at each entry. The program
//! prints the latency of urgent requests and the number of calls shed per completed call, under
//! normal load and under overload by background requests.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const SEED: u64 = 1;

/// Duration of one run in virtual time, in microseconds.
const RUN_MICROS: u64 = 60_000_000;

/// Mean service time, in microseconds.
const SERVICE_MICROS: f64 = 8_000.0;

/// Requests that the replica runs concurrently.
const SLOTS: usize = 2;

/// Maximum length of the queue at the replica.
const MAX_QUEUED_AT_REPLICA: usize = 8;

/// Back-off before a shed request is retried, in microseconds.
const BACKOFF_MICROS: u64 = 4_000;

/// Age at which a background request is discarded, in microseconds.
const BACKGROUND_TIMEOUT_MICROS: u64 = 500_000;

/// Placement of the rank-ordered queues.
#[derive(Clone, Copy)]
struct Layout {
    name: &'static str,
    /// Number of queues.
    queue_count: usize,
    /// Maximum number of calls in flight per queue.
    calls_per_queue: usize,
    /// One-way latency of the extra hop to the queue, in microseconds.
    hop_latency_micros: u64,
}

const LAYOUTS: [Layout; 3] = [
    Layout { name: "owner", queue_count: 1, calls_per_queue: SLOTS, hop_latency_micros: 500 },
    Layout {
        name: "direct, 1 call each",
        queue_count: 9,
        calls_per_queue: 1,
        hop_latency_micros: 0,
    },
    Layout {
        name: "direct, 25 connections",
        queue_count: 9,
        calls_per_queue: 25 / 9,
        hop_latency_micros: 0,
    },
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    urgent: bool,
    /// Time of arrival, in microseconds.
    arrived: u64,
    /// Index of the rank-ordered queue.
    queue: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { urgent: bool },
    Retry(Request),
    Done(Request),
}

struct Queue {
    urgent: VecDeque<Request>,
    background: VecDeque<Request>,
    /// Calls at the replica, queued or running.
    in_flight: usize,
}

struct Model {
    layout: Layout,
    /// Virtual time, in microseconds.
    now: u64,
    /// The time of each event in microseconds, and the event.
    events: BinaryHeap<Reverse<(u64, Event)>>,
    queues: Vec<Queue>,
    replica_queue: VecDeque<Request>,
    /// Requests running at the replica.
    running: usize,
    /// Calls shed by the replica.
    shed: u64,
    /// Calls completed by the replica.
    done: u64,
    urgent_latencies_micros: Vec<u64>,
    rng: SmallRng,
}

fn main() {
    println!(
        "{:<24} {:>12} {:>9} {:>9} {:>10} {:>8}",
        "", "background", "p50 ms", "p99 ms", "shed/done", "done/s"
    );
    for background_load in [0.3, 1.0, 10.0] {
        for layout in LAYOUTS {
            let mut model = Model::new(layout);
            model.run(0.4, background_load);
            model.report(background_load);
        }
    }
}

impl Model {
    fn new(layout: Layout) -> Self {
        let queue =
            |_| Queue { urgent: VecDeque::new(), background: VecDeque::new(), in_flight: 0 };
        Self {
            layout,
            now: 0,
            events: BinaryHeap::new(),
            queues: (0..layout.queue_count).map(queue).collect(),
            replica_queue: VecDeque::new(),
            running: 0,
            shed: 0,
            done: 0,
            urgent_latencies_micros: Vec::new(),
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    /// Runs the simulation with arrival rates given as fractions of the replica's capacity.
    fn run(&mut self, urgent_load: f64, background_load: f64) {
        // Mean times between arrivals, in microseconds.
        let mean_gap = |load: f64| SERVICE_MICROS / SLOTS as f64 / load;
        let mean_gaps = [mean_gap(background_load), mean_gap(urgent_load)];
        self.schedule(0, Event::Arrival { urgent: true });
        self.schedule(0, Event::Arrival { urgent: false });
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            if at > RUN_MICROS {
                break;
            }
            match event {
                Event::Arrival { urgent } => {
                    let next = self.exponential(mean_gaps[usize::from(urgent)]);
                    self.schedule(next, event);
                    let queue = self.rng.random_range(0..self.queues.len());
                    self.enqueue(Request { urgent, arrived: at, queue });
                }
                Event::Retry(request) => self.enqueue(request),
                Event::Done(request) => self.finish(request),
            }
        }
    }

    fn enqueue(&mut self, request: Request) {
        let queue = &mut self.queues[request.queue];
        let ranked = if request.urgent { &mut queue.urgent } else { &mut queue.background };
        ranked.push_back(request);
        self.send_from(request.queue);
    }

    /// Sends queued requests, urgent ones first, until the queue's limit of calls in flight.
    fn send_from(&mut self, index: usize) {
        loop {
            let queue = &mut self.queues[index];
            if queue.in_flight >= self.layout.calls_per_queue {
                return;
            }
            let next = queue.urgent.pop_front().or_else(|| queue.background.pop_front());
            let Some(request) = next else { return };
            if !request.urgent && self.now - request.arrived > BACKGROUND_TIMEOUT_MICROS {
                continue;
            }
            queue.in_flight += 1;
            self.receive(request);
        }
    }

    /// Runs a request at the replica, queues it there or sheds it.
    fn receive(&mut self, request: Request) {
        if self.running < SLOTS {
            return self.start(request);
        }
        if self.replica_queue.len() < MAX_QUEUED_AT_REPLICA {
            return self.replica_queue.push_back(request);
        }
        self.shed += 1;
        self.queues[request.queue].in_flight -= 1;
        self.schedule(BACKOFF_MICROS, Event::Retry(request));
    }

    fn start(&mut self, request: Request) {
        self.running += 1;
        let service_micros = self.exponential(SERVICE_MICROS);
        self.schedule(service_micros, Event::Done(request));
    }

    fn finish(&mut self, request: Request) {
        self.running -= 1;
        self.done += 1;
        if request.urgent {
            self.urgent_latencies_micros
                .push(self.now - request.arrived + 2 * self.layout.hop_latency_micros);
        }
        if let Some(next) = self.replica_queue.pop_front() {
            self.start(next);
        }
        self.queues[request.queue].in_flight -= 1;
        self.send_from(request.queue);
    }

    fn schedule(&mut self, delay_micros: u64, event: Event) {
        self.events.push(Reverse((self.now + delay_micros, event)));
    }

    /// Draws an exponentially distributed duration, in microseconds.
    fn exponential(&mut self, mean_micros: f64) -> u64 {
        (-mean_micros * (1.0 - self.rng.random::<f64>()).ln()) as u64
    }

    fn report(&mut self, background_load: f64) {
        self.urgent_latencies_micros.sort_unstable();
        let quantile = |q: f64| {
            let at = ((self.urgent_latencies_micros.len() - 1) as f64 * q) as usize;
            self.urgent_latencies_micros[at] as f64 / 1000.0
        };
        println!(
            "{:<24} {:>11}x {:>9.1} {:>9.1} {:>10.2} {:>8.0}",
            self.layout.name,
            background_load,
            quantile(0.5),
            quantile(0.99),
            self.shed as f64 / self.done as f64,
            self.done as f64 / (RUN_MICROS as f64 / 1e6)
        );
    }
}
