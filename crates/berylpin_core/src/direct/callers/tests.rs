use super::*;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn accept<C>(callers: &mut Callers<C>, connection: C, now: Instant) -> CallerKey
where
    C: std::fmt::Debug,
{
    match callers.admit(connection, now) {
        Admission::Accepted(key) => key,
        other => panic!("expected room, got {other:?}"),
    }
}

fn replaced<C>(admission: Admission<C>) -> Option<(C, Duration)> {
    match admission {
        Admission::Replaces { closed, idle, .. } => Some((closed, idle)),
        _ => None,
    }
}

/// A new caller was turned away for callers that had sent nothing.
#[test]
fn the_caller_that_is_idle_longest_is_closed_for_a_new_one() {
    let start = Instant::now();
    let mut callers = Callers::new(3);
    let keys = ["first", "second", "third"].map(|name| accept(&mut callers, name, start));
    callers.record_head(keys[0], start + MS * 5);
    callers.begin_request(keys[1]);
    callers.end_request(keys[1], start + MS * 9);
    let mut admit = |name, at| replaced(callers.admit(name, start + MS * at)).unwrap();
    assert_eq!(admit("fourth", 10), ("third", MS * 10));
    assert_eq!(admit("fifth", 20), ("first", MS * 15));
    assert_eq!(admit("sixth", 30), ("second", MS * 21));
    assert_eq!(admit("seventh", 40), ("fourth", MS * 30));
}

/// A request that is being served must not be cut off.
#[test]
fn a_new_caller_is_turned_away_while_all_others_wait_for_answers() {
    let now = Instant::now();
    let mut callers = Callers::new(2);
    let keys = [1, 2].map(|name| accept(&mut callers, name, now));
    for key in keys {
        callers.begin_request(key);
    }
    assert_eq!(callers.admit(3, now + MS), Admission::Full);
    callers.end_request(keys[1], now + MS * 2);
    assert_eq!(replaced(callers.admit(3, now + MS * 3)), Some((2, MS)));
}

/// Connections that had ended counted until they were reaped.
#[test]
fn a_closed_connection_leaves_room() {
    let now = Instant::now();
    let mut callers = Callers::new(1);
    let first = accept(&mut callers, 1, now);
    callers.remove(first);
    let second = accept(&mut callers, 2, now);
    callers.remove(first);
    callers.end_request(first, now);
    assert_eq!(callers.len(), 1);
    callers.begin_request(second);
    assert_eq!(callers.admit(3, now), Admission::Full);
}

/// Bodies that did not end held all memory for bodies, and each new body was refused.
#[test]
fn the_body_that_is_stalled_longest_makes_room_for_another() {
    let start = Instant::now();
    let mut callers = Callers::new(9);
    let names = ["own", "idle", "waiting", "failed", "second", "first", "recent"];
    let keys = names.map(|name| accept(&mut callers, name, start));
    callers.begin_request(keys[2]);
    callers.record_head(keys[0], start);
    callers.record_head(keys[3], start);
    callers.record_body_failure(keys[3], start);
    callers.record_head(keys[4], start + MS * 2);
    callers.record_head(keys[5], start + MS);
    let now = start + BODY_STALL_TIME + MS * 5;
    callers.record_head(keys[6], now.checked_sub(BODY_STALL_TIME).unwrap() + MS);
    let mut take = || callers.take_stalled_body(keys[0], now);
    assert_eq!(take(), Some(("first", BODY_STALL_TIME + MS * 4)));
    assert_eq!(take(), Some(("second", BODY_STALL_TIME + MS * 3)));
    assert_eq!(take(), None);
}

proptest! {
    #[test]
    fn no_more_than_the_limit_are_open_and_no_waiting_caller_is_closed(
        limit in 1usize..6,
        steps in proptest::collection::vec((0usize..5, 0usize..8, 0u64..20), 1..200),
    ) {
        let mut now = Instant::now();
        let mut callers = Callers::new(limit);
        // The keys of the open connections, and since when each is idle.
        let mut open: Vec<(CallerKey, Option<Instant>)> = Vec::new();
        for (step, index, millis) in steps {
            now += Duration::from_millis(millis);
            let chosen = (!open.is_empty()).then(|| index % open.len());
            match (step, chosen) {
                (1, Some(chosen)) => {
                    callers.record_head(open[chosen].0, now);
                    open[chosen].1 = Some(now);
                }
                (2, Some(chosen)) => {
                    callers.begin_request(open[chosen].0);
                    open[chosen].1 = None;
                }
                (3, Some(chosen)) => {
                    callers.end_request(open[chosen].0, now);
                    open[chosen].1 = Some(now);
                }
                (4, Some(chosen)) => callers.remove(open.remove(chosen).0),
                _ => {
                    let idlest = open.iter().filter_map(|(_, since)| *since).min();
                    match callers.admit((), now) {
                        Admission::Accepted(key) => {
                            prop_assert!(open.len() < limit);
                            open.push((key, Some(now)));
                        }
                        Admission::Replaces { key, idle, .. } => {
                            prop_assert_eq!(open.len(), limit);
                            prop_assert_eq!(now.checked_sub(idle), idlest);
                            let kept: Vec<_> = callers.open.iter().map(|(key, _)| key).collect();
                            open.retain(|(key, _)| kept.contains(key));
                            open.push((key, Some(now)));
                        }
                        Admission::Full => {
                            prop_assert_eq!(open.len(), limit);
                            prop_assert_eq!(idlest, None);
                        }
                    }
                }
            }
            prop_assert_eq!(callers.len(), open.len());
        }
    }
}
