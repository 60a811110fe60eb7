//! Schedule and targets of probes.

use super::member::MemberState;
use super::membership::{Membership, Peer};
use crate::ids::MemberTag;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use std::time::{Duration, Instant};

/// Interval between probes of random peers.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of a direct probe; covers a round trip between regions.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of an indirect probe, which follows a direct probe that timed out.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of peers that are requested to ping a daemon that did not answer.
const INDIRECT_PROBES: usize = 2;

/// Average number of probe intervals per ping of a dead daemon, which detects a healed partition.
const INTERVALS_PER_DEAD_PROBE: u32 = 3;

/// Maximum number of probes in flight; further probes are not started.
const MAX_PROBES: usize = 32;

/// Maximum number of pings in flight at the request of peers; further requests are ignored.
const MAX_RELAYS: usize = 64;

/// An effect that the controller carries out for the prober.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ProbeAction {
    /// Ping a daemon.
    Ping { to: MemberTag, sequence: u64 },
    /// Request a peer to ping the target.
    RequestIndirect { via: MemberTag, target: MemberTag, sequence: u64 },
    /// Forward the ack of the target to the peer that requested the ping.
    RelayAck { to: MemberTag, sequence: u64 },
    /// Suspect the daemon, as it did not answer in time.
    Failed(MemberTag),
}

#[derive(Debug)]
struct Probe {
    target: MemberTag,
    sequence: u64,
    deadline: Instant,
    /// Whether the direct ping timed out and peers were requested to ping the target.
    indirect: bool,
}

#[derive(Debug)]
struct Relay {
    requester: MemberTag,
    /// Sequence number of the ping request; echoed to the requester.
    request_sequence: u64,
    /// Sequence number of the ping to the target.
    sequence: u64,
    deadline: Instant,
}

/// The probes of one daemon.
#[derive(Debug)]
pub(super) struct Prober {
    next_probe: Instant,
    sequence: u64,
    /// The peers of this round that have not been probed yet, in random order.
    round: Vec<MemberTag>,
    /// At most `MAX_PROBES`.
    probes: Vec<Probe>,
    /// At most `MAX_RELAYS`.
    relays: Vec<Relay>,
}

impl Prober {
    /// Creates a prober whose first probe is due at a random time within one interval.
    pub(super) fn new(now: Instant, rng: &mut SmallRng) -> Self {
        let next_probe = now + PROBE_INTERVAL.mul_f64(rng.random());
        let (round, probes, relays) = (Vec::new(), Vec::new(), Vec::new());
        Self { next_probe, sequence: 0, round, probes, relays }
    }

    /// Returns when the next `tick` is due.
    pub(super) fn next_timer(&self) -> Instant {
        let deadlines = self.probes.iter().map(|probe| probe.deadline);
        deadlines.chain([self.next_probe]).min().unwrap_or(self.next_probe)
    }

    /// Postpones the deadlines of probes and relays by the time during which this process did not
    /// run.
    pub(super) fn postpone(&mut self, by: Duration) {
        self.probes.iter_mut().for_each(|probe| probe.deadline += by);
        self.relays.iter_mut().for_each(|relay| relay.deadline += by);
    }

    /// Starts probes that are due and expires probes that timed out.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        membership: &Membership,
        rng: &mut SmallRng,
        out: &mut Vec<ProbeAction>,
    ) {
        self.relays.retain(|relay| relay.deadline > now);
        self.expire(now, membership, rng, out);
        if self.next_probe > now {
            return;
        }
        self.next_probe = (self.next_probe + PROBE_INTERVAL).max(now);
        if let Some(target) = self.next_target(membership, rng) {
            self.probe(now, target, out);
        }
        if rng.random_ratio(1, INTERVALS_PER_DEAD_PROBE) {
            self.ping_dead_peer(membership, rng, out);
        }
    }

    /// Probes a daemon at once, unless a probe of it is in flight.
    pub(super) fn probe(&mut self, now: Instant, target: MemberTag, out: &mut Vec<ProbeAction>) {
        let in_flight = self.probes.iter().any(|probe| probe.target == target);
        if in_flight || self.probes.len() >= MAX_PROBES {
            return;
        }
        let sequence = self.next_sequence();
        let deadline = now + DIRECT_TIMEOUT;
        self.probes.push(Probe { target, sequence, deadline, indirect: false });
        out.push(ProbeAction::Ping { to: target, sequence });
    }

    /// Returns a sequence number that no earlier ping has.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Completes the probe or the relay that an ack belongs to.
    pub(super) fn record_ack(&mut self, sequence: u64, out: &mut Vec<ProbeAction>) {
        self.probes.retain(|probe| probe.sequence != sequence);
        if let Some(index) = self.relays.iter().position(|relay| relay.sequence == sequence) {
            let relay = self.relays.swap_remove(index);
            out.push(ProbeAction::RelayAck {
                to: relay.requester,
                sequence: relay.request_sequence,
            });
        }
    }

    /// Completes probes of a daemon, as any message from it proves that it is alive.
    pub(super) fn record_message(&mut self, from: MemberTag) {
        self.probes.retain(|probe| probe.target != from);
    }

    /// Pings a daemon at the request of a peer.
    pub(super) fn start_relay(
        &mut self,
        now: Instant,
        requester: MemberTag,
        request_sequence: u64,
        target: MemberTag,
        out: &mut Vec<ProbeAction>,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let sequence = self.next_sequence();
        let deadline = now + INDIRECT_TIMEOUT;
        self.relays.push(Relay { requester, request_sequence, sequence, deadline });
        out.push(ProbeAction::Ping { to: target, sequence });
    }

    fn expire(
        &mut self,
        now: Instant,
        membership: &Membership,
        rng: &mut SmallRng,
        out: &mut Vec<ProbeAction>,
    ) {
        let mut index = 0;
        while index < self.probes.len() {
            let probe = &mut self.probes[index];
            if probe.deadline > now {
                index += 1;
                continue;
            }
            if probe.indirect {
                out.push(ProbeAction::Failed(probe.target));
                self.probes.swap_remove(index);
                continue;
            }
            probe.indirect = true;
            probe.deadline = now + INDIRECT_TIMEOUT;
            let (target, sequence) = (probe.target, probe.sequence);
            let candidate =
                |peer: &&Peer| peer.report.state == MemberState::Alive && peer.tag != target;
            let mut intermediaries: Vec<_> = membership.peers().filter(candidate).collect();
            let (chosen, _) = intermediaries.partial_shuffle(rng, INDIRECT_PROBES);
            for via in chosen {
                out.push(ProbeAction::RequestIndirect { via: via.tag, target, sequence });
            }
            index += 1;
        }
    }

    /// Returns the next peer to probe; each live peer is probed once per round.
    fn next_target(&mut self, membership: &Membership, rng: &mut SmallRng) -> Option<MemberTag> {
        let is_live = |peer: &Peer| peer.report.state != MemberState::Dead;
        while let Some(tag) = self.round.pop() {
            if membership.peer(tag).is_some_and(is_live) {
                return Some(tag);
            }
        }
        let live = membership.peers().filter(|peer| is_live(peer));
        self.round.extend(live.map(|peer| peer.tag));
        self.round.shuffle(rng);
        self.round.pop()
    }

    /// Pings a random dead daemon; a missing ack has no effect.
    fn ping_dead_peer(
        &mut self,
        membership: &Membership,
        rng: &mut SmallRng,
        out: &mut Vec<ProbeAction>,
    ) {
        let is_dead = |peer: &&Peer| peer.report.state == MemberState::Dead;
        let count = membership.peers().filter(is_dead).count();
        if count == 0 {
            return;
        }
        let index = rng.random_range(0..count);
        if let Some(peer) = membership.peers().filter(is_dead).nth(index) {
            let sequence = self.next_sequence();
            out.push(ProbeAction::Ping { to: peer.tag, sequence });
        }
    }
}

#[cfg(test)]
mod tests;
