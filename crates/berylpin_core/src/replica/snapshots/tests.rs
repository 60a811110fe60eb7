use super::*;
use proptest::prelude::*;

fn between(oldest: u64, newest: u64) -> SnapshotRange {
    SnapshotRange { oldest: Snapshot(oldest), newest: Snapshot(newest) }
}

#[test]
fn step_back_is_trusted_only_as_far_as_answers_go() {
    let mut known = KnownSnapshots::default();
    assert!(known.record_report(between(5, 9)));
    known.record_answer(Snapshot(9));
    assert_eq!(known.trusted(), Some(between(5, 9)));
    known.record_report(between(4, 8));
    assert_eq!(known.trusted(), Some(between(4, 4)));
    known.record_answer(Snapshot(7));
    assert_eq!(known.trusted(), Some(between(4, 7)));
    known.record_report(between(6, 10));
    assert_eq!(known.trusted(), Some(between(6, 10)));
}

proptest! {
    /// The trusted range lies within the report and never holds a snapshot refused as gone.
    #[test]
    fn trust_stays_within_reports_and_refusals(
        reports in prop::collection::vec((1_u64..20, 0_u64..20, 1_u64..20, any::<bool>()), 1..50),
    ) {
        let mut known = KnownSnapshots::default();
        for (oldest, newest, asked, answers) in reports {
            let valid = known.record_report(between(oldest, newest));
            prop_assert_eq!(valid, oldest <= newest);
            let asked = Snapshot(asked);
            if answers { known.record_answer(asked) } else { known.record_refusal(asked) }
            let Some(range) = known.trusted() else { continue };
            prop_assert!(range.oldest <= range.newest);
            prop_assert!(answers || !range.contains(asked));
            if valid {
                prop_assert!(range.oldest.0 >= oldest && range.newest.0 <= newest);
            }
        }
    }
}
