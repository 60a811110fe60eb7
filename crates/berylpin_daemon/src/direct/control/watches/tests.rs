use super::*;

#[test]
fn the_first_watch_after_a_failed_call_does_not_wait() {
    let wait = Duration::from_secs(8);
    assert_eq!(next_watch_wait(wait, false), Duration::ZERO);
    assert_eq!(next_watch_wait(wait, true), wait);
}

#[test]
fn the_retry_backoff_doubles_up_to_its_maximum() {
    let backoffs: Vec<_> =
        (1..=5).map(|n| retry_backoff(n, MAX_RETRY_BACKOFF).as_millis()).collect();
    assert_eq!(backoffs, [200, 400, 800, 1000, 1000]);
    assert_eq!(retry_backoff(u32::MAX, MAX_DAEMONS_RETRY_BACKOFF), MAX_DAEMONS_RETRY_BACKOFF);
}

#[test]
fn the_longest_retry_delay_is_shorter_than_the_settle_time() {
    for settle_time in [4, 6].map(Duration::from_secs) {
        assert!(MAX_RETRY_BACKOFF * MAX_BACKOFF_JITTER < settle_time);
    }
}

/// Pages of a list that come from two eras in turn made the store be called without a pause.
#[test]
fn lists_after_a_change_of_era_back_off_after_the_first_one() {
    let config = WatchConfig::configuration();
    assert!(config.list_delay(1) <= MAX_LIST_DELAY);
    assert!(config.list_delay(2) >= INITIAL_RETRY_BACKOFF);
    assert!(config.list_delay(9) >= MAX_RETRY_BACKOFF);
    assert!(WatchConfig::daemons().list_delay(1) <= MAX_DAEMONS_LIST_DELAY);
}

/// The objects of an incomplete list after a restore were applied as changes, so the complete list
/// that followed no longer told what the store had lost.
#[test]
fn an_incomplete_list_after_a_restore_is_not_used() {
    let known = Some(StorePosition { era: StoreEra(3), revision: 70 });
    assert!(uses_incomplete_list(None, StoreEra(3)), "a daemon that starts has nothing else");
    assert!(uses_incomplete_list(known, StoreEra(3)));
    assert!(!uses_incomplete_list(known, StoreEra(4)));
}
