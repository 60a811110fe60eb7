use super::*;
use proptest::prelude::*;

const LIMITS: ExtraLimits =
    ExtraLimits { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

/// A step: the ms that pass, the daemon that receives a request, the extra attempts that it wants.
type Step = (u64, usize, usize);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let busy = (0u64..40, 0usize..8, 0usize..12);
    let calm = (0u64..2000, 0usize..8, 0usize..2);
    proptest::collection::vec(prop_oneof![8 => busy, 1 => calm], 1..600)
}

proptest! {
    #[test]
    fn the_fleet_stays_within_the_limits_in_every_window(steps in steps()) {
        let start = Instant::now();
        let service = ServiceId::from_index(0);
        let mut fleet: Vec<Budgets> = (0..8).map(|_| Budgets::new(LIMITS)).collect();
        let (mut now, mut requests, mut extras) = (start, Vec::new(), Vec::new());
        for (ms, daemon, wanted) in steps {
            now += Duration::from_millis(ms);
            fleet[daemon].add_request(service, 8, now);
            requests.push(now);
            for _ in 0..wanted {
                if fleet[daemon].try_spend(service, 8, now) {
                    extras.push(now);
                }
            }
        }
        for first in &extras {
            let count = |times: &[Instant], from: Instant| {
                times.iter().filter(|at| **at >= from && **at < from + LIMITS.window).count() as f64
            };
            let request_counts = [Duration::ZERO, LIMITS.window / 2, LIMITS.window]
                .map(|shift| first.checked_sub(shift).map_or(0.0, |from| count(&requests, from)));
            let earning_requests = request_counts.into_iter().fold(0.0, f64::max);
            let allowed = LIMITS.ratio * earning_requests + LIMITS.slack;
            prop_assert!(count(&extras, *first) <= allowed);
        }
    }
}

#[test]
fn the_share_of_the_slack_shrinks_with_the_fleet_size() {
    let (now, service) = (Instant::now(), ServiceId::from_index(0));
    let remaining = |fleet_size| Budgets::new(LIMITS).remaining(service, fleet_size, now);
    assert!(remaining(75) < remaining(8) / 9.0);
}

#[test]
fn the_slack_is_refilled_within_a_window() {
    let (now, service) = (Instant::now(), ServiceId::from_index(0));
    let mut budgets = Budgets::new(LIMITS);
    let initial = budgets.remaining(service, 8, now);
    while budgets.try_spend(service, 8, now) {}
    assert!(budgets.remaining(service, 8, now) < 1.0);
    let later = now + LIMITS.window;
    assert!((budgets.remaining(service, 8, later) - initial).abs() < 0.01);
}
