//! Handling and sending of control messages.

use super::{Action, Controller};
use crate::control::documents::DocumentPage;
use crate::control::member::{Heartbeat, MemberState};
use crate::control::message::{ControlBody, ControlMessage};
use crate::control::probe::ProbeAction;
use crate::control::transfer::{Progress, Transfer};
use crate::ids::MemberTag;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Minimum time between fetches of all reports while the digest of a peer differs.
const MEMBER_SYNC_INTERVAL: Duration = Duration::from_secs(30);

/// Minimum time between full fetches of documents while the digest of a peer differs at the same
/// revision.
const REPAIR_INTERVAL: Duration = Duration::from_secs(30);

/// Number of peers that are notified of a new revision or a suspicion without waiting for a probe.
const PUSH_FANOUT: usize = 3;

impl Controller {
    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        from: MemberTag,
        message: ControlMessage,
        out: &mut Vec<Action>,
    ) {
        let ControlMessage { heartbeat, reports, body } = message;
        let wrong_sender = heartbeat.report.tag() != from;
        if wrong_sender || from == self.membership.own_tag() {
            return;
        }
        let revision = heartbeat.revision;
        self.membership.record_heartbeat(now, &heartbeat.report, revision, &mut self.decisions);
        for report in &reports {
            self.membership.merge(now, Some(from), report, &mut self.decisions);
        }
        self.prober.record_message(from);
        self.handle_body(now, from, &heartbeat, body, out);
        self.request_missing_state(now, from, &heartbeat, out);
    }

    fn handle_body(
        &mut self,
        now: Instant,
        from: MemberTag,
        heartbeat: &Heartbeat,
        body: ControlBody,
        out: &mut Vec<Action>,
    ) {
        let address = heartbeat.report.peer_address;
        match body {
            ControlBody::Ping { sequence } => {
                let message = self.build_message(Some(from), ControlBody::Ack { sequence });
                out.push(Action::Send(address, message));
            }
            ControlBody::Ack { sequence } => {
                self.prober.record_ack(sequence, &mut self.probe_actions);
            }
            ControlBody::PingRequest { sequence, target } => {
                self.prober.start_relay(now, from, sequence, target, &mut self.probe_actions);
            }
            ControlBody::FetchMembers => {
                let mut message = self.build_message(Some(from), ControlBody::Members);
                message.reports = self.membership.reports();
                out.push(Action::Send(address, message));
            }
            ControlBody::FetchDocuments { cursor, with_names } => {
                let page = self.documents.page(cursor, with_names);
                let message = self.build_message(Some(from), ControlBody::Documents(page));
                out.push(Action::Send(address, message));
            }
            ControlBody::Documents(page) => self.handle_page(now, from, address, page, out),
            ControlBody::Members => self.joined = true,
            ControlBody::Gossip => {}
        }
    }

    fn handle_page(
        &mut self,
        now: Instant,
        from: MemberTag,
        address: SocketAddr,
        page: DocumentPage,
        out: &mut Vec<Action>,
    ) {
        let Some(mut transfer) = self.transfer.take_if(|transfer| transfer.sender() == from) else {
            return;
        };
        let progress = transfer.receive(now, page, &mut self.documents);
        self.update_services(out);
        if progress == Progress::RequestNext {
            let message = self.build_message(Some(from), transfer.request());
            out.push(Action::Send(address, message));
            self.transfer = Some(transfer);
        }
    }

    /// Fetches reports and documents that the heartbeat of a peer shows to be missing here.
    fn request_missing_state(
        &mut self,
        now: Instant,
        from: MemberTag,
        heartbeat: &Heartbeat,
        out: &mut Vec<Action>,
    ) {
        let address = heartbeat.report.peer_address;
        let members_match = heartbeat.members_digest == self.membership.digest();
        self.joined |= members_match;
        if !members_match && is_due(now, self.last_member_sync, MEMBER_SYNC_INTERVAL) {
            self.last_member_sync = Some(now);
            let message = self.build_message(Some(from), ControlBody::FetchMembers);
            out.push(Action::Send(address, message));
        }
        if self.transfer.as_ref().is_some_and(|transfer| !transfer.is_overdue(now)) {
            return;
        }
        let known = self.documents.revision();
        let documents_differ = heartbeat.documents_digest != self.documents.digest();
        let transfer = if heartbeat.revision > known {
            Transfer::new(now, from, known)
        } else if heartbeat.revision == known
            && documents_differ
            && is_due(now, self.last_repair, REPAIR_INTERVAL)
        {
            self.last_repair = Some(now);
            Transfer::repair(now, from)
        } else {
            return;
        };
        let message = self.build_message(Some(from), transfer.request());
        self.transfer = Some(transfer);
        out.push(Action::Send(address, message));
    }

    /// Notifies a few random peers of a change that should not wait for the next probe.
    pub(super) fn push_gossip(&mut self, out: &mut Vec<Action>) {
        let live = self.membership.peers().filter(|peer| peer.report.state.is_placeable());
        let chosen: Vec<_> = live
            .map(|peer| (peer.tag, peer.report.peer_address))
            .choose_multiple(&mut self.rng, PUSH_FANOUT);
        for (tag, address) in chosen {
            let message = self.build_message(Some(tag), ControlBody::Gossip);
            out.push(Action::Send(address, message));
        }
    }

    /// Pings the live peers that are not known to have a revision in force; their acks report it.
    pub(super) fn ping_peers_behind(&mut self, revision: u64, out: &mut Vec<Action>) {
        let behind: Vec<_> = self
            .membership
            .peers()
            .filter(|peer| peer.report.state != MemberState::Dead && peer.revision < revision)
            .map(|peer| (peer.tag, peer.report.peer_address))
            .collect();
        for (tag, address) in behind {
            let sequence = self.prober.next_sequence();
            let message = self.build_message(Some(tag), ControlBody::Ping { sequence });
            out.push(Action::Send(address, message));
        }
    }

    /// Pings the seeds at whose address no live daemon is known.
    pub(super) fn ping_unknown_seeds(&mut self, out: &mut Vec<Action>) {
        let own = self.membership.own().peer_address;
        for seed in self.seeds.clone() {
            let known = self.membership.peers().any(|peer| {
                peer.report.peer_address == seed && peer.report.state != MemberState::Dead
            });
            if !known && seed != own {
                self.ping_address(seed, out);
            }
        }
    }

    pub(super) fn ping_address(&mut self, address: SocketAddr, out: &mut Vec<Action>) {
        let sequence = self.prober.next_sequence();
        let message = self.build_message(None, ControlBody::Ping { sequence });
        out.push(Action::Send(address, message));
    }

    pub(super) fn build_message(
        &mut self,
        to: Option<MemberTag>,
        body: ControlBody,
    ) -> ControlMessage {
        let reports = self.membership.reports_for(to);
        ControlMessage { heartbeat: self.heartbeat(), reports, body }
    }

    /// Carries out the pending actions of the prober.
    pub(super) fn run_probe_actions(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut actions = std::mem::take(&mut self.probe_actions);
        for action in actions.drain(..) {
            let (to, body) = match action {
                ProbeAction::Ping { to, sequence } => (to, ControlBody::Ping { sequence }),
                ProbeAction::RequestIndirect { via, target, sequence } => {
                    (via, ControlBody::PingRequest { sequence, target })
                }
                ProbeAction::RelayAck { to, sequence } => (to, ControlBody::Ack { sequence }),
                ProbeAction::Failed(target) => {
                    self.membership.suspect(now, target, &mut self.decisions);
                    self.push_gossip(out);
                    // The ping carries the suspicion, so that the target can refute it at once.
                    (target, ControlBody::Ping { sequence: self.prober.next_sequence() })
                }
            };
            let Some(peer) = self.membership.peer(to) else { continue };
            let address = peer.report.peer_address;
            let message = self.build_message(Some(to), body);
            out.push(Action::Send(address, message));
        }
        self.probe_actions = actions;
    }
}

fn is_due(now: Instant, last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|last| now >= last + interval)
}
