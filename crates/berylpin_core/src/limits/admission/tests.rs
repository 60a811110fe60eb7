use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_shed_level_only_rises_with_age(level in 0..=QueryTag::LEVELS, ages in (0u64..2000, 0u64..2000)) {
        let (young, old) = (ages.0.min(ages.1), ages.0.max(ages.1));
        let at = |millis| shed_level(level, Duration::from_millis(millis));
        prop_assert!(level <= at(young) && at(young) <= at(old) && at(old) <= QueryTag::LEVELS);
        prop_assert_eq!(at(HINT_TRUST.as_millis() as u64 / 2), level);
        prop_assert_eq!(shed_level(level, HINT_TRUST), QueryTag::LEVELS);
    }
}

#[test]
fn a_query_is_wasted_when_more_than_a_tenth_of_its_shards_fail() {
    assert!(!Assessment { asked: 20, failing: 2 }.is_wasted());
    assert!(Assessment { asked: 20, failing: 3 }.is_wasted());
    assert!(Assessment { asked: 1, failing: 1 }.is_wasted());
    assert!(!Assessment { asked: 0, failing: 0 }.is_wasted());
}

#[test]
fn minimum_coverage_counts_the_shards_that_are_left() {
    assert!(!Assessment { asked: 4, failing: 1 }.misses(0.75));
    assert!(Assessment { asked: 4, failing: 2 }.misses(0.75));
    assert!(!Assessment { asked: 4, failing: 4 }.misses(0.0));
}
