use super::*;
use proptest::prelude::*;

fn part() -> impl Strategy<Value = Bytes> {
    // Only two byte values, so that equal records are frequent.
    proptest::collection::vec(0u8..2, 0..80).prop_map(Bytes::from)
}

proptest! {
    #[test]
    fn the_greatest_records_are_returned_in_descending_order(
        parts in proptest::collection::vec(part(), 0..8),
        limit in 0usize..12,
    ) {
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
    fn merging_in_two_steps_gives_the_same_records(
        parts in proptest::collection::vec(part(), 1..8),
        split_at in 0usize..8,
        limit in 0usize..12,
    ) {
        let (first, second) = parts.split_at(split_at.min(parts.len()));
        let merged = [merge_records(first, limit), merge_records(second, limit)];
        prop_assert_eq!(merge_records(&merged, limit), merge_records(&parts, limit));
    }
}
