//! Attempts at replicas: first attempts, hedges, retries and rescues.

use super::dispatcher::{ANSWER_LEAD_TIME, Dispatcher, Timer};
use super::event::{
    Action, AttemptKey, BodyLimits, Cause, DirectDecision, Failure, Outcome, Reply,
};
use super::in_flight::{Attempt, Origin, Part, PartState, RequestKey};
use super::merge::RECORD_BYTES;
use super::replicas::Choice;
use super::view::{Route, Service, Target};
use super::wait_queue::WaitReason;
use crate::ids::ReplicaId;
use crate::verdict::Verdict;
use std::time::{Duration, Instant};

/// The time before the answer is due at which a request to a single replica is hedged, in medians
/// of the work time. A needless hedge wastes far more work than a late one.
const SINGLE_HEDGE_LEAD_MEDIANS: f64 = 2.5;

/// The maximum size of a part, as a multiple of the records that an answer may take from it, and
/// the least such limit in bytes. A replica may send all records that match, in no order.
const MAX_PART_FACTOR: usize = 64;
const MIN_PART_LIMIT: usize = 256 << 10;

/// The maximum size of an answer that is relayed, in bytes.
const MAX_DECLARED_BYTES: usize = 8 << 20;

/// The maximum size of an answer of unknown length that is relayed, in bytes.
const MAX_UNDECLARED_BYTES: usize = 1 << 20;

/// The maximum length of a part's signature, so that the signatures of some hundred parts fit into
/// the head of an answer.
const MAX_SIGNATURE_BYTES: usize = 128;

impl<H> Dispatcher<H> {
    /// Sends an attempt at a part; if that is impossible, queues the part or marks it as failed.
    pub(super) fn attempt_or_fail(
        &mut self,
        key: RequestKey,
        index: usize,
        cause: Cause,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let pending = match self.attempt(key, index, cause, now, actions) {
            Ok(()) => true,
            Err(NotSent::Wait(reason)) => self.enqueue(key, index, (cause, reason), now),
            Err(NotSent::NoReplica | NotSent::Stopping) => false,
        };
        if !pending {
            self.fail_part(key, index, None);
        }
    }

    /// Sends an attempt at a part to the best replica, if the budget allows it.
    fn attempt(
        &mut self,
        key: RequestKey,
        index: usize,
        cause: Cause,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) -> Result<(), NotSent> {
        let request = self.requests.get_mut(key).ok_or(NotSent::NoReplica)?;
        let (view, route_index) = (request.view.clone(), request.route_index);
        let route = &view.routes[route_index];
        if self.stop.is_some_and(|stop| stop.is_too_late(route.target_latency, now)) {
            return Err(NotSent::Stopping);
        }
        let part = &mut request.parts[index];
        // Replicas change more often than configurations, so they are chosen from the newest view.
        let newest = self.view.as_ref().unwrap_or(&view);
        let service = newest.services.get(part.service).ok_or(NotSent::NoReplica)?;
        let required = required_replica(part, request.origin, route, service)?;
        let inputs = (&self.route_latencies, &mut self.rng);
        let choice = self.replicas.choose(service, route, inputs, (part, required), now)?;
        if cause == Cause::First {
            self.budgets.add_request(part.service, service.standing, now);
        } else {
            let in_time = now < request.answer_by;
            if !self.budgets.try_spend(part.service, service.standing, in_time, now) {
                return Err(NotSent::Wait(WaitReason::Budget));
            }
            actions.push(Action::Log(
                request.ticket,
                DirectDecision::ExtraAttempt {
                    cause,
                    replica: choice.replica.name.text().clone(),
                    waited: now.saturating_duration_since(request.arrived),
                    budget_left: self.budgets.remaining(part.service, service.standing, now),
                },
            ));
        }
        let attempt = self.attempts.insert(Attempt {
            request: Some(key),
            part: index,
            replica: choice.replica.id,
            service: part.service,
            replica_name: choice.replica.name.text().clone(),
            route: route.id,
            target_latency: route.target_latency,
            sent: now,
        });
        part.may_have_run_on.push(choice.replica.id);
        part.open_attempts.push(attempt);
        request.attempts += 1;
        self.replicas.record_attempt_sent(attempt, &choice, now);
        if route.idempotent {
            let delay = hedge_delay(
                route,
                &choice,
                self.route_latencies.median(route.id, route.target_latency),
            );
            self.timers.set(now + delay, Timer::Hedge(attempt));
        }
        let deadline = self.stop.map_or(request.deadline, |stop| {
            stop.attempt_deadline(request.deadline, route.target_latency)
        });
        actions.push(Action::Send {
            ticket: request.ticket,
            attempt,
            time_left: deadline.saturating_duration_since(now),
            idempotent: route.idempotent,
            replica: choice.replica,
            body_limits: body_limits(&route.target),
        });
        Ok(())
    }

    /// Sends a second attempt at the part of a late attempt.
    pub(super) fn hedge(
        &mut self,
        attempt: AttemptKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(Attempt { request: Some(key), part, .. }) = self.attempts.get(attempt) else {
            return;
        };
        let (key, index) = (*key, *part);
        let Some(request) = self.requests.get(key) else { return };
        let part = &request.parts[index];
        let has_attempts_left = (part.may_have_run_on.len() as u32) < request.route().max_attempts;
        if has_attempts_left
            && part.is_open()
            && part.call.is_none()
            && part.open_attempts.len() == 1
        {
            // A hedge that cannot be sent at once is skipped.
            let _ = self.attempt(key, index, Cause::Hedge, now, actions);
        }
    }

    pub(super) fn abort_lingering(
        &mut self,
        attempt: AttemptKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(ended) = self.attempts.remove(attempt) else { return };
        let Attempt { replica, service, route, target_latency, sent, .. } = ended;
        self.replicas.record_attempt_ended(replica, attempt, now);
        self.wait_queue.record_freed_connection(service);
        let median = self.route_latencies.median(route, target_latency);
        let slowdown = now.saturating_duration_since(sent).div_duration_f64(median);
        self.replicas.record_abandoned(replica, slowdown, now);
        actions.push(Action::Abort { attempt, silent: true });
    }

    pub(super) fn handle_attempt_ended(
        &mut self,
        key: AttemptKey,
        outcome: Outcome<H>,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        let work_time = self.replicas.record_attempt_ended(attempt.replica, key, now);
        self.wait_queue.record_freed_connection(attempt.service);
        self.record_outcome(&attempt, &outcome, work_time, now);
        let Some(request_key) = attempt.request else { return };
        let Some(request) = self.requests.get_mut(request_key) else { return };
        let part = &mut request.parts[attempt.part];
        part.open_attempts.retain(|open| *open != key);
        let (verdict, outcome_name) = classify(&outcome);
        let failure = match outcome {
            Outcome::Unreachable(failure) | Outcome::Broken(_, failure) => Some(failure),
            Outcome::Answered(_) | Outcome::Refused(_) | Outcome::WrongReplica => None,
        };
        part.verdict = part.verdict.and(verdict);
        if !part.is_open() {
            return;
        }
        if verdict == Verdict::NotRun {
            part.record_not_run(attempt.replica);
        }
        let outcome = match outcome {
            Outcome::Answered(reply)
                if is_final(&request.view.routes[request.route_index], &reply) =>
            {
                part.state = if is_usable(&request.view.routes[request.route_index], &reply) {
                    PartState::Answered(reply)
                } else {
                    PartState::Failed(Some(reply))
                };
                return self.try_complete(request_key, now, actions);
            }
            outcome => outcome,
        };
        let (replica, elapsed) =
            (attempt.replica_name, now.saturating_duration_since(attempt.sent));
        actions.push(Action::Log(
            request.ticket,
            DirectDecision::AttemptFailed {
                replica,
                outcome: outcome_name,
                failure,
                verdict,
                elapsed,
            },
        ));
        let error_reply = match outcome {
            Outcome::Answered(reply) if !reply.is_success() => Some(reply),
            _ => None,
        };
        self.retry(request_key, attempt.part, (verdict, error_reply), now, actions);
        self.try_complete(request_key, now, actions);
    }

    /// Retries a part after a failed attempt, or marks the part as failed.
    fn retry(
        &mut self,
        key: RequestKey,
        index: usize,
        (verdict, error_reply): (Verdict, Option<Reply<H>>),
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let part = &request.parts[index];
        let allowed = request.route().idempotent || verdict == Verdict::NotRun;
        let has_attempts_left = (part.may_have_run_on.len() as u32) < request.route().max_attempts;
        if !part.is_idle() {
            if allowed && has_attempts_left {
                // Another attempt, or a peer, may still answer the part, so a retry that cannot be
                // sent at once is skipped.
                let _ = self.attempt(key, index, Cause::Retry, now, actions);
            }
            return;
        }
        if allowed && has_attempts_left {
            self.attempt_or_fail(key, index, Cause::Retry, now, actions);
        }
        if self.requests.get(key).is_some_and(|request| request.parts[index].is_idle()) {
            self.fail_part(key, index, error_reply);
        }
    }

    fn record_outcome(
        &mut self,
        attempt: &Attempt,
        outcome: &Outcome<H>,
        work_time: Duration,
        now: Instant,
    ) {
        let id = attempt.replica;
        match outcome {
            Outcome::Answered(reply) => {
                if reply.is_success() {
                    self.route_latencies.record(attempt.route, work_time);
                }
                let median = self.route_latencies.median(attempt.route, attempt.target_latency);
                let slowdown = work_time.div_duration_f64(median);
                self.replicas.record_answer(id, slowdown, reply.status >= 500, now);
            }
            Outcome::Refused(pause) => self.replicas.record_refusal(id, *pause, now),
            Outcome::WrongReplica => {
                self.replicas.record_gone(id, now);
            }
            // An endless answer costs far more than another broken one, so its replica is avoided
            // like one that cannot be reached.
            Outcome::Unreachable(_) | Outcome::Broken(_, Failure::TooLong) => {
                self.replicas.record_unreachable(id, now);
            }
            Outcome::Broken(_, Failure::NoMemory) => {}
            Outcome::Broken(..) => self.replicas.record_broken(id, now),
        }
    }
}

/// Why no attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotSent {
    /// The part may not be sent to any known replica.
    NoReplica,
    /// An attempt may be possible later.
    Wait(WaitReason),
    /// This daemon stops too soon.
    Stopping,
}

/// Returns the rescue replica if the attempt has to use it, and `None` if the choice is free.
///
/// A delegated part may be attempted by its owner and by the entry, which may know different
/// replicas. The owner chooses freely until its last attempt, and the entry uses only the rescue
/// replica. Thus the part runs on at most `max_attempts` replicas: with two attempts, on the rescue
/// replica and one other.
///
/// # Errors
///
/// Fails if the attempt has to use the rescue replica and this daemon does not know it.
fn required_replica<H>(
    part: &Part<H>,
    origin: Origin,
    route: &Route,
    service: &Service,
) -> Result<Option<ReplicaId>, NotSent> {
    let Some(tag) = part.rescue_replica else { return Ok(None) };
    let rescue_replica = service.replicas.iter().find(|replica| replica.tag == tag).map(|r| r.id);
    let is_last = part.may_have_run_on.len() as u32 + 1 >= route.max_attempts;
    let is_used = rescue_replica.is_some_and(|id| part.may_have_run_on.contains(&id));
    match rescue_replica {
        _ if origin != Origin::Caller && (!is_last || is_used) => Ok(None),
        Some(id) => Ok(Some(id)),
        None => Err(NotSent::NoReplica),
    }
}

/// Returns whether an answer may be merged into the answer to the caller, or relayed as that
/// answer.
fn is_usable<H>(route: &Route, reply: &Reply<H>) -> bool {
    match route.target {
        Target::Shards { .. } => reply.is_success() && is_signed(route, reply),
        Target::Split(_) => true,
    }
}

/// Returns whether an answer ends its part: it is signed, or it is an error that every replica
/// would return.
fn is_final<H>(route: &Route, reply: &Reply<H>) -> bool {
    if reply.is_success() { is_signed(route, reply) } else { reply.status < 500 }
}

/// Returns whether an answer has a signature that can be sent to the caller.
fn is_signed<H>(route: &Route, reply: &Reply<H>) -> bool {
    let is_part = matches!(route.target, Target::Shards { .. });
    reply.signature.as_ref().is_some_and(|signature| !is_part || is_listable(signature))
}

/// Returns whether a signature can stand in a list of signatures, where an odd one would make the
/// other parts unusable too.
pub(super) fn is_listable(signature: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    (1..=MAX_SIGNATURE_BYTES).contains(&signature.len()) && signature.bytes().all(allowed)
}

/// Returns the verdict of an outcome, and its name in the log if it is not a final answer.
fn classify<H>(outcome: &Outcome<H>) -> (Verdict, &'static str) {
    match outcome {
        Outcome::Answered(reply) if reply.is_success() => (Verdict::Ran, "unsigned"),
        Outcome::Answered(_) => (Verdict::Ran, "error_status"),
        Outcome::Refused(_) => (Verdict::NotRun, "refused"),
        Outcome::WrongReplica => (Verdict::NotRun, "wrong_replica"),
        Outcome::Unreachable(_) => (Verdict::NotRun, "unreachable"),
        Outcome::Broken(verdict, _) => (*verdict, "broken"),
    }
}

/// Returns the limits on the body of an answer.
fn body_limits(target: &Target) -> BodyLimits {
    match target {
        Target::Shards { limit, .. } => {
            let bytes = limit.saturating_mul(RECORD_BYTES * MAX_PART_FACTOR).max(MIN_PART_LIMIT);
            BodyLimits { declared: bytes, undeclared: bytes }
        }
        Target::Split(_) => {
            BodyLimits { declared: MAX_DECLARED_BYTES, undeclared: MAX_UNDECLARED_BYTES }
        }
    }
}

/// Returns the time from the sending of an attempt to its hedge.
fn hedge_delay(route: &Route, choice: &Choice, median: Duration) -> Duration {
    match route.target {
        Target::Shards { .. } => choice.late_after,
        Target::Split(_) => {
            let available = route.target_latency.saturating_sub(ANSWER_LEAD_TIME);
            choice
                .late_after
                .max(available.saturating_sub(median.mul_f64(SINGLE_HEDGE_LEAD_MEDIANS)))
        }
    }
}
