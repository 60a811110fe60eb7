use super::*;
use crate::logging::discard_log;

fn done(missing: usize, elapsed_ms: u64) -> DirectDecision {
    DirectDecision::Done {
        route: "query".into(),
        version: 1,
        outcome: "answered",
        parts: 20,
        missing,
        missing_parts: Vec::new(),
        attempts: 20,
        elapsed: Duration::from_millis(elapsed_ms),
        target: Duration::from_millis(200),
    }
}

#[test]
fn a_flood_of_good_answers_leaves_room_for_failures() {
    let now = Instant::now();
    let mut decision_log = DecisionLog::new(discard_log(), now);
    let admitted = (0..100_000).filter(|_| decision_log.try_admit(&done(0, 20), now)).count();
    assert_eq!(admitted, (ROUTINE_LINES_PER_SECOND * BURST_SECONDS) as usize);
    for notable in [done(1, 20), done(0, 201)] {
        assert!(decision_log.try_admit(&notable, now));
    }
    assert!(decision_log.try_admit(
        &DirectDecision::Refused {
            reason: berylpin_core::direct::RefusalReason::NoReplica,
            version: Some(1),
        },
        now
    ));
}

#[test]
fn lines_are_bounded_whatever_happens() {
    let now = Instant::now();
    let mut decision_log = DecisionLog::new(discard_log(), now);
    let seconds = 10;
    let admitted = (0..seconds * 1000)
        .filter(|ms| decision_log.try_admit(&done(5, 300), now + Duration::from_millis(*ms)))
        .count();
    assert!(admitted as f64 <= NOTABLE_LINES_PER_SECOND * (seconds as f64 + BURST_SECONDS));
}
