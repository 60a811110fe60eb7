use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_flood_leaves_the_reserved_places_free(
        limit in 8u32..200,
        ranks in prop::collection::vec(0usize..Rank::COUNT, 0..600),
    ) {
        let mut running = RunningLimit::new(limit);
        for index in ranks {
            running.enter(Rank::ALL[index]);
            prop_assert!(running.running.iter().sum::<u32>() <= limit);
        }
        for rank in Rank::ALL {
            let missing = running.reserved[rank.index()].saturating_sub(running.running[rank.index()]);
            for _ in 0..missing {
                prop_assert!(running.enter(rank));
            }
        }
    }
}

#[test]
fn a_place_given_back_is_free_again() {
    let mut running = RunningLimit::new(8);
    while running.enter(Rank::Background) {}
    running.leave(Rank::Background);
    assert!(running.enter(Rank::Background));
    assert!(!running.enter(Rank::Background));
}
