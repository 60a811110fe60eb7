use super::*;
use crate::ids::Key;
use proptest::prelude::*;

proptest! {
    #[test]
    fn each_service_receives_its_share_of_the_requests(
        weights in proptest::collection::vec(0u32..100, 1..6),
        count in 1usize..300,
    ) {
        prop_assume!(weights.iter().any(|weight| *weight > 0));
        let weighted: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(index, weight)| (ServiceId::from_index(index), f64::from(*weight)))
            .collect();
        let mut splits = Splits::default();
        let mut chosen = vec![0; weighted.len()];
        for _ in 0..count {
            chosen[splits.choose(RouteId(1), &weighted).unwrap().index()] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (weight, chosen_count) in weights.iter().zip(chosen) {
            let share = f64::from(*weight) * count as f64 / f64::from(total);
            prop_assert!((share - f64::from(chosen_count)).abs() <= weights.len() as f64);
        }
    }
}

#[test]
fn no_service_is_chosen_if_all_weights_are_zero() {
    let weighted = [(ServiceId::from_index(0), 0.0), (ServiceId::from_index(1), 0.0)];
    assert_eq!(Splits::default().choose(RouteId(1), &weighted), None);
}
