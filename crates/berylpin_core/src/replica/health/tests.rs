use super::*;
use proptest::prelude::*;

/// Guards against probes that keep a replica in use whose requests all fail.
#[test]
fn answered_probes_do_not_keep_a_failing_replica_usable() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut requests = 0;
    for _ in 0..300 {
        now += Duration::from_secs(1);
        health.probe_succeeded(now);
        while health.is_usable() {
            health.failed(now);
            requests += 1;
        }
    }
    // Three requests until the first ejection, then one after each ejection; they last 1, 2, 4, 8
    // and 16 s, and 30 s from then on.
    assert!((EJECT_FAILURES..EJECT_FAILURES + 15).contains(&requests), "{requests} requests");
}

#[test]
fn two_failures_in_three_requests_eject() {
    let now = Instant::now();
    let mut health = Health::default();
    let mut requests = 0;
    while health.is_usable() && requests < 200 {
        health.failed(now);
        if health.is_usable() {
            health.failed(now);
        }
        health.succeeded();
        requests += 3;
    }
    assert!(requests < 40, "{requests} requests");
}

#[test]
fn draining_replica_returns_only_after_a_restart_or_the_timeout() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut health = Health::default();
    health.mark_draining(now);
    assert_eq!(health.probe_succeeded(now + second), HealthChange::None);
    assert_eq!(health.slots(6), 0);
    health.probe_failed(now + second * 2);
    assert_eq!(health.probe_succeeded(now + second * 3), HealthChange::Returned);
    assert_eq!(health.slots(6), 1);
    health.mark_draining(now);
    assert_eq!(health.probe_succeeded(now + DRAINING_TIMEOUT), HealthChange::Returned);
}

proptest! {
    /// Rare failures never eject, and two consecutive successes end an ejection.
    #[test]
    fn rare_failures_do_not_eject(successes in 3_u32..40, rounds in 1_u32..100) {
        let now = Instant::now();
        let mut health = Health::default();
        for _ in 0..rounds {
            prop_assert_eq!(health.failed(now), HealthChange::None);
            (0..successes).for_each(|_| { health.succeeded(); });
        }
        while health.is_usable() {
            health.failed(now);
        }
        health.succeeded();
        prop_assert_eq!(health.succeeded(), HealthChange::Returned);
        prop_assert_eq!(health.slots(6), 1);
    }
}
