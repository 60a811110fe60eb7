//! What is sent to the control thread.

use berylpin_core::control::{ControlMessage, Controller, ListedVm, VersionedDocument};
use berylpin_core::ids::MemberTag;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Messages that may wait for the control thread; one that does not fit counts as lost.
const MAILBOX_SIZE: usize = 4 * 1024;

/// A message to the control thread.
pub(crate) enum ControlMail {
    /// A daemon sent a message.
    Message(MemberTag, Box<ControlMessage>),
    /// The link to an address broke.
    LinkDown(SocketAddr),
    /// The platform listed the documents at a revision.
    Documents(u64, Vec<VersionedDocument>),
    /// The platform listed the VMs.
    Vms(Vec<ListedVm>),
    /// An operator asks where a revision is in force.
    CheckRevision(u64),
    /// Someone wants to look at control state.
    Inspect(Box<dyn FnOnce(&Controller) + Send>),
    /// This daemon is to leave.
    Leave,
    /// The control thread is to end.
    Stop,
}

/// The sending end of the control thread's mailbox.
#[derive(Clone)]
pub(crate) struct ControlMailbox {
    tx: mpsc::Sender<ControlMail>,
}

impl ControlMailbox {
    pub(crate) fn new() -> (Self, mpsc::Receiver<ControlMail>) {
        let (tx, rx) = mpsc::channel(MAILBOX_SIZE);
        (Self { tx }, rx)
    }

    /// Sends a message unless the mailbox is full.
    pub(crate) fn try_send(&self, mail: ControlMail) {
        if self.tx.try_send(mail).is_err() {
            metrics::counter!("berylpin_control_mailbox_overflows_total").increment(1);
        }
    }

    /// Sends a message that has to arrive, from a thread that may block.
    pub(crate) fn send_blocking(&self, mail: ControlMail) {
        // An error means that the control thread has ended already.
        let _ = self.tx.blocking_send(mail);
    }

    /// Looks at control state; `None` if the control thread has ended.
    pub(crate) async fn inspect<T, F>(&self, look: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&Controller) -> T + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let inspect = move |controller: &Controller| {
            // The asker may have gone away.
            let _ = tx.send(look(controller));
        };
        self.tx.send(ControlMail::Inspect(Box::new(inspect))).await.ok()?;
        rx.await.ok()
    }
}
