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
    /// The owner of each replica; `None` while its data centre has no live daemon.
    pub owners: Arena<ReplicaId, Option<MemberId>>,
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
        Self { epoch, own, members, topology, owners }
    }

    /// Returns the owner of a replica that may get work.
    pub fn owner(&self, replica: ReplicaId) -> Option<MemberId> {
        self.owners.get(replica).copied().flatten()
    }

    /// Finds a daemon by its tag.
    pub fn member(&self, tag: MemberTag) -> Option<MemberId> {
        self.members.iter().find(|(_, member)| member.tag == tag).map(|(id, _)| id)
    }
}
