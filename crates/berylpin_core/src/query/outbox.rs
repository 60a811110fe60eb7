//! Sub-queries and cancellations, grouped into one message an owner.

use super::event::Action;
use super::state::Query;
use crate::ids::{MemberId, ReplicaTag, ThreadId};
use crate::message::{Batch, QueryMessage, SubQuery};
use std::time::Instant;

/// What one step of the coordinator sends; empty between steps.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    sub_queries: Vec<(MemberId, SubQuery)>,
    cancelled: Vec<(MemberId, SubQuery)>,
    inquiries: Vec<(MemberId, ReplicaTag)>,
}

impl Outbox {
    /// Adds a sub-query of the query that is sent next.
    pub(super) fn queue_sub_query(&mut self, owner: MemberId, sub_query: SubQuery) {
        self.sub_queries.push((owner, sub_query));
    }

    /// Adds a sub-query whose result is not needed any more.
    pub(super) fn queue_cancel(&mut self, owner: MemberId, sub_query: SubQuery) {
        self.cancelled.push((owner, sub_query));
    }

    /// Adds a question for the state of a replica.
    pub(super) fn queue_inquiry(&mut self, owner: MemberId, replica: ReplicaTag) {
        self.inquiries.push((owner, replica));
    }

    /// Sends the grouped sub-queries as parts of one query.
    pub(super) fn flush_batches(&mut self, now: Instant, query: &Query, out: &mut Vec<Action>) {
        let Some(snapshot) = query.snapshot else { return };
        send_grouped(&mut self.sub_queries, out, |parts| {
            QueryMessage::Batch(Batch {
                query: query.tag,
                rank: query.rank,
                time_left: query.deadline.saturating_duration_since(now),
                snapshot,
                body: query.body.clone(),
                parts,
            })
        });
    }

    /// Sends the grouped cancellations.
    pub(super) fn flush_cancels(&mut self, out: &mut Vec<Action>) {
        send_grouped(&mut self.cancelled, out, QueryMessage::Cancel);
    }

    /// Sends the grouped questions; the replies go to `thread`.
    pub(super) fn flush_inquiries(&mut self, thread: ThreadId, out: &mut Vec<Action>) {
        send_grouped(&mut self.inquiries, out, |replicas| QueryMessage::Inquire {
            thread,
            replicas,
        });
    }
}

/// Sends one message an owner, owners in order of their ids, and empties `items`.
fn send_grouped<T, F>(items: &mut Vec<(MemberId, T)>, out: &mut Vec<Action>, message: F)
where
    T: Copy,
    F: Fn(Vec<T>) -> QueryMessage,
{
    items.sort_by_key(|(owner, _)| *owner);
    for chunk in items.chunk_by(|a, b| a.0 == b.0) {
        let grouped = chunk.iter().map(|(_, item)| *item).collect();
        out.push(Action::Send(chunk[0].0, message(grouped)));
    }
    items.clear();
}
