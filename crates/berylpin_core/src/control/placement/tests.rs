use super::*;
use crate::config::ServiceSettings;
use crate::ids::{Key, MemberTag};
use proptest::prelude::*;
use std::fmt::Write;
use std::sync::Arc;

const DATA_CENTRES: usize = 2;

fn member(index: usize, live: bool, leaving: bool) -> Member {
    let name = format!("entry-{index}");
    Member {
        tag: MemberTag::of([name.as_str()]),
        name,
        data_centre: format!("dc-{}", index % DATA_CENTRES),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        live,
        leaving,
    }
}

fn members(live: &[bool]) -> Arena<MemberId, Member> {
    let mut members = Arena::default();
    for (index, live) in live.iter().enumerate() {
        members.push(member(index, *live, false));
    }
    members
}

/// Shards with two replicas in each data centre.
fn topology(shards: usize) -> Topology {
    let mut text = "service = \"s\"\n".to_owned();
    for shard in 0..shards {
        let _ = writeln!(text, "[[shard]]\nname = \"s{shard}\"");
        for replica in 0..2 * DATA_CENTRES {
            let _ = write!(
                text,
                "[[shard.replica]]\naddress = \"10.0.{shard}.{replica}:1\"\n\
                 data_centre = \"dc-{}\"\nslots = 1\nconnections = 1\n",
                replica % DATA_CENTRES
            );
        }
    }
    let settings = ServiceSettings::parse(&text).unwrap();
    Topology::default().with_documents(&[Arc::new(settings)])
}

proptest! {
    #[test]
    fn replicas_of_a_shard_have_different_owners_of_their_own_data_centre(
        live in prop::collection::vec(any::<bool>(), 2..12),
    ) {
        let (topology, members) = (topology(10), members(&live));
        let owners = place(&topology, &members);
        for (_, shard) in topology.shards.iter() {
            for index in 0..DATA_CENTRES {
                let name = format!("dc-{index}");
                let local: Vec<_> = shard.replicas.iter()
                    .filter(|id| topology.replicas[**id].settings.data_centre == name)
                    .map(|id| owners[*id]).collect();
                let count = members.iter().filter(|(_, m)| m.live && m.data_centre == name).count();
                let is_live = |id: &MemberId| members[*id].live && members[*id].data_centre == name;
                prop_assert!(local.iter().flatten().all(is_live));
                prop_assert!(local.iter().all(|owner| owner.is_some() == (count > 0)));
                prop_assert!(count < 2 || local[0] != local[1]);
            }
        }
    }

    /// When a member leaves or joins, owners change only in shards of which it owned or now owns a
    /// replica.
    #[test]
    fn a_member_change_moves_only_shards_of_that_member(
        live in prop::collection::vec(any::<bool>(), 2..12),
        changed in any::<prop::sample::Index>(),
    ) {
        let topology = topology(20);
        let changed = changed.index(live.len());
        let mut other = live.clone();
        other[changed] = !live[changed];
        let (before, after) = (place(&topology, &members(&live)), place(&topology, &members(&other)));
        let changed = MemberId::from_index(changed);
        for (_, shard) in topology.shards.iter() {
            let moved = shard.replicas.iter().any(|id| before[*id] != after[*id]);
            let involved = shard.replicas.iter().any(|id| {
                before[*id] == Some(changed) || after[*id] == Some(changed)
            });
            prop_assert!(!moved || involved);
        }
    }
}

#[test]
fn a_leaving_member_owns_replicas_only_if_its_data_centre_has_no_live_member() {
    let topology = topology(4);
    let mut members = members(&[false, true, true]);
    members[MemberId::from_index(0)] = member(0, false, true);
    let owners = place(&topology, &members);
    assert!(owners.iter().all(|(_, owner)| *owner != Some(MemberId::from_index(0))));
    members[MemberId::from_index(2)] = member(2, false, false);
    let owners = place(&topology, &members);
    assert!(owners.iter().any(|(_, owner)| *owner == Some(MemberId::from_index(0))));
    assert!(owners.iter().all(|(_, owner)| owner.is_some()));
}
