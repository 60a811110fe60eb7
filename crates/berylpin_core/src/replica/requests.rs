//! Requests from entries: sub-queries, cancellations and hint requests.

use super::job::Job;
use super::owner::{Action, Owner, Timer};
use super::queue::QueuedJob;
use super::shedding::ADJUST_INTERVAL;
use crate::decision::Decision;
use crate::ids::{MemberId, QueryTag, ReplicaId, ReplicaTag, ThreadId};
use crate::message::{
    AttemptId, Batch, FailReason, Hint, Outcome, QueryMessage, SubQuery, SubQueryReply,
};
use crate::rank::Rank;
use crate::verdict::Verdict;
use std::time::Instant;

/// The number of jobs on one thread at which a rank is refused, indexed by rank.
///
/// Lower ranks reach their limit first, so that they cannot exclude urgent sub-queries.
const JOB_LIMITS: [usize; Rank::COUNT] = [32 * 1024, 24 * 1024, 16 * 1024];

impl Owner {
    pub(super) fn handle_batch(
        &mut self,
        now: Instant,
        from: MemberId,
        batch: &Batch,
        out: &mut Vec<Action>,
    ) {
        for sub_query in &batch.sub_queries {
            let replica = self.view.topology.replica(sub_query.replica);
            let admitted = replica
                .filter(|id| self.replicas[*id].owned)
                .ok_or(FailReason::NotOwner)
                .and_then(|replica| self.admit(replica, sub_query.attempt, batch));
            match admitted {
                Ok(replica) => self.enqueue(now, replica, (from, sub_query.attempt), batch, out),
                Err(reason) => self.refuse_sub_query(from, *sub_query, batch, reason, out),
            }
        }
    }

    fn admit(
        &mut self,
        replica: ReplicaId,
        attempt: AttemptId,
        batch: &Batch,
    ) -> Result<ReplicaId, FailReason> {
        let state = &mut self.replicas[replica];
        if state.is_draining() {
            return Err(FailReason::Draining);
        }
        // An entry that sends a later attempt knows of the ejection and has no better replica.
        if state.health.is_ejected() && attempt.ordinal == 0 {
            return Err(FailReason::Unreachable);
        }
        if batch.time_left.is_zero() {
            return Err(FailReason::Deadline);
        }
        let at_limit = self.jobs.len() >= JOB_LIMITS[batch.rank.index()];
        if at_limit || !state.levels.admit(batch.rank, batch.query.level(), batch.time_left) {
            return Err(FailReason::Overloaded);
        }
        Ok(replica)
    }

    fn enqueue(
        &mut self,
        now: Instant,
        replica: ReplicaId,
        id: super::job::JobId,
        batch: &Batch,
        out: &mut Vec<Action>,
    ) {
        let state = &mut self.replicas[replica];
        if state.job(id).is_some() {
            // A duplicate of an attempt; the entry receives one reply.
            return;
        }
        let deadline = now + batch.time_left;
        let jobs = &mut self.jobs;
        let key = jobs.insert_with(|key| Job {
            id,
            query: batch.query,
            replica,
            rank: batch.rank,
            snapshot: batch.snapshot,
            body: batch.body.clone(),
            queued: QueuedJob { level: batch.query.level(), deadline, key, arrived: now },
            call: None,
        });
        state.add_job(id, key);
        let Some(queued) = jobs.get(key).map(|job| job.queued) else { return };
        let evicted = state.queue.push(batch.rank, queued);
        if !state.adjust_timer_set {
            state.adjust_timer_set = true;
            self.timers.set(now + ADJUST_INTERVAL, Timer::AdjustShedLevels(replica));
        }
        if let Some(evicted) = evicted {
            state.levels.record_dropped(batch.rank);
            self.refuse(evicted.key, FailReason::Overloaded, out);
        }
        self.start_queued(now, replica, out);
    }

    /// Refuses a sub-query that was not admitted.
    fn refuse_sub_query(
        &self,
        from: MemberId,
        sub_query: SubQuery,
        batch: &Batch,
        reason: FailReason,
        out: &mut Vec<Action>,
    ) {
        let SubQuery { attempt, replica } = sub_query;
        let owned = self.view.topology.replica(replica).filter(|id| self.replicas[*id].owned);
        // This daemon has no state for a replica that it does not own. With this hint, the entry
        // treats the replica as usable until it receives the hint of the owner.
        let unknown =
            Hint { shed_from: [QueryTag::LEVELS; Rank::COUNT], usable: true, ..Hint::default() };
        let hint = owned.map_or(unknown, |id| self.hint(id));
        out.push(Action::Log(Decision::Refused { query: batch.query, replica, reason }));
        let outcome = Outcome::Failed { verdict: Verdict::NotRun, reason };
        let reply = SubQueryReply { attempt, replica, outcome, hint };
        out.push(Action::Send(from, QueryMessage::Reply(reply)));
    }

    pub(super) fn handle_cancel(
        &mut self,
        from: MemberId,
        sub_queries: &[SubQuery],
        out: &mut Vec<Action>,
    ) {
        for sub_query in sub_queries {
            let Some(replica) = self.view.topology.replica(sub_query.replica) else { continue };
            let id = (from, sub_query.attempt);
            let state = &mut self.replicas[replica];
            let Some(key) = state.job(id) else { continue };
            state.remove_job(id);
            let Some(job) = self.jobs.get_mut(key) else { continue };
            if let Some(call) = &mut job.call {
                // The slot stays occupied until the call ends.
                call.reply_wanted = false;
                out.push(Action::Abort { replica, request: call.request });
            } else {
                state.queue.remove(job.rank, &job.queued);
                self.jobs.remove(key);
            }
        }
    }

    pub(super) fn handle_hint_request(
        &self,
        from: MemberId,
        thread: ThreadId,
        tags: &[ReplicaTag],
        out: &mut Vec<Action>,
    ) {
        let known = tags.iter().filter_map(|tag| Some((*tag, self.view.topology.replica(*tag)?)));
        let owned = known.filter(|(_, id)| self.replicas[*id].owned);
        let hints: Vec<_> = owned.map(|(tag, id)| (tag, self.hint(id))).collect();
        if !hints.is_empty() {
            out.push(Action::Send(from, QueryMessage::Hints { thread, hints }));
        }
    }

    /// Refuses queued sub-queries that could not meet their deadline even if they started now.
    pub(super) fn refuse_late(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        let state = &mut self.replicas[replica];
        let mut late = Vec::new();
        for rank in Rank::ALL {
            let min_time_left = state.min_time_left(now, rank);
            let keys = state.queue.extract(rank, |queued| queued.deadline <= now + min_time_left);
            for _ in &keys {
                state.levels.record_dropped(rank);
            }
            late.extend(keys);
        }
        for key in late {
            self.refuse(key, FailReason::Deadline, out);
        }
    }
}
