//! How long a suspect daemon has to refute.

use crate::ids::MemberTag;
use std::time::{Duration, Instant};

/// How long a suspicion lasts once others passed it on too, for each decimal digit of the members.
const CONFIRMED_TIMEOUT_PER_DIGIT: Duration = Duration::from_millis(500);

/// How much longer a suspicion lasts that nobody else passed on, as a factor.
const UNCONFIRMED_FACTOR: u32 = 2;

/// Other daemons that have to pass a suspicion on for the short timeout; by then its subject has
/// most likely heard of it.
const CONFIRMATIONS_REQUIRED: usize = 2;

/// A suspicion; it shortens as others pass it on.
#[derive(Debug)]
pub(super) struct Suspicion {
    started_at: Instant,
    min_timeout: Duration,
    /// Daemons that passed it on; at most [`CONFIRMATIONS_REQUIRED`].
    confirmed_by: Vec<MemberTag>,
    /// Whether others waited for a refutation already.
    shortened: bool,
}

impl Suspicion {
    /// Starts a suspicion in a fleet of a size.
    pub(super) fn new(now: Instant, members: usize) -> Self {
        let digits = (members as u32 + 1).ilog10().max(1);
        let min_timeout = CONFIRMED_TIMEOUT_PER_DIGIT * digits;
        Self { started_at: now, min_timeout, confirmed_by: Vec::new(), shortened: false }
    }

    /// Returns when the daemon counts as dead.
    pub(super) fn deadline(&self) -> Instant {
        if self.shortened {
            return self.started_at + self.min_timeout;
        }
        let missing = CONFIRMATIONS_REQUIRED.saturating_sub(self.confirmed_by.len()) as u32;
        let extra =
            self.min_timeout * (UNCONFIRMED_FACTOR - 1) * missing / CONFIRMATIONS_REQUIRED as u32;
        self.started_at + self.min_timeout + extra
    }

    /// Notes that another daemon passed it on.
    pub(super) fn confirm(&mut self, from: MemberTag) {
        if self.confirmed_by.len() < CONFIRMATIONS_REQUIRED && !self.confirmed_by.contains(&from) {
            self.confirmed_by.push(from);
        }
    }

    /// Notes that others waited for a refutation already.
    pub(super) fn shorten(&mut self) {
        self.shortened = true;
    }

    /// Starts it anew after a sign of life.
    pub(super) fn restart(&mut self, now: Instant) {
        self.started_at = now;
        self.confirmed_by.clear();
    }

    /// Moves its end.
    pub(super) fn postpone(&mut self, by: Duration) {
        self.started_at += by;
    }
}
