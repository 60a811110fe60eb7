use super::*;
use crate::arena::Slab;
use crate::ids::Key;
use proptest::prelude::*;

proptest! {
    #[test]
    fn an_attempt_is_accepted_at_most_once(
        numbers in prop::collection::vec((0_u64..3, 0_u64..400), 1..200),
    ) {
        let slab_key = Slab::default().insert(());
        let mut guard = ReplayGuard::default();
        let mut accepted = Vec::new();
        let mut highest = [None; 3];
        for (incarnation, number) in numbers {
            let attempt =
                AttemptId { incarnation, thread: ThreadId::from_index(0), slab_key, number };
            let highest_received = &mut highest[incarnation as usize];
            let is_highest = highest_received.is_none_or(|highest| number > highest);
            let is_new = guard.accept(attempt);
            prop_assert!(!is_highest || is_new, "an attempt above the highest number was not accepted");
            prop_assert!(!is_new || !accepted.contains(&(incarnation, number)));
            if is_new {
                accepted.push((incarnation, number));
            }
            *highest_received = (*highest_received).max(Some(number));
        }
    }
}
