use super::*;

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), revision }
}

/// An answer of a restored store confirmed the version in force, which the store no longer held.
#[test]
fn a_copy_with_an_older_configuration_or_none_confirms_nothing() {
    for restored in [Some(4), None] {
        let mut stored = StoredConfiguration::default();
        stored.record(position(1, 80), Some(5));
        assert!(stored.confirms(Some(5), StoreEra(1)));
        assert!(!stored.confirms(Some(5), StoreEra(2)), "not read in the new era");
        stored.record(position(2, 60), restored);
        assert!(!stored.confirms(Some(5), StoreEra(2)));
        stored.record(position(2, 75), Some(5));
        assert!(stored.confirms(Some(5), StoreEra(2)));
    }
}

#[test]
fn a_late_answer_changes_nothing() {
    let mut stored = StoredConfiguration::default();
    stored.record(position(2, 60), Some(5));
    stored.record(position(2, 50), Some(4));
    stored.record(position(1, 90), Some(6));
    assert_eq!(stored.version(), Some(5));
}
