//! The control state that traffic threads use.

use super::placement::place;
use super::topology::Topology;
use crate::arena::Arena;
use crate::ids::{MemberId, MemberTag, ReplicaId};
use std::net::SocketAddr;
use std::sync::Arc;

/// A daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// A hash of the name; identifies the daemon throughout the fleet.
    pub tag: MemberTag,
    /// The name in the VM list.
    pub name: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// The address on which it accepts links from other daemons.
    pub peer_address: SocketAddr,
    /// Whether it is alive or suspect, and so may own replicas.
    pub live: bool,
    /// Whether it completes its requests in flight and then stops; it owns replicas only while its
    /// data centre has no live daemon. Never set together with `live`.
    pub leaving: bool,
}

/// An immutable view of the services, the members and the owners of replicas.
#[derive(Clone, Debug)]
pub struct View {
    /// Increases with every view that a daemon publishes.
    pub epoch: u64,
    /// This daemon.
    pub own: MemberId,
    /// All daemons, including evicted ones whose id is not reused yet; an id refers to the same
    /// daemon for longer than any request takes.
    pub members: Arena<MemberId, Member>,
    /// The services in force.
    pub topology: Arc<Topology>,
    /// The owner of each replica; `None` while its data centre has neither a live nor a leaving
    /// daemon.
    pub owners: Arena<ReplicaId, Option<MemberId>>,
    /// Sorted by tag; holds every daemon of `members`.
    members_by_tag: Vec<(MemberTag, MemberId)>,
}

impl View {
    /// Creates a view and assigns an owner to each replica.
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

    /// Returns the owner of a replica.
    pub fn owner(&self, replica: ReplicaId) -> Option<MemberId> {
        self.owners.get(replica).copied().flatten()
    }

    /// Returns a daemon by its tag.
    pub fn member(&self, tag: MemberTag) -> Option<MemberId> {
        let index = self.members_by_tag.binary_search_by_key(&tag, |(t, _)| *t).ok()?;
        Some(self.members_by_tag[index].1)
    }

    /// Returns how many replicas have another owner than in an earlier view of the same daemon.
    pub fn replicas_moved_since(&self, earlier: &Self) -> u32 {
        let moved = self.owners.iter().filter(|(id, owner)| earlier.owner(*id) != **owner);
        moved.count() as u32
    }
}
