//! Control state of one daemon: membership, documents and placement, driven by events.

mod exchange;

use super::directory::Directory;
use super::documents::{DocumentSet, VersionedDocument};
use super::member::{Heartbeat, MemberReport, MemberState};
use super::membership::Membership;
use super::message::{ControlBody, ControlMessage};
use super::probe::{ProbeAction, Prober};
use super::services::{RejectedDocument, Services};
use super::transfer::Transfer;
use super::view::View;
use super::watcher::is_watcher;
use crate::decision::Decision;
use crate::ids::MemberTag;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum time between two views; changes within it are published together.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a daemon without running peers pings its seeds and reads the VM list.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a daemon that has reached no peer assumes that it is the only one.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between reads of the VM list in a small fleet.
const VM_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum interval between reads of the VM list, per known peer; the list grows with the fleet.
const VM_READ_INTERVAL_PER_PEER: Duration = Duration::from_millis(50);

/// Interval at which seeds that are not known to be alive are pinged.
const SEED_PING_INTERVAL: Duration = Duration::from_secs(30);

/// How long a dead daemon is retained if the VM list does not contain it.
const UNLISTED_RETENTION: Duration = Duration::from_mins(5);

/// Maximum number of unknown daemons that are pinged for one VM list.
const MAX_JOIN_PINGS: usize = 16;

/// Delay of a timer above which the process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(150);

/// A VM in the VM list of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: Arc<str>,
    /// The address on which its daemon accepts links.
    pub peer_address: SocketAddr,
    /// Whether the platform marks it as leaving the fleet.
    pub leaving: bool,
}

/// An input of the control state.
#[derive(Debug)]
pub enum Event {
    /// A timer may be due.
    Tick,
    /// A message was received on the link to a daemon.
    Message(MemberTag, ControlMessage),
    /// The link to an address was lost.
    LinkDown(SocketAddr),
    /// The platform listed the documents at a revision.
    Documents(u64, Vec<VersionedDocument>),
    /// The platform listed the VMs.
    Vms(Vec<ListedVm>),
    /// An operator asked which daemons have a revision in force.
    CheckRevision(u64),
    /// This daemon is shutting down.
    Leave,
}

/// An effect that the caller of [`Controller::handle`] carries out.
#[derive(Debug)]
pub enum Action {
    /// Send a message to the daemon at an address.
    Send(SocketAddr, ControlMessage),
    /// Publish a view to all threads.
    Publish(Arc<View>),
    /// Start (`true`) or stop watching the documents of the platform.
    Watch(bool),
    /// Read the VM list.
    ReadVms,
    /// Log a document that was rejected as invalid.
    Rejected(RejectedDocument),
    /// Log a decision.
    Log(Decision),
}

/// Control state of one daemon.
#[derive(Debug)]
pub struct Controller {
    membership: Membership,
    prober: Prober,
    documents: DocumentSet,
    services: Services,
    directory: Directory,
    view: Arc<View>,
    /// The change count of the membership that `view` was built from.
    view_change_count: u64,
    topology_changed: bool,
    next_view: Instant,
    transfer: Option<Transfer>,
    /// When all documents were last requested because a peer's digest differed at the same
    /// revision.
    last_repair: Option<Instant>,
    /// When all reports were last requested because the digest of a peer differed.
    last_member_sync: Option<Instant>,
    watching: bool,
    /// Whether the other daemons are known, or known not to exist.
    joined: bool,
    /// When `joined` is set if nothing has set it before.
    join_deadline: Instant,
    seeds: Vec<SocketAddr>,
    /// When the last event was handled.
    last_event: Instant,
    next_vm_read: Instant,
    next_join_attempt: Instant,
    next_seed_ping: Instant,
    rng: SmallRng,
    /// Decisions on the current event; empty between events.
    decisions: Vec<Decision>,
    /// Actions that the prober requested for the current event; empty between events.
    probe_actions: Vec<ProbeAction>,
}

impl Controller {
    /// Creates the control state of a daemon that knows only itself.
    ///
    /// `seed` initializes the generator of its random choices.
    pub fn new(own: MemberReport, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut directory, own_id) = Directory::new(&own);
        let members = directory.update(now, [&own]);
        Self {
            prober: Prober::new(now, &mut rng),
            membership: Membership::new(own),
            documents: DocumentSet::default(),
            services: Services::default(),
            directory,
            view: Arc::new(View::new(0, own_id, members, Arc::default())),
            view_change_count: 0,
            topology_changed: false,
            next_view: now,
            transfer: None,
            last_repair: None,
            last_member_sync: None,
            watching: false,
            joined: false,
            join_deadline: now + JOIN_TIMEOUT,
            seeds,
            last_event: now,
            next_vm_read: now,
            next_join_attempt: now,
            next_seed_ping: now + SEED_PING_INTERVAL,
            rng,
            decisions: Vec::new(),
            probe_actions: Vec::new(),
        }
    }

    /// Returns the newest view.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the known daemons.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the known documents.
    pub fn documents(&self) -> &DocumentSet {
        &self.documents
    }

    /// Returns whether this daemon watches the platform.
    pub fn is_watching(&self) -> bool {
        self.watching
    }

    /// Returns whether the newest view contains the other daemons, or the join timeout has passed.
    ///
    /// Until then, the view assigns this daemon all replicas of its data centre, and replicas of
    /// other data centres count as unreachable.
    pub fn is_joined(&self) -> bool {
        self.joined && !self.is_view_outdated()
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Instant {
        let mut next = self.prober.next_timer().min(self.next_seed_ping);
        next = next.min(self.membership.next_timer().unwrap_or(next));
        if self.should_read_vms() {
            next = next.min(self.next_vm_read);
        }
        if self.membership.running_peer_count() == 0 {
            next = next.min(self.next_join_attempt);
        }
        if !self.joined {
            next = next.min(self.join_deadline);
        }
        if self.is_view_outdated() {
            next = next.min(self.next_view);
        }
        next
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.compensate_for_pause(now);
        let previous_revision = self.documents.revision();
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message(from, message) => self.handle_message(now, from, message, out),
            Event::LinkDown(address) => self.handle_link_down(now, address),
            Event::Documents(revision, documents) => {
                if self.documents.apply_list(revision, documents) {
                    self.update_services(out);
                }
            }
            Event::Vms(vms) => self.handle_vm_list(now, &vms, out),
            Event::CheckRevision(revision) => self.ping_peers_behind(revision, out),
            Event::Leave => self.leave(out),
        }
        self.run_probe_actions(now, out);
        if self.documents.revision() > previous_revision {
            out.push(Action::Log(Decision::InForce { revision: self.documents.revision() }));
            self.push_gossip(out);
        }
        self.update_watcher_role(now, out);
        self.publish(now, out);
        out.extend(self.decisions.drain(..).map(Action::Log));
    }

    /// Postpones the deadlines of probes and suspicions by the time during which this process did
    /// not run.
    ///
    /// Without this, a daemon that was paused would declare peers dead whose replies are still
    /// queued in its mailbox.
    fn compensate_for_pause(&mut self, now: Instant) {
        // Events queued during a pause are handled one after another. Lateness is measured from the
        // last event at the earliest, so that the pause is not counted again for each of them.
        let due = self.next_timer().max(self.last_event);
        self.last_event = now;
        let late = now.saturating_duration_since(due);
        if late > PAUSE_THRESHOLD {
            self.prober.postpone(late);
            self.membership.postpone(late);
            self.decisions.push(Decision::Resumed { late });
        }
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.membership.tick(now, &mut self.decisions);
        self.prober.tick(now, &self.membership, &mut self.rng, &mut self.probe_actions);
        if self.transfer.as_ref().is_some_and(|transfer| transfer.is_overdue(now)) {
            // The next heartbeat with a newer revision starts another transfer.
            self.transfer = None;
        }
        self.joined |= self.join_deadline <= now;
        let no_running_peers = self.membership.running_peer_count() == 0;
        if no_running_peers && self.next_join_attempt <= now {
            self.next_join_attempt = now + JOIN_RETRY_INTERVAL;
            self.ping_unknown_seeds(out);
        }
        if self.should_read_vms() && self.next_vm_read <= now {
            let peers = self.membership.peers().count() as u32;
            let interval = VM_READ_INTERVAL.max(VM_READ_INTERVAL_PER_PEER * peers);
            self.next_vm_read = now + if no_running_peers { JOIN_RETRY_INTERVAL } else { interval };
            out.push(Action::ReadVms);
        }
        if self.next_seed_ping <= now {
            self.next_seed_ping = now + SEED_PING_INTERVAL;
            self.ping_unknown_seeds(out);
        }
    }

    fn handle_link_down(&mut self, now: Instant, address: SocketAddr) {
        let mut peers = self.membership.peers();
        let down = peers.find(|peer| peer.report.peer_address == address);
        if let Some(peer) = down.filter(|peer| peer.report.state != MemberState::Dead) {
            self.prober.probe(now, peer.tag, &mut self.probe_actions);
        }
    }

    /// Pings listed daemons that are unknown, marks the leaving ones and evicts unlisted dead ones.
    fn handle_vm_list(&mut self, now: Instant, vms: &[ListedVm], out: &mut Vec<Action>) {
        let mut tags: Vec<MemberTag> = vms.iter().map(|vm| MemberTag::of([&*vm.name])).collect();
        let mut pinged = 0;
        for (vm, &tag) in vms.iter().zip(&tags) {
            if vm.leaving {
                self.membership.mark_leaving(now, tag, &mut self.decisions);
            } else if tag == self.membership.own_tag() {
                self.membership.cancel_leave(&mut self.decisions);
            } else if self.membership.peer(tag).is_none() && pinged < MAX_JOIN_PINGS {
                pinged += 1;
                self.ping_address(vm.peer_address, out);
            }
        }
        let own = self.membership.own_tag();
        // If no other listed VM stays in the fleet, there is no peer to wait for.
        self.joined |= vms.iter().zip(&tags).all(|(vm, tag)| vm.leaving || *tag == own);
        tags.sort_unstable();
        self.membership.evict_unlisted(now, UNLISTED_RETENTION, &tags);
    }

    /// Removes this daemon from placement and notifies all peers that are not dead.
    fn leave(&mut self, out: &mut Vec<Action>) {
        self.membership.leave(true, &mut self.decisions);
        let peers: Vec<SocketAddr> = self
            .membership
            .peers()
            .filter(|peer| peer.report.state != MemberState::Dead)
            .map(|peer| peer.report.peer_address)
            .collect();
        for address in peers {
            let message = self.build_message(None, ControlBody::Gossip);
            out.push(Action::Send(address, message));
        }
    }

    /// Returns whether this daemon reads the VM list.
    ///
    /// Besides watchers, a daemon that is marked as leaving without being stopped reads the list,
    /// since a later list may no longer mark it.
    fn should_read_vms(&self) -> bool {
        let leaving = self.membership.own().state == MemberState::Leaving;
        self.watching || leaving && !self.membership.is_stopping()
    }

    fn update_watcher_role(&mut self, now: Instant, out: &mut Vec<Action>) {
        let own = self.membership.own();
        let local_peers = self.membership.peers().filter(|peer| {
            peer.report.state.is_placeable() && peer.report.data_centre == own.data_centre
        });
        let watching = is_watcher(self.membership.own_tag(), local_peers.map(|peer| peer.tag));
        if watching != self.watching {
            self.watching = watching;
            self.next_vm_read = now;
            self.decisions.push(Decision::Watching { watching });
            out.push(Action::Watch(watching));
        }
    }

    fn update_services(&mut self, out: &mut Vec<Action>) {
        let mut rejected = Vec::new();
        self.topology_changed |= self.services.update(&self.documents, &mut rejected);
        out.extend(rejected.into_iter().map(Action::Rejected));
    }

    fn is_view_outdated(&self) -> bool {
        self.topology_changed || self.view_change_count != self.membership.change_count()
    }

    fn publish(&mut self, now: Instant, out: &mut Vec<Action>) {
        if !self.is_view_outdated() || now < self.next_view {
            return;
        }
        self.next_view = now + MIN_VIEW_INTERVAL;
        self.view_change_count = self.membership.change_count();
        let peers = self.membership.peers().map(|peer| &peer.report);
        let reports = std::iter::once(self.membership.own()).chain(peers);
        let members = self.directory.update(now, reports);
        let topology = if self.topology_changed {
            Arc::new(self.view.topology.with_documents(&self.services.settings()))
        } else {
            self.view.topology.clone()
        };
        self.topology_changed = false;
        let view = View::new(self.view.epoch + 1, self.view.own, members, topology);
        let moved = view.replicas_moved_since(&self.view);
        self.decisions.push(Decision::Placed { epoch: view.epoch, moved });
        self.view = Arc::new(view);
        out.push(Action::Publish(self.view.clone()));
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            report: self.membership.own().clone(),
            revision: self.documents.revision(),
            documents_digest: self.documents.digest(),
            members_digest: self.membership.digest(),
        }
    }
}

#[cfg(test)]
mod tests;
