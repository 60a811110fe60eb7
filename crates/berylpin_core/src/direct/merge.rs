//! Merges the records of several parts.

use bytes::{Bytes, BytesMut};

/// The size of a record, in bytes.
pub(super) const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of all parts, greatest first; duplicates are kept.
///
/// Ignores a remainder shorter than a record at the end of a part.
pub(super) fn merge_records<'a, I>(parts: I, limit: usize) -> Bytes
where
    I: IntoIterator<Item = &'a Bytes>,
{
    let mut records: Vec<&[u8]> = Vec::new();
    for part in parts {
        records.extend(part.chunks_exact(RECORD_BYTES));
    }
    if limit < records.len() && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |a, b| b.cmp(a));
    }
    records.truncate(limit);
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(record);
    }
    merged.freeze()
}

#[cfg(test)]
mod tests;
