//! Parts whose next attempt waits for a connection, for the budget or for a back-off.

use super::dispatcher::{Dispatcher, Timer};
use super::event::{Action, Cause, RefusalReason};
use super::in_flight::{InFlightRequest, RequestKey};
use crate::ids::ServiceId;
use std::time::{Duration, Instant};

/// The back-off after no replica of a service ran a part. Most replicas free a slot within this
/// time.
const NOT_RUN_BACKOFF: Duration = Duration::from_millis(20);

/// The back-off while the budget of extra attempts is exhausted. Each request that arrives during
/// the back-off adds a fraction of an extra attempt to the budget, and most target latencies are
/// long enough for two or more back-offs.
const BUDGET_BACKOFF: Duration = Duration::from_millis(40);

/// The number of attempts known not to have run after which a part fails: three attempts at each of
/// two replicas.
const MAX_NOT_RUN_ATTEMPTS: u32 = 6;

/// How long a request waits without an attempt before it is refused, as a share of its target
/// latency. The rest of the target latency suffices for the caller to retry at another daemon.
const UNSENT_FRACTION: f64 = 0.25;

/// A part in the queue.
#[derive(Clone, Copy, Debug)]
struct WaitingPart {
    service: ServiceId,
    request: RequestKey,
    part: usize,
    cause: Cause,
    /// When the next attempt may be made.
    due: Instant,
    priority_index: u8,
    /// When the answer of its request is due.
    answer_by: Instant,
}

/// The waiting parts of a thread.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    /// Sorted by service, then by time of insertion.
    parts: Vec<WaitingPart>,
    /// Services with a connection freed since the last event.
    freed_services: Vec<ServiceId>,
}

/// Why a part waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitReason {
    /// All connections that this daemon may open are in use.
    Connection,
    /// The budget of extra attempts is exhausted.
    Budget,
    /// No replica ran the part, and all are in back-off.
    BackOff,
    /// All replicas that could run the part asked for a pause; holds its earliest end.
    Pause(Instant),
}

impl WaitQueue {
    /// Records that a connection to a replica of a service is free again.
    pub(super) fn record_freed_connection(&mut self, service: ServiceId) {
        if !self.parts.is_empty() {
            self.freed_services.push(service);
        }
    }

    /// Removes the parts of a request.
    pub(super) fn remove_request(&mut self, request: RequestKey) {
        self.parts.retain(|part| part.request != request);
    }

    /// Removes and returns the next due part of a service: the most urgent, then the oldest; parts
    /// of late requests come last.
    fn pop_due(&mut self, service: ServiceId, now: Instant) -> Option<WaitingPart> {
        let first = self.parts.partition_point(|part| part.service < service);
        let for_service = self.parts[first..].iter().take_while(|part| part.service == service);
        let due = for_service.enumerate().filter(|(_, part)| part.due <= now);
        let next = due.min_by_key(|(_, part)| (part.answer_by <= now, part.priority_index));
        next.map(|(index, _)| index).map(|index| self.parts.remove(first + index))
    }
}

impl<H> Dispatcher<H> {
    /// Adds a part to the queue; returns false if it reached `MAX_NOT_RUN_ATTEMPTS`, or if its
    /// replicas asked for a pause that ends too late.
    pub(super) fn enqueue(
        &mut self,
        key: RequestKey,
        index: usize,
        (cause, reason): (Cause, WaitReason),
        now: Instant,
    ) -> bool {
        let Some(request) = self.requests.get_mut(key) else { return false };
        let (priority_index, answer_by) = (request.route().priority_index, request.answer_by);
        let part = &mut request.parts[index];
        let back_off = match reason {
            WaitReason::Connection => Duration::ZERO,
            WaitReason::Budget => BUDGET_BACKOFF,
            WaitReason::BackOff if part.not_run_attempts >= MAX_NOT_RUN_ATTEMPTS => return false,
            WaitReason::BackOff => {
                part.backing_off.clear();
                NOT_RUN_BACKOFF
            }
            WaitReason::Pause(until) if until >= answer_by => {
                part.paused_until = Some(until);
                return false;
            }
            WaitReason::Pause(until) => {
                part.backing_off.clear();
                until.saturating_duration_since(now)
            }
        };
        part.wait_reason = Some(reason);
        let (service, due) = (part.service, now + back_off);
        let entry = WaitingPart {
            service,
            request: key,
            part: index,
            cause,
            due,
            priority_index,
            answer_by,
        };
        let position = self.wait_queue.parts.partition_point(|other| other.service <= service);
        self.wait_queue.parts.insert(position, entry);
        if due > now {
            self.timers.set(due, Timer::Resume(service));
        }
        true
    }

    /// Attempts waiting parts of the services with freed connections.
    pub(super) fn resume_freed_services(&mut self, now: Instant, actions: &mut Vec<Action<H>>) {
        while let Some(service) = self.wait_queue.freed_services.pop() {
            self.resume(service, now, actions);
        }
    }

    /// Attempts the due parts of a service, until one has to wait again.
    pub(super) fn resume(
        &mut self,
        service: ServiceId,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        while let Some(WaitingPart { request: key, part, cause, .. }) =
            self.wait_queue.pop_due(service, now)
        {
            let Some(request) = self.requests.get_mut(key) else { continue };
            request.parts[part].wait_reason = None;
            if !request.parts[part].is_open() {
                continue;
            }
            self.attempt_or_fail(key, part, cause, now, actions);
            let still_waiting = self
                .requests
                .get(key)
                .is_some_and(|request| request.parts[part].wait_reason.is_some());
            self.try_complete(key, now, actions);
            if still_waiting {
                break;
            }
        }
    }

    /// Refuses a request without attempts and calls; its caller can still use another daemon.
    pub(super) fn refuse_unsent(
        &mut self,
        key: RequestKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let is_unsent =
            |request: &InFlightRequest<H>| request.attempts == 0 && request.calls.is_empty();
        if self.requests.get(key).is_some_and(is_unsent) {
            self.fail(key, Some(RefusalReason::Overloaded), now, actions);
        }
    }
}

/// Returns how long a request may wait without an attempt.
pub(super) fn unsent_timeout(target_latency: Duration) -> Duration {
    target_latency.mul_f64(UNSENT_FRACTION)
}
