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

/// Frames that wait for a link; more count as lost.
const LINK_QUEUE: usize = 8 * 1024;

/// How long a link to an address that belongs to no known daemon is kept.
const STRANGER_MEMORY: Duration = Duration::from_mins(1);

/// The outgoing links, one an address.
pub(super) struct Links {
    /// Sorted by address; those of known daemons, and of others that were greeted lately.
    open: Vec<Link>,
    started: usize,
    /// The runtimes of the traffic threads; links are spread over them.
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
        Self { open: Vec::new(), started: 0, runtimes, settings, mailboxes, control, log }
    }

    /// Sends a control message; one that does not fit counts as lost.
    pub(super) fn send(&mut self, now: Instant, to: SocketAddr, message: ControlMessage) {
        let frame = LinkFrame::Control(Box::new(message));
        if self.link(now, to).try_send(frame).is_err() {
            metrics::counter!("berylpin_link_overflows_total").increment(1);
        }
    }

    /// Returns the links of a view, indexed by member, and drops those that nobody needs.
    pub(super) fn for_view(
        &mut self,
        now: Instant,
        view: &View,
    ) -> Vec<Option<mpsc::Sender<LinkFrame>>> {
        let mut known: Vec<SocketAddr> =
            view.members.iter().map(|(_, member)| member.peer_address).collect();
        known.sort_unstable();
        self.open.retain(|link| {
            known.binary_search(&link.address).is_ok() || now < link.last_used + STRANGER_MEMORY
        });
        let mut links = Vec::with_capacity(view.members.len());
        for (id, member) in view.members.iter() {
            let needed = id != view.own && (member.live || member.leaving);
            links.push(needed.then(|| self.link(now, member.peer_address).clone()));
        }
        links
    }

    fn link(&mut self, now: Instant, address: SocketAddr) -> &mpsc::Sender<LinkFrame> {
        let at = match self.open.binary_search_by_key(&address, |link| link.address) {
            Ok(at) => at,
            Err(at) => {
                let tx = self.start(address);
                self.open.insert(at, Link { address, tx, last_used: now });
                at
            }
        };
        self.open[at].last_used = now;
        &self.open[at].tx
    }

    fn start(&mut self, address: SocketAddr) -> mpsc::Sender<LinkFrame> {
        let (tx, rx) = mpsc::channel(LINK_QUEUE);
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
