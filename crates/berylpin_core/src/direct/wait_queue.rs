//! Parts that wait for a replica: for a free connection, after a refusal, or for the budget.

use super::dispatcher::{Dispatcher, Timer};
use super::event::{Action, Cause, RefusalReason};
use super::in_flight::{InFlightRequest, RequestKey};
use crate::ids::ServiceId;
use std::time::{Duration, Instant};

/// The pause after no replica of a service would run a part; longer than most need to get a slot free.
const REFUSAL_BACK_OFF: Duration = Duration::from_millis(20);

/// The pause while the budget allows no extra attempt: some requests arrive in that time and earn a part
/// of one, and most targets leave room for two or more such pauses.
const BUDGET_BACK_OFF: Duration = Duration::from_millis(40);

/// How often a part may come back without having run before it is given up: three rounds of two replicas.
const MAX_REFUSALS: u32 = 6;

/// How long a request waits that was sent nowhere yet, as a share of its target: its caller can still
/// be served in time by another daemon.
const UNSENT_SHARE: f64 = 0.25;

/// A part that waits.
#[derive(Clone, Copy, Debug)]
struct WaitingPart {
    service: ServiceId,
    request: RequestKey,
    part: usize,
    cause: Cause,
    /// When the next attempt may be made.
    due: Instant,
    urgency: u8,
    /// When its request is late.
    answer_by: Instant,
}

/// All parts of a thread that wait.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    /// Sorted by service; of one service in the order in which they came.
    parts: Vec<WaitingPart>,
    /// Services at which a connection got free.
    freed_services: Vec<ServiceId>,
}

/// Why a part has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitReason {
    /// All connections that this daemon may have are in use.
    Connection,
    /// The fleet's budget is used up.
    Budget,
    /// No replica that may be used would run it a moment ago.
    BackOff,
}

impl WaitQueue {
    /// Notes that a connection of a service got free.
    pub(super) fn connection_freed(&mut self, service: ServiceId) {
        if !self.parts.is_empty() {
            self.freed_services.push(service);
        }
    }

    /// Forgets the parts of a request.
    pub(super) fn remove_request(&mut self, request: RequestKey) {
        self.parts.retain(|part| part.request != request);
    }

    /// Takes out the part of a service that is to go first: one in time, the most urgent, the oldest.
    fn pop_due(&mut self, service: ServiceId, now: Instant) -> Option<WaitingPart> {
        let first = self.parts.partition_point(|part| part.service < service);
        let for_service = self.parts[first..].iter().take_while(|part| part.service == service);
        let due = for_service.enumerate().filter(|(_, part)| part.due <= now);
        let next = due.min_by_key(|(_, part)| (part.answer_by <= now, part.urgency));
        next.map(|(index, _)| index).map(|index| self.parts.remove(first + index))
    }
}

impl<H> Dispatcher<H> {
    /// Lets a part wait; returns whether it may.
    pub(super) fn enqueue(
        &mut self,
        key: RequestKey,
        index: usize,
        (cause, reason): (Cause, WaitReason),
        now: Instant,
    ) -> bool {
        let Some(request) = self.requests.get_mut(key) else { return false };
        let (urgency, answer_by) = (request.route().urgency, request.answer_by);
        let part = &mut request.parts[index];
        let back_off = match reason {
            WaitReason::Connection => Duration::ZERO,
            WaitReason::Budget => BUDGET_BACK_OFF,
            WaitReason::BackOff if part.refusals >= MAX_REFUSALS => return false,
            WaitReason::BackOff => {
                part.refused.clear();
                REFUSAL_BACK_OFF
            }
        };
        part.wait_reason = Some(reason);
        let (service, due) = (part.service, now + back_off);
        let entry =
            WaitingPart { service, request: key, part: index, cause, due, urgency, answer_by };
        let position = self.wait_queue.parts.partition_point(|other| other.service <= service);
        self.wait_queue.parts.insert(position, entry);
        if due > now {
            self.timers.set(due, Timer::Resume(service));
        }
        true
    }

    /// Sends what waited for connections that got free.
    pub(super) fn resume_freed_services(&mut self, now: Instant, actions: &mut Vec<Action<H>>) {
        while let Some(service) = self.wait_queue.freed_services.pop() {
            self.resume(service, now, actions);
        }
    }

    /// Sends the parts of a service that wait, for as long as there is room.
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

    /// Refuses a request that was sent nowhere, so that its caller may try another daemon.
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

/// Returns how long a request may wait that was sent nowhere.
pub(super) fn unsent_timeout(target: Duration) -> Duration {
    target.mul_f64(UNSENT_SHARE)
}
