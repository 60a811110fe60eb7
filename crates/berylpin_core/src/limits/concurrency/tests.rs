use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn flood_of_one_rank_leaves_reserved_permits_to_the_others(
        limit in 8u32..200,
        queries in prop::collection::vec((0usize..Rank::COUNT, 1u32..20), 0..600),
    ) {
        let mut limiter = ConcurrencyLimit::new(limit);
        for (rank, shards) in queries {
            limiter.try_acquire(Rank::ALL[rank], shards);
            prop_assert!(limiter.in_use.iter().sum::<u32>() <= limit);
        }
        for rank in Rank::ALL {
            let unused = limiter.reserved[rank.index()].saturating_sub(limiter.in_use[rank.index()]);
            for _ in 0..unused {
                prop_assert!(limiter.try_acquire(rank, 1));
            }
        }
    }
}

#[test]
fn released_permit_can_be_acquired_again() {
    let mut limiter = ConcurrencyLimit::new(8);
    while limiter.try_acquire(Rank::Background, 1) {}
    limiter.release(Rank::Background, 1);
    assert!(limiter.try_acquire(Rank::Background, 1));
    assert!(!limiter.try_acquire(Rank::Background, 1));
}
