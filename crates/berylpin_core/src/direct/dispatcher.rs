//! The state machine of a traffic thread: routes requests, sends attempts and merges answers.

use super::budget::{Budgets, ExtraLimits};
use super::completion::refuse;
use super::event::{Action, AttemptKey, Cause, Event, RefusalReason, Request, Ticket};
use super::in_flight::{Attempt, InFlightRequest, Origin, Part, RequestKey};
use super::peers::{Call, CallKey, Peers};
use super::replicas::Replicas;
use super::route_latency::RouteLatencies;
use super::split::Splits;
use super::stop::Stop;
use super::view::{Target, View};
use super::wait_queue::{WaitQueue, unsent_timeout};
use crate::arena::Slab;
use crate::ids::{PeerId, ReplicaId, ServiceId};
use crate::timers::Timers;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long before its target latency a query is answered, even if parts are missing. Callers
/// measure from before their connection opens until the answer arrives, so this covers about two
/// round trips to the caller and this daemon's own work.
pub(super) const ANSWER_LEAD_TIME: Duration = Duration::from_millis(16);

/// The maximum number of requests in flight, those of peers included; each uses a few KB.
pub(super) const MAX_IN_FLIGHT: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// An attempt is late and may be hedged.
    Hedge(AttemptKey),
    /// An attempt that is still open after its request ended is aborted.
    Linger(AttemptKey),
    /// A partial answer is due.
    AnswerBy(RequestKey),
    /// The caller stops waiting.
    Deadline(RequestKey),
    /// The first reply to the peer that requested parts is due.
    FirstReply(RequestKey),
    /// The first reply of a peer is overdue.
    FirstReplyOverdue(CallKey),
    /// A peer with an overdue reply has not replied to any call since.
    UnresponsivePeer(PeerId),
    /// A call without its last reply is cancelled.
    EndCall(CallKey),
    /// Connections to peers that own a group of shards are opened where they are missing.
    Connect,
    /// The back-off of a part of the service has ended.
    Resume(ServiceId),
    /// A request without an attempt is refused.
    Unsent(RequestKey),
    /// The parts of a request that wait for an attempt fail, because the daemon stops.
    LatestStart(RequestKey),
}

/// Routes the requests of one thread and tracks their attempts.
///
/// Does no input or output: [`Dispatcher::handle`] receives an event and the time, and appends
/// actions to a buffer.
#[derive(Debug)]
pub struct Dispatcher<H> {
    pub(super) view: Option<Arc<View>>,
    pub(super) requests: Slab<InFlightRequest<H>>,
    pub(super) attempts: Slab<Attempt>,
    /// Sorted by ticket.
    tickets: Vec<(Ticket, RequestKey)>,
    pub(super) replicas: Replicas,
    pub(super) calls: Slab<Call>,
    pub(super) peers: Peers,
    pub(super) route_latencies: RouteLatencies,
    pub(super) budgets: Budgets,
    pub(super) wait_queue: WaitQueue,
    splits: Splits,
    /// Set from the stop signal on.
    pub(super) stop: Option<Stop>,
    pub(super) timers: Timers<Timer>,
    pub(super) rng: SmallRng,
}

impl<H> Dispatcher<H> {
    /// Creates a dispatcher without a view; it refuses all requests until it receives one.
    pub fn new(limits: ExtraLimits, seed: u64) -> Self {
        Self {
            view: None,
            requests: Slab::default(),
            attempts: Slab::default(),
            tickets: Vec::new(),
            replicas: Replicas::default(),
            calls: Slab::default(),
            peers: Peers::default(),
            route_latencies: RouteLatencies::default(),
            budgets: Budgets::new(limits),
            wait_queue: WaitQueue::default(),
            splits: Splits::default(),
            stop: None,
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Puts other limits of extra attempts in force.
    pub fn set_extra_limits(&mut self, limits: ExtraLimits) {
        self.budgets.set_limits(limits);
    }

    /// Returns when `Event::Wake` is due; `None` if no timer is set.
    pub fn next_wake(&mut self) -> Option<Instant> {
        // Most timers outlive their subject; waking for each would cost more than all other work.
        let (requests, attempts, calls) = (&self.requests, &self.attempts, &self.calls);
        self.timers.discard_obsolete(|timer| match timer {
            Timer::Hedge(attempt) => attempts.get(*attempt).is_some_and(|a| a.request.is_some()),
            Timer::Linger(attempt) => attempts.get(*attempt).is_some(),
            Timer::AnswerBy(request)
            | Timer::Deadline(request)
            | Timer::FirstReply(request)
            | Timer::Unsent(request)
            | Timer::LatestStart(request) => requests.get(*request).is_some(),
            Timer::FirstReplyOverdue(call) | Timer::EndCall(call) => calls.get(*call).is_some(),
            Timer::UnresponsivePeer(_) | Timer::Connect | Timer::Resume(_) => true,
        });
        self.timers.next()
    }

    /// Returns the number of requests in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Records how long a connection to a replica took to open.
    pub fn record_connect_time(&mut self, replica: ReplicaId, elapsed: Duration, now: Instant) {
        self.replicas.record_connect_time(replica, elapsed, now);
    }

    /// Records that a replica announced in an answer that it leaves; returns whether that is news.
    pub fn record_leaving(&mut self, replica: ReplicaId, now: Instant) -> bool {
        self.replicas.record_gone(replica, now)
    }

    /// Records the pause that a replica asked for in an answer that proves nothing about the request.
    pub fn record_pause(&mut self, replica: ReplicaId, pause: Duration, now: Instant) {
        self.replicas.record_pause(replica, pause, now);
    }

    /// Records the round trip measured on a new connection to a peer.
    pub fn record_peer_round_trip(&mut self, peer: PeerId, round_trip: Duration, now: Instant) {
        self.peers.record_round_trip(peer, round_trip, now);
    }

    /// Handles an event and all timers that are due, and appends the actions to carry out.
    pub fn handle(&mut self, event: Event<H>, now: Instant, actions: &mut Vec<Action<H>>) {
        match event {
            Event::View(view) => self.apply_view(view, now, actions),
            Event::Request(ticket, request) => self.start_request(ticket, &request, now, actions),
            Event::CallerDisconnected(ticket) => self.cancel_request(ticket, now, actions),
            Event::AttemptEnded(attempt, outcome) => {
                self.handle_attempt_ended(attempt, outcome, now, actions);
            }
            Event::PartsRequest(ticket, request) => {
                self.start_parts_request(ticket, &request, now, actions);
            }
            Event::PartsReply(call, reply, last) => {
                self.handle_parts_reply(call, reply, last, now, actions);
            }
            Event::CallFailed(call, verdict) => {
                self.handle_call_failure(call, verdict, now, actions);
            }
            Event::PeerConnected(peer, connected) => {
                self.peers.set_connected(peer, connected, now);
            }
            Event::Stop(stop) => self.begin_stop(stop),
            Event::Wake => {}
        }
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(timer, now, actions);
        }
        self.resume_freed_services(now, actions);
    }

    fn apply_view(&mut self, view: Arc<View>, now: Instant, actions: &mut Vec<Action<H>>) {
        let in_view = |route| view.routes.iter().any(|r| r.id == route);
        self.splits.retain(in_view);
        self.route_latencies.retain(in_view);
        self.replicas.retain(now, |id| view.has_replica(id));
        self.peers.retain(|id| view.has_peer(id));
        if self.view.replace(view).is_none() {
            self.connect_owners(now, actions);
        }
    }

    fn start_request(
        &mut self,
        ticket: Ticket,
        request: &Request,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(view) = self.view.clone() else {
            return refuse(ticket, None, RefusalReason::NotReady, actions);
        };
        let path = request.path.split_once('?').map_or(&*request.path, |(path, _)| path);
        let Some(index) = view.route(&request.host, path) else {
            return refuse(ticket, Some(view.version), RefusalReason::NoRoute, actions);
        };
        if self.requests.len() >= MAX_IN_FLIGHT {
            return refuse(ticket, Some(view.version), RefusalReason::Overloaded, actions);
        }
        let route = &view.routes[index];
        if self.is_too_late(route.target_latency, now) {
            return refuse(ticket, Some(view.version), RefusalReason::Stopping, actions);
        }
        let services = match &route.target {
            Target::Shards { services, .. } => services.clone(),
            Target::Split(parts) => self.splits.choose(route.id, parts).into_iter().collect(),
        };
        let time_left = request.time_left.unwrap_or(route.timeout).min(route.timeout);
        let (deadline, target) = (now + time_left, route.target_latency);
        let request = InFlightRequest {
            ticket,
            route_index: index,
            arrived: now,
            deadline,
            answer_by: now + target.saturating_sub(ANSWER_LEAD_TIME),
            parts: services.into_iter().map(Part::new).collect(),
            attempts: 0,
            origin: Origin::Caller,
            calls: Vec::new(),
            peer_records: Vec::new(),
            view: view.clone(),
        };
        self.admit(request, now, actions);
    }

    /// Delegates and sends the parts of a request, or refuses it if too few services have replicas.
    fn admit(&mut self, request: InFlightRequest<H>, now: Instant, actions: &mut Vec<Action<H>>) {
        let (ticket, min_parts) = (request.ticket, request.min_parts());
        let (count, deadline, answer_by) =
            (request.parts.len(), request.deadline, request.answer_by);
        let sendable =
            request.parts.iter().filter(|p| !request.view.replicas(p.service).is_empty());
        if sendable.count() < min_parts {
            let version = Some(request.view.version);
            return refuse(ticket, version, RefusalReason::NoReplica, actions);
        }
        let is_query = matches!(request.route().target, Target::Shards { .. });
        let unsent_deadline = request.arrived + unsent_timeout(request.route().target_latency);
        let key = self.insert(request);
        self.timers.set(deadline, Timer::Deadline(key));
        self.timers.set(unsent_deadline.min(deadline), Timer::Unsent(key));
        if is_query {
            self.timers.set(answer_by.min(deadline), Timer::AnswerBy(key));
            self.delegate(key, now, actions);
        }
        self.send_first(key, 0..count, now, actions);
        self.try_complete(key, now, actions);
    }

    /// Adds a request in flight.
    pub(super) fn insert(&mut self, request: InFlightRequest<H>) -> RequestKey {
        let ticket = request.ticket;
        let key = self.requests.insert(request);
        let position = self.tickets.partition_point(|(other, _)| *other < ticket);
        self.tickets.insert(position, (ticket, key));
        self.limit_to_stop(key);
        key
    }

    /// Sends the first attempts at those parts that are open and idle.
    pub(super) fn send_first<I>(
        &mut self,
        key: RequestKey,
        parts: I,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) where
        I: IntoIterator<Item = usize>,
    {
        for part in parts {
            let needs_attempt = |part: &Part<H>| part.is_open() && part.is_idle();
            if !self.requests.get(key).is_some_and(|request| needs_attempt(&request.parts[part])) {
                continue;
            }
            self.attempt_or_fail(key, part, Cause::First, now, actions);
        }
    }

    fn handle_timer(&mut self, timer: Timer, now: Instant, actions: &mut Vec<Action<H>>) {
        match timer {
            Timer::Hedge(attempt) => self.hedge(attempt, now, actions),
            Timer::Linger(attempt) => self.abort_lingering(attempt, now, actions),
            Timer::AnswerBy(key) => self.try_complete(key, now, actions),
            Timer::Deadline(key) => self.handle_deadline(key, now, actions),
            Timer::FirstReply(key) => self.send_first_reply(key, now, actions),
            Timer::FirstReplyOverdue(call) => self.handle_overdue_reply(call, now, actions),
            Timer::UnresponsivePeer(peer) => self.handle_unresponsive_peer(peer, now, actions),
            Timer::EndCall(call) => self.cancel_unfinished_call(call, actions),
            Timer::Connect => self.connect_owners(now, actions),
            Timer::Resume(service) => self.resume(service, now, actions),
            Timer::Unsent(key) => self.refuse_unsent(key, now, actions),
            Timer::LatestStart(key) => self.fail_waiting_parts(key, now, actions),
        }
    }

    fn cancel_request(&mut self, ticket: Ticket, now: Instant, actions: &mut Vec<Action<H>>) {
        let Ok(index) = self.tickets.binary_search_by_key(&ticket, |(ticket, _)| *ticket) else {
            return;
        };
        let key = self.tickets[index].1;
        let Some(request) = self.requests.get(key) else { return };
        if request.origin != Origin::Caller && now >= request.answer_by {
            // The entry has answered its caller without the rest.
            self.finish(key, "entry_answered", now, actions);
            return;
        }
        let idempotent = request.route().idempotent;
        let Some(request) = self.remove(key) else { return };
        self.log_done(&request, "caller_left", now, actions);
        for call in &request.calls {
            self.calls.remove(*call);
            actions.push(Action::CancelCall(*call));
        }
        for attempt in request.parts.iter().flat_map(|part| &part.open_attempts) {
            if !idempotent {
                // The request runs at most once, so its attempts may complete until the deadline.
                self.timers.set(request.deadline, Timer::Linger(*attempt));
                continue;
            }
            if let Some(Attempt { replica, service, sent, .. }) = self.attempts.remove(*attempt) {
                self.replicas.record_attempt_ended(replica, *attempt, sent);
                self.wait_queue.record_freed_connection(service);
                actions.push(Action::Abort { attempt: *attempt, silent: false });
            }
        }
    }

    pub(super) fn remove(&mut self, key: RequestKey) -> Option<InFlightRequest<H>> {
        let request = self.requests.remove(key)?;
        if request.parts.iter().any(|part| part.wait_reason.is_some()) {
            self.wait_queue.remove_request(key);
        }
        self.tickets.retain(|(ticket, _)| *ticket != request.ticket);
        for open in request.parts.iter().flat_map(|part| &part.open_attempts) {
            if let Some(attempt) = self.attempts.get_mut(*open) {
                attempt.request = None;
            }
        }
        Some(request)
    }
}

#[cfg(test)]
mod tests;
