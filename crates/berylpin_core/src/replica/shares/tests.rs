use super::*;
use proptest::prelude::*;

proptest! {
    /// Every rank that always waits keeps its share, whatever the calls of each rank cost.
    #[test]
    fn ranks_keep_their_shares_of_the_work(
        cost_ms in prop::array::uniform3(1_u64..100),
        waiting in prop::array::uniform3(any::<bool>()),
        weights in prop::array::uniform3(0.0_f64..1.0),
    ) {
        let cost = cost_ms.map(Duration::from_millis);
        let mut account = ShareAccount::default();
        let sum = weights.iter().sum::<f64>().max(1.0);
        account.set_shares(MinimumShares::new(weights.map(|weight| weight / sum)));
        let mut work = [0.0; Rank::COUNT];
        while work.iter().sum::<f64>() < 100.0 {
            let Some(rank) = account.next(waiting, cost) else { return Ok(()) };
            prop_assert!(waiting[rank.index()]);
            account.started(rank, cost[rank.index()], waiting);
            work[rank.index()] += cost[rank.index()].as_secs_f64();
        }
        let total = work.iter().sum();
        for rank in Rank::ALL {
            let share = account.shares().of(rank, total);
            let kept = work[rank.index()];
            prop_assert!(!waiting[rank.index()] || kept >= share - 0.5, "{rank}: {kept} < {share}");
        }
    }

    /// Lower ranks go before a waiting urgent one no more often than their shares allow.
    #[test]
    fn urgent_waits_behind_no_more_than_the_other_shares(
        waiting in prop::collection::vec((any::<bool>(), any::<bool>()), 1..500),
    ) {
        let cost = [Duration::from_millis(8); Rank::COUNT];
        let mut account = ShareAccount::default();
        let mut behind = 0;
        for (at, (standard, background)) in waiting.into_iter().enumerate() {
            let waiting = [true, standard, background];
            let rank = account.next(waiting, cost).unwrap_or(Rank::Urgent);
            account.started(rank, cost[0], waiting);
            behind += u64::from(rank != Rank::Urgent);
            prop_assert!(behind * 10 <= (at as u64 + 1) * 3 + 10);
        }
    }
}
