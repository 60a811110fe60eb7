//! Floods beyond the capacity of replicas.

use super::harness::World;
use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Mean service time; service times spread evenly from half to one and a half of it.
const SERVICE: Duration = Duration::from_millis(8);
const SLOTS: u16 = 2;
/// What one replica can serve, in sub-queries a second.
const CAPACITY: f64 = SLOTS as f64 * 125.0;
/// How long a flood lasts; its first third is left out of account.
const FLOOD: Duration = Duration::from_secs(9);
const TIME_LEFT: [Duration; Rank::COUNT] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_secs(5)];

/// One replica with its owner and the times at which its calls end.
struct Replica {
    world: World,
    ends: Vec<(Instant, CallKey)>,
    rng: SmallRng,
}

impl Replica {
    fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { world: World::new(SLOTS), ends: Vec::new(), rng }
    }

    fn arrive(&mut self, rank: Rank, level: u16) {
        self.world.arrive(0, rank, level, TIME_LEFT[rank.index()]);
        self.schedule();
    }

    /// Lets time pass; calls end and timers fire in their order.
    fn wait_until(&mut self, end: Instant) {
        while let Some(&(at, key)) = self.ends.iter().min().filter(|(at, _)| *at <= end) {
            self.world.wait(at.saturating_duration_since(self.world.now));
            self.ends.retain(|(_, other)| *other != key);
            if let Some(at) = self.world.calls.iter().position(|call| call.key == key) {
                self.world.end_with_rows(at, Snapshot(5));
            }
            self.schedule();
        }
        self.world.wait(end.saturating_duration_since(self.world.now));
        self.world.answer_probes(true);
        self.schedule();
    }

    fn schedule(&mut self) {
        for call in &self.world.calls {
            if self.ends.iter().all(|(_, key)| *key != call.key) {
                let time = SERVICE.mul_f64(self.rng.random_range(0.5..1.5));
                self.ends.push((self.world.now + time, call.key));
            }
        }
    }

    fn answered(&self, attempt: usize) -> bool {
        matches!(self.world.attempts[attempt].replies[..], [Outcome::Rows { .. }])
    }
}

/// Random arrivals within a time, as pairs of rank and shed level, in order of time.
fn arrivals(
    rng: &mut SmallRng,
    rates: [f64; Rank::COUNT],
    time: Duration,
) -> Vec<(Duration, Rank, u16)> {
    let mut arrivals = Vec::new();
    for rank in Rank::ALL {
        for _ in 0..(rates[rank.index()] * time.as_secs_f64()) as usize {
            let at = time.mul_f64(rng.random_range(0.0..1.0));
            arrivals.push((at, rank, rng.random_range(0..QueryTag::LEVELS)));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Returns what each rank offered and had answered in the last two thirds of a flood.
fn flood(seed: u64, rates: [f64; Rank::COUNT]) -> ([f64; Rank::COUNT], [f64; Rank::COUNT]) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut replica = Replica::new(seed);
    let start = replica.world.now;
    let arrivals = arrivals(&mut rng, rates, FLOOD);
    for &(at, rank, level) in &arrivals {
        replica.wait_until(start + at);
        replica.arrive(rank, level);
    }
    replica.wait_until(start + FLOOD + Duration::from_secs(6));
    let mut offered = [0.0; Rank::COUNT];
    let mut answered = [0.0; Rank::COUNT];
    for (attempt, (at, rank, _)) in arrivals.iter().enumerate() {
        if *at >= FLOOD / 3 {
            offered[rank.index()] += 1.0;
            answered[rank.index()] += f64::from(u8::from(replica.answered(attempt)));
        }
    }
    (offered, answered)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// In a flood of any one rank each other rank has its minimum share answered.
    #[test]
    fn other_ranks_keep_their_shares_in_a_flood(
        flooding in prop::sample::select(&Rank::ALL),
        excess in 1.5_f64..4.0,
        seed in any::<u64>(),
    ) {
        let shares = [0.6, 0.17, 0.08];
        let mut rates = shares.map(|share| share * CAPACITY);
        rates[flooding.index()] = excess * CAPACITY;
        let (offered, answered) = flood(seed, rates);
        for rank in Rank::ALL.into_iter().filter(|rank| *rank != flooding) {
            let part = answered[rank.index()] / offered[rank.index()];
            prop_assert!(part > 0.9, "{rank} had {part} answered in a flood of {flooding}");
        }
        let total: f64 = answered.iter().sum();
        let capacity = CAPACITY * FLOOD.as_secs_f64() * 2.0 / 3.0;
        prop_assert!(total > 0.85 * capacity, "{total} of {capacity} answered");
    }

    /// Owners that never talk to each other answer the same queries of a flood.
    #[test]
    fn independent_owners_drop_the_same_queries(
        rank in prop::sample::select(&Rank::ALL),
        excess in 1.3_f64..6.0,
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut replicas: Vec<_> = (0..6).map(|n| Replica::new(seed ^ n)).collect();
        let start = replicas[0].world.now;
        let mut rates = [0.0; Rank::COUNT];
        rates[rank.index()] = excess * CAPACITY;
        let arrivals = arrivals(&mut rng, rates, FLOOD);
        for replica in &mut replicas {
            let offset = replica.world.now - start;
            for &(at, rank, level) in &arrivals {
                replica.wait_until(start + offset + at);
                replica.arrive(rank, level);
            }
            replica.wait_until(start + offset + FLOOD + TIME_LEFT[rank.index()]);
        }
        let late = arrivals.iter().enumerate().filter(|(_, (at, ..))| *at > FLOOD / 3);
        let whole = late
            .filter(|(attempt, _)| replicas.iter().all(|replica| replica.answered(*attempt)))
            .count() as f64;
        let capacity = CAPACITY * FLOOD.as_secs_f64() * 2.0 / 3.0;
        prop_assert!(whole > 0.75 * capacity, "{whole} of {capacity} answered by all");
    }
}
