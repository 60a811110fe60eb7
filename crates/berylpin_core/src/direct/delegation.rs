//! Calls between daemons: the entry delegates parts of a query, and the peer fetches them.

use super::attempts::is_listable;
use super::catalogue::MAX_CONFIGURED_TIME;
use super::dispatcher::{Dispatcher, MAX_IN_FLIGHT, Timer};
use super::event::{Action, Cause, DirectDecision, Ticket};
use super::in_flight::{InFlightRequest, Origin, Part, PartState, RequestKey};
use super::merge::merge_records;
use super::peers::{Call, CallKey, Owner, PartsReply, PartsRequest, groups};
use super::replicas::nearest_replica;
use super::view::{Distance, Peer, Target, View};
use crate::ids::{DataCentreId, PeerId, ServiceId};
use crate::verdict::Verdict;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When a peer sends its first reply, as a share of its time to answer. If the reply is overdue,
/// the entry still has time to attempt the parts at replicas itself.
const FIRST_REPLY_FRACTION: f64 = 0.5;

/// The interval at which missing connections to owners are opened; a restarted peer is used again
/// within about this time.
const CONNECT_INTERVAL: Duration = Duration::from_secs(1);

/// Parts are not delegated if the peer has less time than this to answer.
const MIN_CALL_TIME: Duration = Duration::from_millis(20);

/// How long after the caller's deadline a call without its last reply is cancelled.
const CALL_GRACE: Duration = Duration::from_millis(300);

impl<H> Dispatcher<H> {
    /// Delegates each group of parts to its owner, if a peer is the owner and is connected.
    pub(super) fn delegate(&mut self, key: RequestKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(request) = self.requests.get(key) else { return };
        let view = request.view.clone();
        let newest = self.view.clone().unwrap_or_else(|| view.clone());
        let services: Vec<ServiceId> = request.parts.iter().map(|part| part.service).collect();
        for group in groups(&newest, &services) {
            match self.peers.owner(&newest, &group, now) {
                Owner::Local => {}
                Owner::Unconnected(peer) => actions.push(Action::Connect(peer)),
                Owner::Peer(peer) => self.call_peer(key, &peer, group.parts, &newest, now, actions),
            }
        }
    }

    /// Opens missing connections to the owners of all groups, before a query needs them.
    pub(super) fn connect_owners(&mut self, now: Instant, actions: &mut Vec<Action<H>>) {
        self.timers.set(now + CONNECT_INTERVAL, Timer::Connect);
        let Some(view) = self.view.clone() else { return };
        for route in &view.routes {
            let Target::Shards { services, .. } = &route.target else { continue };
            for group in groups(&view, services) {
                if let Owner::Unconnected(peer) = self.peers.owner(&view, &group, now) {
                    actions.push(Action::Connect(peer));
                }
            }
        }
    }

    fn call_peer(
        &mut self,
        key: RequestKey,
        peer: &Arc<Peer>,
        parts: Vec<usize>,
        view: &View,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(query) = self.requests.get_mut(key) else { return };
        let Target::Shards { limit, .. } = query.route().target else { return };
        let distance = distance_to(view, peer.data_centre);
        let delay = self.peers.delay(peer.id, now);
        let (reserve, overdue_after) =
            (delay.reserve(distance, now), delay.overdue_after(distance, now));
        let time_to_answer = query.answer_by.saturating_duration_since(now).saturating_sub(reserve);
        if time_to_answer < MIN_CALL_TIME {
            return;
        }
        let mut services = Vec::with_capacity(parts.len());
        for index in &parts {
            let part = &mut query.parts[*index];
            let service = &view.services[part.service];
            let Some(tag) = nearest_replica(&service.replicas, peer.data_centre) else { return };
            part.rescue_replica = Some(tag);
            services.push((service.tag, tag));
        }
        let request = PartsRequest {
            host: query.route().host.to_string(),
            path: query.route().prefix.to_string(),
            services,
            limit: limit as u32,
            answer_in: time_to_answer,
            time_left: query.deadline.saturating_duration_since(now),
        };
        let first_reply_due = time_to_answer.mul_f64(FIRST_REPLY_FRACTION);
        let call = self.calls.insert(Call {
            request: key,
            peer: peer.id,
            address: peer.address,
            distance,
            parts: parts.clone(),
            sent: now,
            first_reply_due,
            replied: false,
        });
        for part in &parts {
            query.parts[*part].call = Some(call);
        }
        query.calls.push(call);
        self.timers.set(now + first_reply_due + overdue_after, Timer::FirstReplyOverdue(call));
        self.timers.set(query.deadline + CALL_GRACE, Timer::EndCall(call));
        let decision = DirectDecision::Delegated { peer: peer.address, parts: parts.len() };
        actions.push(Action::Log(query.ticket, decision));
        actions.push(Action::Delegate { ticket: query.ticket, call, peer: peer.clone(), request });
    }

    /// Stores parts that a peer fetched.
    ///
    /// If one signature is odd, the records of its part cannot be told from the others, so the whole
    /// reply counts as a failed call.
    pub(super) fn handle_parts_reply(
        &mut self,
        key: CallKey,
        reply: PartsReply,
        last: bool,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        if reply.parts.iter().any(|(_, signature)| !is_listable(signature)) {
            actions.push(Action::CancelCall(key));
            return self.handle_call_failure(key, Verdict::MayHaveRun, now, actions);
        }
        let Some(call) = self.calls.get_mut(key) else { return };
        let (request_key, parts) = (call.request, call.parts.clone());
        self.peers.record_reply(call, last, now);
        if last {
            self.calls.remove(key);
        }
        if self.requests.get(request_key).is_none() {
            return self.cancel_replied_call(key, actions);
        }
        let Some(request) = self.requests.get_mut(request_key) else { return };
        let PartsReply { parts: fetched, missing, records } = reply;
        request.peer_records.push(records);
        for (position, signature) in fetched {
            if let Some(part) = parts.get(position as usize) {
                // Replaces an answer that a replica sent meanwhile: the merged records already
                // include the part, and its records would be counted twice.
                request.parts[*part].state = PartState::Fetched(signature);
                request.parts[*part].call = None;
            }
        }
        if last {
            request.calls.retain(|call| *call != key);
            let missing = missing.iter().filter_map(|(position, verdict)| {
                Some((*parts.get(*position as usize)?, *verdict))
            });
            let missing: Vec<_> = missing.collect();
            self.end_call(request_key, key, &parts, &missing, now, actions);
        }
        self.try_complete(request_key, now, actions);
    }

    /// Attempts the parts of a call whose connection failed.
    pub(super) fn handle_call_failure(
        &mut self,
        key: CallKey,
        verdict: Verdict,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(Call { request, peer, parts, .. }) = self.calls.remove(key) else { return };
        self.peers.record_failure(peer, now);
        if let Some(request) = self.requests.get_mut(request) {
            request.calls.retain(|call| *call != key);
        }
        let missing: Vec<_> = parts.iter().map(|part| (*part, verdict)).collect();
        if verdict == Verdict::NotRun {
            self.end_call(request, key, &parts, &missing, now, actions);
        } else {
            self.rescue(request, key, &parts, now, actions);
        }
        self.try_complete(request, now, actions);
    }

    /// Attempts the parts of a call whose first reply is overdue or without any part.
    ///
    /// The call stays open: a late reply counts for each part that is still open, and shows that
    /// the peer is only slow.
    pub(super) fn handle_overdue_reply(
        &mut self,
        key: CallKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(call) = self.calls.get(key) else { return };
        let (request_key, peer, parts) = (call.request, call.peer, call.parts.clone());
        let (address, replied) = (call.address, call.replied);
        if !replied && let Some(dead_at) = self.peers.record_overdue(peer, now) {
            self.timers.set(dead_at, Timer::UnresponsivePeer(peer));
        }
        let Some(request) = self.requests.get(request_key) else { return };
        if parts.iter().any(|part| request.parts[*part].call != Some(key)) {
            return;
        }
        if !replied {
            let decision = DirectDecision::PeerSilent { peer: address, parts: parts.len() };
            actions.push(Action::Log(request.ticket, decision));
        }
        self.rescue(request_key, key, &parts, now, actions);
        self.try_complete(request_key, now, actions);
    }

    /// Closes the connection to a peer that did not reply to any call for too long.
    pub(super) fn handle_unresponsive_peer(
        &mut self,
        peer: PeerId,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        if self.peers.is_unresponsive(peer, now) {
            self.peers.record_failure(peer, now);
            self.peers.set_connected(peer, false, now);
            actions.push(Action::Disconnect(peer));
        }
    }

    /// Cancels a call of a request that was answered, once the peer has shown that it responds.
    pub(super) fn cancel_replied_call(&mut self, key: CallKey, actions: &mut Vec<Action<H>>) {
        if self.calls.get(key).is_some_and(|call| call.replied) {
            self.calls.remove(key);
            actions.push(Action::CancelCall(key));
        }
    }

    /// Cancels a call that did not end by itself.
    pub(super) fn cancel_unfinished_call(&mut self, key: CallKey, actions: &mut Vec<Action<H>>) {
        if self.calls.remove(key).is_some() {
            actions.push(Action::CancelCall(key));
        }
    }

    /// Attempts parts that a peer may have attempted.
    fn rescue(
        &mut self,
        key: RequestKey,
        call: CallKey,
        parts: &[usize],
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        for index in parts {
            let needs_attempt = self.detach_part(key, call, *index, Verdict::MayHaveRun);
            if needs_attempt {
                self.attempt_or_fail(key, *index, Cause::Rescue, now, actions);
            }
        }
    }

    /// Ends a call: attempts the missing parts that did not run and marks the others as failed.
    fn end_call(
        &mut self,
        key: RequestKey,
        call: CallKey,
        parts: &[usize],
        missing: &[(usize, Verdict)],
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        for index in parts {
            let reported = missing.iter().find(|(missing, _)| missing == index);
            let verdict = reported.map_or(Verdict::MayHaveRun, |(_, verdict)| *verdict);
            if self.detach_part(key, call, *index, verdict) && verdict != Verdict::NotRun {
                self.fail_part(key, *index, None);
            }
        }
        self.send_first(key, parts.iter().copied(), now, actions);
    }

    /// Detaches a part from a call that ended; returns whether the part still needs an answer.
    fn detach_part(
        &mut self,
        key: RequestKey,
        call: CallKey,
        index: usize,
        verdict: Verdict,
    ) -> bool {
        let Some(request) = self.requests.get_mut(key) else { return false };
        let part = &mut request.parts[index];
        if part.call != Some(call) {
            return false;
        }
        part.call = None;
        part.verdict = part.verdict.and(verdict);
        if verdict == Verdict::NotRun {
            part.rescue_replica = None;
        }
        part.is_open()
    }

    /// Starts to fetch parts for a peer.
    pub(super) fn start_parts_request(
        &mut self,
        ticket: Ticket,
        request: &PartsRequest,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let has_room = self.requests.len() < MAX_IN_FLIGHT;
        let found = self.view.clone().filter(|_| has_room).and_then(|view| {
            let route_index = view.route(&request.host, &request.path)?;
            if self.is_too_late(view.routes[route_index].target_latency, now) {
                return None;
            }
            let services = request.services.iter().map(|(service, rescue_replica)| {
                let rescue_replica = Some(*rescue_replica);
                Some(Part { rescue_replica, ..Part::new(view.service(*service)?) })
            });
            Some((route_index, services.collect::<Option<Vec<_>>>()?, view))
        });
        let Some((route_index, parts, view)) = found else {
            // This daemon has another configuration, has no room or stops; the entry sends the
            // attempts itself.
            let reply = PartsReply::not_run(request.services.len());
            return actions.push(Action::SendParts(ticket, reply, true));
        };
        let count = parts.len();
        let time_left = request.time_left.min(MAX_CONFIGURED_TIME);
        let answer_in = request.answer_in.min(MAX_CONFIGURED_TIME);
        let key = self.insert(InFlightRequest {
            ticket,
            route_index,
            arrived: now,
            deadline: now + time_left,
            answer_by: now + answer_in,
            parts,
            attempts: 0,
            origin: Origin::Peer { limit: request.limit as usize },
            calls: Vec::new(),
            peer_records: Vec::new(),
            view,
        });
        self.timers.set(now + answer_in, Timer::AnswerBy(key));
        self.timers.set(now + time_left, Timer::Deadline(key));
        self.timers.set(now + answer_in.mul_f64(FIRST_REPLY_FRACTION), Timer::FirstReply(key));
        self.send_first(key, 0..count, now, actions);
        self.try_complete(key, now, actions);
    }

    /// Sends the first reply: the parts that are answered.
    pub(super) fn send_first_reply(
        &mut self,
        key: RequestKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let reply = take_answered_parts(request);
        actions.push(Action::SendParts(request.ticket, reply, false));
        self.try_complete(key, now, actions);
    }

    /// Sends the parts that were answered since the last reply, if there are any.
    ///
    /// From the time on at which the answer is due, each part is sent at once: the entry may still
    /// lack it for a late answer.
    pub(super) fn send_answered_parts(&mut self, key: RequestKey, actions: &mut Vec<Action<H>>) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let reply = take_answered_parts(request);
        if !reply.parts.is_empty() {
            actions.push(Action::SendParts(request.ticket, reply, false));
        }
    }

    /// Ends a request for parts with the last reply: all remaining parts.
    pub(super) fn answer_peer(
        &mut self,
        key: RequestKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(mut request) = self.finish(key, "fetched", now, actions) else { return };
        let mut reply = take_answered_parts(&mut request);
        let missing = request.parts.iter().enumerate().filter(|(_, part)| !part.is_answered());
        let missing = missing.map(|(index, part)| {
            // An attempt that did not run counts as sent, although its replica is not in
            // `may_have_run_on`.
            let was_sent = !part.may_have_run_on.is_empty() || part.not_run_attempts > 0;
            let verdict = if was_sent { Verdict::MayHaveRun } else { Verdict::NotRun };
            (index as u16, part.verdict.and(verdict))
        });
        reply.missing = missing.collect();
        actions.push(Action::SendParts(request.ticket, reply, true));
    }
}

/// Removes the answers that were not sent yet and merges them into a reply.
fn take_answered_parts<H>(request: &mut InFlightRequest<H>) -> PartsReply {
    let Origin::Peer { limit } = request.origin else {
        unreachable!("the request for parts comes from a peer")
    };
    let (mut parts, mut bodies) = (Vec::new(), Vec::new());
    for (index, part) in request.parts.iter_mut().enumerate() {
        if !matches!(part.state, PartState::Answered(_)) {
            continue;
        }
        if let PartState::Answered(reply) =
            std::mem::replace(&mut part.state, PartState::SentToPeer)
        {
            parts.push((index as u16, reply.signature.unwrap_or_default()));
            bodies.push(reply.body);
        }
    }
    PartsReply { parts, missing: Vec::new(), records: merge_records(&bodies, limit) }
}

/// Returns the distance of a data centre from this daemon; `Remote` for one without replicas.
fn distance_to(view: &View, data_centre: DataCentreId) -> Distance {
    if data_centre == view.own_data_centre {
        return Distance::DataCentre;
    }
    let replicas = view.services.iter().flat_map(|(_, service)| &service.replicas);
    let mut in_data_centre = replicas.filter(|replica| replica.data_centre == data_centre);
    in_data_centre.next().map_or(Distance::Remote, |replica| replica.distance)
}
