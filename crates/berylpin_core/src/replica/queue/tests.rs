use super::*;
use crate::arena::Slab;
use proptest::prelude::*;

fn entries(levels: &[u16], now: Instant) -> Vec<Waiting> {
    let mut jobs = Slab::default();
    let waiting = |level: &u16| Waiting {
        level: *level,
        deadline: now + Duration::from_secs(1),
        key: jobs.insert(()),
        arrived: now,
    };
    levels.iter().map(waiting).collect()
}

proptest! {
    /// A rank is served in order of levels, and what does not fit is the highest level.
    #[test]
    fn low_levels_start_first_and_high_levels_do_not_fit(
        levels in prop::collection::vec(0_u16..1000, 1..QUEUE_LIMIT + 50),
    ) {
        let mut queue = Queue::default();
        let mut waiting = entries(&levels, Instant::now());
        let mut evicted: Vec<_> =
            waiting.iter().filter_map(|w| queue.push(Rank::Standard, *w)).collect();
        let cost = [Duration::from_millis(1); Rank::COUNT];
        let mut kept: Vec<_> = std::iter::from_fn(|| queue.pop(cost)).map(|(_, w)| w).collect();
        prop_assert!(kept.is_sorted());
        prop_assert!(kept.len() <= QUEUE_LIMIT);
        evicted.sort_unstable();
        kept.extend(evicted);
        waiting.sort_unstable();
        prop_assert_eq!(kept, waiting);
    }

    /// Removing one leaves the others.
    #[test]
    fn removal_takes_exactly_one(levels in prop::collection::vec(0_u16..1000, 1..50)) {
        let mut queue = Queue::default();
        let waiting = entries(&levels, Instant::now());
        for entry in &waiting {
            queue.push(Rank::Urgent, *entry);
        }
        for (gone, entry) in waiting.iter().enumerate() {
            queue.remove(Rank::Urgent, entry);
            queue.remove(Rank::Urgent, entry);
            prop_assert_eq!(queue.len_of(Rank::Urgent), waiting.len() - gone - 1);
        }
    }
}
