use super::*;
use crate::arena::Slab;
use proptest::prelude::*;

fn queued_jobs(levels: &[u16], now: Instant) -> Vec<QueuedJob> {
    let mut slab = Slab::default();
    let job = |level: &u16| QueuedJob {
        level: *level,
        deadline: now + Duration::from_secs(1),
        key: slab.insert(()),
        arrived: now,
    };
    levels.iter().map(job).collect()
}

proptest! {
    /// Jobs of a rank are popped in ascending order, and those beyond the limit are the largest.
    #[test]
    fn lowest_level_is_popped_first_and_highest_is_evicted(
        levels in prop::collection::vec(0_u16..1000, 1..MAX_QUEUED + 50),
    ) {
        let mut queue = Queue::default();
        let mut jobs = queued_jobs(&levels, Instant::now());
        let mut evicted: Vec<_> =
            jobs.iter().filter_map(|job| queue.push(Rank::Standard, *job)).collect();
        let cost = [Duration::from_millis(1); Rank::COUNT];
        let mut kept: Vec<_> = std::iter::from_fn(|| queue.pop(cost)).map(|(_, job)| job).collect();
        prop_assert!(kept.is_sorted());
        prop_assert!(kept.len() <= MAX_QUEUED);
        evicted.sort_unstable();
        kept.extend(evicted);
        jobs.sort_unstable();
        prop_assert_eq!(kept, jobs);
    }

    #[test]
    fn remove_deletes_exactly_one_job(levels in prop::collection::vec(0_u16..1000, 1..50)) {
        let mut queue = Queue::default();
        let jobs = queued_jobs(&levels, Instant::now());
        for job in &jobs {
            queue.push(Rank::Urgent, *job);
        }
        for (removed, job) in jobs.iter().enumerate() {
            queue.remove(Rank::Urgent, job);
            queue.remove(Rank::Urgent, job);
            prop_assert_eq!(queue.len_of(Rank::Urgent), jobs.len() - removed - 1);
        }
    }
}
