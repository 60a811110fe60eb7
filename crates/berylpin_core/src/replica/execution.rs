//! What executions need to know of a replica, and what they tell about it.

use super::calls::is_replica_fault;
use super::health::HealthChange;
use super::owner::{Action, Owner};
use crate::ids::ReplicaId;
use crate::message::FailReason;
use std::time::Instant;

/// Whether a replica is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes work.
    Usable,
    /// Its calls failed; it is used only for want of a better one.
    Ejected,
    /// It takes no new work.
    Draining,
}

impl Owner {
    /// Returns whether a replica of this thread is used.
    pub fn availability(&self, replica: ReplicaId) -> Availability {
        match self.replicas.get(replica) {
            Some(state) if state.is_draining() => Availability::Draining,
            Some(state) if state.health.is_ejected() => Availability::Ejected,
            _ => Availability::Usable,
        }
    }

    /// Notes what the end of an execution says about its replica; `None` is a result.
    pub(super) fn handle_execution_end(
        &mut self,
        now: Instant,
        replica: ReplicaId,
        failure: Option<FailReason>,
        out: &mut Vec<Action>,
    ) {
        let state = &mut self.replicas[replica];
        let change = match failure {
            None => {
                state.probes.last_success = Some(now);
                state.health.succeeded()
            }
            Some(FailReason::Draining) => return self.mark_draining(now, replica, out),
            Some(reason) if is_replica_fault(reason) => state.health.failed(now),
            Some(_) => HealthChange::None,
        };
        self.apply_health_change(replica, change, out);
    }
}
