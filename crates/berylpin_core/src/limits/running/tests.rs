use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_flood_leaves_the_reserved_places_free(
        limit in 8u32..200,
        queries in prop::collection::vec((0usize..Rank::COUNT, 1u32..20), 0..600),
    ) {
        let mut running = RunningLimit::new(limit);
        for (index, shards) in queries {
            running.enter(Rank::ALL[index], shards);
            prop_assert!(running.running.iter().sum::<u32>() <= limit);
        }
        for rank in Rank::ALL {
            let missing = running.reserved[rank.index()].saturating_sub(running.running[rank.index()]);
            for _ in 0..missing {
                prop_assert!(running.enter(rank, 1));
            }
        }
    }
}

#[test]
fn a_place_given_back_is_free_again() {
    let mut running = RunningLimit::new(8);
    while running.enter(Rank::Background, 1) {}
    running.leave(Rank::Background, 1);
    assert!(running.enter(Rank::Background, 1));
    assert!(!running.enter(Rank::Background, 1));
}
