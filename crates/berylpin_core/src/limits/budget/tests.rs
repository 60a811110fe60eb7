use super::*;
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Earn,
    Take,
    Close,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Earn),
        4 => Just(Step::Take),
        1 => Just(Step::Close),
        1 => (0u64..1500).prop_map(Step::Wait),
    ]
}

#[test]
fn no_share_allows_nothing() {
    let mut budget = Budget::default();
    budget.earn(0.0);
    assert!(!budget.take(Instant::now()));
}

proptest! {
    #[test]
    fn taken_attempts_stay_below_the_share(
        share in 0.0f64..1.0,
        steps in prop::collection::vec(step(), 0..300),
    ) {
        let mut now = Instant::now();
        let mut budget = Budget::default();
        let (mut earned, mut taken, mut closed) = (0u32, 0u32, None);
        for step in steps {
            match step {
                Step::Earn => {
                    budget.earn(share);
                    earned += 1;
                }
                Step::Take if budget.take(now) => {
                    taken += 1;
                    prop_assert!(closed.is_none_or(|at| now >= at + CLOSED_FOR));
                }
                Step::Take => {}
                Step::Close => {
                    budget.close(now);
                    closed = Some(now);
                }
                Step::Wait(millis) => now += Duration::from_millis(millis),
            }
            prop_assert!(f64::from(taken) <= INITIAL + share * f64::from(earned) + 1e-6);
        }
    }
}
