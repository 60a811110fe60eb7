use super::*;
use proptest::prelude::*;

fn part() -> impl Strategy<Value = Bytes> {
    // Few different bytes, so that equal records are frequent.
    proptest::collection::vec(0u8..2, 0..80).prop_map(Bytes::from)
}

proptest! {
    #[test]
    fn the_greatest_records_come_first(parts in proptest::collection::vec(part(), 0..8), limit in 0usize..12) {
        let mut expected: Vec<Vec<u8>> = parts
            .iter()
            .flat_map(|part| part.chunks_exact(RECORD_BYTES).map(<[u8]>::to_vec))
            .collect();
        expected.sort();
        expected.reverse();
        expected.truncate(limit);
        prop_assert_eq!(merge_records(&parts, limit).to_vec(), expected.concat());
    }

    #[test]
    fn merging_in_two_steps_gives_the_same(
        parts in proptest::collection::vec(part(), 1..8),
        cut in 0usize..8,
        limit in 0usize..12,
    ) {
        let (near, far) = parts.split_at(cut.min(parts.len()));
        let steps = [merge_records(near, limit), merge_records(far, limit)];
        prop_assert_eq!(merge_records(&steps, limit), merge_records(&parts, limit));
    }
}
