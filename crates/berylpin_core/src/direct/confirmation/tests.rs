use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_answer_ends_the_period_of_all_failures_before_it() {
    let start = Instant::now();
    let mut confirmation = Confirmation::new(start);
    confirmation.record_answer(start + SECOND);
    confirmation.record_failure(start + 3 * SECOND);
    confirmation.record_failure(start + 4 * SECOND);
    assert_eq!(confirmation.unreachable_for(start + 5 * SECOND), 2 * SECOND);
    assert_eq!(confirmation.age(start + 5 * SECOND), 4 * SECOND);
    assert_eq!(confirmation.record_answer(start + 6 * SECOND), 5 * SECOND);
    assert_eq!(confirmation.unreachable_for(start + 9 * SECOND), Duration::ZERO);
}

#[test]
fn a_daemon_counts_the_store_as_unreachable_from_its_start() {
    let start = Instant::now();
    let mut confirmation = Confirmation::new(start);
    confirmation.record_failure(start + SECOND);
    assert_eq!(confirmation.unreachable_for(start + 2 * SECOND), 2 * SECOND);
}
