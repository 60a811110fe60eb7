use super::*;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

#[test]
fn callers_that_take_nothing_are_cut_off_only_for_memory_that_this_frees() {
    let now = Instant::now();
    let mut deliveries = Deliveries::default();
    for (id, bytes) in [(1, 600), (2, 400)] {
        deliveries.start(bytes, Duration::from_secs(10), id, now);
    }
    assert!(deliveries.take_lagging(1, now + MIN_DELIVERY_TIME.saturating_sub(MS)).is_empty());
    let later = now + Duration::from_secs(5);
    assert!(deliveries.take_lagging(1001, later).is_empty());
    let cut_off =
        |cut: Vec<Delivery<i32>>| cut.into_iter().map(|d| d.connection).collect::<Vec<_>>();
    assert_eq!(cut_off(deliveries.take_lagging(600, later)), [1], "the furthest behind");
    assert_eq!(cut_off(deliveries.take_lagging(1, later)), [2]);
    assert!(deliveries.take_lagging(1, later).is_empty(), "each is cut off once");
}

/// A late answer has no time left until the caller's deadline.
#[test]
fn an_answer_that_is_ready_at_the_deadline_may_still_be_taken() {
    let now = Instant::now();
    let mut deliveries = Deliveries::default();
    let key = deliveries.start(100, Duration::ZERO, (), now);
    assert!(deliveries.take_lagging(1, now + MIN_DELIVERY_TIME.saturating_sub(MS)).is_empty());
    deliveries.record_taken(key, 100);
    assert!(deliveries.take_lagging(1, now + MIN_DELIVERY_TIME * 9).is_empty());
}

#[test]
fn a_deadline_in_the_far_future_is_no_error() {
    let now = Instant::now();
    let mut deliveries = Deliveries::default();
    deliveries.start(8 << 20, Duration::MAX, (), now);
    assert!(deliveries.take_lagging(1, now + Duration::from_mins(1)).is_empty());
}

proptest! {
    /// A caller that reads steadily until its deadline was cut off for the answers of others.
    #[test]
    fn a_caller_at_a_steady_pace_is_never_cut_off(
        bytes in 1usize..10_000_000,
        seconds in 1u64..60,
        ahead in 0usize..100_000,
        ticks in 1u64..200,
    ) {
        let (started, time_left) = (Instant::now(), Duration::from_secs(seconds));
        let mut deliveries = Deliveries::default();
        let steady = deliveries.start(bytes, time_left, "steady", started);
        deliveries.start(bytes, time_left, "stalled", started);
        let mut taken = 0;
        for tick in 0..=ticks {
            let due = (bytes as f64 * tick as f64 / ticks as f64).ceil() as usize + ahead;
            let due = due.min(bytes);
            deliveries.record_taken(steady, due - taken);
            taken = due;
            let now = started + time_left.mul_f64(tick as f64 / ticks as f64);
            let cut = deliveries.take_lagging(bytes, now);
            prop_assert!(cut.iter().all(|delivery| delivery.connection == "stalled"));
        }
        deliveries.end(steady);
        let rest = deliveries.take_lagging(1, started + time_left * 2 + MIN_DELIVERY_TIME);
        prop_assert!(rest.iter().all(|delivery| delivery.connection == "stalled"));
        prop_assert!(deliveries.open.is_empty(), "a stalled caller is cut off after its deadline");
    }
}
