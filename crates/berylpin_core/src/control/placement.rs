//! Which daemon owns which replica.

use super::topology::Topology;
use super::view::Member;
use crate::arena::Arena;
use crate::ids::{MemberId, ReplicaId, ReplicaTag};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gives each replica an owner in its own data centre by rendezvous hashing.
///
/// The replicas of a shard within one data centre fall to different owners while there are enough:
/// each takes the best-scored member that no earlier replica of the shard took.
pub fn place(
    topology: &Topology,
    members: &Arena<MemberId, Member>,
) -> Arena<ReplicaId, Option<MemberId>> {
    let mut owners = Arena::default();
    owners.grow(topology.replicas.len(), || None);
    let present = candidates_by_data_centre(members);
    let mut taken = Vec::new();
    for (_, shard) in topology.shards.iter() {
        taken.clear();
        for &id in &shard.replicas {
            let settings = &topology.replicas[id].settings;
            let candidates = || {
                let name = settings.data_centre.as_str();
                let start = present.partition_point(|(data_centre, _)| *data_centre < name);
                let here = present[start..].iter().take_while(move |(centre, _)| *centre == name);
                here.map(|(_, member)| (score(settings.tag, &members[*member]), *member))
            };
            let best = candidates().filter(|(_, m)| !taken.contains(m)).max();
            let owner = best.or_else(|| candidates().max()).map(|(_, member)| member);
            taken.extend(owner);
            owners[id] = owner;
        }
    }
    owners
}

/// Returns the members that may own replicas, sorted by data centre.
///
/// Leaving ones are among them only where no other is left: until they end they serve what would
/// else be missing.
fn candidates_by_data_centre(members: &Arena<MemberId, Member>) -> Vec<(&str, MemberId)> {
    let present = members.iter().filter(|(_, member)| member.live || member.leaving);
    let mut sorted: Vec<_> =
        present.map(|(id, m)| (m.data_centre.as_str(), m.leaving, id)).collect();
    sorted.sort_unstable();
    let mut candidates: Vec<(&str, MemberId)> = Vec::with_capacity(sorted.len());
    let mut last_resort = false;
    for (data_centre, leaving, id) in sorted {
        if candidates.last().is_none_or(|(last, _)| *last != data_centre) {
            last_resort = leaving;
        }
        if leaving == last_resort {
            candidates.push((data_centre, id));
        }
    }
    candidates
}

fn score(replica: ReplicaTag, member: &Member) -> u64 {
    xxh3_64_with_seed(&replica.0.to_le_bytes(), member.tag.0)
}

#[cfg(test)]
mod tests;
