//! The open connections of callers, of which the one that is idle longest is closed for a new one.

use super::body::MemoryBudget;
use super::delivery::CallerConnection;
use crate::logging::Log;
use crate::metrics::CALLERS_CLOSED;
use berylpin_core::clock::Clock;
use berylpin_core::direct::{Admission, CallerKey, Callers};
use metrics::counter;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The least interval between two log lines about stalled bodies.
const STALLED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The open connections of callers.
pub(super) struct CallerConnections {
    log: Log,
    clock: Arc<dyn Clock>,
    callers: RefCell<Callers<CallerConnection>>,
    /// The connections that were closed since there was last room for a new one.
    closed: Cell<u64>,
    stalled_logged_at: Cell<Option<Instant>>,
}

impl CallerConnections {
    /// Creates a table of at most `limit` connections.
    pub(super) fn new(limit: usize, log: Log, clock: Arc<dyn Clock>) -> Rc<Self> {
        let callers = RefCell::new(Callers::new(limit));
        Rc::new(Self {
            log,
            clock,
            callers,
            closed: Cell::new(0),
            stalled_logged_at: Cell::new(None),
        })
    }

    /// Adds a new connection; `None` if it is to be closed at once.
    ///
    /// If need be, the connection that is idle longest is closed before this returns.
    pub(super) async fn admit(self: &Rc<Self>) -> Option<Rc<OpenCaller>> {
        let connection = CallerConnection::default();
        let admission = self.callers.borrow_mut().admit(connection.clone(), self.clock.now());
        let key = match admission {
            Admission::Accepted(key) => {
                let closed = self.closed.take();
                if closed > 0 {
                    info!(self.log, "caller: connections accepted again"; "closed" => closed);
                }
                key
            }
            Admission::Replaces { key, closed, idle } => {
                self.record_closed(Some(idle));
                closed.notify_cut_off();
                // The notified task runs first, and drops its connection.
                tokio::task::yield_now().await;
                key
            }
            Admission::Full => {
                self.record_closed(None);
                return None;
            }
        };
        Some(Rc::new(OpenCaller { key, connection, table: self.clone() }))
    }

    /// Counts a connection that is closed for the memory of its body, and logs it at times.
    fn record_stalled_body(&self, idle: Duration) {
        counter!(CALLERS_CLOSED, "reason" => "stalled_body").increment(1);
        let now = self.clock.now();
        let logged_at = self.stalled_logged_at.get();
        let is_due = |at| now.saturating_duration_since(at) >= STALLED_LOG_INTERVAL;
        if logged_at.is_none_or(is_due) {
            self.stalled_logged_at.set(Some(now));
            info!(self.log, "caller: stalled bodies dropped for memory";
                "idle_ms" => idle.as_millis() as u64);
        }
    }

    /// Logs the first of several connections that are closed; `idle` is how long the daemon waited
    /// for its caller, `None` if it is a new one.
    fn record_closed(&self, idle: Option<Duration>) {
        if self.closed.get() == 0 {
            warn!(self.log, "caller: connections closed, too many are open";
                "open" => self.callers.borrow().len(),
                "idle_ms" => idle.map(|idle| idle.as_millis() as u64));
        }
        self.closed.set(self.closed.get() + 1);
        let reason = if idle.is_some() { "idle" } else { "full" };
        counter!(CALLERS_CLOSED, "reason" => reason).increment(1);
    }
}

/// An open connection of a caller, which leaves the table when dropped.
pub(super) struct OpenCaller {
    key: CallerKey,
    pub(super) connection: CallerConnection,
    table: Rc<CallerConnections>,
}

impl OpenCaller {
    /// Records that the caller has sent the head of a request.
    pub(super) fn record_head(&self, now: Instant) {
        self.table.callers.borrow_mut().record_head(self.key, now);
    }

    /// Records that the body of the caller's request was given up.
    pub(super) fn record_body_failure(&self) {
        self.table.callers.borrow_mut().record_body_failure(self.key, self.table.clock.now());
    }

    /// Closes the connections of callers whose bodies are stalled until `lacking` bytes more are
    /// available in the memory for bodies, or until there is no such caller.
    pub(super) async fn reclaim_bodies(&self, lacking: usize, memory: &MemoryBudget) {
        let needed = memory.available() + lacking;
        while memory.available() < needed {
            let now = self.table.clock.now();
            let stalled = self.table.callers.borrow_mut().take_stalled_body(self.key, now);
            let Some((connection, idle)) = stalled else { return };
            self.table.record_stalled_body(idle);
            connection.notify_cut_off();
            // The notified task runs first, and drops its connection with the body.
            tokio::task::yield_now().await;
        }
    }

    /// Records that the caller has sent a whole request; its connection is not closed for others
    /// until the returned value is dropped.
    pub(super) fn await_answer(self: Rc<Self>) -> AwaitedAnswer {
        self.table.callers.borrow_mut().begin_request(self.key);
        AwaitedAnswer(self)
    }
}

impl Drop for OpenCaller {
    fn drop(&mut self) {
        self.table.callers.borrow_mut().remove(self.key);
    }
}

/// An answer for which a caller waits, until its connection has taken the last part of it.
pub(super) struct AwaitedAnswer(Rc<OpenCaller>);

impl Drop for AwaitedAnswer {
    fn drop(&mut self) {
        let OpenCaller { key, table, .. } = &*self.0;
        table.callers.borrow_mut().end_request(*key, table.clock.now());
    }
}
