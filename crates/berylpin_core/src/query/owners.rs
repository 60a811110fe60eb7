//! The entry's view of the daemons that own replicas: attempts in flight and reachability.

use crate::arena::Arena;
use crate::ids::MemberId;
use std::time::{Duration, Instant};

/// How long an unresponsive owner is avoided, unless a reply or hint arrives earlier.
const OWNER_AVOIDANCE: Duration = Duration::from_secs(10);

/// Attempts that must be in flight at an unresponsive owner before it counts as lost.
const LOST_OWNER_ATTEMPTS: u32 = 3;

/// The state of one owner as the entry knows it.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerState {
    /// Attempts of this thread that await a reply.
    in_flight: u32,
    /// When the last reply or hint arrived; `None` before the first.
    last_contact: Option<Instant>,
    avoid_until: Option<Instant>,
}

/// The states of all owners; as long as the member arena of the view.
#[derive(Debug, Default)]
pub(super) struct Owners {
    states: Arena<MemberId, OwnerState>,
}

impl Owners {
    /// Adds states for new members, up to the given number of members.
    pub(super) fn grow(&mut self, members: usize) {
        self.states.grow(members, OwnerState::default);
    }

    /// Counts an attempt as in flight.
    pub(super) fn attempt_started(&mut self, owner: MemberId) {
        self.states[owner].in_flight += 1;
    }

    /// Counts an attempt as no longer in flight.
    pub(super) fn attempt_ended(&mut self, owner: MemberId) {
        self.states[owner].in_flight -= 1;
    }

    /// Records a reply or hint from an owner, which ends its avoidance.
    pub(super) fn record_contact(&mut self, now: Instant, owner: MemberId) {
        let state = &mut self.states[owner];
        state.last_contact = Some(now);
        state.avoid_until = None;
    }

    /// Avoids an owner for `OWNER_AVOIDANCE`.
    pub(super) fn avoid(&mut self, now: Instant, owner: MemberId) {
        self.states[owner].avoid_until = Some(now + OWNER_AVOIDANCE);
    }

    /// Returns whether the owner is avoided, so that replicas of other owners are preferred.
    pub(super) fn is_avoided(&self, now: Instant, owner: MemberId) -> bool {
        self.states[owner].avoid_until.is_some_and(|until| until > now)
    }

    /// Returns whether neither a reply nor a hint of an owner arrived since `sent`.
    pub(super) fn is_silent_since(&self, owner: MemberId, sent: Instant) -> bool {
        self.states[owner].last_contact.is_none_or(|last_contact| last_contact < sent)
    }

    /// Returns whether enough attempts are in flight for an unresponsive owner to count as lost.
    pub(super) fn counts_as_lost_if_silent(&self, owner: MemberId) -> bool {
        self.states[owner].in_flight >= LOST_OWNER_ATTEMPTS
    }
}
