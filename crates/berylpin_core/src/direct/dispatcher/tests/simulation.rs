//! Simulates three daemons and scripted replicas in virtual time.

use super::*;
use crate::direct::catalogue::Catalogue;
use crate::direct::configuration::ReplicaEntry;
use crate::direct::peers::{CallKey, PartsReply, PartsRequest};
use crate::direct::stop::{Stop, StopSchedule};
use crate::direct::testing::{REPLICA_DATA_CENTRES, replica_entry, shard_name};
use crate::direct::view::Replica;
use crate::ids::MemberTag;
use std::collections::{BTreeMap, BTreeSet};

/// How a replica handles an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum Behaviour {
    /// Answers after the given ms.
    Answers(u64),
    Refuses,
    /// Runs the request; the connection fails before the answer.
    Breaks,
    Unreachable,
    /// Runs the request and answers with status 500.
    Fails,
    Hangs,
    WrongReplica,
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A caller of a daemon sends a query (`true`) or a charge, with a timeout in ms.
    Request(usize, bool, u64),
    /// The given ms pass.
    Wait(u64),
    /// A daemon stops handling events.
    Pause(usize),
    /// A paused daemon handles the delayed events and all later ones.
    Resume(usize),
    /// All calls to a daemon fail.
    FailCalls(usize),
    /// A daemon receives a stop signal.
    Stop(usize),
    /// The caller of the oldest unanswered request disconnects if the number is below 4.
    CallerDisconnects(usize),
    /// A daemon (first) receives the entry of a new replica that replaces the one of a shard
    /// (second) in a data centre (third).
    ReplaceReplica(usize, usize, usize),
}

/// An event that is due at a time.
#[derive(Debug)]
enum Scheduled {
    AttemptEnded(usize, AttemptKey, Outcome<()>),
    /// A daemon receives a request for parts.
    PartsRequest(usize, CallOrigin, PartsRequest),
    PartsReply(CallOrigin, PartsReply, bool),
}

/// The daemon and the call that requested parts.
type CallOrigin = (usize, CallKey);

/// A request of a caller, and how it was handled.
#[derive(Debug)]
struct CallerRequest {
    daemon: usize,
    ticket: Ticket,
    query: bool,
    answers: usize,
    disconnected: bool,
    /// The replicas that ran the request, by service.
    ran: BTreeMap<String, BTreeSet<String>>,
    runs: usize,
    refused_as_not_run: bool,
}

struct Daemon {
    catalogue: Catalogue,
    dispatcher: Dispatcher<()>,
    view: Arc<View>,
    paused: bool,
    /// Whether a stop signal was sent.
    stop_signalled: bool,
    /// Set once the daemon has handled the signal, from which on its time limits count: a paused
    /// process cannot know when a signal was sent.
    stop: Option<Stop>,
    /// Events that arrived while the daemon was paused.
    delayed_events: Vec<Event<()>>,
    /// The ticket, the replica and the index of the caller's request of each attempt.
    attempts: BTreeMap<AttemptKey, (Ticket, Arc<Replica>, usize)>,
    /// The index of the caller's request of each ticket, and the origin of a request for parts.
    tickets: BTreeMap<Ticket, (usize, Option<CallOrigin>)>,
    /// The index of the called daemon of each open call.
    calls: BTreeMap<CallKey, usize>,
}

pub(super) struct Simulation {
    now: Instant,
    daemons: Vec<Daemon>,
    /// The due time and the sequence number of each event; equal times are delivered in sequence.
    scheduled: Vec<(Instant, u64, Scheduled)>,
    /// The sequence number of the last scheduled event.
    sequence: u64,
    /// Used in turn, one for each attempt.
    behaviours: Vec<Behaviour>,
    next_behaviour: usize,
    requests: Vec<CallerRequest>,
    next_ticket: u64,
    /// The number of replaced replicas.
    replaced: usize,
}

const DAEMONS: [(&str, &str); 3] =
    [("messina-1", "messina"), ("palermo-1", "palermo"), ("catania-1", "catania")];

/// The time from a stop signal until the daemon is killed; shorter than most charges may take.
const STOP_LIMIT: Duration = Duration::from_millis(1500);

/// The one-way latency between daemons.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(4);

impl Simulation {
    pub(super) fn new(behaviours: Vec<Behaviour>) -> Self {
        let now = Instant::now();
        let daemons = DAEMONS.iter().enumerate().map(|(index, (name, centre))| {
            let catalogue = catalogue(name, centre, 6, now);
            let view = Arc::new(catalogue.view().unwrap());
            let mut dispatcher = Dispatcher::new(LIMITS, index as u64);
            let mut actions = Vec::new();
            for peer in &view.peers {
                let simulated = DAEMONS.iter().any(|(name, _)| MemberTag::of([*name]) == peer.tag);
                dispatcher.handle(Event::PeerConnected(peer.id, simulated), now, &mut actions);
            }
            dispatcher.handle(Event::View(view.clone()), now, &mut actions);
            Daemon {
                catalogue,
                dispatcher,
                view,
                paused: false,
                stop_signalled: false,
                stop: None,
                delayed_events: Vec::new(),
                attempts: BTreeMap::new(),
                tickets: BTreeMap::new(),
                calls: BTreeMap::new(),
            }
        });
        Self {
            now,
            daemons: daemons.collect(),
            scheduled: Vec::new(),
            sequence: 0,
            behaviours,
            next_behaviour: 0,
            requests: Vec::new(),
            next_ticket: 0,
            replaced: 0,
        }
    }

    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Request(daemon, query, ms) => self.request(daemon, query, ms),
            Step::Wait(ms) => self.wait(Duration::from_millis(ms)),
            Step::Pause(daemon) => self.daemons[daemon].paused = true,
            Step::Resume(daemon) => self.resume(daemon),
            Step::FailCalls(daemon) => self.fail_calls(daemon),
            Step::Stop(daemon) => {
                if !std::mem::replace(&mut self.daemons[daemon].stop_signalled, true) {
                    self.handle(daemon, Event::Stop(self.begin_stop()));
                }
            }
            Step::ReplaceReplica(daemon, shard, centre) => self.replace(daemon, shard, centre),
            Step::CallerDisconnects(number) => {
                let open = self.requests.iter().position(|r| r.answers == 0 && !r.disconnected);
                if let Some(first) = open.filter(|_| number < 4) {
                    self.requests[first].disconnected = true;
                    let (daemon, ticket) =
                        (self.requests[first].daemon, self.requests[first].ticket);
                    self.handle(daemon, Event::CallerDisconnected(ticket));
                }
            }
        }
    }

    /// Runs all requests to their end and checks that each caller still connected got one answer.
    pub(super) fn finish(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.resume(daemon);
        }
        self.wait(Duration::from_secs(6));
        for request in &self.requests {
            // A paused daemon may answer a caller that has disconnected.
            assert!(
                request.answers == 1 || request.disconnected && request.answers == 0,
                "{request:?}"
            );
            assert!(request.query || request.runs <= 1, "ran twice: {request:?}");
            assert!(
                request.query || !request.refused_as_not_run || request.runs == 0,
                "refused as not run but ran: {request:?}"
            );
            for (service, replicas) in &request.ran {
                assert!(replicas.len() <= 2, "{service} ran on {replicas:?}: {request:?}");
            }
        }
        for daemon in &self.daemons {
            assert_eq!(daemon.dispatcher.open_requests(), 0);
            assert!(daemon.dispatcher.attempts.is_empty());
            assert!(daemon.dispatcher.calls.is_empty());
        }
    }

    fn replace(&mut self, daemon: usize, shard: usize, centre: usize) {
        let (centre, service) = (REPLICA_DATA_CENTRES[centre], shard_name(shard));
        self.replaced += 1;
        let now = self.now;
        let target = &mut self.daemons[daemon];
        let found = target.view.services.iter().find(|(_, s)| *s.name == *service);
        let in_centre = |name: &str| name.starts_with(centre);
        let old = found.and_then(|(_, s)| s.replicas.iter().find(|r| in_centre(&r.name)));
        let Some(old) = old.map(|replica| replica.name.to_string()) else { return };
        let draining = ReplicaEntry { draining: true, ..replica_entry(&old, &service, centre) };
        target.catalogue.put_replica(draining, now);
        let new = format!("{centre}-{shard}-{}", self.replaced);
        target.catalogue.put_replica(replica_entry(&new, &service, centre), now);
        target.view = Arc::new(target.catalogue.view().unwrap());
        let view = target.view.clone();
        self.handle(daemon, Event::View(view));
    }

    fn request(&mut self, daemon: usize, query: bool, ms: u64) {
        let ticket = self.new_ticket();
        self.requests.push(CallerRequest {
            daemon,
            ticket,
            query,
            answers: 0,
            disconnected: false,
            ran: BTreeMap::new(),
            runs: 0,
            refused_as_not_run: false,
        });
        self.daemons[daemon].tickets.insert(ticket, (self.requests.len() - 1, None));
        let path = if query { QUERY_PREFIX } else { CHARGE_PREFIX };
        let request = Request {
            host: "a.example".to_owned(),
            path: path.to_owned(),
            time_left: Some(Duration::from_millis(ms)),
        };
        // A paused daemon receives the request when it resumes.
        self.handle(daemon, Event::Request(ticket, request));
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            self.scheduled.sort_by_key(|(at, sequence, _)| (*at, *sequence));
            let next_due = self.scheduled.first().map(|(at, ..)| *at);
            let running = self.daemons.iter_mut().filter(|daemon| !daemon.paused);
            let next_wake = running.filter_map(|daemon| daemon.dispatcher.next_wake()).min();
            let Some(next) = next_due.into_iter().chain(next_wake).min().filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(next);
            if next_due == Some(next) {
                let (.., scheduled) = self.scheduled.remove(0);
                self.deliver(scheduled);
            } else {
                for daemon in 0..self.daemons.len() {
                    if !self.daemons[daemon].paused {
                        self.handle(daemon, Event::Wake);
                    }
                }
            }
        }
        self.now = end;
    }

    fn resume(&mut self, daemon: usize) {
        self.daemons[daemon].paused = false;
        for event in std::mem::take(&mut self.daemons[daemon].delayed_events) {
            self.handle(daemon, event);
        }
        self.handle(daemon, Event::Wake);
    }

    /// Fails all calls to a daemon.
    fn fail_calls(&mut self, target: usize) {
        for daemon in 0..self.daemons.len() {
            let calls = &self.daemons[daemon].calls;
            let failed: Vec<_> =
                calls.iter().filter(|(_, to)| **to == target).map(|(call, _)| *call).collect();
            for call in failed {
                self.daemons[daemon].calls.remove(&call);
                self.handle(daemon, Event::CallFailed(call, Verdict::MayHaveRun));
            }
        }
    }

    fn deliver(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::AttemptEnded(daemon, attempt, outcome) => {
                if self.daemons[daemon].attempts.remove(&attempt).is_some() {
                    self.handle(daemon, Event::AttemptEnded(attempt, outcome));
                }
            }
            Scheduled::PartsRequest(daemon, origin, request) => {
                let Some((index, _)) = self.origin(origin) else { return };
                let ticket = self.new_ticket();
                self.daemons[daemon].tickets.insert(ticket, (index, Some(origin)));
                self.handle(daemon, Event::PartsRequest(ticket, request));
            }
            Scheduled::PartsReply((daemon, call), reply, last) => {
                if self.daemons[daemon].calls.contains_key(&call) {
                    if last {
                        self.daemons[daemon].calls.remove(&call);
                    }
                    self.handle(daemon, Event::PartsReply(call, reply, last));
                }
            }
        }
    }

    /// Returns the index and the ticket of the caller's request of an open call.
    fn origin(&self, (daemon, call): CallOrigin) -> Option<(usize, Ticket)> {
        let daemon = &self.daemons[daemon];
        let request = daemon.dispatcher.calls.get(call)?.request;
        let ticket = daemon.dispatcher.requests.get(request)?.ticket;
        daemon.tickets.get(&ticket).map(|(index, _)| (*index, ticket))
    }

    /// Returns the time limits of a daemon that handles a stop signal now.
    fn begin_stop(&self) -> Stop {
        StopSchedule::new(STOP_LIMIT).begin(self.now)
    }

    fn handle(&mut self, daemon: usize, mut event: Event<()>) {
        if self.daemons[daemon].paused {
            return self.daemons[daemon].delayed_events.push(event);
        }
        if let Event::Stop(stop) = &mut event {
            *stop = self.begin_stop();
            self.daemons[daemon].stop = Some(*stop);
        }
        let mut actions = Vec::new();
        self.daemons[daemon].dispatcher.handle(event, self.now, &mut actions);
        for action in actions {
            self.carry_out(daemon, action);
        }
    }

    fn carry_out(&mut self, daemon: usize, action: Action<()>) {
        match action {
            Action::Send { ticket, attempt, replica, .. } => {
                let stop = self.daemons[daemon].stop;
                assert!(
                    stop.is_none_or(|stop| self.now < stop.serve_until),
                    "an attempt is sent after the daemon stopped"
                );
                self.run_attempt(daemon, ticket, attempt, replica);
            }
            Action::Abort { attempt, .. } => {
                self.daemons[daemon].attempts.remove(&attempt);
            }
            Action::Delegate { call, peer, request, .. } => {
                let target =
                    DAEMONS.iter().position(|(name, _)| MemberTag::of([*name]) == peer.tag);
                let target = target.expect("only connected daemons receive calls");
                self.daemons[daemon].calls.insert(call, target);
                self.schedule(
                    ONE_WAY_LATENCY,
                    Scheduled::PartsRequest(target, (daemon, call), request),
                );
            }
            Action::CancelCall(call) => {
                self.daemons[daemon].calls.remove(&call);
            }
            Action::SendParts(ticket, reply, last) => {
                let Some((_, Some(origin))) = self.daemons[daemon].tickets.get(&ticket).copied()
                else {
                    panic!("parts are sent only for calls of daemons")
                };
                self.schedule(ONE_WAY_LATENCY, Scheduled::PartsReply(origin, reply, last));
            }
            Action::Answer(ticket, answer) => self.record_answer(daemon, ticket, &answer),
            Action::Connect(_) | Action::Disconnect(_) | Action::Log(..) => {}
        }
    }

    fn run_attempt(
        &mut self,
        daemon: usize,
        ticket: Ticket,
        attempt: AttemptKey,
        replica: Arc<Replica>,
    ) {
        let (index, _) = self.daemons[daemon].tickets[&ticket];
        let behaviour = self.behaviours[self.next_behaviour % self.behaviours.len()];
        self.next_behaviour += 1;
        let service = service_of(&replica.name).to_owned();
        self.daemons[daemon].attempts.insert(attempt, (ticket, replica.clone(), index));
        let signature = format!("{}-{}", &*replica.name, self.next_behaviour);
        let reply = |status| {
            Outcome::Answered(Reply {
                status,
                signature: Some(signature.into_boxed_str()),
                body: Bytes::from_static(&[1; 16]),
                headers: (),
            })
        };
        let (after, outcome, ran) = match behaviour {
            Behaviour::Answers(ms) => (ms, Some(reply(200)), true),
            Behaviour::Refuses => (2, Some(Outcome::Refused(None)), false),
            Behaviour::Breaks => {
                (5, Some(Outcome::Broken(Verdict::MayHaveRun, Failure::NoAnswer)), true)
            }
            Behaviour::Unreachable => (1, Some(Outcome::Unreachable(Failure::ConnectError)), false),
            Behaviour::Fails => (3, Some(reply(500)), true),
            Behaviour::Hangs => (0, None, true),
            Behaviour::WrongReplica => (1, Some(Outcome::WrongReplica), false),
        };
        if ran {
            self.requests[index].runs += 1;
            let replicas = self.requests[index].ran.entry(service).or_default();
            replicas.insert(replica.name.to_string());
        }
        if let Some(outcome) = outcome {
            self.schedule(
                Duration::from_millis(after),
                Scheduled::AttemptEnded(daemon, attempt, outcome),
            );
        }
    }

    fn record_answer(&mut self, daemon: usize, ticket: Ticket, answer: &Answer<()>) {
        let (index, origin) = self.daemons[daemon].tickets[&ticket];
        assert!(origin.is_none(), "a request of a peer ends with parts, not with an answer");
        let request = &mut self.requests[index];
        request.answers += 1;
        match answer {
            Answer::Merged { signatures, missing, records } => {
                assert!(request.query);
                let mut distinct: Vec<_> = signatures.iter().map(|s| service_of(s)).collect();
                distinct.sort_unstable();
                distinct.dedup();
                assert_eq!(distinct.len(), signatures.len(), "one part for each shard");
                assert_eq!(signatures.len() + missing, 6);
                assert!(signatures.len() >= 5, "at least 0.75 of 6 shards");
                assert_eq!(records.len(), signatures.len() * 16);
            }
            Answer::Relayed(reply) => assert!(!request.query && reply.signature.is_some()),
            Answer::Refused { verdict, .. } => {
                request.refused_as_not_run = *verdict == Verdict::NotRun;
            }
        }
    }

    fn schedule(&mut self, after: Duration, scheduled: Scheduled) {
        self.sequence += 1;
        self.scheduled.push((self.now + after, self.sequence, scheduled));
    }
}

/// Returns the shard of a replica's name or a signature; both begin with `CENTRE-SHARD`.
fn service_of(signature: &str) -> &str {
    signature.split('-').nth(1).expect("a signature contains the shard")
}
