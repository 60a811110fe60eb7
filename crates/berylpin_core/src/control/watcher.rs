//! Selection of the daemons that watch the platform.

use crate::ids::MemberTag;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons of each data centre that watch the platform.
const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Hash seed that makes the selection of watchers independent of the placement of replicas.
const HASH_SEED: u64 = 0x57a7_c4e5;

/// Returns whether a daemon is among the watchers of its data centre.
///
/// `local_peers` are the other live daemons of the data centre. Each daemon decides by its own
/// view, so there may be more or fewer watchers while views differ.
pub(super) fn is_watcher<I>(own: MemberTag, local_peers: I) -> bool
where
    I: IntoIterator<Item = MemberTag>,
{
    let score = |tag: MemberTag| (xxh3_64_with_seed(&tag.0.to_le_bytes(), HASH_SEED), tag);
    let higher_scored = local_peers
        .into_iter()
        .filter(|tag| score(*tag) > score(own))
        .take(WATCHERS_PER_DATA_CENTRE);
    higher_scored.count() < WATCHERS_PER_DATA_CENTRE
}
