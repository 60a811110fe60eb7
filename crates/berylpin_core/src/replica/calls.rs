//! Calls to upstreams: start, result, timeout and abort.

use super::health::HealthChange;
use super::job::{Job, RunningCall};
use super::owner::{Action, Owner, Timer};
use crate::arena::SlabKey;
use crate::decision::Decision;
use crate::ids::{QueryTag, ReplicaId, Snapshot};
use crate::message::{FailReason, Outcome, Row, SnapshotRange};
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use rand::Rng;
use std::time::{Duration, Instant};

/// The shortest pause between calls after an upstream refused one because of its load.
const MIN_OVERLOAD_PAUSE: Duration = Duration::from_millis(2);
/// The longest pause between calls after an upstream refused one because of its load.
const MAX_OVERLOAD_PAUSE: Duration = Duration::from_millis(100);

/// Identifies a call to an upstream; the key of a call that has ended matches no later call.
pub type CallKey = SlabKey;

/// A call that the shell makes to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Returned with the result.
    pub key: CallKey,
    /// The replica to call.
    pub replica: ReplicaId,
    /// Sent as the request id; the upstream echoes it.
    pub request: QueryTag,
    /// The snapshot to answer from.
    pub snapshot: Snapshot,
    /// The rank of the query.
    pub rank: Rank,
    /// Time left until the deadline; never zero.
    pub time_left: Duration,
    /// The body of the request.
    pub body: Bytes,
}

/// The result of a call to an upstream.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// A success status with a well-formed body.
    Rows {
        /// The request id that the upstream echoed.
        request: QueryTag,
        /// The name of the shard that the upstream echoed.
        shard: String,
        /// The snapshot of the rows.
        snapshot: Snapshot,
        /// The snapshots that the upstream serves.
        serves: SnapshotRange,
        /// The rows.
        rows: Vec<Row>,
    },
    /// There is no result.
    Failed {
        /// What is known about whether the upstream ran the sub-query.
        verdict: Verdict,
        /// Why there is no result.
        reason: FailReason,
    },
}

impl Owner {
    /// Starts queued jobs while slots are free; refuses those that cannot meet their deadline.
    pub(super) fn start_queued(&mut self, now: Instant, replica: ReplicaId, out: &mut Vec<Action>) {
        loop {
            let state = &mut self.replicas[replica];
            let settings = &self.view.topology.replicas[replica].settings;
            if state.free_slots(now, settings) == 0 {
                return;
            }
            let means = state.latencies.means();
            let Some((rank, queued)) = state.queue.pop(means) else { return };
            if queued.deadline <= now + state.min_time_left(now, rank) {
                state.levels.record_dropped(rank);
                self.refuse(queued.key, FailReason::Deadline, out);
            } else {
                self.start_call(now, queued.key, out);
            }
        }
    }

    fn start_call(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let request = QueryTag(self.rng.random());
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.call = Some(RunningCall { started: now, request, reply_wanted: true, stalled: false });
        let state = &mut self.replicas[job.replica];
        state.calls_in_flight += 1;
        let time_left = job.queued.deadline - now;
        let overdue_at = now + state.latencies.call_timeout(job.rank, time_left);
        self.timers.set(overdue_at, Timer::CallOverdue(key));
        let replica = self.view.topology.replicas[job.replica].settings.tag;
        out.push(Action::Log(Decision::Started { query: job.query, replica }));
        out.push(Action::Call(Call {
            key,
            replica: job.replica,
            request,
            snapshot: job.snapshot,
            rank: job.rank,
            time_left,
            body: job.body.clone(),
        }));
    }

    pub(super) fn handle_call_ended(
        &mut self,
        now: Instant,
        key: CallKey,
        result: CallResult,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.jobs.get(key).and_then(|job| job.call) else { return };
        let Some(job) = self.jobs.remove(key) else { return };
        let replica = job.replica;
        self.replicas[replica].calls_in_flight -= 1;
        let outcome = self.check_result(&job, call, result);
        if call.reply_wanted {
            self.replicas[replica].remove_job(job.id);
        }
        let change = self.record_outcome(now, &job, call, &outcome);
        let drained = matches!(outcome, Outcome::Failed { reason: FailReason::Draining, .. });
        if drained {
            self.mark_draining(now, replica, out);
        }
        if call.reply_wanted {
            self.reply(job.id, replica, outcome, out);
        }
        self.apply_health_change(replica, change, out);
        self.start_queued(now, replica, out);
    }

    /// Checks that rows belong to the call, and records the snapshots that the replica serves.
    fn check_result(&mut self, job: &Job, call: RunningCall, result: CallResult) -> Outcome {
        let shard = self.view.topology.replicas[job.replica].shard;
        let known = &mut self.replicas[job.replica].snapshots;
        match result {
            CallResult::Rows { request, shard: name, snapshot, serves, rows } => {
                let matches = request == call.request
                    && name == self.view.topology.shards[shard].name
                    && snapshot == job.snapshot;
                if !matches || !known.record_report(serves) {
                    let (verdict, reason) = (Verdict::MayHaveRun, FailReason::BadReply);
                    return Outcome::Failed { verdict, reason };
                }
                known.record_answer(snapshot);
                Outcome::Rows { snapshot, rows }
            }
            CallResult::Failed { verdict, reason } => {
                if reason == FailReason::SnapshotGone {
                    known.record_refusal(job.snapshot);
                }
                Outcome::Failed { verdict, reason }
            }
        }
    }

    /// Updates the statistics and the health of a replica after a call.
    fn record_outcome(
        &mut self,
        now: Instant,
        job: &Job,
        call: RunningCall,
        outcome: &Outcome,
    ) -> HealthChange {
        let state = &mut self.replicas[job.replica];
        let elapsed = now.saturating_duration_since(call.started);
        match outcome {
            Outcome::Rows { .. } => {
                state.latencies.record(job.rank, elapsed);
                state.recent_service_time.record(elapsed);
                state.levels.record_completed(job.rank);
                state.probes.last_success = Some(now);
                state.health.succeeded()
            }
            // The failure was caused by the abort, so it is no evidence of the replica's health.
            Outcome::Failed { .. } if call.stalled || !call.reply_wanted => {
                state.recent_service_time.record_at_least(elapsed);
                HealthChange::None
            }
            Outcome::Failed { reason: FailReason::Overloaded, .. } => {
                state.levels.record_upstream_refusal(job.rank);
                self.pause_calls(now, job);
                HealthChange::None
            }
            Outcome::Failed { reason, .. } if is_replica_fault(*reason) => state.health.failed(now),
            Outcome::Failed { .. } => HealthChange::None,
        }
    }

    /// Pauses calls to an upstream that sheds load, which would otherwise refuse the whole queue,
    /// and halves its usable slots.
    fn pause_calls(&mut self, now: Instant, job: &Job) {
        let state = &mut self.replicas[job.replica];
        state.health.reduce_slots(self.view.topology.replicas[job.replica].settings.slots);
        let service_time = state.latencies.means()[job.rank.index()];
        let until = now + service_time.clamp(MIN_OVERLOAD_PAUSE, MAX_OVERLOAD_PAUSE);
        state.paused_until = Some(until);
        self.timers.set(until, Timer::Resume(job.replica));
    }

    /// Aborts a call that reached its timeout: as stalled after the stall timeout, else as late.
    pub(super) fn handle_overdue_call(
        &mut self,
        now: Instant,
        key: CallKey,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(key) else { return };
        let Some(call) = job.call.filter(|call| !call.stalled) else { return };
        let time_left = job.queued.deadline.saturating_duration_since(call.started);
        let stall_timeout = self.replicas[job.replica].latencies.stall_timeout(job.rank, time_left);
        if now < call.started + stall_timeout {
            self.timers.set(call.started + stall_timeout, Timer::CallOverdue(key));
            self.abort_late_call(key, out);
        } else {
            self.abort_stalled_call(now, key, out);
        }
    }

    /// Aborts a call whose deadline is near, and keeps its connection.
    fn abort_late_call(&mut self, key: CallKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(key) else { return };
        let Some(call) = job.call.filter(|call| call.reply_wanted) else { return };
        let (replica, request) = (job.replica, call.request);
        self.replicas[replica].levels.record_dropped(job.rank);
        out.push(Action::Abort { replica, request });
        self.reply_before_end(key, FailReason::Deadline, out);
    }

    /// Aborts a call that reached the stall timeout; closes its connection and the idle ones of
    /// the replica.
    fn abort_stalled_call(&mut self, now: Instant, key: CallKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(call) = &mut job.call else { return };
        call.stalled = true;
        let (replica, rank, query) = (job.replica, job.rank, job.query);
        let RunningCall { started, request, .. } = *call;
        let tag = self.tag(replica);
        out.push(Action::Log(Decision::Stalled { query, replica: tag }));
        out.push(Action::Reconnect { replica, call: Some(key) });
        out.push(Action::Abort { replica, request });
        let state = &mut self.replicas[replica];
        // A call that started before the last reconnect may have used one of the connections
        // replaced then, and a replica with a result since the start of the call is alive.
        let replica_not_at_fault = state.last_reconnect.is_some_and(|at| at >= started)
            || state.probes.last_success.is_some_and(|at| at >= started);
        state.last_reconnect = Some(now);
        state.latencies.record(rank, now.saturating_duration_since(started));
        let change =
            if replica_not_at_fault { HealthChange::None } else { state.health.failed(now) };
        self.reply_before_end(key, FailReason::Connection, out);
        self.apply_health_change(replica, change, out);
    }

    /// Replies with a failure while the call is still in flight, if its reply is wanted.
    fn reply_before_end(&mut self, key: CallKey, reason: FailReason, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        let (id, replica) = (job.id, job.replica);
        let Some(call) = job.call.as_mut().filter(|call| call.reply_wanted) else { return };
        call.reply_wanted = false;
        self.replicas[replica].remove_job(id);
        let outcome = Outcome::Failed { verdict: Verdict::MayHaveRun, reason };
        self.reply(id, replica, outcome, out);
    }
}

/// Returns whether a failure indicates a fault of the replica rather than of the request or its
/// load.
pub(super) fn is_replica_fault(reason: FailReason) -> bool {
    matches!(reason, FailReason::Connection | FailReason::BadReply | FailReason::UpstreamError)
}
