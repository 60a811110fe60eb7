//! What traffic threads need to know of control state.

use super::placement::place;
use super::topology::Topology;
use crate::arena::Arena;
use crate::ids::{MemberId, MemberTag, ReplicaId};
use std::net::SocketAddr;
use std::sync::Arc;

/// A daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// A hash of the name; names the daemon on every other one.
    pub tag: MemberTag,
    /// The name in the VM list.
    pub name: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// Where it accepts links from other daemons.
    pub peer_address: SocketAddr,
    /// Whether it takes part in placement.
    pub live: bool,
    /// Whether it finishes what it has; it owns replicas only while its data centre has no live
    /// daemon. Never together with `live`.
    pub leaving: bool,
}

/// An immutable picture of control state.
#[derive(Clone, Debug)]
pub struct View {
    /// Grows with every view that a daemon publishes.
    pub epoch: u64,
    /// This daemon.
    pub own: MemberId,
    /// All daemons ever known; an id keeps its meaning in later views.
    pub members: Arena<MemberId, Member>,
    /// The services in force.
    pub topology: Arc<Topology>,
    /// The owner of each replica; `None` while its data centre has no daemon left.
    pub owners: Arena<ReplicaId, Option<MemberId>>,
    /// Sorted by tag; holds every daemon of `members`.
    members_by_tag: Vec<(MemberTag, MemberId)>,
}

impl View {
    /// Places all replicas on the live members.
    pub fn new(
        epoch: u64,
        own: MemberId,
        members: Arena<MemberId, Member>,
        topology: Arc<Topology>,
    ) -> Self {
        let owners = place(&topology, &members);
        let mut members_by_tag: Vec<_> = members.iter().map(|(id, m)| (m.tag, id)).collect();
        members_by_tag.sort_unstable();
        Self { epoch, own, members, topology, owners, members_by_tag }
    }

    /// Returns the owner of a replica that may get work.
    pub fn owner(&self, replica: ReplicaId) -> Option<MemberId> {
        self.owners.get(replica).copied().flatten()
    }

    /// Finds a daemon by its tag.
    pub fn member(&self, tag: MemberTag) -> Option<MemberId> {
        let index = self.members_by_tag.binary_search_by_key(&tag, |(t, _)| *t).ok()?;
        Some(self.members_by_tag[index].1)
    }

    /// Counts the replicas with another owner than in an earlier view of the same daemon.
    pub fn replicas_moved_since(&self, earlier: &Self) -> u32 {
        let moved = self.owners.iter().filter(|(id, owner)| earlier.owner(*id) != **owner);
        moved.count() as u32
    }
}
