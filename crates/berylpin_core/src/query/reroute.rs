//! New attempts in place of those whose owner was lost or replaced.

use super::attempts::Failure;
use super::coordinator::Coordinator;
use super::event::Action;
use super::progress::{Attempt, AttemptState, ShardProgress};
use crate::arena::SlabKey;
use crate::ids::MemberId;
use std::time::Instant;

impl Coordinator {
    /// Runs pending retries and replaces attempts whose owner changed, after a new view.
    ///
    /// The earlier attempts are not cancelled: a leaving owner completes its sub-queries, and the
    /// new owner may refuse new ones until it has the new view.
    pub(super) fn reroute_changed_owners(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.for_each_shard(now, out, |this, key, position, out| {
            if let Some(retry) = this.progress(key, position).and_then(|p| p.pending_retry) {
                this.run_pending_retry(now, key, position, retry, out);
            }
        });
        let view = self.view.clone();
        let moved = |attempt: &Attempt| match view.owner(attempt.replica) {
            Some(owner) => owner != attempt.owner,
            None => !view.members[attempt.owner].live,
        };
        self.reroute(now, moved, out);
    }

    /// Makes new attempts in place of those sent over a failed link.
    pub(super) fn reroute_lost_link(
        &mut self,
        now: Instant,
        owner: MemberId,
        out: &mut Vec<Action>,
    ) {
        self.replicas.owners.avoid(now, owner);
        self.reroute(now, |attempt| attempt.owner == owner, out);
    }

    /// Replaces the open attempts that `lost` selects, in all queries.
    fn reroute<F>(&mut self, now: Instant, lost: F, out: &mut Vec<Action>)
    where
        F: Fn(&Attempt) -> bool,
    {
        self.for_each_shard(now, out, |this, key, position, out| {
            if this.mark_attempts_lost(now, key, position, &lost) {
                this.retry_or_mark_missing(now, key, position, Failure::OWNER_LOST, out);
            }
        });
    }

    /// Calls `f` for every shard of every query, then sends the messages queued for the
    /// query, and restarts or finishes it if necessary.
    fn for_each_shard<F>(&mut self, now: Instant, out: &mut Vec<Action>, mut f: F)
    where
        F: FnMut(&mut Self, SlabKey, u32, &mut Vec<Action>),
    {
        let keys: Vec<SlabKey> = self.queries.iter().map(|(key, _)| key).collect();
        for key in keys {
            let shards = self.queries.get(key).map_or(0, |query| query.shards.len() as u32);
            for position in 0..shards {
                f(self, key, position, out);
            }
            self.flush_and_try_finish(now, key, out);
        }
    }

    /// Marks the open attempts that `lost` selects as lost; returns whether there were any.
    fn mark_attempts_lost<F>(&mut self, now: Instant, key: SlabKey, position: u32, lost: F) -> bool
    where
        F: Fn(&Attempt) -> bool,
    {
        let Some(query) = self.queries.get_mut(key) else { return false };
        let started = query.started;
        let mut any = false;
        for attempt in query.shards[position as usize].attempts_mut() {
            if attempt.state == AttemptState::Open && lost(attempt) {
                attempt.state = AttemptState::Lost;
                self.replicas.attempt_ended(attempt);
                let age = now.saturating_duration_since(attempt.sent_at(started));
                self.replicas.sample_unanswered(now, attempt.replica, age);
                any = true;
            }
        }
        any
    }

    fn progress(&self, key: SlabKey, position: u32) -> Option<&ShardProgress> {
        self.queries.get(key)?.shards.get(position as usize)
    }
}
