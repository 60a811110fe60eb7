use super::*;
use proptest::prelude::*;

/// Runs intervals in which `offered` queries of a rank arrive and at most `capacity` of them are
/// completed; the oldest of the rest exceeds the wait that counts as overload.
fn run_intervals(levels: &mut ShedLevels, rank: Rank, offered: u32, capacity: u32, intervals: u32) {
    for _ in 0..intervals {
        let mut admitted = 0;
        for query in 0..offered {
            let level = (query * u32::from(QueryTag::LEVELS) / offered) as u16;
            admitted += u32::from(levels.admit(rank, level, Duration::from_millis(250)));
        }
        (0..admitted.min(capacity)).for_each(|_| levels.record_completed(rank));
        let mut oldest_waits = [Duration::ZERO; Rank::COUNT];
        if admitted > capacity {
            oldest_waits[rank.index()] = Duration::from_millis(200);
        }
        levels.adjust(oldest_waits, MinimumShares::default());
    }
}

proptest! {
    /// The level converges to capacity over offered load, and reopens after the load falls.
    #[test]
    fn level_converges_to_capacity_and_reopens(capacity in 30_u32..100, excess in 1.2_f64..6.0) {
        let offered = (f64::from(capacity) * excess) as u32;
        let mut levels = ShedLevels::default();
        run_intervals(&mut levels, Rank::Standard, offered, capacity, 100);
        let expected = 1000.0 / excess;
        let level = f64::from(levels.levels()[Rank::Standard.index()]);
        prop_assert!((0.6 * expected..1.25 * expected).contains(&level), "{level} for {expected}");
        run_intervals(&mut levels, Rank::Standard, capacity / 2, capacity, 60);
        prop_assert!(levels.admits_all());
    }

    /// A rank within its minimum share is not shed, for any load of the other ranks.
    #[test]
    fn rank_within_its_minimum_share_is_not_shed(
        rank in prop::sample::select(&Rank::ALL),
        others in 50_u32..500,
    ) {
        let mut levels = ShedLevels::default();
        let guaranteed = MinimumShares::default().guaranteed(rank, f64::from(others)) as u32;
        for _ in 0..50 {
            for _ in 0..guaranteed {
                prop_assert!(levels.admit(rank, 999, Duration::from_millis(250)));
            }
            let flooding = if rank == Rank::Urgent { Rank::Background } else { Rank::Urgent };
            (0..others).for_each(|_| levels.record_completed(flooding));
            levels.adjust([Duration::from_secs(1); Rank::COUNT], MinimumShares::default());
        }
        prop_assert_eq!(levels.levels()[rank.index()], QueryTag::LEVELS);
    }
}

#[test]
fn upstream_refusals_lower_the_level() {
    let mut levels = ShedLevels::default();
    for _ in 0..20 {
        for _ in 0..10 {
            levels.admit(Rank::Urgent, 0, Duration::from_millis(250));
        }
        (0..5).for_each(|_| levels.record_completed(Rank::Urgent));
        (0..5).for_each(|_| levels.record_upstream_refusal(Rank::Urgent));
        levels.adjust([Duration::ZERO; Rank::COUNT], MinimumShares::default());
    }
    assert!(levels.levels()[Rank::Urgent.index()] < QueryTag::LEVELS / 2);
}
