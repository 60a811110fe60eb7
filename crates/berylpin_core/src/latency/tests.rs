use super::*;
use proptest::prelude::*;

proptest! {
    /// A percentile is never below the exact value and at most one bucket (a quarter) above it.
    #[test]
    fn percentile_error_is_at_most_one_bucket(
        samples in prop::collection::vec(200u32..4_000_000, 32..400),
    ) {
        let mut latency = LatencyHistogram::default();
        for sample in &samples {
            latency.record(Duration::from_micros((*sample).into()));
        }
        let mut sorted = samples.clone();
        sorted.sort_unstable();
        let exact = sorted[(sorted.len() * 95).div_ceil(100) - 1];
        let p95 = latency.percentile_micros(95);
        prop_assert!(p95 >= exact && p95 <= exact + exact / 4 + 1, "{p95} for {exact}");
        prop_assert!(latency.p99() >= latency.p95());
    }

    #[test]
    fn counts_stay_bounded(samples in prop::collection::vec(0u64..u64::MAX / 2, 1..2000)) {
        let mut latency = LatencyHistogram::default();
        for sample in samples {
            latency.record(Duration::from_micros(sample));
            prop_assert!(latency.total < DECAY_TOTAL);
            prop_assert!(latency.mean().is_some());
        }
    }
}

#[test]
fn p95_follows_a_latency_increase_within_400_samples() {
    let mut latency = LatencyHistogram::default();
    (0..400).for_each(|_| latency.record(Duration::from_millis(2)));
    assert!(latency.p95() < Some(Duration::from_millis(3)));
    (0..400).for_each(|_| latency.record(Duration::from_millis(40)));
    assert!(latency.p95() >= Some(Duration::from_millis(40)));
}

#[test]
fn percentiles_are_none_below_the_minimum_sample_count() {
    let mut latency = LatencyHistogram::default();
    (0..MIN_SAMPLES - 1).for_each(|_| latency.record(Duration::from_millis(2)));
    assert_eq!(latency.p95(), None);
}
