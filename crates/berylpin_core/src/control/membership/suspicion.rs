//! How long a suspect daemon has to refute.

use crate::ids::MemberTag;
use std::time::{Duration, Instant};

/// How long a suspicion lasts once enough others share it, for each decimal digit of the members.
const CONFIRMED_TIMEOUT: Duration = Duration::from_millis(500);

/// How much longer a suspicion lasts that nobody shares, as a factor.
const LONE_FACTOR: u32 = 3;

/// Other daemons that have to share a suspicion for the short timeout.
const CONFIRMATIONS: usize = 2;

/// A suspicion; it shortens as others confirm it.
#[derive(Debug)]
pub(super) struct Suspicion {
    started: Instant,
    shortest: Duration,
    /// Daemons that share it; at most [`CONFIRMATIONS`].
    confirmed_by: Vec<MemberTag>,
}

impl Suspicion {
    /// Starts a suspicion in a fleet of a size.
    pub(super) fn new(now: Instant, members: usize) -> Self {
        let digits = (members as u32 + 1).ilog10().max(1);
        let shortest = CONFIRMED_TIMEOUT * digits;
        Self { started: now, shortest, confirmed_by: Vec::new() }
    }

    /// Returns when the daemon counts as dead.
    pub(super) fn deadline(&self) -> Instant {
        let missing = CONFIRMATIONS.saturating_sub(self.confirmed_by.len()) as u32;
        let extra = self.shortest * (LONE_FACTOR - 1) * missing / CONFIRMATIONS as u32;
        self.started + self.shortest + extra
    }

    /// Notes that another daemon shares it.
    pub(super) fn confirm(&mut self, from: MemberTag) {
        if self.confirmed_by.len() < CONFIRMATIONS && !self.confirmed_by.contains(&from) {
            self.confirmed_by.push(from);
        }
    }

    /// Starts it anew after a sign of life.
    pub(super) fn restart(&mut self, now: Instant) {
        self.started = now;
        self.confirmed_by.clear();
    }

    /// Moves its end.
    pub(super) fn postpone(&mut self, by: Duration) {
        self.started += by;
    }
}
