use super::*;
use proptest::prelude::*;

proptest! {
    /// The limit starts at 1, never exceeds the slots, and reaches them after enough results.
    #[test]
    fn limit_grows_from_one_to_all_slots(slots in 1_u16..200) {
        for (mut ramp, step) in [(SlotRamp::cold(), 1), (SlotRamp::recovering(), RECOVERY_STEP)] {
            for results in 0..slots * step {
                prop_assert_eq!(ramp.limit(slots), (1 + results / step).min(slots));
                ramp.succeeded();
            }
            prop_assert_eq!(ramp.limit(slots), slots);
        }
    }
}
