//! Which daemons there are and which of them live.
//!
//! Each daemon probes one random peer an interval. A peer that answers neither directly nor by way
//! of others is suspect, and dead once the suspicion lasted; it refutes either report with a higher
//! incarnation. Reports ride along with probes. There is no agreement: views of two daemons may
//! differ for a moment.

mod suspicion;

use super::gossip::Gossip;
use super::member::{MemberReport, MemberState};
use crate::decision::Decision;
use crate::ids::MemberTag;
use std::time::{Duration, Instant};
use suspicion::Suspicion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons known at most; reports of more are ignored.
const MEMBER_LIMIT: usize = 4096;

/// How long a dead daemon is remembered and probed now and then.
const DEAD_RETENTION: Duration = Duration::from_hours(2);

/// Another daemon.
#[derive(Debug)]
pub struct Peer {
    /// Names it.
    pub tag: MemberTag,
    /// The newest report of it.
    pub report: MemberReport,
    /// The revision in force there, as last heard; never falls within one incarnation.
    pub revision: u64,
    /// When its state last changed.
    pub state_since: Instant,
    /// `Some` exactly while it is suspect.
    suspicion: Option<Suspicion>,
}

/// Which daemons there are and which of them live.
#[derive(Debug)]
pub struct Membership {
    own: MemberReport,
    own_tag: MemberTag,
    /// Whether this daemon itself stops, so that no VM list can call it back.
    stopping: bool,
    /// Sorted by tag; never holds this daemon.
    peers: Vec<Peer>,
    gossip: Gossip,
    /// A sum of hashes over all reports of daemons not dead, which does not depend on their order.
    digest: u64,
    /// Counts the changes of any report.
    change_count: u64,
}

impl Membership {
    /// Makes the membership of a daemon that knows only itself.
    pub fn new(own: MemberReport) -> Self {
        let own_tag = own.tag();
        let digest = hash(&own);
        let gossip = Gossip::default();
        let mut membership = Self {
            own,
            own_tag,
            stopping: false,
            peers: Vec::new(),
            gossip,
            digest,
            change_count: 0,
        };
        membership.gossip.enqueue(own_tag);
        membership
    }

    /// Returns the report that this daemon gives of itself.
    pub fn own(&self) -> &MemberReport {
        &self.own
    }

    /// Returns the tag of this daemon.
    pub fn own_tag(&self) -> MemberTag {
        self.own_tag
    }

    /// Visits all other daemons by tag.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Finds another daemon.
    pub fn peer(&self, tag: MemberTag) -> Option<&Peer> {
        self.find(tag).ok().map(|index| &self.peers[index])
    }

    /// Returns a hash of all reports.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a number that grows with every change of a report.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns how many other daemons are alive, suspect or leaving.
    pub fn live_peer_count(&self) -> usize {
        self.peers.iter().filter(|peer| peer.report.state != MemberState::Dead).count()
    }

    /// Returns how many reports still spread.
    pub fn pending_reports(&self) -> usize {
        self.gossip.len()
    }

    /// Returns all reports, that of this daemon included.
    pub fn reports(&self) -> Vec<MemberReport> {
        let own = std::iter::once(self.own.clone());
        own.chain(self.peers.iter().map(|peer| peer.report.clone())).collect()
    }

    /// Returns the reports for one message; a daemon that is not alive hears of it in any case.
    pub fn reports_for(&mut self, to: Option<MemberTag>) -> Vec<MemberReport> {
        let Self { gossip, peers, own, own_tag, .. } = self;
        let mut reports = gossip.next_batch(peers.len(), |tag| {
            if tag == *own_tag {
                return Some(&*own);
            }
            let index = peers.binary_search_by_key(&tag, |peer| peer.tag).ok()?;
            Some(&peers[index].report)
        });
        let recipient = to.and_then(|tag| self.peer(tag)).map(|peer| &peer.report);
        if let Some(report) = recipient.filter(|report| report.state != MemberState::Alive)
            && !reports.contains(report)
        {
            reports.push(report.clone());
        }
        reports
    }

    /// Takes in what a daemon says of itself; proves that it lives.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        report: &MemberReport,
        revision: u64,
        out: &mut Vec<Decision>,
    ) {
        self.merge(now, None, report, out);
        if let Ok(index) = self.find(report.tag()) {
            let peer = &mut self.peers[index];
            if peer.report.incarnation == report.incarnation {
                peer.revision = peer.revision.max(revision);
                // A refutation is on its way: the peer is told of the suspicion with the reply.
                if let Some(suspicion) = &mut peer.suspicion {
                    suspicion.restart(now);
                }
            }
        }
    }

    /// Takes in a report; `from` is the daemon that passed it on, `None` for its subject.
    pub fn merge(
        &mut self,
        now: Instant,
        from: Option<MemberTag>,
        report: &MemberReport,
        out: &mut Vec<Decision>,
    ) {
        let tag = report.tag();
        if tag == self.own_tag {
            return self.merge_own_report(report, out);
        }
        match self.find(tag) {
            Ok(index) if report.supersedes(&self.peers[index].report) => {
                let accepted = downgrade_dead(report, &self.peers[index].report);
                self.replace(now, index, &accepted, out);
                if let Some(suspicion) = &mut self.peers[index].suspicion
                    && accepted != *report
                {
                    suspicion.shorten();
                }
            }
            Ok(index) => {
                let peer = &mut self.peers[index];
                let confirms = *report == peer.report;
                if let (true, Some(suspicion), Some(from)) = (confirms, &mut peer.suspicion, from) {
                    suspicion.confirm(from);
                }
            }
            // A daemon that was forgotten stays so until it speaks up itself.
            Err(_) if report.state == MemberState::Dead || self.peers.len() >= MEMBER_LIMIT => {}
            Err(index) => {
                let suspicion = None;
                let peer =
                    Peer { tag, report: report.clone(), revision: 0, state_since: now, suspicion };
                self.digest = self.digest.wrapping_add(hash(report));
                self.peers.insert(index, peer);
                self.state_changed(now, index, out);
            }
        }
    }

    /// Reports a daemon that did not answer.
    pub fn suspect(&mut self, now: Instant, tag: MemberTag, out: &mut Vec<Decision>) {
        let Ok(index) = self.find(tag) else { return };
        let state = match self.peers[index].report.state {
            MemberState::Alive => MemberState::Suspect,
            // A leaving daemon is out of placement already, so there is nothing to wait for.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect => {
                // It still does not answer, so others should hear of it again.
                return self.gossip.enqueue(tag);
            }
            MemberState::Dead => return,
        };
        let report = MemberReport { state, ..self.peers[index].report.clone() };
        self.replace(now, index, &report, out);
    }

    /// Reports a daemon as leaving because the VM list says so.
    pub fn mark_leaving(&mut self, now: Instant, tag: MemberTag, out: &mut Vec<Decision>) {
        if tag == self.own_tag {
            return self.leave(false, out);
        }
        let Ok(index) = self.find(tag) else { return };
        if self.peers[index].report.state.is_placeable() {
            let state = MemberState::Leaving;
            let report = MemberReport { state, ..self.peers[index].report.clone() };
            self.replace(now, index, &report, out);
        }
    }

    /// Takes this daemon out of placement; for good if it stops.
    pub fn leave(&mut self, stopping: bool, out: &mut Vec<Decision>) {
        self.stopping |= stopping;
        if self.own.state != MemberState::Leaving {
            self.set_own(MemberState::Leaving, self.own.incarnation + 1, out);
        }
    }

    /// Puts this daemon back into placement after a VM list that says it is not leaving.
    pub fn cancel_leave(&mut self, out: &mut Vec<Decision>) {
        if self.own.state == MemberState::Leaving && !self.stopping {
            self.set_own(MemberState::Alive, self.own.incarnation + 1, out);
        }
    }

    /// Returns whether this daemon itself stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns when the earliest suspicion ends.
    pub fn next_timer(&self) -> Option<Instant> {
        let suspicions = self.peers.iter().filter_map(|peer| peer.suspicion.as_ref());
        suspicions.map(Suspicion::deadline).min()
    }

    /// Ends suspicions that lasted and forgets daemons that are long dead.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            if peer.suspicion.as_ref().is_some_and(|suspicion| suspicion.deadline() <= now) {
                let state = MemberState::Dead;
                let report = MemberReport { state, ..peer.report.clone() };
                self.replace(now, index, &report, out);
            }
        }
        self.evict_dead(|peer| now >= peer.state_since + DEAD_RETENTION);
    }

    /// Forgets dead daemons that a VM list no longer names, `named` being sorted.
    pub fn evict_unlisted(&mut self, now: Instant, grace: Duration, named: &[MemberTag]) {
        self.evict_dead(|peer| {
            now >= peer.state_since + grace && named.binary_search(&peer.tag).is_err()
        });
    }

    /// Moves all deadlines, after a time in which this process did not run.
    pub fn postpone(&mut self, by: Duration) {
        for suspicion in self.peers.iter_mut().filter_map(|peer| peer.suspicion.as_mut()) {
            suspicion.postpone(by);
        }
    }

    fn evict_dead<F>(&mut self, old: F)
    where
        F: Fn(&Peer) -> bool,
    {
        let mut forgotten = 0;
        let digest = &mut self.digest;
        self.peers.retain(|peer| {
            let keep = peer.report.state != MemberState::Dead || !old(peer);
            if !keep {
                forgotten += 1;
                *digest = digest.wrapping_sub(hash(&peer.report));
            }
            keep
        });
        self.change_count += forgotten;
    }

    fn find(&self, tag: MemberTag) -> Result<usize, usize> {
        self.peers.binary_search_by_key(&tag, |peer| peer.tag)
    }

    fn replace(
        &mut self,
        now: Instant,
        index: usize,
        report: &MemberReport,
        out: &mut Vec<Decision>,
    ) {
        let peer = &mut self.peers[index];
        let restarted = peer.report.incarnation != report.incarnation;
        self.digest = self.digest.wrapping_sub(hash(&peer.report)).wrapping_add(hash(report));
        if restarted {
            peer.revision = 0;
        }
        peer.report = report.clone();
        peer.state_since = now;
        self.state_changed(now, index, out);
    }

    /// Does what a new state of a peer asks for.
    fn state_changed(&mut self, now: Instant, index: usize, out: &mut Vec<Decision>) {
        let members = self.peers.len() + 1;
        let peer = &mut self.peers[index];
        let suspect = peer.report.state == MemberState::Suspect;
        peer.suspicion = suspect.then(|| Suspicion::new(now, members));
        let MemberReport { state, incarnation, .. } = peer.report;
        out.push(Decision::Member { member: peer.tag, state, incarnation });
        self.change_count += 1;
        let tag = peer.tag;
        self.gossip.enqueue(tag);
    }

    fn merge_own_report(&mut self, report: &MemberReport, out: &mut Vec<Decision>) {
        if !report.supersedes(&self.own) {
            return;
        }
        let incarnation = report.incarnation;
        if report.state == MemberState::Leaving && incarnation == self.own.incarnation {
            // The VM list is right about a VM that goes; nothing is refuted.
            return self.set_own(MemberState::Leaving, incarnation + 1, out);
        }
        self.set_own(self.own.state, incarnation + 1, out);
    }

    fn set_own(&mut self, state: MemberState, incarnation: u64, out: &mut Vec<Decision>) {
        self.digest = self.digest.wrapping_sub(hash(&self.own));
        self.own.state = state;
        self.own.incarnation = incarnation;
        self.digest = self.digest.wrapping_add(hash(&self.own));
        self.change_count += 1;
        out.push(Decision::Member { member: self.own_tag, state, incarnation });
        self.gossip.enqueue(self.own_tag);
    }
}

/// Takes a report of a death as a suspicion where the daemon is believed alive.
///
/// The two sides of a partition that healed hold each other dead. Without this each would pass the
/// reports on to daemons that know better, and replicas would move away and back.
fn downgrade_dead(report: &MemberReport, known: &MemberReport) -> MemberReport {
    let believed_alive = known.state == MemberState::Alive;
    let state = match report.state {
        MemberState::Dead if believed_alive => MemberState::Suspect,
        state => state,
    };
    MemberReport { state, ..report.clone() }
}

/// A dead daemon counts as nothing, so that forgetting it changes no digest.
fn hash(report: &MemberReport) -> u64 {
    if report.state == MemberState::Dead {
        return 0;
    }
    let state = report.state as u64;
    let incarnation = report.incarnation.rotate_left(3) ^ state;
    xxh3_64_with_seed(report.name.as_bytes(), incarnation)
}

#[cfg(test)]
mod tests;
