//! What is known of a query's shards before anything is sent.

use super::outbox::Outbox;
use super::replicas::{Load, Replicas};
use super::state::{Query, assess};
use crate::control::View;
use crate::ids::ServiceId;
use crate::limits::CoverageTally;
use crate::message::SnapshotRange;
use std::time::Instant;

/// What is known of a query's shards; the buffers are kept for the next query.
#[derive(Debug, Default)]
pub(super) struct Survey {
    /// Ranges of replicas with the position of their shard, positions in ascending order.
    pub(super) ranges: Vec<(u32, SnapshotRange)>,
    /// Sorted by service.
    services: Vec<(ServiceId, CoverageTally)>,
    total: CoverageTally,
    /// Whether a hint that was asked for may soon tell more.
    pub(super) awaited: bool,
}

impl Survey {
    /// Looks at all shards of a query and asks for hints that are missing or stale.
    pub(super) fn take(
        &mut self,
        now: Instant,
        view: &View,
        query: &Query,
        known: &mut Replicas,
        outbox: &mut Outbox,
    ) {
        self.ranges.clear();
        self.services.clear();
        self.total = CoverageTally::default();
        self.awaited = false;
        let time_left = query.deadline.saturating_duration_since(now);
        let load = Load { rank: query.rank, level: query.tag.level(), time_left };
        for (position, progress) in query.shards.iter().enumerate() {
            let replicas = &view.topology.shards[progress.shard].replicas;
            let ranges_before = self.ranges.len();
            let (mut usable, mut overloaded, mut awaited) = (0, 0, 0);
            for &replica in replicas {
                let Some(owner) = view.owner(replica) else { continue };
                if known.inquire(now, replica) {
                    outbox.inquire(owner, view.topology.replicas[replica].settings.tag);
                }
                if !known.is_usable(now, replica) {
                    continue;
                }
                usable += 1;
                awaited += u32::from(known.is_awaited(now, replica));
                overloaded += u32::from(known.is_overloaded(now, replica, load));
                let range = known.snapshots(now, replica);
                self.ranges.extend(range.map(|range| (position as u32, range)));
            }
            if self.ranges.len() == ranges_before {
                let ranges = replicas.iter().filter_map(|r| known.last_snapshots(*r));
                self.ranges.extend(ranges.map(|range| (position as u32, range)));
            }
            self.awaited |= usable > 0 && awaited == usable;
            let failing = usable > 0 && overloaded == usable;
            self.total.add(failing);
            assess(&mut self.services, progress.service, failing);
        }
    }

    /// Returns whether the shed levels and delays say that the query would fail.
    pub(super) fn is_overloaded(&self, view: &View) -> bool {
        self.total.exceeds_failure_limit()
            || self.services.iter().any(|(service, assessment)| {
                let settings = &view.topology.services[*service].settings;
                assessment.failing > 0 && assessment.is_below(settings.minimum_coverage)
            })
    }
}
