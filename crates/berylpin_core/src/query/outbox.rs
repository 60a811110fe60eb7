//! Outgoing sub-queries, cancellations and hint requests, grouped into one message per owner.

use super::event::Action;
use super::state::Query;
use crate::ids::{MemberId, ReplicaTag, ThreadId};
use crate::message::{Batch, QueryMessage, SubQuery};
use std::time::Instant;

/// The messages queued while the coordinator handles one query; empty between events.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    sub_queries: Vec<(MemberId, SubQuery)>,
    cancelled: Vec<(MemberId, SubQuery)>,
    hint_requests: Vec<(MemberId, ReplicaTag)>,
}

impl Outbox {
    /// Queues a sub-query; all queued ones belong to the query of the next `flush_batches`.
    pub(super) fn queue_sub_query(&mut self, owner: MemberId, sub_query: SubQuery) {
        self.sub_queries.push((owner, sub_query));
    }

    /// Queues the cancellation of a sub-query.
    pub(super) fn queue_cancel(&mut self, owner: MemberId, sub_query: SubQuery) {
        self.cancelled.push((owner, sub_query));
    }

    /// Queues a request for the hint of a replica.
    pub(super) fn queue_hint_request(&mut self, owner: MemberId, replica: ReplicaTag) {
        self.hint_requests.push((owner, replica));
    }

    /// Sends the queued sub-queries, which belong to `query`.
    pub(super) fn flush_batches(&mut self, now: Instant, query: &Query, out: &mut Vec<Action>) {
        let Some(snapshot) = query.snapshot else { return };
        send_grouped(&mut self.sub_queries, out, |sub_queries| {
            QueryMessage::Batch(Batch {
                query: query.tag,
                rank: query.rank,
                time_left: query.deadline.saturating_duration_since(now),
                snapshot,
                body: query.body.clone(),
                sub_queries,
            })
        });
    }

    /// Sends the queued cancellations.
    pub(super) fn flush_cancels(&mut self, out: &mut Vec<Action>) {
        send_grouped(&mut self.cancelled, out, QueryMessage::Cancel);
    }

    /// Sends the queued hint requests; the replies are addressed to `thread`.
    pub(super) fn flush_hint_requests(&mut self, thread: ThreadId, out: &mut Vec<Action>) {
        send_grouped(&mut self.hint_requests, out, |replicas| QueryMessage::RequestHints {
            thread,
            replicas,
        });
    }
}

/// Sends one message per owner, in ascending order of owners, and empties `items`.
fn send_grouped<T, F>(items: &mut Vec<(MemberId, T)>, out: &mut Vec<Action>, make_message: F)
where
    T: Copy,
    F: Fn(Vec<T>) -> QueryMessage,
{
    items.sort_by_key(|(owner, _)| *owner);
    for chunk in items.chunk_by(|a, b| a.0 == b.0) {
        let grouped = chunk.iter().map(|(_, item)| *item).collect();
        out.push(Action::Send(chunk[0].0, make_message(grouped)));
    }
    items.clear();
}
