//! Sub-queries and cancellations, gathered into one message an owner.

use super::event::Action;
use super::state::Query;
use crate::ids::{MemberId, ReplicaTag, ThreadId};
use crate::message::{Batch, QueryMessage, SubQuery};
use std::time::Instant;

/// What one step of the coordinator sends; empty between steps.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    parts: Vec<(MemberId, SubQuery)>,
    cancelled: Vec<(MemberId, SubQuery)>,
    inquired: Vec<(MemberId, ReplicaTag)>,
}

impl Outbox {
    /// Adds a sub-query of the query that is sent next.
    pub(super) fn send(&mut self, owner: MemberId, part: SubQuery) {
        self.parts.push((owner, part));
    }

    /// Adds a sub-query whose result is not needed any more.
    pub(super) fn cancel(&mut self, owner: MemberId, part: SubQuery) {
        self.cancelled.push((owner, part));
    }

    /// Adds a question for the state of a replica.
    pub(super) fn inquire(&mut self, owner: MemberId, replica: ReplicaTag) {
        self.inquired.push((owner, replica));
    }

    /// Sends the gathered sub-queries as parts of one query.
    pub(super) fn flush_batches(&mut self, now: Instant, query: &Query, out: &mut Vec<Action>) {
        let Some(snapshot) = query.snapshot else { return };
        gather(&mut self.parts, out, |parts| {
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

    /// Sends the gathered cancellations.
    pub(super) fn flush_cancels(&mut self, out: &mut Vec<Action>) {
        gather(&mut self.cancelled, out, QueryMessage::Cancel);
    }

    /// Sends the gathered questions; the replies go to `thread`.
    pub(super) fn flush_inquiries(&mut self, thread: ThreadId, out: &mut Vec<Action>) {
        gather(&mut self.inquired, out, |replicas| QueryMessage::Inquire { thread, replicas });
    }
}

/// Sends one message an owner, owners in order of their ids, and empties `items`.
fn gather<T, F>(items: &mut Vec<(MemberId, T)>, out: &mut Vec<Action>, message: F)
where
    T: Copy,
    F: Fn(Vec<T>) -> QueryMessage,
{
    items.sort_by_key(|(owner, _)| *owner);
    for chunk in items.chunk_by(|a, b| a.0 == b.0) {
        let gathered = chunk.iter().map(|(_, item)| *item).collect();
        out.push(Action::Send(chunk[0].0, message(gathered)));
    }
    items.clear();
}
