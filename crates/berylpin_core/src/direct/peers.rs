//! Parts that another daemon fetches and merges near the replicas.
//!
//! The shards that have replicas in a data centre are cut into groups there. Each group has an owner in
//! that data centre: the daemon with the highest rendezvous rendezvous_score. All entries thus send a group to the
//! same daemon, which sees their calls of those replicas, needs few connections to them, and sends back
//! one merged answer.

use super::in_flight::RequestKey;
use super::view::{Peer, View};
use crate::arena::SlabKey;
use crate::ids::{DataCentreId, MemberTag, PeerId, ReplicaTag, ServiceId, ServiceTag};
use crate::verdict::Verdict;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Names a request for parts within one thread; never used twice.
pub type CallKey = SlabKey;

/// Shards in a group. Smaller groups spread the work of one query over more daemons, larger ones send
/// fewer messages.
const GROUP_SHARDS: usize = 15;

/// Shards up to which an entry asks the replicas of its own data centre itself: with so few, its own
/// work and connections are less than the way to an owner.
const DIRECT_SHARD_LIMIT: usize = 40;

/// Daemons of a data centre that are tried for a group before the entry fetches it itself.
const CANDIDATES_PER_GROUP: usize = 2;

/// How long a daemon is left alone that did not answer, doubled with each further time.
const BACK_OFF: Duration = Duration::from_millis(500);
const BACK_OFF_LIMIT: Duration = Duration::from_secs(4);

/// What an entry asks another daemon for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRequest {
    /// The host of the request, which with the path names the route.
    pub host: String,
    /// Without the query.
    pub path: String,
    /// The shards, each once, with the replica that the entry turns to if it hears nothing.
    pub services: Vec<(ServiceTag, ReplicaTag)>,
    /// The most records wanted.
    pub limit: u32,
    /// When an incomplete answer is worth more than a later one.
    pub answer_in: Duration,
    /// How long the caller waits.
    pub time_left: Duration,
}

/// What another daemon fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsReply {
    /// Position in the request's services and signature of each part that is included.
    pub parts: Vec<(u16, Box<str>)>,
    /// Position of each part that is left out, and whether it may have run.
    pub missing: Vec<(u16, Verdict)>,
    /// The greatest records of the parts that are included, greatest first.
    pub records: Bytes,
}

/// A request for parts that was sent.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) request: RequestKey,
    pub(super) peer: PeerId,
    /// Where the peer listens, for the log.
    pub(super) address: SocketAddr,
    /// Indexes into the parts of the request.
    pub(super) parts: Vec<usize>,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    id: PeerId,
    connected: bool,
    back_off_until: Option<Instant>,
    /// Calls in a row without an answer.
    consecutive_failures: u32,
}

/// All peers that a thread has wanted.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Sorted by id.
    states: Vec<PeerState>,
}

/// Which daemon fetches a group.
#[derive(Clone, Debug)]
pub(super) enum Owner {
    /// This one.
    Local,
    /// Another one, which is connected.
    Peer(Arc<Peer>),
    /// Another one, which has to be connected to.
    Unconnected(Arc<Peer>),
}

impl Peers {
    /// Chooses the owner of a group of services.
    pub(super) fn owner(&mut self, view: &View, group: &Group, now: Instant) -> Owner {
        let (data_centre, number) = (group.data_centre, group.number);
        let in_centre = view.peers.iter().filter(|peer| peer.data_centre == data_centre);
        let mut ranked: Vec<(u64, Option<&Arc<Peer>>)> =
            in_centre.map(|peer| (rendezvous_score(peer.tag, number), Some(peer))).collect();
        if data_centre == view.own_data_centre {
            ranked.push((rendezvous_score(view.own_tag, number), None));
        }
        ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
        let mut unconnected = None;
        for (_, peer) in ranked.into_iter().take(CANDIDATES_PER_GROUP) {
            let Some(peer) = peer else { break };
            let state = self.state(peer.id);
            if state.back_off_until.is_some_and(|until| until > now) {
                continue;
            }
            if state.connected {
                return Owner::Peer(peer.clone());
            }
            unconnected.get_or_insert(peer);
        }
        unconnected.map_or(Owner::Local, |peer| Owner::Unconnected(peer.clone()))
    }

    /// Notes whether a peer is connected.
    pub(super) fn set_connected(&mut self, id: PeerId, connected: bool) {
        self.state(id).connected = connected;
    }

    /// Learns from an answer.
    pub(super) fn record_answer(&mut self, id: PeerId) {
        let state = self.state(id);
        state.consecutive_failures = 0;
        state.back_off_until = None;
    }

    /// Learns from a call that was not answered in time, or not at all.
    pub(super) fn record_failure(&mut self, id: PeerId, now: Instant) {
        let state = self.state(id);
        let back_off = BACK_OFF * 2u32.pow(state.consecutive_failures.min(8));
        state.consecutive_failures += 1;
        state.back_off_until = Some(now + back_off.min(BACK_OFF_LIMIT));
    }

    /// Forgets peers that `keep` turns down.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(PeerId) -> bool,
    {
        self.states.retain(|state| keep(state.id));
    }

    fn state(&mut self, id: PeerId) -> &mut PeerState {
        let index = match self.states.binary_search_by_key(&id, |state| state.id) {
            Ok(index) => index,
            Err(index) => {
                let state = PeerState {
                    id,
                    connected: false,
                    back_off_until: None,
                    consecutive_failures: 0,
                };
                self.states.insert(index, state);
                index
            }
        };
        &mut self.states[index]
    }
}

/// Parts of a query that have one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Group {
    /// Where the owner runs.
    pub(super) data_centre: DataCentreId,
    /// Counts the groups of the data centre.
    pub(super) number: usize,
    /// Positions in the query's services, in order.
    pub(super) parts: Vec<usize>,
}

/// Assigns the parts of a query to groups; parts that the entry asks for itself are in none.
///
/// Which shards share a group depends on nothing but the replicas, so all entries agree on it.
pub(super) fn groups(view: &View, services: &[ServiceId]) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    // How many shards of each data centre came before.
    let mut counts: Vec<(DataCentreId, usize)> = Vec::new();
    for (part, service) in services.iter().enumerate() {
        let replicas = view.replicas(*service);
        let nearest = nearest_data_centre(view, *service);
        let mut seen: Vec<DataCentreId> = Vec::new();
        for replica in replicas {
            let data_centre = replica.data_centre;
            if seen.contains(&data_centre) {
                continue;
            }
            seen.push(data_centre);
            let index = counts.iter().position(|(centre, _)| *centre == data_centre);
            let index = index.unwrap_or_else(|| {
                counts.push((data_centre, 0));
                counts.len() - 1
            });
            let number = counts[index].1 / GROUP_SHARDS;
            counts[index].1 += 1;
            if nearest == Some(data_centre) {
                add_part(&mut groups, data_centre, number, part);
            }
        }
    }
    let direct = services.len() <= DIRECT_SHARD_LIMIT;
    groups.retain(|group| !(direct && group.data_centre == view.own_data_centre));
    groups
}

fn add_part(groups: &mut Vec<Group>, data_centre: DataCentreId, number: usize, part: usize) {
    let same = |group: &&mut Group| group.data_centre == data_centre && group.number == number;
    match groups.iter_mut().find(same) {
        Some(group) => group.parts.push(part),
        None => groups.push(Group { data_centre, number, parts: vec![part] }),
    }
}

/// Returns the nearest data centre with a replica of the service; shards are spread over those that are
/// equally near.
fn nearest_data_centre(view: &View, service: ServiceId) -> Option<DataCentreId> {
    let replicas = view.replicas(service).iter();
    let nearest = replicas.min_by_key(|r| (r.distance, xxh3_64(r.name.as_bytes())));
    nearest.map(|replica| replica.data_centre)
}

fn rendezvous_score(tag: MemberTag, number: usize) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&tag.0.to_le_bytes());
    bytes[8..].copy_from_slice(&(number as u64).to_le_bytes());
    xxh3_64(&bytes)
}

#[cfg(test)]
mod tests;
