//! The known daemons and their states.
//!
//! Each daemon probes one random peer per interval. A peer that answers neither directly nor via
//! other peers becomes suspect, and dead once the suspicion times out. The peer refutes either
//! report by raising its incarnation. Reports are piggybacked on probes. There is no consensus:
//! the views of two daemons may differ temporarily.

mod suspicion;

use super::gossip::Gossip;
use super::member::{MemberReport, MemberState};
use crate::decision::Decision;
use crate::ids::MemberTag;
use std::time::{Duration, Instant};
use suspicion::Suspicion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of known peers; reports of further daemons are ignored.
const MAX_PEERS: usize = 4096;

/// How long a dead daemon is retained and occasionally probed.
const DEAD_RETENTION: Duration = Duration::from_hours(2);

/// Another daemon.
#[derive(Debug)]
pub struct Peer {
    /// Identifies the daemon.
    pub tag: MemberTag,
    /// The newest report of the daemon.
    pub report: MemberReport,
    /// The highest revision that the daemon reported as in force in its current incarnation.
    pub revision: u64,
    /// When the report last changed.
    pub changed_at: Instant,
    /// `Some` if and only if the state is `Suspect`.
    suspicion: Option<Suspicion>,
}

/// The known daemons and their states.
#[derive(Debug)]
pub struct Membership {
    own: MemberReport,
    own_tag: MemberTag,
    /// Whether this daemon is stopping, so that no VM list returns it to placement.
    stopping: bool,
    /// Sorted by tag; does not contain this daemon.
    peers: Vec<Peer>,
    gossip: Gossip,
    /// The sum of the hashes of all reports, except of dead daemons; independent of their order.
    digest: u64,
    /// Counts changed and evicted reports.
    change_count: u64,
}

impl Membership {
    /// Creates the membership of a daemon that knows only itself.
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

    /// Returns the report of this daemon about itself.
    pub fn own(&self) -> &MemberReport {
        &self.own
    }

    /// Returns the tag of this daemon.
    pub fn own_tag(&self) -> MemberTag {
        self.own_tag
    }

    /// Returns all other daemons, sorted by tag.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    /// Returns another daemon by its tag.
    pub fn peer(&self, tag: MemberTag) -> Option<&Peer> {
        self.find(tag).ok().map(|index| &self.peers[index])
    }

    /// Returns a hash of all reports, except of dead daemons.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a number that increases with every changed or evicted report.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns how many other daemons are not dead: alive, suspect or leaving.
    pub fn running_peer_count(&self) -> usize {
        self.peers.iter().filter(|peer| peer.report.state != MemberState::Dead).count()
    }

    /// Returns how many reports are still to be sent.
    pub fn pending_reports(&self) -> usize {
        self.gossip.len()
    }

    /// Returns all reports, including that of this daemon.
    pub fn reports(&self) -> Vec<MemberReport> {
        let own = std::iter::once(self.own.clone());
        own.chain(self.peers.iter().map(|peer| peer.report.clone())).collect()
    }

    /// Returns the reports for one message.
    ///
    /// A recipient that is not `Alive` always receives the report about itself, so that it can
    /// refute it.
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

    /// Records the heartbeat of a peer, which proves that it is alive.
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
                // The reply carries the suspicion, so a refutation will follow.
                if let Some(suspicion) = &mut peer.suspicion {
                    suspicion.restart(now);
                }
            }
        }
    }

    /// Merges a report.
    ///
    /// `from` is the peer that forwarded it; `None` if the daemon sent the report about itself.
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
                // A peer that reports the daemon as dead has already waited for a refutation.
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
            // A dead daemon is not added, since peers may retain a daemon that was evicted here.
            Err(_) if report.state == MemberState::Dead || self.peers.len() >= MAX_PEERS => {}
            Err(index) => {
                let suspicion = None;
                let peer =
                    Peer { tag, report: report.clone(), revision: 0, changed_at: now, suspicion };
                self.digest = self.digest.wrapping_add(hash(report));
                self.peers.insert(index, peer);
                self.handle_report_change(now, index, out);
            }
        }
    }

    /// Marks a daemon as suspect after a failed probe, or as dead if it was leaving.
    pub fn suspect(&mut self, now: Instant, tag: MemberTag, out: &mut Vec<Decision>) {
        let Ok(index) = self.find(tag) else { return };
        let state = match self.peers[index].report.state {
            MemberState::Alive => MemberState::Suspect,
            // A leaving daemon is already out of placement, so no suspicion period is needed.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect => {
                // The daemon still does not answer, so the suspicion is sent to peers again.
                return self.gossip.enqueue(tag);
            }
            MemberState::Dead => return,
        };
        let report = MemberReport { state, ..self.peers[index].report.clone() };
        self.replace(now, index, &report, out);
    }

    /// Marks a daemon as leaving, according to the VM list.
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

    /// Removes this daemon from placement, permanently if `stopping`.
    pub fn leave(&mut self, stopping: bool, out: &mut Vec<Decision>) {
        self.stopping |= stopping;
        if self.own.state != MemberState::Leaving {
            self.set_own(MemberState::Leaving, self.own.incarnation + 1, out);
        }
    }

    /// Returns this daemon to placement after a VM list that does not mark it as leaving.
    pub fn cancel_leave(&mut self, out: &mut Vec<Decision>) {
        if self.own.state == MemberState::Leaving && !self.stopping {
            self.set_own(MemberState::Alive, self.own.incarnation + 1, out);
        }
    }

    /// Returns whether this daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns when the earliest suspicion times out.
    pub fn next_timer(&self) -> Option<Instant> {
        let suspicions = self.peers.iter().filter_map(|peer| peer.suspicion.as_ref());
        suspicions.map(Suspicion::deadline).min()
    }

    /// Marks daemons whose suspicion timed out as dead, and evicts those that have been dead for
    /// `DEAD_RETENTION`.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Decision>) {
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            if peer.suspicion.as_ref().is_some_and(|suspicion| suspicion.deadline() <= now) {
                let state = MemberState::Dead;
                let report = MemberReport { state, ..peer.report.clone() };
                self.replace(now, index, &report, out);
            }
        }
        self.evict_dead(|peer| now >= peer.changed_at + DEAD_RETENTION);
    }

    /// Evicts the daemons that have been dead for `grace` and are not in `listed`, the sorted tags
    /// of a VM list.
    pub fn evict_unlisted(&mut self, now: Instant, grace: Duration, listed: &[MemberTag]) {
        self.evict_dead(|peer| {
            now >= peer.changed_at + grace && listed.binary_search(&peer.tag).is_err()
        });
    }

    /// Postpones the deadlines of all suspicions by the time during which this process did not run.
    pub fn postpone(&mut self, by: Duration) {
        for suspicion in self.peers.iter_mut().filter_map(|peer| peer.suspicion.as_mut()) {
            suspicion.postpone(by);
        }
    }

    /// Evicts the dead daemons for which `expired` returns true.
    fn evict_dead<F>(&mut self, expired: F)
    where
        F: Fn(&Peer) -> bool,
    {
        let mut evicted = 0;
        let digest = &mut self.digest;
        self.peers.retain(|peer| {
            let keep = peer.report.state != MemberState::Dead || !expired(peer);
            if !keep {
                evicted += 1;
                *digest = digest.wrapping_sub(hash(&peer.report));
            }
            keep
        });
        self.change_count += evicted;
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
        let incarnation_changed = peer.report.incarnation != report.incarnation;
        self.digest = self.digest.wrapping_sub(hash(&peer.report)).wrapping_add(hash(report));
        if incarnation_changed {
            peer.revision = 0;
        }
        peer.report = report.clone();
        peer.changed_at = now;
        self.handle_report_change(now, index, out);
    }

    /// Starts or ends the suspicion of a peer with a new report, and enqueues the report.
    fn handle_report_change(&mut self, now: Instant, index: usize, out: &mut Vec<Decision>) {
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
            // Peers mark a daemon as leaving only if the VM list does, so this is not refuted.
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

/// Turns a report of a dead daemon into a suspicion if the daemon is known to be alive.
///
/// After a partition heals, each side has marked the other as dead. Without this, those reports
/// would spread to daemons that know the reported daemon to be alive, and replicas would move away
/// and back.
fn downgrade_dead(report: &MemberReport, known: &MemberReport) -> MemberReport {
    let believed_alive = known.state == MemberState::Alive;
    let state = match report.state {
        MemberState::Dead if believed_alive => MemberState::Suspect,
        state => state,
    };
    MemberReport { state, ..report.clone() }
}

/// Returns the hash of a report; 0 for a dead daemon, so that eviction does not change the digest.
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
