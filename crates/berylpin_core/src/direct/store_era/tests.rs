use super::*;

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), revision }
}

#[test]
fn positions_are_ordered_by_era_first() {
    assert!(position(2, 5) > position(1, 900));
    assert!(position(2, 5) < position(2, 6));
    assert!(StorePosition::default() < position(0, 1));
    assert!(StorePosition::MAX > position(u64::MAX, 7));
}

#[test]
fn the_known_era_never_decreases() {
    let mut known = KnownEra::default();
    assert_eq!(known.observe(StoreEra(4)), EraChange::First);
    assert_eq!(known.observe(StoreEra(4)), EraChange::None);
    assert_eq!(known.observe(StoreEra(6)), EraChange::Restored(StoreEra(4)));
    assert_eq!(known.observe(StoreEra(5)), EraChange::None);
    assert_eq!(known.newest(), StoreEra(6));
}

/// The first era may be 0, the same as that of a store that names none.
#[test]
fn a_restore_after_era_0_is_noticed() {
    let mut known = KnownEra::default();
    assert_eq!(known.observe(StoreEra(0)), EraChange::First);
    assert_eq!(known.observe(StoreEra(1)), EraChange::Restored(StoreEra(0)));
}

#[test]
fn only_answers_of_the_newest_era_to_calls_of_that_era_are_applied() {
    let mut known = KnownEra::default();
    assert_eq!(known.judge(StoreEra(0), Some(position(0, 9))), AnswerUse::Apply);
    known.observe(StoreEra(3));
    assert_eq!(known.judge(StoreEra(3), None), AnswerUse::Apply);
    assert_eq!(known.judge(StoreEra(3), Some(position(3, 9))), AnswerUse::Apply);
    assert_eq!(known.judge(StoreEra(3), Some(position(2, 9))), AnswerUse::ListAnew);
    assert_eq!(known.judge(StoreEra(2), Some(position(2, 9))), AnswerUse::Discard);
    assert_eq!(known.judge(StoreEra(2), None), AnswerUse::Discard);
}
