use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn the_phases_of_a_stop_end_in_order_and_before_the_limit(limit_ms in 1u64..600_000) {
        let limit = Duration::from_millis(limit_ms);
        let StopSchedule { notice, serve, exit } = StopSchedule::new(limit);
        prop_assert!(notice < serve && serve < exit && exit < limit);
    }
}
