//! Detection of callers that disconnect before they are answered.

use crate::traffic::{Mail, Mailbox};

/// Notifies a traffic thread that a caller disconnected before it was answered.
///
/// When the connection closes, the front end drops the future of the request and its guard.
pub(super) struct CallerGuard {
    mailbox: Mailbox,
    on_disconnect: Option<Mail>,
}

impl CallerGuard {
    /// Creates a guard that sends `on_disconnect` when dropped.
    pub(super) fn new(mailbox: Mailbox, on_disconnect: Mail) -> Self {
        Self { mailbox, on_disconnect: Some(on_disconnect) }
    }

    /// Disarms the guard of a caller that was answered.
    pub(super) fn disarm(mut self) {
        self.on_disconnect = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(mail) = self.on_disconnect.take() {
            self.mailbox.try_send(mail);
        }
    }
}
