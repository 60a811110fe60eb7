//! What the entry knows of the daemons that own replicas.

use crate::arena::Arena;
use crate::ids::MemberId;
use std::time::{Duration, Instant};

/// How long a silent owner is avoided, unless something is heard of it.
const OWNER_AVOIDANCE: Duration = Duration::from_secs(10);

/// Open attempts at an owner that have to be late together before it counts as lost.
const LOST_OWNER_ATTEMPTS: u32 = 3;

/// What the entry knows of one owner.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerState {
    /// Open attempts of this thread.
    in_flight: u32,
    /// When the last reply or hint came.
    last_heard: Option<Instant>,
    avoid_until: Option<Instant>,
}

/// What the entry knows of all owners; as long as the member arena of the view.
#[derive(Debug, Default)]
pub(super) struct Owners {
    states: Arena<MemberId, OwnerState>,
}

impl Owners {
    /// Follows a change of control state.
    pub(super) fn grow(&mut self, members: usize) {
        self.states.grow(members, OwnerState::default);
    }

    /// Counts an attempt as in flight.
    pub(super) fn attempt_started(&mut self, owner: MemberId) {
        self.states[owner].in_flight += 1;
    }

    /// Counts an attempt as over.
    pub(super) fn attempt_ended(&mut self, owner: MemberId) {
        self.states[owner].in_flight -= 1;
    }

    /// Notes that an owner said something, which ends its avoidance.
    pub(super) fn record_contact(&mut self, now: Instant, owner: MemberId) {
        let state = &mut self.states[owner];
        state.last_heard = Some(now);
        state.avoid_until = None;
    }

    /// Avoids an owner for a while.
    pub(super) fn avoid(&mut self, now: Instant, owner: MemberId) {
        self.states[owner].avoid_until = Some(now + OWNER_AVOIDANCE);
    }

    /// Returns whether other owners are to be asked first.
    pub(super) fn is_avoided(&self, now: Instant, owner: MemberId) -> bool {
        self.states[owner].avoid_until.is_some_and(|until| until > now)
    }

    /// Returns whether nothing was heard of an owner since an attempt was sent.
    pub(super) fn is_silent_since(&self, owner: MemberId, sent: Instant) -> bool {
        self.states[owner].last_heard.is_none_or(|last_heard| last_heard < sent)
    }

    /// Returns whether so many attempts are open that a silent owner counts as lost.
    pub(super) fn has_lost_threshold_in_flight(&self, owner: MemberId) -> bool {
        self.states[owner].in_flight >= LOST_OWNER_ATTEMPTS
    }
}
