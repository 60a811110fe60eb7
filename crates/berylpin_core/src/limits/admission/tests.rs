use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn shed_level_rises_with_the_age_of_the_hint(
        shed_from in 0..=QueryTag::LEVELS,
        ages_ms in (0u64..2000, 0u64..2000),
    ) {
        let (younger, older) = (ages_ms.0.min(ages_ms.1), ages_ms.0.max(ages_ms.1));
        let level_at = |millis| effective_shed_level(shed_from, Duration::from_millis(millis));
        prop_assert!(
            shed_from <= level_at(younger)
                && level_at(younger) <= level_at(older)
                && level_at(older) <= QueryTag::LEVELS
        );
        prop_assert_eq!(level_at(HINT_TTL.as_millis() as u64 / 2), shed_from);
        prop_assert_eq!(effective_shed_level(shed_from, HINT_TTL), QueryTag::LEVELS);
    }
}

#[test]
fn failure_limit_is_exceeded_when_more_than_a_tenth_of_the_shards_fail() {
    assert!(!CoverageTally { shards: 20, failing: 2 }.exceeds_failure_limit());
    assert!(CoverageTally { shards: 20, failing: 3 }.exceeds_failure_limit());
    assert!(CoverageTally { shards: 1, failing: 1 }.exceeds_failure_limit());
    assert!(!CoverageTally { shards: 0, failing: 0 }.exceeds_failure_limit());
}

#[test]
fn coverage_is_below_the_minimum_when_too_few_shards_remain() {
    assert!(!CoverageTally { shards: 4, failing: 1 }.is_below(0.75));
    assert!(CoverageTally { shards: 4, failing: 2 }.is_below(0.75));
    assert!(!CoverageTally { shards: 4, failing: 4 }.is_below(0.0));
}
