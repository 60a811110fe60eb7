use super::*;
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Step {
    Deposit,
    Withdraw,
    Close,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Deposit),
        4 => Just(Step::Withdraw),
        1 => Just(Step::Close),
        1 => (0u64..1500).prop_map(Step::Wait),
    ]
}

#[test]
fn zero_share_allows_no_extra_attempts() {
    let mut budget = Budget::default();
    budget.deposit(0.0);
    assert!(!budget.try_withdraw(Instant::now()));
}

proptest! {
    #[test]
    fn extra_attempts_stay_below_the_share_of_first_attempts(
        share in 0.0f64..1.0,
        steps in prop::collection::vec(step(), 0..300),
    ) {
        let mut now = Instant::now();
        let mut budget = Budget::default();
        let (mut deposits, mut withdrawn, mut closed_at) = (0u32, 0u32, None);
        for step in steps {
            match step {
                Step::Deposit => {
                    budget.deposit(share);
                    deposits += 1;
                }
                Step::Withdraw if budget.try_withdraw(now) => {
                    withdrawn += 1;
                    prop_assert!(closed_at.is_none_or(|at| now >= at + OVERLOAD_HOLD));
                }
                Step::Withdraw => {}
                Step::Close => {
                    budget.suspend(now);
                    closed_at = Some(now);
                }
                Step::Wait(millis) => now += Duration::from_millis(millis),
            }
            prop_assert!(f64::from(withdrawn) <= INITIAL_TOKENS + share * f64::from(deposits) + 1e-6);
        }
    }
}
