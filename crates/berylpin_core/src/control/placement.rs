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
    let mut taken = Vec::new();
    for (_, shard) in topology.shards.iter() {
        taken.clear();
        for &id in &shard.replicas {
            let settings = &topology.replicas[id].settings;
            let candidates = || {
                members
                    .iter()
                    .filter(|(_, m)| m.live && m.data_centre == settings.data_centre)
                    .map(|(member, m)| (score(settings.tag, m), member))
            };
            let best = candidates().filter(|(_, m)| !taken.contains(m)).max();
            let owner = best.or_else(|| candidates().max()).map(|(_, member)| member);
            taken.extend(owner);
            owners[id] = owner;
        }
    }
    owners
}

fn score(replica: ReplicaTag, member: &Member) -> u64 {
    xxh3_64_with_seed(&replica.0.to_le_bytes(), member.tag.0)
}
