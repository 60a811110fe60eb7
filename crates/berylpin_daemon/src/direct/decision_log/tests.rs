use super::*;
use crate::logging::discard_log;

fn done_decision(missing: usize, elapsed_ms: u64) -> DirectDecision {
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
fn routine_decisions_do_not_use_up_the_budget_of_notable_ones() {
    let now = Instant::now();
    let mut decision_log = DecisionLog::new(discard_log(), now);
    let admitted =
        (0..100_000).filter(|_| decision_log.try_admit(&done_decision(0, 20), now)).count();
    assert_eq!(admitted, (ROUTINE_LINES_PER_SECOND * BURST_SECONDS) as usize);
    for notable in [done_decision(1, 20), done_decision(0, 201)] {
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
fn notable_lines_stay_within_their_rate() {
    let now = Instant::now();
    let mut decision_log = DecisionLog::new(discard_log(), now);
    let seconds = 10;
    let admitted = (0..seconds * 1000)
        .filter(|ms| {
            decision_log.try_admit(&done_decision(5, 300), now + Duration::from_millis(*ms))
        })
        .count();
    assert!(admitted as f64 <= NOTABLE_LINES_PER_SECOND * (seconds as f64 + BURST_SECONDS));
}
