//! Delegation of parts to peers near the replicas: messages, shard groups and their owners.
//!
//! The shards with replicas in a data centre are divided into groups. Each group has an owner in
//! that data centre: the daemon with the highest rendezvous score. All entries thus delegate a
//! group to the same daemon, which sees the whole load on its replicas, needs few connections to
//! them, and returns one merged answer.

use super::in_flight::RequestKey;
use super::peer_delay::PeerDelay;
use super::view::{Distance, Peer, Target, View};
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

/// Identifies a delegated call, a [`PartsRequest`] to one peer, within one thread; never reused.
pub type CallKey = SlabKey;

/// The maximum number of shards in a group. Smaller groups spread a query over more daemons, larger
/// ones need fewer messages.
const MAX_GROUP_SHARDS: usize = 15;

/// The maximum number of shards of a query whose parts in the entry's own data centre are not
/// delegated. Up to this number, the work and the connections of the entry cost less than a round
/// trip to an owner.
const MAX_DIRECT_SHARDS: usize = 40;

/// The number of daemons considered as owner of a group before the entry fetches the parts itself.
const MAX_CANDIDATES: usize = 2;

/// The back-off after a peer did not reply, doubled with each further failure up to the limit.
const PEER_BACKOFF: Duration = Duration::from_millis(500);
const MAX_PEER_BACKOFF: Duration = Duration::from_secs(4);

/// How long a peer may be overdue with all replies before its connection counts as dead. Longer
/// than a VM waits for its share of the processor; until then other daemons are called instead.
const MAX_OVERDUE_TIME: Duration = Duration::from_millis(300);

/// A request of an entry for parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRequest {
    /// The host of the route; identifies the route together with `path`.
    pub host: String,
    /// The path prefix of the route.
    pub path: String,
    /// The shards, without duplicates, each with the replica that the entry uses for a rescue.
    pub services: Vec<(ServiceTag, ReplicaTag)>,
    /// The maximum number of records in a reply.
    pub limit: u32,
    /// The time until the entry answers if it has enough parts; all parts that are fetched by then
    /// are sent at that time, and later ones one by one.
    pub answer_in: Duration,
    /// The time until the caller's deadline, when the last reply is due.
    pub time_left: Duration,
}

/// Parts fetched by a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsReply {
    /// The index into the request's services and the signature of each part that is included.
    pub parts: Vec<(u16, Box<str>)>,
    /// The index and the verdict of each missing part; empty unless the reply is the last.
    pub missing: Vec<(u16, Verdict)>,
    /// The greatest records of the included parts, greatest first.
    pub records: Bytes,
}

impl PartsReply {
    /// Returns the last reply to a request for `count` parts of which none was sent.
    pub fn not_run(count: usize) -> Self {
        let missing = (0..count as u16).map(|part| (part, Verdict::NotRun));
        Self { parts: Vec::new(), missing: missing.collect(), records: Bytes::new() }
    }
}

/// A call to a peer that has not ended.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) request: RequestKey,
    pub(super) peer: PeerId,
    /// The address of the peer, for the log.
    pub(super) address: SocketAddr,
    pub(super) distance: Distance,
    /// Indexes into the parts of the request in flight.
    pub(super) parts: Vec<usize>,
    pub(super) sent: Instant,
    /// The time after arrival at the peer when it sends its first reply.
    pub(super) first_reply_due: Duration,
    /// Whether the peer sent a reply, even one without parts.
    pub(super) replied: bool,
}

/// The connection and failure state of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    id: PeerId,
    connected: bool,
    back_off_until: Option<Instant>,
    /// Failed calls since the last reply.
    consecutive_failures: u32,
    /// When a reply became overdue; `None` once any reply has arrived since.
    overdue_since: Option<Instant>,
    delay: PeerDelay,
}

/// The state of each peer that this thread connected to or considered as an owner.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Sorted by id.
    states: Vec<PeerState>,
}

/// The daemon that fetches a group.
#[derive(Clone, Debug)]
pub(super) enum Owner {
    /// This daemon: no candidate ranks higher, or those that do are in back-off.
    Local,
    /// A peer with an open connection.
    Peer(Arc<Peer>),
    /// A peer without a connection.
    Unconnected(Arc<Peer>),
}

impl Peers {
    /// Returns the owner of a group: the highest-ranked connected candidate or, if none is
    /// connected, the highest-ranked unconnected one.
    ///
    /// Skips peers in back-off or with an overdue reply, and candidates that rank below this daemon.
    pub(super) fn owner(&mut self, view: &View, group: &Group, now: Instant) -> Owner {
        let mut unconnected = None;
        for peer in owner_candidates(view, group.data_centre, group.number) {
            let Some(peer) = peer else { break };
            let state = self.state(peer.id, now);
            let backing_off = state.back_off_until.is_some_and(|until| until > now);
            if backing_off || state.overdue_since.is_some() {
                continue;
            }
            if state.connected {
                return Owner::Peer(peer.clone());
            }
            unconnected.get_or_insert(peer);
        }
        unconnected.map_or(Owner::Local, |peer| Owner::Unconnected(peer.clone()))
    }

    /// Records whether a peer is connected.
    pub(super) fn set_connected(&mut self, id: PeerId, connected: bool, now: Instant) {
        let state = self.state(id, now);
        state.connected = connected;
        state.overdue_since = None;
    }

    /// Records the round trip measured on a new connection to a peer.
    pub(super) fn record_round_trip(&mut self, id: PeerId, round_trip: Duration, now: Instant) {
        self.state(id, now).delay.record_round_trip(round_trip);
    }

    /// Returns the delays of a peer.
    pub(super) fn delay(&mut self, id: PeerId, now: Instant) -> &mut PeerDelay {
        &mut self.state(id, now).delay
    }

    /// Records a reply to a call; ends the back-off.
    pub(super) fn record_reply(&mut self, call: &mut Call, complete: bool, now: Instant) {
        let state = self.state(call.peer, now);
        state.consecutive_failures = 0;
        state.back_off_until = None;
        state.overdue_since = None;
        if !call.replied {
            call.replied = true;
            let elapsed = now.saturating_duration_since(call.sent);
            let reply = (elapsed, call.first_reply_due, complete);
            state.delay.record_reply(reply, call.distance, now);
        }
    }

    /// Records that a reply is overdue; returns when the connection counts as dead, if this is the
    /// peer's first overdue reply.
    pub(super) fn record_overdue(&mut self, id: PeerId, now: Instant) -> Option<Instant> {
        let state = self.state(id, now);
        let first = state.overdue_since.is_none();
        state.overdue_since.get_or_insert(now);
        first.then_some(now + MAX_OVERDUE_TIME)
    }

    /// Returns whether no reply of a peer arrived for `MAX_OVERDUE_TIME` after one was due.
    pub(super) fn is_unresponsive(&mut self, id: PeerId, now: Instant) -> bool {
        let since = self.state(id, now).overdue_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= MAX_OVERDUE_TIME)
    }

    /// Records a call that failed, or a connection that does not respond; starts a back-off.
    pub(super) fn record_failure(&mut self, id: PeerId, now: Instant) {
        let state = self.state(id, now);
        let back_off = PEER_BACKOFF * 2u32.pow(state.consecutive_failures.min(8));
        state.consecutive_failures += 1;
        state.back_off_until = Some(now + back_off.min(MAX_PEER_BACKOFF));
    }

    /// Removes the peers that `keep` rejects.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(PeerId) -> bool,
    {
        self.states.retain(|state| keep(state.id));
    }

    fn state(&mut self, id: PeerId, now: Instant) -> &mut PeerState {
        let index = match self.states.binary_search_by_key(&id, |state| state.id) {
            Ok(index) => index,
            Err(index) => {
                let state = PeerState {
                    id,
                    connected: false,
                    back_off_until: None,
                    consecutive_failures: 0,
                    overdue_since: None,
                    delay: PeerDelay::new(now),
                };
                self.states.insert(index, state);
                index
            }
        };
        &mut self.states[index]
    }
}

/// Parts of a query with a common owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Group {
    /// The data centre of the owner.
    pub(super) data_centre: DataCentreId,
    /// The number of the group within the data centre, from 0.
    pub(super) number: usize,
    /// Indexes into the query's services, ascending.
    pub(super) parts: Vec<usize>,
}

/// Returns the candidates for the owner of a group, best first; `None` is this daemon.
fn owner_candidates(
    view: &View,
    data_centre: DataCentreId,
    number: usize,
) -> impl Iterator<Item = Option<&Arc<Peer>>> {
    let in_centre = view.peers.iter().filter(|peer| peer.data_centre == data_centre);
    let mut ranked: Vec<(u64, Option<&Arc<Peer>>)> =
        in_centre.map(|peer| (rendezvous_score(peer.tag, number), Some(peer))).collect();
    if data_centre == view.own_data_centre {
        ranked.push((rendezvous_score(view.own_tag, number), None));
    }
    ranked.sort_unstable_by_key(|(score, _)| Reverse(*score));
    ranked.into_iter().take(MAX_CANDIDATES).map(|(_, peer)| peer)
}

/// Records at each service of a sharded route whether this daemon is its owner.
pub(super) fn assign_owners(view: &mut View) {
    let mut owned = Vec::new();
    for route in &view.routes {
        let Target::Shards { services, .. } = &route.target else { continue };
        let mut local_groups: Vec<bool> = Vec::new();
        let in_own_centre = services.iter().filter(|service| {
            let replicas = view.replicas(**service);
            replicas.iter().any(|replica| replica.data_centre == view.own_data_centre)
        });
        for (position, service) in in_own_centre.enumerate() {
            let number = position / MAX_GROUP_SHARDS;
            if local_groups.len() <= number {
                let first = owner_candidates(view, view.own_data_centre, number).next();
                local_groups.push(first.is_some_and(|peer| peer.is_none()));
            }
            if local_groups[number] {
                owned.push(*service);
            }
        }
    }
    for service in owned {
        view.services[service].standing.is_owner = true;
    }
}

/// Divides the parts of a query into groups, without the parts that the entry fetches itself.
///
/// Group numbers depend only on the services and their replicas, so all entries agree on them.
pub(super) fn groups(view: &View, services: &[ServiceId]) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    // The number of shards with a replica in each data centre, among the services so far.
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
            let number = counts[index].1 / MAX_GROUP_SHARDS;
            counts[index].1 += 1;
            if nearest == Some(data_centre) {
                add_part(&mut groups, data_centre, number, part);
            }
        }
    }
    let direct = services.len() <= MAX_DIRECT_SHARDS;
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

/// Returns the nearest data centre with a replica of the service; a hash spreads shards over data
/// centres at equal distance.
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
