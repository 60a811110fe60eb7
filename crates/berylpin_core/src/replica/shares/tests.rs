use super::*;
use proptest::prelude::*;

proptest! {
    /// Each rank that is always backlogged receives its share, for any cost of its calls.
    #[test]
    fn backlogged_ranks_receive_their_minimum_shares(
        cost_ms in prop::array::uniform3(1_u64..100),
        backlogged in prop::array::uniform3(any::<bool>()),
        weights in prop::array::uniform3(0.0_f64..1.0),
    ) {
        let cost = cost_ms.map(Duration::from_millis);
        let mut scheduler = ShareScheduler::default();
        let sum = weights.iter().sum::<f64>().max(1.0);
        scheduler.set_shares(MinimumShares::new(weights.map(|weight| weight / sum)));
        let mut work = [0.0; Rank::COUNT];
        while work.iter().sum::<f64>() < 100.0 {
            let Some(rank) = scheduler.next_rank(backlogged, cost) else { return Ok(()) };
            prop_assert!(backlogged[rank.index()]);
            scheduler.charge(rank, cost[rank.index()], backlogged);
            work[rank.index()] += cost[rank.index()].as_secs_f64();
        }
        let total = work.iter().sum();
        for rank in Rank::ALL {
            let share = scheduler.shares().guaranteed(rank, total);
            let received = work[rank.index()];
            prop_assert!(
                !backlogged[rank.index()] || received >= share - 0.5,
                "{rank}: {received} < {share}"
            );
        }
    }

    /// Lower ranks precede a backlogged urgent rank no more often than their shares allow.
    #[test]
    fn urgent_yields_no_more_than_the_shares_of_lower_ranks(
        lower_ranks in prop::collection::vec((any::<bool>(), any::<bool>()), 1..500),
    ) {
        let cost = [Duration::from_millis(8); Rank::COUNT];
        let mut scheduler = ShareScheduler::default();
        let mut yielded = 0;
        for (index, (standard, background)) in lower_ranks.into_iter().enumerate() {
            let backlogged = [true, standard, background];
            let rank = scheduler.next_rank(backlogged, cost).unwrap_or(Rank::Urgent);
            scheduler.charge(rank, cost[0], backlogged);
            yielded += u64::from(rank != Rank::Urgent);
            prop_assert!(yielded * 10 <= (index as u64 + 1) * 3 + 10);
        }
    }
}
