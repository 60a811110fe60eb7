//! Timeout after which a suspect daemon counts as dead.

use crate::ids::MemberTag;
use std::time::{Duration, Instant};

/// Timeout of a confirmed suspicion, per power of ten in the number of members.
const CONFIRMED_TIMEOUT_PER_DIGIT: Duration = Duration::from_millis(500);

/// Ratio of the timeout of an unconfirmed suspicion to that of a confirmed one.
const UNCONFIRMED_FACTOR: u32 = 2;

/// Number of peers that must confirm a suspicion for the short timeout; by then the suspect daemon
/// has most likely received it.
const CONFIRMATIONS_REQUIRED: usize = 2;

/// A suspicion, whose timeout decreases with each peer that confirms it.
#[derive(Debug)]
pub(super) struct Suspicion {
    started_at: Instant,
    min_timeout: Duration,
    /// Peers that reported the same suspicion; at most [`CONFIRMATIONS_REQUIRED`].
    confirmed_by: Vec<MemberTag>,
    /// Whether a peer already marked the daemon as dead, after waiting for a refutation.
    shortened: bool,
}

impl Suspicion {
    /// Starts a suspicion in a fleet of `members` daemons.
    pub(super) fn new(now: Instant, members: usize) -> Self {
        let digits = (members as u32 + 1).ilog10().max(1);
        let min_timeout = CONFIRMED_TIMEOUT_PER_DIGIT * digits;
        Self { started_at: now, min_timeout, confirmed_by: Vec::new(), shortened: false }
    }

    /// Returns when the suspect daemon counts as dead.
    pub(super) fn deadline(&self) -> Instant {
        if self.shortened {
            return self.started_at + self.min_timeout;
        }
        let missing = CONFIRMATIONS_REQUIRED.saturating_sub(self.confirmed_by.len()) as u32;
        let extra =
            self.min_timeout * (UNCONFIRMED_FACTOR - 1) * missing / CONFIRMATIONS_REQUIRED as u32;
        self.started_at + self.min_timeout + extra
    }

    /// Records that a peer reported the same suspicion.
    pub(super) fn confirm(&mut self, from: MemberTag) {
        if self.confirmed_by.len() < CONFIRMATIONS_REQUIRED && !self.confirmed_by.contains(&from) {
            self.confirmed_by.push(from);
        }
    }

    /// Applies the short timeout, after a peer marked the daemon as dead.
    pub(super) fn shorten(&mut self) {
        self.shortened = true;
    }

    /// Restarts the timeout after a message from the suspect daemon.
    pub(super) fn restart(&mut self, now: Instant) {
        self.started_at = now;
        self.confirmed_by.clear();
    }

    /// Postpones the deadline.
    pub(super) fn postpone(&mut self, by: Duration) {
        self.started_at += by;
    }
}
