//! Callers that go away while they wait.

use crate::traffic::{Mail, Mailbox};

/// Tells a thread that a caller went away, unless it was answered.
///
/// The front end drops the future of a request, and this with it, when the connection closes.
pub(super) struct CallerGuard {
    mailbox: Mailbox,
    gone: Option<Mail>,
}

impl CallerGuard {
    /// Makes a guard that sends `gone`.
    pub(super) fn new(mailbox: Mailbox, gone: Mail) -> Self {
        Self { mailbox, gone: Some(gone) }
    }

    /// Ends the guard of a caller that was answered.
    pub(super) fn answered(mut self) {
        self.gone = None;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if let Some(mail) = self.gone.take() {
            self.mailbox.try_send(mail);
        }
    }
}
