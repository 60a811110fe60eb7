//! Requests whose caller or peer disconnects before the last answer.

use super::traffic::Traffic;
use berylpin_core::direct::Ticket;
use std::rc::Rc;

/// Reports on drop that the caller, or the peer that requested parts, disconnected, unless its last
/// answer is ready.
pub(super) struct DisconnectGuard {
    traffic: Rc<Traffic>,
    ticket: Ticket,
    answered: bool,
}

impl DisconnectGuard {
    pub(super) fn new(traffic: Rc<Traffic>, ticket: Ticket) -> Self {
        Self { traffic, ticket, answered: false }
    }

    /// Disarms the guard of a request whose last answer is ready.
    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.traffic.handle_caller_disconnect(self.ticket);
        }
    }
}
