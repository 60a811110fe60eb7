//! The end of a request: when it is answered, with what, and when it fails.

use super::dispatcher::{Dispatcher, Timer};
use super::event::{Action, Answer, DirectDecision, RefusalReason, Reply, Ticket};
use super::in_flight::{InFlightRequest, Origin, Part, PartState, RequestKey};
use super::merge::merge_records;
use super::view::Target;
use crate::verdict::Verdict;
use std::time::{Duration, Instant};

/// How long an attempt continues after its request ended. Most replicas answer within this time, so
/// the connection can be reused; a new connection costs the replica more than the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// The retry delay sent to callers while this daemon has no configuration.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(500);

/// The retry delay sent to callers whose request did not run.
const RETRY_AFTER: Duration = Duration::from_millis(150);

impl<H> Dispatcher<H> {
    pub(super) fn fail_part(
        &mut self,
        key: RequestKey,
        index: usize,
        error_reply: Option<Reply<H>>,
    ) {
        if let Some(request) = self.requests.get_mut(key) {
            request.parts[index].state = PartState::Failed(error_reply);
        }
    }

    /// Answers a request whose answer is complete or due; fails it if too few parts can still be
    /// answered.
    pub(super) fn try_complete(
        &mut self,
        key: RequestKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let (count, answered, failed) =
            (request.parts.len(), request.answered_count(), request.failed_count());
        let enough = answered >= request.min_parts();
        let complete = answered + failed == count;
        let due = now >= request.answer_by;
        if request.origin != Origin::Caller && !complete {
            if due {
                self.send_answered_parts(key, actions);
            }
        } else if enough && (complete || due) {
            self.answer(key, now, actions);
        } else if count - failed < request.min_parts() {
            self.fail(key, None, now, actions);
        }
    }

    pub(super) fn handle_deadline(
        &mut self,
        key: RequestKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        if request.answered_count() >= request.min_parts() {
            self.answer(key, now, actions);
        } else {
            let stopped = self.stop.is_some_and(|stop| now >= stop.serve_until);
            let reason = if stopped { RefusalReason::Stopping } else { RefusalReason::Timeout };
            self.fail(key, Some(reason), now, actions);
        }
    }

    fn answer(&mut self, key: RequestKey, now: Instant, actions: &mut Vec<Action<H>>) {
        if self.requests.get(key).is_some_and(|request| request.origin != Origin::Caller) {
            return self.answer_peer(key, now, actions);
        }
        let Some(mut request) = self.finish(key, "answered", now, actions) else { return };
        let ticket = request.ticket;
        let limit = match &request.route().target {
            Target::Shards { limit, .. } => Some(*limit),
            Target::Split(_) => None,
        };
        let answer = if let Some(limit) = limit {
            merge(request, limit)
        } else {
            let Some(Part { state: PartState::Answered(reply), .. }) = request.parts.pop() else {
                return;
            };
            Answer::Relayed(reply)
        };
        actions.push(Action::Answer(ticket, answer));
    }

    /// Ends a request without enough answered parts: relays a replica's error answer or refuses.
    ///
    /// Without `reason`, the verdict decides between `Failed` and `Overloaded`, or `Stopping` if it
    /// is too late for attempts.
    pub(super) fn fail(
        &mut self,
        key: RequestKey,
        reason: Option<RefusalReason>,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(request) = self.requests.get(key) else { return };
        let verdict = request.verdict();
        let reason = reason.unwrap_or(if verdict != Verdict::NotRun {
            RefusalReason::Failed
        } else if self.is_too_late(request.route().target_latency, now) {
            RefusalReason::Stopping
        } else {
            RefusalReason::Overloaded
        });
        let Some(mut request) = self.finish(key, reason.name(), now, actions) else { return };
        let pause_end = request.parts.iter().filter_map(|part| part.paused_until).max();
        let single = matches!(request.route().target, Target::Split(_));
        if single
            && let Some(Part { state: PartState::Failed(Some(reply)), .. }) = request.parts.pop()
        {
            actions.push(Action::Answer(request.ticket, Answer::Relayed(reply)));
            return;
        }
        let pause = pause_end.map(|end| end.saturating_duration_since(now));
        let retry_after = pause.unwrap_or_default().max(RETRY_AFTER);
        let retry_after = (verdict == Verdict::NotRun).then_some(retry_after);
        let answer = Answer::Refused { reason, verdict, retry_after };
        actions.push(Action::Answer(request.ticket, answer));
    }

    /// Ends a request; its open attempts continue for `LINGER_TIMEOUT`.
    pub(super) fn finish(
        &mut self,
        key: RequestKey,
        outcome: &'static str,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) -> Option<InFlightRequest<H>> {
        let request = self.remove(key)?;
        self.log_done(&request, outcome, now, actions);
        for attempt in request.parts.iter().flat_map(|part| &part.open_attempts) {
            self.timers.set(now + LINGER_TIMEOUT, Timer::Linger(*attempt));
        }
        for call in &request.calls {
            self.cancel_replied_call(*call, actions);
        }
        Some(request)
    }

    pub(super) fn log_done(
        &self,
        request: &InFlightRequest<H>,
        outcome: &'static str,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let replica_name = |key| self.attempts.get(key).map(|attempt| attempt.replica_name.clone());
        let decision = DirectDecision::Done {
            route: request.route().name.clone(),
            version: request.view.version,
            outcome,
            parts: request.parts.len(),
            missing: request.parts.len() - request.answered_count(),
            missing_parts: request.missing_parts(replica_name),
            attempts: request.attempts,
            elapsed: now.saturating_duration_since(request.arrived),
            target: request.route().target_latency,
        };
        actions.push(Action::Log(request.ticket, decision));
    }
}

/// Merges the parts of a query.
fn merge<H>(request: InFlightRequest<H>, limit: usize) -> Answer<H> {
    let count = request.parts.len();
    let (mut signatures, mut bodies) = (Vec::with_capacity(count), request.peer_records);
    for part in request.parts {
        match part.state {
            PartState::Answered(reply) => {
                signatures.extend(reply.signature);
                bodies.push(reply.body);
            }
            PartState::Fetched(signature) => signatures.push(signature),
            PartState::Open | PartState::SentToPeer | PartState::Failed(_) => {}
        }
    }
    let missing = count - signatures.len();
    Answer::Merged { missing, records: merge_records(&bodies, limit), signatures }
}

/// Refuses a request for which no attempt was sent.
pub(super) fn refuse<H>(
    ticket: Ticket,
    version: Option<u64>,
    reason: RefusalReason,
    actions: &mut Vec<Action<H>>,
) {
    actions.push(Action::Log(ticket, DirectDecision::Refused { reason, version }));
    actions.push(Action::Answer(ticket, Answer::refused_unsent(reason)));
}

impl<H> Answer<H> {
    /// Returns the refusal of a request for which no attempt was sent.
    pub fn refused_unsent(reason: RefusalReason) -> Self {
        let retry_after = match reason {
            RefusalReason::NoRoute => None,
            RefusalReason::NotReady => Some(RETRY_AFTER_NOT_READY),
            // Other daemons can serve the request at once.
            RefusalReason::Stopping => Some(Duration::ZERO),
            _ => Some(RETRY_AFTER),
        };
        Self::Refused { reason, verdict: Verdict::NotRun, retry_after }
    }
}
