//! Mailbox of the control thread.

use berylpin_core::control::{ControlMessage, Controller, ListedVm, VersionedDocument};
use berylpin_core::ids::MemberTag;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of messages in the mailbox; [`ControlMailbox::try_send`] discards messages beyond
/// it.
const MAILBOX_CAPACITY: usize = 4 * 1024;

/// A message to the control thread.
pub(crate) enum ControlMail {
    /// A peer sent a message over its link.
    PeerMessage(MemberTag, Box<ControlMessage>),
    /// The link to an address failed.
    LinkDown(SocketAddr),
    /// The platform listed the documents at a revision.
    Documents(u64, Vec<VersionedDocument>),
    /// The platform listed the VMs.
    Vms(Vec<ListedVm>),
    /// An operator asked which daemons have a revision in force.
    CheckRevision(u64),
    /// A task requested to read the control state; the closure sends it the result.
    Inspect(Box<dyn FnOnce(&Controller) + Send>),
    /// This daemon is shutting down and leaves the fleet.
    Leave,
    /// Ends the control thread; sent once all traffic threads have ended.
    Stop,
}

/// The sending end of the control thread's mailbox.
#[derive(Clone)]
pub(crate) struct ControlMailbox {
    tx: mpsc::Sender<ControlMail>,
}

impl ControlMailbox {
    pub(crate) fn new() -> (Self, mpsc::Receiver<ControlMail>) {
        let (tx, rx) = mpsc::channel(MAILBOX_CAPACITY);
        (Self { tx }, rx)
    }

    /// Sends a message; discards it if the mailbox is full.
    pub(crate) fn try_send(&self, mail: ControlMail) {
        if self.tx.try_send(mail).is_err() {
            metrics::counter!("berylpin_control_mailbox_overflows_total").increment(1);
        }
    }

    /// Sends a message that must not be lost; blocks while the mailbox is full.
    pub(crate) fn send_blocking(&self, mail: ControlMail) {
        // An error means that the control thread has ended.
        let _ = self.tx.blocking_send(mail);
    }

    /// Returns the result of `read` on the control state; `None` if the control thread has ended.
    pub(crate) async fn inspect<T, F>(&self, read: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&Controller) -> T + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let inspect = move |controller: &Controller| {
            // An error means that the caller no longer waits for the result.
            let _ = tx.send(read(controller));
        };
        self.tx.send(ControlMail::Inspect(Box::new(inspect))).await.ok()?;
        rx.await.ok()
    }
}
