//! Properties of forwarder, holder and runner together, in virtual time and under faults.

mod simulation;

use proptest::prelude::*;
use simulation::{DAEMONS, Fault, Simulation, Step};

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..DAEMONS).prop_map(Fault::Kill),
        (0..DAEMONS, 10_u64..4000).prop_map(|(daemon, ms)| Fault::Pause(daemon, ms)),
        (0..DAEMONS, 0..DAEMONS, 10_u64..4000).prop_map(|(a, b, ms)| Fault::Cut(a, b, ms)),
        (0..DAEMONS, 0..DAEMONS, 10_u64..4000).prop_map(|(a, b, ms)| Fault::Stall(a, b, ms)),
        (0..DAEMONS, any::<u8>()).prop_map(|(daemon, live)| Fault::View(daemon, live)),
        (0..DAEMONS).prop_map(Fault::Stop),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..DAEMONS, 0..DAEMONS, 20_u64..1500)
            .prop_map(|(issuer, entry, ms)| Step::SubmitNew(issuer, entry, ms)),
        8 => (any::<prop::sample::Index>(), 0..DAEMONS, 20_u64..1500)
            .prop_map(|(key, entry, ms)| Step::Resubmit(key, entry, ms)),
        2 => (any::<prop::sample::Index>(), 0..DAEMONS).prop_map(|(key, entry)| {
            Step::ConflictingBody(key, entry)
        }),
        6 => (1_u64..900).prop_map(Step::Wait),
        1 => (60_000_u64..500_000).prop_map(Step::Wait),
        6 => fault().prop_map(Step::Fault),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn keys_run_at_most_once_and_verdicts_match_the_upstream(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut simulation = Simulation::new(seed);
        for step in &steps {
            simulation.apply(step);
        }
        simulation.clear_faults();
        simulation.check();
    }
}

#[test]
fn without_faults_every_key_runs_once_and_resubmissions_return_its_result() {
    let mut simulation = Simulation::without_faults(7);
    for number in 0..6 {
        simulation.apply(&Step::SubmitNew(number % DAEMONS, (number + 1) % DAEMONS, 1000));
        simulation.apply(&Step::Wait(1500));
    }
    simulation.clear_faults();
    simulation.check();
    assert_eq!(simulation.succeeded_count(), 6);
}
