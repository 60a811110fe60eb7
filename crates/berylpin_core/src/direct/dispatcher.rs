//! Routes requests, sends attempts and makes answers.

use super::budget::{Budgets, ExtraLimits};
use super::event::{
    Action, Answer, AttemptKey, Cause, DirectDecision, Event, Outcome, RefusalReason, Reply,
    Request, Ticket,
};
use super::flight::{Attempt, Flight, FlightKey, Part, PartState};
use super::merge::merge_records;
use super::pace::Paces;
use super::replicas::{Choice, Replicas};
use super::split::Splits;
use super::view::{Route, Target, View};
use crate::arena::Slab;
use crate::ids::ReplicaId;
use crate::timers::Timers;
use crate::verdict::Verdict;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How much earlier than the target an answer leaves: the caller counts from before its connection
/// was open until it has the answer. About two round trips of a caller and the daemon's own work.
const ANSWER_LEAD: Duration = Duration::from_millis(16);

/// How long an attempt goes on whose result is not needed any more. Most replicas answer within that
/// time, so the connection can be used again; a new one costs the replica more than the answer.
const LINGER: Duration = Duration::from_millis(300);

/// When callers are told to come back if no replica could take their request.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// When callers are told to come back while this daemon has no configuration.
const RETRY_AFTER_START: Duration = Duration::from_millis(500);

/// How many medians before its target a request to a single replica is hedged: far more work is lost
/// by a needless copy than by a late start.
const SINGLE_HEDGE_MEDIANS: f64 = 2.5;

/// Requests in progress at a time; each takes a few KB.
const FLIGHT_LIMIT: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// An attempt is late.
    Late(AttemptKey),
    /// An attempt whose result is not needed has not ended.
    Linger(AttemptKey),
    /// An incomplete answer is worth more than a later one.
    AnswerBy(FlightKey),
    /// The caller stops waiting.
    Deadline(FlightKey),
}

/// The requests of one thread.
///
/// Events and the time go in, actions are appended to a buffer of the caller.
#[derive(Debug)]
pub struct Dispatcher<H> {
    view: Option<Arc<View>>,
    flights: Slab<Flight<H>>,
    attempts: Slab<Attempt>,
    /// Sorted by ticket.
    tickets: Vec<(Ticket, FlightKey)>,
    replicas: Replicas,
    paces: Paces,
    budgets: Budgets,
    splits: Splits,
    timers: Timers<Timer>,
    rng: SmallRng,
}

impl<H> Dispatcher<H> {
    /// Makes a dispatcher without a view; it refuses all requests.
    pub fn new(limits: ExtraLimits, seed: u64) -> Self {
        Self {
            view: None,
            flights: Slab::default(),
            attempts: Slab::default(),
            tickets: Vec::new(),
            replicas: Replicas::default(),
            paces: Paces::default(),
            budgets: Budgets::new(limits),
            splits: Splits::default(),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns when `Event::Wake` is due.
    pub fn next_wake(&mut self) -> Option<Instant> {
        // Most timers outlive what they watch; a wake-up for each would cost more than the rest.
        let (flights, attempts) = (&self.flights, &self.attempts);
        self.timers.drop_dead(|timer| match timer {
            Timer::Late(attempt) => attempts.get(*attempt).is_some_and(|a| a.flight.is_some()),
            Timer::Linger(attempt) => attempts.get(*attempt).is_some(),
            Timer::AnswerBy(flight) | Timer::Deadline(flight) => flights.get(*flight).is_some(),
        });
        self.timers.next()
    }

    /// Returns how many requests are in progress.
    pub fn open_requests(&self) -> usize {
        self.flights.len()
    }

    /// Notes how long a connection to a replica took to open.
    pub fn connected(&mut self, replica: ReplicaId, elapsed: Duration, now: Instant) {
        self.replicas.connected(replica, elapsed, now);
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, event: Event<H>, now: Instant, actions: &mut Vec<Action<H>>) {
        match event {
            Event::View(view) => self.take_view(view),
            Event::Request(ticket, request) => self.start(ticket, &request, now, actions),
            Event::CallerGone(ticket) => self.caller_gone(ticket, actions),
            Event::Ended(attempt, outcome) => self.ended(attempt, outcome, now, actions),
            Event::Wake => {}
        }
        while let Some(timer) = self.timers.pop_due(now) {
            self.fire(timer, now, actions);
        }
    }

    fn take_view(&mut self, view: Arc<View>) {
        let known = |route| view.routes.iter().any(|r| r.id == route);
        self.splits.retain(known);
        self.paces.retain(known);
        self.replicas.retain(|id| view.has_replica(id));
        self.view = Some(view);
    }

    fn start(
        &mut self,
        ticket: Ticket,
        request: &Request,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(view) = self.view.clone() else {
            return refuse(ticket, RefusalReason::NotReady, Some(RETRY_AFTER_START), actions);
        };
        let path = request.path.split_once('?').map_or(&*request.path, |(path, _)| path);
        let Some(index) = view.route(&request.host, path) else {
            return refuse(ticket, RefusalReason::NoRoute, None, actions);
        };
        if self.flights.len() >= FLIGHT_LIMIT {
            return refuse(ticket, RefusalReason::Overloaded, Some(RETRY_AFTER), actions);
        }
        let route = &view.routes[index];
        let services = match &route.target {
            Target::Shards { services, .. } => services.clone(),
            Target::Split(parts) => self.splits.choose(route.id, parts).into_iter().collect(),
        };
        for service in &services {
            self.budgets.earn(*service, view.fleet_size, now);
        }
        let time_left = request.time_left.unwrap_or(route.timeout).min(route.timeout);
        let (deadline, timeout) = (now + time_left, route.target_latency);
        let flight = Flight {
            ticket,
            route: index,
            arrived: now,
            deadline,
            answer_by: now + timeout.saturating_sub(ANSWER_LEAD),
            parts: services.into_iter().map(Part::new).collect(),
            attempts: 0,
            view: view.clone(),
        };
        self.launch(flight, now, actions);
    }

    /// Sends the first attempts of a request, if enough of its parts can be sent.
    fn launch(&mut self, flight: Flight<H>, now: Instant, actions: &mut Vec<Action<H>>) {
        let (ticket, min_parts) = (flight.ticket, flight.min_parts());
        let (count, deadline, answer_by) = (flight.parts.len(), flight.deadline, flight.answer_by);
        let sendable = flight.parts.iter().filter(|p| !flight.view.replicas(p.service).is_empty());
        if sendable.count() < min_parts {
            return refuse(ticket, RefusalReason::NoReplica, Some(RETRY_AFTER), actions);
        }
        let is_query = matches!(flight.config().target, Target::Shards { .. });
        let key = self.flights.insert(flight);
        let position = self.tickets.partition_point(|(other, _)| *other < ticket);
        self.tickets.insert(position, (ticket, key));
        self.timers.set(deadline, Timer::Deadline(key));
        if is_query {
            self.timers.set(answer_by.min(deadline), Timer::AnswerBy(key));
        }
        for part in 0..count {
            if !self.attempt(key, part, Cause::First, now, actions) {
                self.fail_part(key, part, None);
            }
        }
        self.settle(key, now, actions);
    }

    /// Sends an attempt at a part; returns whether there was a replica for it.
    fn attempt(
        &mut self,
        key: FlightKey,
        index: usize,
        cause: Cause,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) -> bool {
        let Some(flight) = self.flights.get_mut(key) else { return false };
        let (view, route) = (flight.view.clone(), flight.route);
        let route = &view.routes[route];
        let part = &mut flight.parts[index];
        // Replicas come and go faster than configurations.
        let newest = self.view.as_ref().unwrap_or(&view);
        let Some(service) = newest.services.get(part.service) else { return false };
        let tools = (&self.paces, &mut self.rng);
        let choice = self.replicas.choose((newest, service), route, tools, &part.tried, now);
        let Some(choice) = choice else { return false };
        if cause != Cause::First {
            if !self.budgets.take(part.service, newest.fleet_size, now) {
                return false;
            }
            actions.push(Action::Log(
                flight.ticket,
                DirectDecision::Extra {
                    cause,
                    replica: choice.replica.id,
                    waited: now.saturating_duration_since(flight.arrived),
                    budget_left: self.budgets.left(part.service, newest.fleet_size, now),
                },
            ));
        }
        let attempt = self.attempts.insert(Attempt {
            flight: Some(key),
            part: index,
            replica: choice.replica.id,
            route: route.id,
            target: route.target_latency,
            sent: now,
        });
        part.tried.push(choice.replica.id);
        part.open.push(attempt);
        flight.attempts += 1;
        self.replicas.sent(attempt, &choice, now);
        if route.idempotent {
            let late =
                late_after(route, &choice, self.paces.median(route.id, route.target_latency));
            self.timers.set(now + late, Timer::Late(attempt));
        }
        actions.push(Action::Send {
            ticket: flight.ticket,
            attempt,
            time_left: flight.deadline.saturating_duration_since(now),
            idempotent: route.idempotent,
            replica: choice.replica,
        });
        true
    }

    fn fire(&mut self, timer: Timer, now: Instant, actions: &mut Vec<Action<H>>) {
        match timer {
            Timer::Late(attempt) => self.hedge(attempt, now, actions),
            Timer::Linger(attempt) => self.end_lingering(attempt, now, actions),
            Timer::AnswerBy(key) => self.settle(key, now, actions),
            Timer::Deadline(key) => self.time_out(key, now, actions),
        }
    }

    /// Sends a second attempt beside one that is late.
    fn hedge(&mut self, attempt: AttemptKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(Attempt { flight: Some(key), part, .. }) = self.attempts.get(attempt) else {
            return;
        };
        let (key, index) = (*key, *part);
        let Some(flight) = self.flights.get(key) else { return };
        let part = &flight.parts[index];
        let more = (part.tried.len() as u32) < flight.config().max_attempts;
        if more && part.is_open() && part.open.len() == 1 {
            self.attempt(key, index, Cause::Hedge, now, actions);
        }
    }

    fn end_lingering(&mut self, attempt: AttemptKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(Attempt { replica, route, target, sent, .. }) = self.attempts.remove(attempt)
        else {
            return;
        };
        self.replicas.ended(replica, attempt, now);
        let median = self.paces.median(route, target);
        let factor = now.saturating_duration_since(sent).div_duration_f64(median);
        self.replicas.given_up(replica, factor, now);
        actions.push(Action::Abort { attempt, silent: true });
    }

    fn caller_gone(&mut self, ticket: Ticket, actions: &mut Vec<Action<H>>) {
        let Ok(index) = self.tickets.binary_search_by_key(&ticket, |(ticket, _)| *ticket) else {
            return;
        };
        let key = self.tickets[index].1;
        let repeatable = self.flights.get(key).is_some_and(|flight| flight.config().idempotent);
        let Some(flight) = self.remove(key) else { return };
        for attempt in flight.parts.iter().flat_map(|part| &part.open) {
            if !repeatable {
                // It runs at most once, so what has begun is left to end.
                continue;
            }
            if let Some(Attempt { replica, sent, .. }) = self.attempts.remove(*attempt) {
                self.replicas.ended(replica, *attempt, sent);
                actions.push(Action::Abort { attempt: *attempt, silent: false });
            }
        }
    }

    fn ended(
        &mut self,
        key: AttemptKey,
        outcome: Outcome<H>,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        let work = self.replicas.ended(attempt.replica, key, now);
        self.learn(&attempt, &outcome, work, now);
        let Some(flight_key) = attempt.flight else { return };
        let Some(flight) = self.flights.get_mut(flight_key) else { return };
        let part = &mut flight.parts[attempt.part];
        part.open.retain(|open| *open != key);
        let (verdict, name) = verdict_of(&outcome);
        part.verdict = part.verdict.and(verdict);
        if !part.is_open() {
            return;
        }
        let outcome = match outcome {
            Outcome::Answered(reply) if is_final(&reply) => {
                part.state = if is_part(&flight.view.routes[flight.route], &reply) {
                    PartState::Answered(reply)
                } else {
                    PartState::Failed(Some(reply))
                };
                return self.settle(flight_key, now, actions);
            }
            outcome => outcome,
        };
        let (replica, elapsed) = (attempt.replica, now.saturating_duration_since(attempt.sent));
        actions.push(Action::Log(
            flight.ticket,
            DirectDecision::AttemptFailed { replica, outcome: name, verdict, elapsed },
        ));
        let own = match outcome {
            Outcome::Answered(reply) if !reply.is_success() => Some(reply),
            _ => None,
        };
        self.retry(flight_key, attempt.part, (verdict, own), now, actions);
        self.settle(flight_key, now, actions);
    }

    /// Makes another attempt at a part in place of one that failed, or gives the part up.
    fn retry(
        &mut self,
        key: FlightKey,
        index: usize,
        (verdict, own): (Verdict, Option<Reply<H>>),
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(flight) = self.flights.get(key) else { return };
        let part = &flight.parts[index];
        let allowed = flight.config().idempotent || verdict == Verdict::NotRun;
        let more = (part.tried.len() as u32) < flight.config().max_attempts;
        let others_open = !part.open.is_empty();
        if allowed && more && self.attempt(key, index, Cause::Retry, now, actions) {
            return;
        }
        if !others_open {
            self.fail_part(key, index, own);
        }
    }

    fn fail_part(&mut self, key: FlightKey, index: usize, own: Option<Reply<H>>) {
        if let Some(flight) = self.flights.get_mut(key) {
            flight.parts[index].state = PartState::Failed(own);
        }
    }

    /// Answers a request if there is nothing left that is worth waiting for.
    fn settle(&mut self, key: FlightKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(flight) = self.flights.get(key) else { return };
        let (count, answered, failed) = (flight.parts.len(), flight.answered(), flight.failed());
        let enough = answered >= flight.min_parts();
        let complete = answered + failed == count;
        if enough && (complete || now >= flight.answer_by) {
            self.answer(key, now, actions);
        } else if count - failed < flight.min_parts() {
            self.give_up(key, None, now, actions);
        }
    }

    fn time_out(&mut self, key: FlightKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(flight) = self.flights.get(key) else { return };
        if flight.answered() >= flight.min_parts() {
            self.answer(key, now, actions);
        } else {
            self.give_up(key, Some(RefusalReason::Timeout), now, actions);
        }
    }

    fn answer(&mut self, key: FlightKey, now: Instant, actions: &mut Vec<Action<H>>) {
        let Some(mut flight) = self.finish(key, "answered", now, actions) else { return };
        let limit = match &flight.config().target {
            Target::Shards { limit, .. } => Some(*limit),
            Target::Split(_) => None,
        };
        let count = flight.parts.len();
        let replies = flight.parts.drain(..).filter_map(|part| match part.state {
            PartState::Answered(reply) => Some(reply),
            _ => None,
        });
        let answer = if let Some(limit) = limit {
            let replies: Vec<_> = replies.collect();
            Answer::Merged {
                missing: count - replies.len(),
                records: merge_records(replies.iter().map(|reply| &reply.body), limit),
                signatures: replies.into_iter().filter_map(|reply| reply.signature).collect(),
            }
        } else {
            let mut replies = replies;
            let Some(reply) = replies.next() else { return };
            Answer::Relayed(reply)
        };
        actions.push(Action::Answer(flight.ticket, answer));
    }

    fn give_up(
        &mut self,
        key: FlightKey,
        reason: Option<RefusalReason>,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) {
        let Some(verdict) = self.flights.get(key).map(Flight::verdict) else { return };
        let reason = reason.unwrap_or(if verdict == Verdict::NotRun {
            RefusalReason::Overloaded
        } else {
            RefusalReason::Failed
        });
        let Some(mut flight) = self.finish(key, reason.name(), now, actions) else { return };
        let single = matches!(flight.config().target, Target::Split(_));
        if single
            && let Some(Part { state: PartState::Failed(Some(reply)), .. }) = flight.parts.pop()
        {
            actions.push(Action::Answer(flight.ticket, Answer::Relayed(reply)));
            return;
        }
        let retry_after = (verdict == Verdict::NotRun).then_some(RETRY_AFTER);
        let answer = Answer::Refused { reason, verdict, retry_after };
        actions.push(Action::Answer(flight.ticket, answer));
    }

    /// Ends a request; its open attempts go on for a while.
    fn finish(
        &mut self,
        key: FlightKey,
        outcome: &'static str,
        now: Instant,
        actions: &mut Vec<Action<H>>,
    ) -> Option<Flight<H>> {
        let flight = self.remove(key)?;
        let answered = flight.answered();
        actions.push(Action::Log(
            flight.ticket,
            DirectDecision::Done {
                route: Some(flight.config().name.clone()),
                version: flight.view.version,
                outcome,
                parts: flight.parts.len(),
                missing: flight.parts.len() - answered,
                attempts: flight.attempts,
                elapsed: now.saturating_duration_since(flight.arrived),
                target: flight.config().target_latency,
            },
        ));
        for attempt in flight.parts.iter().flat_map(|part| &part.open) {
            self.timers.set(now + LINGER, Timer::Linger(*attempt));
        }
        Some(flight)
    }

    fn remove(&mut self, key: FlightKey) -> Option<Flight<H>> {
        let flight = self.flights.remove(key)?;
        self.tickets.retain(|(ticket, _)| *ticket != flight.ticket);
        for open in flight.parts.iter().flat_map(|part| &part.open) {
            if let Some(attempt) = self.attempts.get_mut(*open) {
                attempt.flight = None;
            }
        }
        Some(flight)
    }

    fn learn(&mut self, attempt: &Attempt, outcome: &Outcome<H>, work: Duration, now: Instant) {
        let id = attempt.replica;
        match outcome {
            Outcome::Answered(reply) => {
                if reply.is_success() {
                    self.paces.record(attempt.route, work);
                }
                let median = self.paces.median(attempt.route, attempt.target);
                let factor = work.div_duration_f64(median);
                self.replicas.answered(id, factor, reply.status >= 500, now);
            }
            Outcome::Refused => self.replicas.refused(id, now),
            Outcome::WrongReplica => self.replicas.replaced(id, now),
            Outcome::Unreachable => self.replicas.unreachable(id, now),
            Outcome::Broken(_) => self.replicas.broke(id, now),
        }
    }
}

/// Returns whether an answer may be a part of an answer to the caller.
fn is_part<H>(route: &Route, reply: &Reply<H>) -> bool {
    match route.target {
        Target::Shards { .. } => reply.is_success() && reply.signature.is_some(),
        Target::Split(_) => true,
    }
}

/// Returns whether no other replica would answer better: the answer is signed or a failure of the
/// request itself.
fn is_final<H>(reply: &Reply<H>) -> bool {
    if reply.is_success() { reply.signature.is_some() } else { reply.status < 500 }
}

fn verdict_of<H>(outcome: &Outcome<H>) -> (Verdict, &'static str) {
    match outcome {
        Outcome::Answered(reply) if reply.is_success() => (Verdict::Ran, "unsigned"),
        Outcome::Answered(_) => (Verdict::Ran, "error_status"),
        Outcome::Refused => (Verdict::NotRun, "refused"),
        Outcome::WrongReplica => (Verdict::NotRun, "wrong_replica"),
        Outcome::Unreachable => (Verdict::NotRun, "unreachable"),
        Outcome::Broken(verdict) => (*verdict, "broken"),
    }
}

/// Returns how long after its start an attempt is hedged.
fn late_after(route: &Route, choice: &Choice, median: Duration) -> Duration {
    match route.target {
        Target::Shards { .. } => choice.late,
        Target::Split(_) => {
            let spare = route.target_latency.saturating_sub(ANSWER_LEAD);
            choice.late.max(spare.saturating_sub(median.mul_f64(SINGLE_HEDGE_MEDIANS)))
        }
    }
}

/// Answers a request that nothing was sent for.
fn refuse<H>(
    ticket: Ticket,
    reason: RefusalReason,
    retry_after: Option<Duration>,
    actions: &mut Vec<Action<H>>,
) {
    let verdict = Verdict::NotRun;
    actions.push(Action::Answer(ticket, Answer::Refused { reason, verdict, retry_after }));
}

#[cfg(test)]
mod tests;
