use super::*;
use proptest::prelude::*;

fn between(oldest: u64, newest: u64) -> SnapshotRange {
    SnapshotRange { oldest: Snapshot(oldest), newest: Snapshot(newest) }
}

#[test]
fn trusted_range_after_a_step_back_ends_at_the_newest_answer() {
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
    /// The trusted range lies within the report and never contains a refused snapshot.
    #[test]
    fn trusted_range_lies_within_reports_and_excludes_refusals(
        reports in prop::collection::vec((1_u64..20, 0_u64..20, 1_u64..20, any::<bool>()), 1..50),
    ) {
        let mut known = KnownSnapshots::default();
        for (oldest, newest, requested, answers) in reports {
            let valid = known.record_report(between(oldest, newest));
            prop_assert_eq!(valid, oldest <= newest);
            let requested = Snapshot(requested);
            if answers { known.record_answer(requested) } else { known.record_refusal(requested) }
            let Some(range) = known.trusted() else { continue };
            prop_assert!(range.oldest <= range.newest);
            prop_assert!(answers || !range.contains(requested));
            if valid {
                prop_assert!(range.oldest.0 >= oldest && range.newest.0 <= newest);
            }
        }
    }
}
