use super::*;

#[test]
fn the_back_off_is_bounded() {
    let mut attempts = StartAttempts::default();
    let mut last = Duration::ZERO;
    for _ in 0..1000 {
        attempts.record_failure("address in use");
        assert!(attempts.backoff() >= last && attempts.backoff() <= MAX_BACKOFF);
        last = attempts.backoff();
    }
    assert_eq!((attempts.failures(), last), (1000, MAX_BACKOFF));
}

/// A start that cannot succeed would fill the log with the same line.
#[test]
fn a_cause_is_reported_when_it_is_new_and_then_seldom() {
    let mut attempts = StartAttempts::default();
    let reported = (0..120).filter(|_| attempts.record_failure("address in use")).count();
    assert_eq!(reported, 2);
    assert!(attempts.record_failure("malformed settings"));
    assert!(!attempts.record_failure("malformed settings"));
}
