//! Overload: floods beyond the capacity of replicas.

use super::harness::Harness;
use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Service times are uniformly distributed from half to one and a half times this mean.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(8);
const SLOTS: u16 = 2;
/// The capacity of one replica, in sub-queries per second. At the mean service time of 8 ms, a slot
/// completes 125 per second.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 125.0;
/// The length of a flood; its first third, in which the shed levels adapt, is excluded from the
/// measurement.
const FLOOD_DURATION: Duration = Duration::from_secs(9);
/// The time left until the deadline of a sub-query on arrival, by rank.
const TIME_LEFT: [Duration; Rank::COUNT] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_secs(5)];

/// One replica with its owner and the times at which its calls will end.
struct Replica {
    harness: Harness,
    call_ends: Vec<(Instant, CallKey)>,
    rng: SmallRng,
}

impl Replica {
    fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { harness: Harness::new(SLOTS), call_ends: Vec::new(), rng }
    }

    fn arrive(&mut self, rank: Rank, level: u16) {
        self.harness.arrive(0, rank, level, TIME_LEFT[rank.index()]);
        self.schedule_call_ends();
    }

    /// Advances time; ends calls and fires timers in order of time.
    fn advance_to(&mut self, end: Instant) {
        while let Some(&(at, key)) = self.call_ends.iter().min().filter(|(at, _)| *at <= end) {
            self.harness.advance(at.saturating_duration_since(self.harness.now));
            self.call_ends.retain(|(_, other)| *other != key);
            if let Some(at) = self.harness.calls.iter().position(|call| call.key == key) {
                // Sub-queries of the harness are pinned to snapshot 5.
                self.harness.end_with_rows(at, Snapshot(5));
            }
            self.schedule_call_ends();
        }
        self.harness.advance(end.saturating_duration_since(self.harness.now));
        self.harness.answer_probes(true);
        self.schedule_call_ends();
    }

    fn schedule_call_ends(&mut self) {
        for call in &self.harness.calls {
            if self.call_ends.iter().all(|(_, key)| *key != call.key) {
                let service_time = MEAN_SERVICE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
                self.call_ends.push((self.harness.now + service_time, call.key));
            }
        }
    }

    fn answered(&self, attempt: usize) -> bool {
        matches!(self.harness.attempts[attempt].replies[..], [Outcome::Rows { .. }])
    }
}

/// Returns random arrivals as time, rank and `QueryTag::level`, sorted by time.
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

/// Returns the sub-queries offered and answered in the last two thirds of a flood, by rank.
fn run_flood(seed: u64, rates: [f64; Rank::COUNT]) -> ([f64; Rank::COUNT], [f64; Rank::COUNT]) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut replica = Replica::new(seed);
    let start = replica.harness.now;
    let arrivals = arrivals(&mut rng, rates, FLOOD_DURATION);
    for &(at, rank, level) in &arrivals {
        replica.advance_to(start + at);
        replica.arrive(rank, level);
    }
    // Longer than any `TIME_LEFT`, so that every sub-query is answered or refused.
    replica.advance_to(start + FLOOD_DURATION + Duration::from_secs(6));
    let mut offered = [0.0; Rank::COUNT];
    let mut answered = [0.0; Rank::COUNT];
    for (attempt, (at, rank, _)) in arrivals.iter().enumerate() {
        if *at >= FLOOD_DURATION / 3 {
            offered[rank.index()] += 1.0;
            answered[rank.index()] += f64::from(u8::from(replica.answered(attempt)));
        }
    }
    (offered, answered)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// In a flood of one rank, the sub-queries of the other ranks, which are within their minimum
    /// shares, are answered.
    #[test]
    fn other_ranks_receive_their_minimum_shares_in_a_flood(
        flooding in prop::sample::select(&Rank::ALL),
        // The rate of the flooding rank, as a multiple of the capacity.
        excess in 1.5_f64..4.0,
        seed in any::<u64>(),
    ) {
        // By rank and as shares of the capacity; below the minimum shares of 0.7, 0.2 and 0.1.
        let shares = [0.6, 0.17, 0.08];
        let mut rates = shares.map(|share| share * CAPACITY_PER_S);
        rates[flooding.index()] = excess * CAPACITY_PER_S;
        let (offered, answered) = run_flood(seed, rates);
        for rank in Rank::ALL.into_iter().filter(|rank| *rank != flooding) {
            let fraction = answered[rank.index()] / offered[rank.index()];
            prop_assert!(fraction > 0.9, "{rank} had {fraction} answered in a flood of {flooding}");
        }
        let total: f64 = answered.iter().sum();
        let capacity = CAPACITY_PER_S * FLOOD_DURATION.as_secs_f64() * 2.0 / 3.0;
        prop_assert!(total > 0.85 * capacity, "{total} of {capacity} answered");
    }

    /// Owners that do not communicate, but have the same load, answer the same queries of a flood.
    #[test]
    fn independent_owners_answer_the_same_queries(
        rank in prop::sample::select(&Rank::ALL),
        // The rate of the flood, as a multiple of the capacity.
        excess in 1.3_f64..6.0,
        seed in any::<u64>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut replicas: Vec<_> = (0..6).map(|n| Replica::new(seed ^ n)).collect();
        let start = replicas[0].harness.now;
        let mut rates = [0.0; Rank::COUNT];
        rates[rank.index()] = excess * CAPACITY_PER_S;
        let arrivals = arrivals(&mut rng, rates, FLOOD_DURATION);
        for replica in &mut replicas {
            let offset = replica.harness.now - start;
            for &(at, rank, level) in &arrivals {
                replica.advance_to(start + offset + at);
                replica.arrive(rank, level);
            }
            replica.advance_to(start + offset + FLOOD_DURATION + TIME_LEFT[rank.index()]);
        }
        let measured = arrivals.iter().enumerate().filter(|(_, (at, ..))| *at > FLOOD_DURATION / 3);
        let answered_by_all = measured
            .filter(|(attempt, _)| replicas.iter().all(|replica| replica.answered(*attempt)))
            .count() as f64;
        let capacity = CAPACITY_PER_S * FLOOD_DURATION.as_secs_f64() * 2.0 / 3.0;
        prop_assert!(
            answered_by_all > 0.75 * capacity,
            "{answered_by_all} of {capacity} answered by all"
        );
    }
}
