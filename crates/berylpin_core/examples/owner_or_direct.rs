//! Compares one owner a replica with direct sending from every entry, in virtual time.
//!
//! A replica has slots and a short first-come queue of its own and sheds beyond it. In front of
//! it stand ranked queues: one at the owner, or one at each entry. Prints the latency of urgent
//! work and the calls that the replica shed, for a normal load and for a flood of the least
//! urgent work.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const SEED: u64 = 1;

/// Virtual time of one run, in microseconds.
const RUN_MICROS: u64 = 60_000_000;

/// Mean service time, in microseconds.
const SERVICE_MICROS: f64 = 8_000.0;

/// Requests that the replica runs at once.
const SLOTS: usize = 2;

/// Requests that may wait at the replica.
const REPLICA_QUEUE: usize = 8;

/// How long a shed request waits before it is sent again, in microseconds.
const BACKOFF_MICROS: u64 = 4_000;

/// Background work older than this is given up, in microseconds.
const BACKGROUND_LIMIT_MICROS: u64 = 500_000;

/// Where the ranked queues stand.
#[derive(Clone, Copy)]
struct Layout {
    name: &'static str,
    /// How many queues there are.
    queues: usize,
    /// Calls that each queue keeps in progress.
    in_progress: usize,
    /// What the way over the queue adds, in microseconds.
    hop_micros: u64,
}

const LAYOUTS: [Layout; 3] = [
    Layout { name: "owner", queues: 1, in_progress: SLOTS, hop_micros: 500 },
    Layout { name: "direct, 1 call each", queues: 9, in_progress: 1, hop_micros: 0 },
    Layout { name: "direct, 25 connections", queues: 9, in_progress: 25 / 9, hop_micros: 0 },
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Work {
    urgent: bool,
    arrived: u64,
    queue: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { urgent: bool },
    Retry(Work),
    Done(Work),
}

struct Queue {
    urgent: VecDeque<Work>,
    background: VecDeque<Work>,
    in_progress: usize,
}

struct Model {
    layout: Layout,
    now: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    queues: Vec<Queue>,
    replica_queue: VecDeque<Work>,
    running: usize,
    shed: u64,
    done: u64,
    urgent_micros: Vec<u64>,
    rng: SmallRng,
}

fn main() {
    println!(
        "{:<24} {:>12} {:>9} {:>9} {:>10} {:>8}",
        "", "background", "p50 ms", "p99 ms", "shed/done", "done/s"
    );
    for flood in [0.3, 1.0, 10.0] {
        for layout in LAYOUTS {
            let mut model = Model::new(layout);
            model.run(0.4, flood);
            model.report(flood);
        }
    }
}

impl Model {
    fn new(layout: Layout) -> Self {
        let queue =
            |_| Queue { urgent: VecDeque::new(), background: VecDeque::new(), in_progress: 0 };
        Self {
            layout,
            now: 0,
            events: BinaryHeap::new(),
            queues: (0..layout.queues).map(queue).collect(),
            replica_queue: VecDeque::new(),
            running: 0,
            shed: 0,
            done: 0,
            urgent_micros: Vec::new(),
            rng: SmallRng::seed_from_u64(SEED),
        }
    }

    /// Runs with rates given as shares of the replica's capacity.
    fn run(&mut self, urgent_share: f64, background_share: f64) {
        let gap = |share: f64| SERVICE_MICROS / SLOTS as f64 / share;
        let gaps = [gap(background_share), gap(urgent_share)];
        self.schedule(0, Event::Arrival { urgent: true });
        self.schedule(0, Event::Arrival { urgent: false });
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            if at > RUN_MICROS {
                break;
            }
            match event {
                Event::Arrival { urgent } => {
                    let next = self.exponential(gaps[usize::from(urgent)]);
                    self.schedule(next, event);
                    let queue = self.rng.random_range(0..self.queues.len());
                    self.enqueue(Work { urgent, arrived: at, queue });
                }
                Event::Retry(work) => self.enqueue(work),
                Event::Done(work) => self.finish(work),
            }
        }
    }

    fn enqueue(&mut self, work: Work) {
        let queue = &mut self.queues[work.queue];
        let list = if work.urgent { &mut queue.urgent } else { &mut queue.background };
        list.push_back(work);
        self.send_from(work.queue);
    }

    /// Sends waiting work, urgent first, while the queue may have more calls in progress.
    fn send_from(&mut self, index: usize) {
        loop {
            let queue = &mut self.queues[index];
            if queue.in_progress >= self.layout.in_progress {
                return;
            }
            let next = queue.urgent.pop_front().or_else(|| queue.background.pop_front());
            let Some(work) = next else { return };
            if !work.urgent && self.now - work.arrived > BACKGROUND_LIMIT_MICROS {
                continue;
            }
            queue.in_progress += 1;
            self.receive(work);
        }
    }

    fn receive(&mut self, work: Work) {
        if self.running < SLOTS {
            return self.start(work);
        }
        if self.replica_queue.len() < REPLICA_QUEUE {
            return self.replica_queue.push_back(work);
        }
        self.shed += 1;
        self.queues[work.queue].in_progress -= 1;
        self.schedule(BACKOFF_MICROS, Event::Retry(work));
    }

    fn start(&mut self, work: Work) {
        self.running += 1;
        let service = self.exponential(SERVICE_MICROS);
        self.schedule(service, Event::Done(work));
    }

    fn finish(&mut self, work: Work) {
        self.running -= 1;
        self.done += 1;
        if work.urgent {
            self.urgent_micros.push(self.now - work.arrived + 2 * self.layout.hop_micros);
        }
        if let Some(next) = self.replica_queue.pop_front() {
            self.start(next);
        }
        self.queues[work.queue].in_progress -= 1;
        self.send_from(work.queue);
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.events.push(Reverse((self.now + after, event)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.rng.random::<f64>()).ln()) as u64
    }

    fn report(&mut self, background: f64) {
        self.urgent_micros.sort_unstable();
        let quantile = |q: f64| {
            let at = ((self.urgent_micros.len() - 1) as f64 * q) as usize;
            self.urgent_micros[at] as f64 / 1000.0
        };
        println!(
            "{:<24} {:>11}x {:>9.1} {:>9.1} {:>10.2} {:>8.0}",
            self.layout.name,
            background,
            quantile(0.5),
            quantile(0.99),
            self.shed as f64 / self.done as f64,
            self.done as f64 / (RUN_MICROS as f64 / 1e6)
        );
    }
}
