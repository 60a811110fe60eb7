//! The outgoing links of this daemon.

use super::mailbox::ControlMailbox;
use crate::settings::DaemonSettings;
use crate::traffic::{LinkContext, LinkFrame, Mailboxes, run_link};
use berylpin_core::control::{ControlMessage, View};
use slog::Logger;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// Maximum number of frames queued for a link; further frames are discarded.
const LINK_QUEUE_SIZE: usize = 8 * 1024;

/// How long an unused link is kept if its address belongs to no member of the view.
const UNKNOWN_PEER_TTL: Duration = Duration::from_mins(1);

/// The outgoing links, one per address.
pub(super) struct Links {
    /// The links, sorted by address.
    by_address: Vec<Link>,
    /// The number of links started so far.
    started: usize,
    /// The runtimes of the traffic threads, to which links are assigned in turn.
    runtimes: Vec<Handle>,
    settings: DaemonSettings,
    mailboxes: Mailboxes,
    control: ControlMailbox,
    log: Logger,
}

struct Link {
    address: SocketAddr,
    tx: mpsc::Sender<LinkFrame>,
    last_used: Instant,
}

impl Links {
    pub(super) fn new(
        runtimes: Vec<Handle>,
        settings: DaemonSettings,
        mailboxes: Mailboxes,
        control: ControlMailbox,
        log: Logger,
    ) -> Self {
        Self { by_address: Vec::new(), started: 0, runtimes, settings, mailboxes, control, log }
    }

    /// Sends a control message; discards it if the queue of the link is full.
    pub(super) fn send(&mut self, now: Instant, to: SocketAddr, message: ControlMessage) {
        let frame = LinkFrame::Control(Box::new(message));
        if self.link(now, to).try_send(frame).is_err() {
            metrics::counter!("berylpin_link_overflows_total").increment(1);
        }
    }

    /// Returns the links to the other live or leaving members of a view, indexed by member.
    ///
    /// Drops the links to addresses that belong to no member and have not been used recently.
    pub(super) fn apply_view(
        &mut self,
        now: Instant,
        view: &View,
    ) -> Vec<Option<mpsc::Sender<LinkFrame>>> {
        let mut known: Vec<SocketAddr> =
            view.members.iter().map(|(_, member)| member.peer_address).collect();
        known.sort_unstable();
        self.by_address.retain(|link| {
            known.binary_search(&link.address).is_ok() || now < link.last_used + UNKNOWN_PEER_TTL
        });
        let mut links = Vec::with_capacity(view.members.len());
        for (id, member) in view.members.iter() {
            let has_link = id != view.own && (member.live || member.leaving);
            links.push(has_link.then(|| self.link(now, member.peer_address).clone()));
        }
        links
    }

    /// Returns the link to an address; starts one if there is none.
    fn link(&mut self, now: Instant, address: SocketAddr) -> &mpsc::Sender<LinkFrame> {
        let index = match self.by_address.binary_search_by_key(&address, |link| link.address) {
            Ok(index) => index,
            Err(index) => {
                let tx = self.start_link(address);
                self.by_address.insert(index, Link { address, tx, last_used: now });
                index
            }
        };
        self.by_address[index].last_used = now;
        &self.by_address[index].tx
    }

    fn start_link(&mut self, address: SocketAddr) -> mpsc::Sender<LinkFrame> {
        let (tx, rx) = mpsc::channel(LINK_QUEUE_SIZE);
        let cx = LinkContext::new(
            &self.settings,
            address,
            self.mailboxes.clone(),
            self.control.clone(),
            self.log.clone(),
        );
        let runtime = &self.runtimes[self.started % self.runtimes.len()];
        self.started += 1;
        runtime.spawn(run_link(cx, rx));
        tx
    }
}
