//! Requests for parts between daemons: at the entry that sends them and at the daemon that fetches.

use super::delegate::{Call, CallKey, Owner, PartsReply, PartsRequest, groups};
use super::dispatcher::{Dispatcher, Timer};
use super::event::{Action, Cause, DirectDecision, Ticket};
use super::flight::{Flight, FlightKey, Origin, Part, PartState};
use super::merge::merge_records;
use super::replicas::home;
use super::view::{Distance, Peer, Target, View};
use crate::ids::{DataCentreId, ServiceId};
use crate::verdict::Verdict;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The way to a daemon and back, with its own work: within a data centre, a region, and between regions.
const ROUND_TRIPS: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(5), Duration::from_millis(26)];

/// When a daemon reports the parts that it has, as a share of the time it has in all. A report that does
/// not come shows that the daemon is silent, while there is time to ask others.
const REPORT_SHARE: f64 = 0.5;

/// How late a report may be: a daemon with an eighth of a core needs that long for some queries at once.
const REPORT_SLACK: Duration = Duration::from_millis(15);

/// How often connections to owners are looked after; a daemon that started again is used that soon.
const CONNECT_PERIOD: Duration = Duration::from_secs(1);

/// The least time worth asking another daemon for parts.
const LEAST_TIME: Duration = Duration::from_millis(20);

impl<H> Dispatcher<H> {
    /// Leaves groups of parts to the daemons near their replicas.
    pub(super) fn delegate(&mut self, key: FlightKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(flight) = self.flights.get(key) else { return };
        let view = flight.view.clone();
        let newest = self.view.clone().unwrap_or_else(|| view.clone());
        let services: Vec<ServiceId> = flight.parts.iter().map(|part| part.service).collect();
        for group in groups(&newest, &services) {
            match self.peers.owner(&newest, &group, now) {
                Owner::Own => {}
                Owner::Unconnected(peer) => actions.push(Action::Connect(peer)),
                Owner::Peer(peer) => self.call(key, &peer, group.parts, &newest, now, actions),
            }
        }
    }

    /// Opens connections to the owners of all groups, so that no query has to wait for them.
    pub(super) fn connect_owners(&mut self, now: Instant, actions: &mut Vec<Action<H>>) {
        self.timers.set(now + CONNECT_PERIOD, Timer::Connect);
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

    fn call(
        &mut self,
        key: FlightKey,
        peer: &Arc<Peer>,
        parts: Vec<usize>,
        view: &View,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let Target::Shards { limit, .. } = flight.config().target else { return };
        let round_trip = ROUND_TRIPS[distance(view, peer.data_centre) as usize];
        let time = flight.answer_by.saturating_duration_since(now).saturating_sub(round_trip);
        if time < LEAST_TIME {
            return;
        }
        let mut services = Vec::with_capacity(parts.len());
        for index in &parts {
            let part = &mut flight.parts[*index];
            let service = &view.services[part.service];
            let Some(home) = home(&service.replicas, peer.data_centre) else { return };
            part.home = Some(home);
            services.push((service.tag, home));
        }
        let request = PartsRequest {
            host: flight.config().host.to_string(),
            path: flight.config().prefix.to_string(),
            services,
            limit: limit as u32,
            answer_in: time,
            time_left: flight.deadline.saturating_duration_since(now),
        };
        let call = self.calls.insert(Call {
            flight: key,
            peer: peer.id,
            address: peer.address,
            parts: parts.clone(),
        });
        for part in &parts {
            flight.parts[*part].call = Some(call);
        }
        flight.calls.push(call);
        let silent = time.mul_f64(REPORT_SHARE) + round_trip + REPORT_SLACK;
        self.timers.set(now + silent, Timer::Silent(call));
        let decision = DirectDecision::Delegated { peer: peer.address, parts: parts.len() };
        actions.push(Action::Log(flight.ticket, decision));
        actions.push(Action::Delegate { ticket: flight.ticket, call, peer: peer.clone(), request });
    }

    /// Takes parts that another daemon fetched.
    pub(super) fn parts_arrived(
        &mut self,
        key: CallKey,
        reply: PartsReply,
        last: bool,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(call) = self.calls.get(key) else { return };
        let (flight_key, parts) = (call.flight, call.parts.clone());
        self.peers.answered(call.peer);
        if last {
            self.calls.remove(key);
        }
        let Some(flight) = self.flights.get_mut(flight_key) else { return };
        let PartsReply { parts: fetched, missing, records } = reply;
        flight.merged.push(records);
        for (position, signature) in fetched {
            if let Some(part) = parts.get(position as usize) {
                // It replaces what a replica may have answered meanwhile: the records of both would
                // count twice.
                flight.parts[*part].state = PartState::Fetched(signature);
                flight.parts[*part].call = None;
            }
        }
        if last {
            flight.calls.retain(|call| *call != key);
            let missing = missing.iter().filter_map(|(position, verdict)| {
                Some((*parts.get(*position as usize)?, *verdict))
            });
            let missing: Vec<_> = missing.collect();
            self.call_over(flight_key, key, &parts, &missing, now, actions);
        }
        self.settle(flight_key, now, actions);
    }

    /// Asks replicas for what another daemon was asked for before its connection broke.
    pub(super) fn parts_lost(
        &mut self,
        key: CallKey,
        verdict: Verdict,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(Call { flight, peer, parts, .. }) = self.calls.remove(key) else { return };
        self.peers.unanswered(peer, now);
        if let Some(flight) = self.flights.get_mut(flight) {
            flight.calls.retain(|call| *call != key);
        }
        let missing: Vec<_> = parts.iter().map(|part| (*part, verdict)).collect();
        if verdict == Verdict::NotRun {
            self.call_over(flight, key, &parts, &missing, now, actions);
        } else {
            self.rescue(flight, key, &parts, now, actions);
        }
        self.settle(flight, now, actions);
    }

    /// Asks replicas for what a silent daemon was asked for.
    pub(super) fn peer_silent(&mut self, key: CallKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(call) = self.calls.get(key) else { return };
        let (flight_key, peer, parts) = (call.flight, call.peer, call.parts.clone());
        let address = call.address;
        let heard =
            |flight: &Flight<H>| parts.iter().any(|part| flight.parts[*part].call.is_none());
        if self.flights.get(flight_key).is_some_and(heard) {
            return;
        }
        self.calls.remove(key);
        self.peers.unanswered(peer, now);
        self.peers.connected(peer, false);
        actions.push(Action::Disconnect(peer));
        let Some(flight) = self.flights.get_mut(flight_key) else { return };
        flight.calls.retain(|call| *call != key);
        let decision = DirectDecision::PeerSilent { peer: address, parts: parts.len() };
        actions.push(Action::Log(flight.ticket, decision));
        self.rescue(flight_key, key, &parts, now, actions);
        self.settle(flight_key, now, actions);
    }

    /// Attempts parts that another daemon may have attempted.
    fn rescue(
        &mut self,
        key: FlightKey,
        call: CallKey,
        parts: &[usize],
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        for index in parts {
            let waits = self.release(key, call, *index, Verdict::MayHaveRun);
            if waits {
                self.attempt_or_fail(key, *index, Cause::Rescue, now, actions);
            }
        }
    }

    /// Ends a call: parts that did not run are attempted here, the others are given up.
    fn call_over(
        &mut self,
        key: FlightKey,
        call: CallKey,
        parts: &[usize],
        missing: &[(usize, Verdict)],
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        for index in parts {
            let told = missing.iter().find(|(missing, _)| missing == index);
            let verdict = told.map_or(Verdict::MayHaveRun, |(_, verdict)| *verdict);
            if self.release(key, call, *index, verdict) && verdict != Verdict::NotRun {
                self.fail_part(key, *index, None);
            }
        }
        self.send_first(key, parts.iter().copied(), now, actions);
    }

    /// Takes a part back from a call that is over; returns whether the part still needs an answer.
    fn release(&mut self, key: FlightKey, call: CallKey, index: usize, verdict: Verdict) -> bool {
        let Some(flight) = self.flights.get_mut(key) else { return false };
        let part = &mut flight.parts[index];
        if part.call != Some(call) {
            return false;
        }
        part.call = None;
        part.verdict = part.verdict.and(verdict);
        if verdict == Verdict::NotRun {
            part.home = None;
        }
        part.is_open()
    }

    /// Starts to fetch parts for another daemon.
    pub(super) fn start_parts(
        &mut self,
        ticket: Ticket,
        request: &PartsRequest,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let found = self.view.clone().and_then(|view| {
            let route = view.route(&request.host, &request.path)?;
            let services = request.services.iter().map(|(service, home)| {
                let home = Some(*home);
                Some(Part { home, ..Part::new(view.service(*service)?) })
            });
            Some((route, services.collect::<Option<Vec<_>>>()?, view))
        });
        let Some((route, parts, view)) = found else {
            // Another configuration is in force here; the entry asks the replicas itself.
            let missing = (0..request.services.len() as u16).map(|p| (p, Verdict::NotRun));
            let reply = PartsReply {
                parts: Vec::new(),
                missing: missing.collect(),
                records: [][..].into(),
            };
            return actions.push(Action::SendParts(ticket, reply, true));
        };
        let count = parts.len();
        let key = self.insert(Flight {
            ticket,
            route,
            arrived: now,
            deadline: now + request.time_left,
            answer_by: now + request.answer_in,
            parts,
            attempts: 0,
            origin: Origin::Peer { limit: request.limit as usize },
            calls: Vec::new(),
            merged: Vec::new(),
            view,
        });
        self.timers.set(now + request.answer_in, Timer::AnswerBy(key));
        self.timers.set(now + request.answer_in.mul_f64(REPORT_SHARE), Timer::Report(key));
        self.send_first(key, 0..count, now, actions);
        self.settle(key, now, actions);
    }

    /// Sends the daemon that asked the parts that are there.
    pub(super) fn report(&mut self, key: FlightKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        let reply = take_parts(flight);
        actions.push(Action::SendParts(flight.ticket, reply, false));
        self.settle(key, now, actions);
    }

    /// Sends the daemon that asked everything that is left.
    pub(super) fn answer_peer(
        &mut self,
        key: FlightKey,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(mut flight) = self.finish(key, "fetched", now, actions) else { return };
        let mut reply = take_parts(&mut flight);
        let missing = flight.parts.iter().enumerate().filter(|(_, part)| !part.is_answered());
        let missing = missing.map(|(index, part)| {
            // What a replica refused counts as an attempt all the same.
            let sent = !part.tried.is_empty() || part.refusals > 0;
            let verdict = if sent { Verdict::MayHaveRun } else { Verdict::NotRun };
            (index as u16, part.verdict.and(verdict))
        });
        reply.missing = missing.collect();
        actions.push(Action::SendParts(flight.ticket, reply, true));
    }
}

/// Takes the parts that were answered and not sent yet.
fn take_parts<H>(flight: &mut Flight<H>) -> PartsReply {
    let Origin::Peer { limit } = flight.origin else {
        unreachable!("only parts for a peer are sent to one")
    };
    let (mut parts, mut bodies) = (Vec::new(), Vec::new());
    for (index, part) in flight.parts.iter_mut().enumerate() {
        if !matches!(part.state, PartState::Answered(_)) {
            continue;
        }
        if let PartState::Answered(reply) = std::mem::replace(&mut part.state, PartState::Reported)
        {
            parts.push((index as u16, reply.signature.unwrap_or_default()));
            bodies.push(reply.body);
        }
    }
    PartsReply { parts, missing: Vec::new(), records: merge_records(&bodies, limit) }
}

fn distance(view: &View, data_centre: DataCentreId) -> Distance {
    if data_centre == view.own_data_centre {
        return Distance::DataCentre;
    }
    let replicas = view.services.iter().flat_map(|(_, service)| &service.replicas);
    let mut there = replicas.filter(|replica| replica.data_centre == data_centre);
    there.next().map_or(Distance::Remote, |replica| replica.distance)
}
