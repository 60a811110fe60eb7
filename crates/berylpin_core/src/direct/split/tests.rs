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

/// The credit that a service had earned by its former weight was spent once more after the weight
/// became 0, so a request was routed as only an older version of the configuration allows.
#[test]
fn a_service_gets_nothing_once_its_weight_is_zero() {
    let weighted = |weights: [f64; 2]| [0, 1].map(|i| (ServiceId::from_index(i), weights[i]));
    for (before, zero) in (1..20).flat_map(|before| [(before, 0), (before, 1)]) {
        let mut splits = Splits::default();
        for _ in 0..before {
            splits.choose(RouteId(1), &weighted([2.0, 3.0]));
        }
        let mut weights = [1.0; 2];
        weights[zero] = 0.0;
        for _ in 0..3 {
            let chosen = splits.choose(RouteId(1), &weighted(weights)).unwrap();
            assert_ne!(chosen.index(), zero, "after {before} requests");
        }
    }
}
