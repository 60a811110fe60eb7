//! The connections of callers, and which one is closed to make room for another.
//!
//! Load pattern: callers open more connections than the process has memory for and send no whole
//! request on them, by mistake, in an attack, or because they keep them for later. A new caller is
//! about to send a request, so one that has nothing to lose is closed before it is turned away. The
//! same holds for bodies that do not end, and the memory that all bodies share.

use crate::arena::{Slab, SlabKey};
use std::time::{Duration, Instant};

/// The time from a request's head after which the rest of its body counts as stalled; the longest
/// bodies take a fraction of it.
const BODY_STALL_TIME: Duration = Duration::from_secs(1);

/// Identifies a connection of a caller; never reused.
pub type CallerKey = SlabKey;

/// A connection of a caller; `C` is the shell's handle of it.
#[derive(Clone, Copy, Debug)]
struct Caller<C> {
    connection: C,
    /// When the daemon began to wait for the caller: for the rest of a request, or for the next one.
    /// `None` while the caller waits for an answer.
    idle_since: Option<Instant>,
    /// Whether the daemon waits for the rest of a body; only if `idle_since` is set.
    awaits_body: bool,
}

/// Whether there is room for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission<C> {
    /// There is room.
    Accepted(CallerKey),
    /// There is room after the shell has closed a connection, which is removed already.
    Replaces {
        /// The key of the new connection.
        key: CallerKey,
        /// The connection to close.
        closed: C,
        /// How long the daemon waited for its caller.
        idle: Duration,
    },
    /// Each caller waits for an answer, so the new connection is turned away.
    Full,
}

/// The open connections of callers.
#[derive(Debug)]
pub struct Callers<C> {
    /// At most `limit` connections.
    open: Slab<Caller<C>>,
    limit: usize,
}

impl<C> Callers<C> {
    /// Creates a table of at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { open: Slab::default(), limit }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Adds a new connection, if need be in the place of the one that has been idle longest.
    pub fn admit(&mut self, connection: C, now: Instant) -> Admission<C> {
        let replaced = if self.open.len() < self.limit { None } else { self.remove_idlest(now) };
        if self.open.len() >= self.limit {
            return Admission::Full;
        }
        let key =
            self.open.insert(Caller { connection, idle_since: Some(now), awaits_body: false });
        match replaced {
            Some((closed, idle)) => Admission::Replaces { key, closed, idle },
            None => Admission::Accepted(key),
        }
    }

    /// Records that a caller has sent the head of a request.
    pub fn record_head(&mut self, key: CallerKey, now: Instant) {
        self.set_state(key, Some(now), true);
    }

    /// Records that the body of a caller's request was given up.
    pub fn record_body_failure(&mut self, key: CallerKey, now: Instant) {
        self.set_state(key, Some(now), false);
    }

    /// Records that a caller has sent a whole request and waits for the answer.
    pub fn begin_request(&mut self, key: CallerKey) {
        self.set_state(key, None, false);
    }

    /// Records that the answer to a caller's request was passed to its connection.
    pub fn end_request(&mut self, key: CallerKey, now: Instant) {
        self.set_state(key, Some(now), false);
    }

    /// Removes the connection, other than `key`, whose body is stalled for longest, to make room for
    /// the body of `key`; returns it with the time since its head.
    pub fn take_stalled_body(&mut self, key: CallerKey, now: Instant) -> Option<(C, Duration)> {
        let stalled = |caller: &Caller<C>| {
            let since = caller.idle_since.filter(|_| caller.awaits_body)?;
            Some(since).filter(|since| now.saturating_duration_since(*since) >= BODY_STALL_TIME)
        };
        let others = self.open.iter().filter(|(other, _)| *other != key);
        let found = others.filter_map(|(key, caller)| Some((stalled(caller)?, key))).min()?;
        self.take(found, now)
    }

    /// Removes a connection that has closed.
    pub fn remove(&mut self, key: CallerKey) {
        self.open.remove(key);
    }

    fn set_state(&mut self, key: CallerKey, idle_since: Option<Instant>, awaits_body: bool) {
        if let Some(caller) = self.open.get_mut(key) {
            (caller.idle_since, caller.awaits_body) = (idle_since, awaits_body);
        }
    }

    fn remove_idlest(&mut self, now: Instant) -> Option<(C, Duration)> {
        let open = self.open.iter();
        let idle = open.filter_map(|(key, caller)| Some((caller.idle_since?, key)));
        let found = idle.min()?;
        self.take(found, now)
    }

    fn take(&mut self, (since, key): (Instant, CallerKey), now: Instant) -> Option<(C, Duration)> {
        let caller = self.open.remove(key)?;
        Some((caller.connection, now.saturating_duration_since(since)))
    }
}

#[cfg(test)]
mod tests;
