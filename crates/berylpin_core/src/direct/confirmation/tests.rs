use super::*;
use crate::direct::StoreEra;
use crate::direct::testing::position;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_answer_ends_the_failures_before_it() {
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

#[test]
fn an_older_confirmation_is_ignored() {
    let start = Instant::now();
    let mut confirmation = Confirmation::new(start);
    confirmation.record_answer(start + 5 * SECOND);
    assert_eq!(confirmation.record_answer(start + 3 * SECOND), Duration::ZERO);
    confirmation.record_peer(start + 4 * SECOND);
    assert_eq!(confirmation.age(start + 6 * SECOND), SECOND);
    confirmation.record_peer(start + 6 * SECOND);
    assert_eq!(confirmation.age(start + 6 * SECOND), Duration::ZERO);
}

/// A report of a peer shows nothing about this daemon's own way to the store.
#[test]
fn a_peer_does_not_end_the_failures_of_the_store() {
    let start = Instant::now();
    let mut confirmation = Confirmation::new(start);
    confirmation.record_failure(start + SECOND);
    confirmation.record_peer(start + 2 * SECOND);
    assert_eq!(confirmation.unreachable_for(start + 3 * SECOND), 3 * SECOND);
}

#[test]
fn a_late_answer_without_changes_confirms_the_end_of_its_wait_only() {
    let called_at = Instant::now();
    let answered_at = called_at + 9 * SECOND;
    assert_eq!(confirmed_by(called_at, 4 * SECOND, false, answered_at), called_at + 4 * SECOND);
    assert_eq!(confirmed_by(called_at, Duration::ZERO, false, answered_at), called_at);
    assert_eq!(confirmed_by(called_at, 20 * SECOND, false, answered_at), answered_at);
    assert_eq!(confirmed_by(called_at, 4 * SECOND, true, answered_at), answered_at);
}

/// Any change in the store makes its revision newer, so replicas that are older are not confirmed.
#[test]
fn replicas_are_confirmed_only_by_a_revision_up_to_which_they_are_current() {
    let start = Instant::now();
    let mut confirmation = ReplicasConfirmation::new(start);
    confirmation.record_position(start + SECOND, position(7), None);
    confirmation.record_position(start + SECOND, position(7), Some(position(6)));
    assert_eq!(confirmation.confirmed_at(), start);
    confirmation.record_position(start + 2 * SECOND, position(7), Some(position(7)));
    confirmation.record_position(start + SECOND, position(7), Some(position(9)));
    assert_eq!(confirmation.confirmed_at(), start + 2 * SECOND);
}

/// A list may be older than a call that ended before it, and replaces what that call returned.
#[test]
fn a_list_takes_back_a_later_confirmation_of_the_replicas() {
    let start = Instant::now();
    let mut confirmation = ReplicasConfirmation::new(start);
    confirmation.record_position(start + 2 * SECOND, position(7), Some(position(7)));
    confirmation.record_list(start + SECOND);
    assert_eq!(confirmation.confirmed_at(), start + SECOND);
}

/// After a restore of the store its revisions are given out again, so that a lower or a higher one of
/// another era shows nothing.
#[test]
fn a_position_of_another_era_confirms_no_replicas() {
    let start = Instant::now();
    let mut confirmation = ReplicasConfirmation::new(start);
    let (before, after) = (position(7), StorePosition { era: StoreEra(1), revision: 7 });
    let older = StorePosition { revision: 6, ..after };
    for (newest, applied) in
        [(before, after), (after, before), (position(6), after), (older, before)]
    {
        confirmation.record_position(start + SECOND, newest, Some(applied));
        assert_eq!(confirmation.confirmed_at(), start, "{newest} {applied}");
    }
    confirmation.record_position(start + SECOND, older, Some(after));
    assert_eq!(confirmation.confirmed_at(), start + SECOND);
}
