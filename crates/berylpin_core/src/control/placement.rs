//! Assignment of replicas to the daemons that own them.

use super::topology::Topology;
use super::view::Member;
use crate::arena::Arena;
use crate::ids::{MemberId, ReplicaId, ReplicaTag};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Assigns each replica an owner in its own data centre by rendezvous hashing.
///
/// The replicas of a shard within one data centre are assigned to different members while there are
/// enough of them: each replica is assigned to the member with the highest score among those that
/// own no earlier replica of the shard or, if there is none, among all members of the data centre.
pub fn place(
    topology: &Topology,
    members: &Arena<MemberId, Member>,
) -> Arena<ReplicaId, Option<MemberId>> {
    let mut owners = Arena::default();
    owners.grow(topology.replicas.len(), || None);
    let eligible = eligible_members(members);
    let mut shard_owners = Vec::new();
    for (_, shard) in topology.shards.iter() {
        shard_owners.clear();
        for &id in &shard.replicas {
            let settings = &topology.replicas[id].settings;
            let candidates = || {
                let name = settings.data_centre.as_str();
                let start = eligible.partition_point(|(data_centre, _)| *data_centre < name);
                let local = eligible[start..].iter().take_while(move |(other, _)| *other == name);
                local.map(|(_, member)| (score(settings.tag, &members[*member]), *member))
            };
            let best = candidates().filter(|(_, m)| !shard_owners.contains(m)).max();
            let owner = best.or_else(|| candidates().max()).map(|(_, member)| member);
            shard_owners.extend(owner);
            owners[id] = owner;
        }
    }
    owners
}

/// Returns the members that may own replicas, sorted by data centre.
///
/// Leaving members are eligible only in a data centre without live members: they still serve its
/// replicas until they stop.
fn eligible_members(members: &Arena<MemberId, Member>) -> Vec<(&str, MemberId)> {
    let present = members.iter().filter(|(_, member)| member.live || member.leaving);
    let mut sorted: Vec<_> =
        present.map(|(id, m)| (m.data_centre.as_str(), m.leaving, id)).collect();
    sorted.sort_unstable();
    let mut eligible: Vec<(&str, MemberId)> = Vec::with_capacity(sorted.len());
    let mut only_leaving = false;
    for (data_centre, leaving, id) in sorted {
        // Live members sort first, so the first member of a data centre shows whether it has any.
        if eligible.last().is_none_or(|(last, _)| *last != data_centre) {
            only_leaving = leaving;
        }
        if leaving == only_leaving {
            eligible.push((data_centre, id));
        }
    }
    eligible
}

fn score(replica: ReplicaTag, member: &Member) -> u64 {
    xxh3_64_with_seed(&replica.0.to_le_bytes(), member.tag.0)
}

#[cfg(test)]
mod tests;
