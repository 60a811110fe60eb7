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
            let top = &mut highest[incarnation as usize];
            let ahead = top.is_none_or(|top| number > top);
            let new = guard.accept(attempt);
            prop_assert!(!ahead || new, "an attempt above the highest number was not accepted");
            prop_assert!(!new || !accepted.contains(&(incarnation, number)));
            if new {
                accepted.push((incarnation, number));
            }
            *top = (*top).max(Some(number));
        }
    }
}
