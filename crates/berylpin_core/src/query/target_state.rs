//! The snapshots and load of the shards of a query's target, known from hints before the first
//! sub-query is sent.

use super::outbox::Outbox;
use super::replicas::{QueryProfile, Replicas};
use super::state::{Query, tally_shard};
use crate::control::View;
use crate::ids::ServiceId;
use crate::limits::CoverageTally;
use crate::message::SnapshotRange;
use std::time::Instant;

/// The snapshots and load of a query's shards; the buffers are reused for the next query.
#[derive(Debug, Default)]
pub(super) struct TargetState {
    /// The snapshot range of each usable replica with the position of its shard, in ascending
    /// order of positions; the last known ranges of a shard that has no current one.
    pub(super) ranges: Vec<(u32, SnapshotRange)>,
    /// The overloaded shards of each service; sorted by service.
    services: Vec<(ServiceId, CoverageTally)>,
    /// The overloaded shards of all services.
    total: CoverageTally,
    /// Whether some shard has usable replicas and awaits the hints of all of them.
    pub(super) hints_pending: bool,
}

impl TargetState {
    /// Collects the state of all shards of a query and queues requests for missing or stale hints.
    pub(super) fn update(
        &mut self,
        now: Instant,
        view: &View,
        query: &Query,
        replica_states: &mut Replicas,
        outbox: &mut Outbox,
    ) {
        self.ranges.clear();
        self.services.clear();
        self.total = CoverageTally::default();
        self.hints_pending = false;
        let time_left = query.deadline.saturating_duration_since(now);
        let profile = QueryProfile { rank: query.rank, level: query.tag.level(), time_left };
        for (position, progress) in query.shards.iter().enumerate() {
            let replicas = &view.topology.shards[progress.shard].replicas;
            let ranges_before = self.ranges.len();
            let (mut usable, mut overloaded, mut pending) = (0, 0, 0);
            for &replica in replicas {
                let Some(owner) = view.owner(replica) else { continue };
                if replica_states.record_hint_request_if_due(now, replica) {
                    outbox.queue_hint_request(owner, view.topology.replicas[replica].settings.tag);
                }
                if !replica_states.is_usable(now, replica) {
                    continue;
                }
                usable += 1;
                pending += u32::from(replica_states.is_hint_pending(now, replica));
                overloaded += u32::from(replica_states.is_overloaded(now, replica, profile));
                let range = replica_states.snapshots(now, replica);
                self.ranges.extend(range.map(|range| (position as u32, range)));
            }
            if self.ranges.len() == ranges_before {
                let ranges = replicas.iter().filter_map(|r| replica_states.last_snapshots(*r));
                self.ranges.extend(ranges.map(|range| (position as u32, range)));
            }
            self.hints_pending |= usable > 0 && pending == usable;
            let failing = usable > 0 && overloaded == usable;
            self.total.add(failing);
            tally_shard(&mut self.services, progress.service, failing);
        }
    }

    /// Returns whether shed levels and queue delays would make the query fail.
    pub(super) fn is_overloaded(&self, view: &View) -> bool {
        self.total.exceeds_failure_limit()
            || self.services.iter().any(|(service, tally)| {
                let settings = &view.topology.services[*service].settings;
                tally.failing > 0 && tally.is_below(settings.minimum_coverage)
            })
    }
}
