//! Executions at a replica: whether the replica accepts them, and how their results change its
//! health.

use super::calls::is_replica_fault;
use super::health::HealthChange;
use super::owner::{Action, Owner};
use crate::ids::ReplicaId;
use crate::message::FailReason;
use std::time::Instant;

/// Whether a replica receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The replica receives requests.
    Usable,
    /// The replica failed requests or probes, and receives requests only if its shard has no better
    /// one.
    Ejected,
    /// The replica receives no new requests.
    Draining,
}

impl Owner {
    /// Returns whether a replica of this thread receives requests.
    pub fn availability(&self, replica: ReplicaId) -> Availability {
        match self.replicas.get(replica) {
            Some(state) if state.is_draining() => Availability::Draining,
            Some(state) if state.health.is_ejected() => Availability::Ejected,
            _ => Availability::Usable,
        }
    }

    /// Updates the health of a replica after an execution; `failure` is `None` for a result.
    pub(super) fn handle_execution_ended(
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
