use super::*;

#[test]
fn probe_is_due_only_for_an_idle_or_unusable_replica() {
    let now = Instant::now();
    let mut schedule = ProbeSchedule::default();
    assert!(schedule.is_due(now, true));
    schedule.last_success = Some(now);
    assert!(!schedule.is_due(now + PROBE_INTERVAL / 2, true));
    assert!(schedule.is_due(now + PROBE_INTERVAL / 2, false));
    assert!(schedule.is_due(now + PROBE_INTERVAL, true));
    schedule.in_flight = true;
    assert!(!schedule.is_due(now + PROBE_INTERVAL, false));
}
