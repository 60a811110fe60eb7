use super::*;
use proptest::prelude::*;

proptest! {
    /// Calls of ordinary service times do not count as stalled, and a call is aborted before its
    /// deadline.
    #[test]
    fn timeouts_exceed_ordinary_latency_and_precede_the_deadline(
        elapsed_ms in prop::collection::vec(5_u64..20, 20..100),
        time_left_ms in 1_u64..10_000,
    ) {
        let mut latencies = Latencies::default();
        for ms in elapsed_ms {
            latencies.record(Rank::Urgent, Duration::from_millis(ms));
        }
        let time_left = Duration::from_millis(time_left_ms);
        let timeout = latencies.stall_timeout(Rank::Urgent, time_left);
        prop_assert!(
            timeout >= MIN_STALL_TIMEOUT && timeout >= time_left / STALL_TIME_LEFT_DIVISOR
        );
        prop_assert!(latencies.stall_timeout(Rank::Urgent, Duration::ZERO) < INITIAL_STALL_TIMEOUT);
        prop_assert!(latencies.call_timeout(Rank::Urgent, time_left) < time_left);
    }

    /// The calls of a replica that became permanently slower stop counting as stalled after a few.
    #[test]
    fn stall_timeout_grows_for_a_replica_that_slowed_down(slowdown in 2_u32..30) {
        let mut latencies = Latencies::default();
        let usual = Duration::from_millis(8);
        for _ in 0..50 {
            latencies.record(Rank::Urgent, usual);
        }
        let mut stalls = 0;
        let time_left = Duration::from_millis(250);
        while latencies.stall_timeout(Rank::Urgent, time_left) < usual * slowdown {
            let timeout = latencies.stall_timeout(Rank::Urgent, time_left);
            latencies.record(Rank::Urgent, timeout);
            stalls += 1;
        }
        prop_assert!(stalls <= 5, "{stalls} stalls");
    }
}

#[test]
fn recent_mean_rises_with_slow_calls_and_decays_while_idle() {
    let mut recent = RecentServiceTime::default();
    for _ in 0..100 {
        recent.record(Duration::from_millis(8));
    }
    // The slower attempt of a hedged pair is cancelled before it ends, and still raises the mean.
    for _ in 0..4 {
        recent.record_at_least(Duration::from_millis(160));
    }
    assert!(recent.mean() > Duration::from_millis(100), "{:?}", recent.mean());
    recent.record_at_least(Duration::from_millis(1));
    assert!(recent.mean() > Duration::from_millis(100), "a call aborted early lowered the mean");
    let probes_until_fast = (0..).take_while(|_| {
        recent.decay();
        recent.mean() > Duration::from_millis(16)
    });
    assert!((20..60).contains(&probes_until_fast.count()));
}
