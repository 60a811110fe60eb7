//! Three daemons with scripted replicas in virtual time.

use super::*;
use crate::direct::catalogue::Catalogue;
use crate::direct::configuration::ReplicaEntry;
use crate::direct::peers::{CallKey, PartsRequest};
use crate::direct::testing::{REPLICA_DATA_CENTRES, replica_entry, shard_name};
use crate::direct::view::Replica;
use crate::ids::MemberTag;
use std::collections::{BTreeMap, BTreeSet};

/// How a replica takes an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fate {
    /// Answers after so many ms.
    Answers(u64),
    Refuses,
    /// Runs the request; the answer cannot be used.
    Breaks,
    Unreachable,
    /// Answers with an error of its own.
    Fails,
    Hangs,
    WrongReplica,
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A caller of a daemon sends a query, or a charge, and waits so many ms.
    Request(usize, bool, u64),
    Wait(u64),
    /// A daemon stands still.
    Freeze(usize),
    Thaw(usize),
    /// All connections to a daemon break.
    Cut(usize),
    /// A caller leaves.
    Gone(usize),
    /// One daemon hears that a replica of a shard was replaced.
    Replace(usize, usize, usize),
}

/// What happens at a time.
#[derive(Debug)]
enum Due {
    Ended(usize, AttemptKey, Outcome<()>),
    /// A request for parts reaches a daemon.
    Parts(usize, Origin, PartsRequest),
    Reply(Origin, PartsReply, bool),
}

/// The daemon and the call that parts are for.
type Origin = (usize, CallKey);

/// What is known of a request of a caller.
#[derive(Debug)]
struct Asked {
    daemon: usize,
    ticket: Ticket,
    query: bool,
    answers: usize,
    gone: bool,
    /// Replicas that ran it, by service.
    ran: BTreeMap<String, BTreeSet<String>>,
    runs: usize,
    refused_as_not_run: bool,
}

struct Daemon {
    catalogue: Catalogue,
    dispatcher: Dispatcher<()>,
    view: Arc<View>,
    frozen: bool,
    /// What arrived while it stood still.
    held: Vec<Event<()>>,
    /// Of each attempt: its ticket, its replica, and the request of the caller.
    attempts: BTreeMap<AttemptKey, (Ticket, Arc<Replica>, usize)>,
    /// Of each ticket: the request of the caller, and whom parts are for.
    tickets: BTreeMap<Ticket, (usize, Option<Origin>)>,
    calls: BTreeMap<CallKey, usize>,
}

pub(super) struct World {
    now: Instant,
    daemons: Vec<Daemon>,
    due: Vec<(Instant, u64, Due)>,
    order: u64,
    fates: Vec<Fate>,
    next_fate: usize,
    asked: Vec<Asked>,
    next_ticket: u64,
    /// Counts replicas that were replaced.
    replaced: usize,
}

const NAMES: [(&str, &str); 3] =
    [("messina-1", "messina"), ("palermo-1", "palermo"), ("catania-1", "catania")];

/// One way between daemons.
const HOP: Duration = Duration::from_millis(4);

impl World {
    pub(super) fn new(fates: Vec<Fate>) -> Self {
        let now = Instant::now();
        let daemons = NAMES.iter().enumerate().map(|(index, (name, centre))| {
            let catalogue = catalogue(name, centre, 6, now);
            let view = Arc::new(catalogue.view().unwrap());
            let mut dispatcher = Dispatcher::new(LIMITS, index as u64);
            let mut actions = Vec::new();
            for peer in &view.peers {
                let known = NAMES.iter().any(|(name, _)| MemberTag::of([*name]) == peer.tag);
                dispatcher.handle(Event::PeerConnected(peer.id, known), now, &mut actions);
            }
            dispatcher.handle(Event::View(view.clone()), now, &mut actions);
            Daemon {
                catalogue,
                dispatcher,
                view,
                frozen: false,
                held: Vec::new(),
                attempts: BTreeMap::new(),
                tickets: BTreeMap::new(),
                calls: BTreeMap::new(),
            }
        });
        Self {
            now,
            daemons: daemons.collect(),
            due: Vec::new(),
            order: 0,
            fates,
            next_fate: 0,
            asked: Vec::new(),
            next_ticket: 0,
            replaced: 0,
        }
    }

    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Request(daemon, query, ms) => self.request(daemon, query, ms),
            Step::Wait(ms) => self.wait(Duration::from_millis(ms)),
            Step::Freeze(daemon) => self.daemons[daemon].frozen = true,
            Step::Thaw(daemon) => self.thaw(daemon),
            Step::Cut(daemon) => self.cut(daemon),
            Step::Replace(daemon, shard, copy) => self.replace(daemon, shard, copy),
            Step::Gone(index) => {
                let open = self.asked.iter().position(|a| a.answers == 0 && !a.gone);
                if let Some(first) = open.filter(|_| index < 4) {
                    self.asked[first].gone = true;
                    let (daemon, ticket) = (self.asked[first].daemon, self.asked[first].ticket);
                    self.event(daemon, Event::CallerDisconnected(ticket));
                }
            }
        }
    }

    /// Lets everything end and checks that each caller who stayed has one answer.
    pub(super) fn finish(&mut self) {
        for daemon in 0..self.daemons.len() {
            self.thaw(daemon);
        }
        self.wait(Duration::from_secs(6));
        for asked in &self.asked {
            // An answer and the caller's leaving may cross while the daemon stands still.
            assert!(asked.answers == 1 || asked.gone && asked.answers == 0, "{asked:?}");
            assert!(asked.query || asked.runs <= 1, "ran twice: {asked:?}");
            assert!(
                asked.query || !asked.refused_as_not_run || asked.runs == 0,
                "said not to have run: {asked:?}"
            );
            for (service, replicas) in &asked.ran {
                assert!(replicas.len() <= 2, "{service} ran on {replicas:?}: {asked:?}");
            }
        }
        for daemon in &self.daemons {
            assert_eq!(daemon.dispatcher.open_requests(), 0);
            assert!(daemon.dispatcher.attempts.is_empty());
            assert!(daemon.dispatcher.calls.is_empty());
        }
    }

    fn replace(&mut self, daemon: usize, index: usize, copy: usize) {
        let (centre, service) = (REPLICA_DATA_CENTRES[copy], shard_name(index));
        self.replaced += 1;
        let known = &mut self.daemons[daemon];
        let names = known.view.services.iter().find(|(_, s)| *s.name == *service);
        let of_centre = |name: &str| name.starts_with(centre);
        let old = names.and_then(|(_, s)| s.replicas.iter().find(|r| of_centre(&r.name)));
        let Some(old) = old.map(|replica| replica.name.to_string()) else { return };
        known
            .catalogue
            .put_replica(ReplicaEntry { draining: true, ..replica_entry(&old, &service, centre) });
        let new = format!("{centre}-{index}-{}", self.replaced);
        known.catalogue.put_replica(replica_entry(&new, &service, centre));
        known.view = Arc::new(known.catalogue.view().unwrap());
        let view = known.view.clone();
        self.event(daemon, Event::View(view));
    }

    fn request(&mut self, daemon: usize, query: bool, ms: u64) {
        let ticket = self.ticket();
        self.asked.push(Asked {
            daemon,
            ticket,
            query,
            answers: 0,
            gone: false,
            ran: BTreeMap::new(),
            runs: 0,
            refused_as_not_run: false,
        });
        self.daemons[daemon].tickets.insert(ticket, (self.asked.len() - 1, None));
        let path = if query { QUERY_PREFIX } else { CHARGE_PREFIX };
        let request = Request {
            host: "a.example".to_owned(),
            path: path.to_owned(),
            time_left: Some(Duration::from_millis(ms)),
        };
        // A daemon that stands still reads its sockets later.
        self.event(daemon, Event::Request(ticket, request));
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            self.due.sort_by_key(|(at, order, _)| (*at, *order));
            let next_due = self.due.first().map(|(at, ..)| *at);
            let awake = self.daemons.iter_mut().filter(|daemon| !daemon.frozen);
            let next_wake = awake.filter_map(|daemon| daemon.dispatcher.next_wake()).min();
            let Some(next) = next_due.into_iter().chain(next_wake).min().filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(next);
            if next_due == Some(next) {
                let (.., due) = self.due.remove(0);
                self.take(due);
            } else {
                for daemon in 0..self.daemons.len() {
                    if !self.daemons[daemon].frozen {
                        self.event(daemon, Event::Wake);
                    }
                }
            }
        }
        self.now = end;
    }

    fn thaw(&mut self, daemon: usize) {
        self.daemons[daemon].frozen = false;
        for event in std::mem::take(&mut self.daemons[daemon].held) {
            self.event(daemon, event);
        }
        self.event(daemon, Event::Wake);
    }

    /// Breaks all calls to a daemon.
    fn cut(&mut self, target: usize) {
        for daemon in 0..self.daemons.len() {
            let calls = &self.daemons[daemon].calls;
            let broken: Vec<_> =
                calls.iter().filter(|(_, to)| **to == target).map(|(call, _)| *call).collect();
            for call in broken {
                self.daemons[daemon].calls.remove(&call);
                self.event(daemon, Event::CallFailed(call, Verdict::MayHaveRun));
            }
        }
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Ended(daemon, attempt, outcome) => {
                if self.daemons[daemon].attempts.remove(&attempt).is_some() {
                    self.event(daemon, Event::AttemptEnded(attempt, outcome));
                }
            }
            Due::Parts(daemon, origin, request) => {
                let Some((asked, _)) = self.origin(origin) else { return };
                let ticket = self.ticket();
                self.daemons[daemon].tickets.insert(ticket, (asked, Some(origin)));
                self.event(daemon, Event::PartsRequest(ticket, request));
            }
            Due::Reply((daemon, call), reply, last) => {
                if self.daemons[daemon].calls.contains_key(&call) {
                    if last {
                        self.daemons[daemon].calls.remove(&call);
                    }
                    self.event(daemon, Event::PartsReply(call, reply, last));
                }
            }
        }
    }

    /// Returns the caller's request that a call is for, while the call is open.
    fn origin(&self, (daemon, call): Origin) -> Option<(usize, Ticket)> {
        let daemon = &self.daemons[daemon];
        let request = daemon.dispatcher.calls.get(call)?.request;
        let ticket = daemon.dispatcher.requests.get(request)?.ticket;
        daemon.tickets.get(&ticket).map(|(asked, _)| (*asked, ticket))
    }

    fn event(&mut self, daemon: usize, event: Event<()>) {
        if self.daemons[daemon].frozen {
            return self.daemons[daemon].held.push(event);
        }
        let mut actions = Vec::new();
        self.daemons[daemon].dispatcher.handle(event, self.now, &mut actions);
        for action in actions {
            self.act(daemon, action);
        }
    }

    fn act(&mut self, daemon: usize, action: Action<()>) {
        match action {
            Action::Send { ticket, attempt, replica, .. } => {
                self.attempted(daemon, ticket, attempt, replica);
            }
            Action::Abort { attempt, .. } => {
                self.daemons[daemon].attempts.remove(&attempt);
            }
            Action::Delegate { call, peer, request, .. } => {
                let target = NAMES.iter().position(|(name, _)| MemberTag::of([*name]) == peer.tag);
                let target = target.expect("only daemons that are connected are asked");
                self.daemons[daemon].calls.insert(call, target);
                self.later(HOP, Due::Parts(target, (daemon, call), request));
            }
            Action::CancelCall(call) => {
                self.daemons[daemon].calls.remove(&call);
            }
            Action::SendParts(ticket, reply, last) => {
                let Some((_, Some(origin))) = self.daemons[daemon].tickets.get(&ticket).copied()
                else {
                    panic!("parts are sent to whoever asked")
                };
                self.later(HOP, Due::Reply(origin, reply, last));
            }
            Action::Answer(ticket, answer) => self.answered(daemon, ticket, &answer),
            Action::Connect(_) | Action::Disconnect(_) | Action::Log(..) => {}
        }
    }

    fn attempted(
        &mut self,
        daemon: usize,
        ticket: Ticket,
        attempt: AttemptKey,
        replica: Arc<Replica>,
    ) {
        let (asked, _) = self.daemons[daemon].tickets[&ticket];
        let fate = self.fates[self.next_fate % self.fates.len()];
        self.next_fate += 1;
        let service = service_of(&replica.name).to_owned();
        self.daemons[daemon].attempts.insert(attempt, (ticket, replica.clone(), asked));
        let signature = format!("{}-{}", replica.name, self.next_fate);
        let reply = |status| {
            Outcome::Answered(Reply {
                status,
                signature: Some(signature.into_boxed_str()),
                body: Bytes::from_static(&[1; 16]),
                headers: (),
            })
        };
        let (after, outcome, ran) = match fate {
            Fate::Answers(ms) => (ms, Some(reply(200)), true),
            Fate::Refuses => (2, Some(Outcome::Refused), false),
            Fate::Breaks => {
                (5, Some(Outcome::Broken(Verdict::MayHaveRun, Failure::NoAnswer)), true)
            }
            Fate::Unreachable => (1, Some(Outcome::Unreachable(Failure::ConnectError)), false),
            Fate::Fails => (3, Some(reply(500)), true),
            Fate::Hangs => (0, None, true),
            Fate::WrongReplica => (1, Some(Outcome::WrongReplica), false),
        };
        if ran {
            self.asked[asked].runs += 1;
            let of_service = self.asked[asked].ran.entry(service).or_default();
            of_service.insert(replica.name.to_string());
        }
        if let Some(outcome) = outcome {
            self.later(Duration::from_millis(after), Due::Ended(daemon, attempt, outcome));
        }
    }

    fn answered(&mut self, daemon: usize, ticket: Ticket, answer: &Answer<()>) {
        let (asked, origin) = self.daemons[daemon].tickets[&ticket];
        assert!(origin.is_none(), "a peer gets parts and no answer");
        let asked = &mut self.asked[asked];
        asked.answers += 1;
        match answer {
            Answer::Merged { signatures, missing, records } => {
                assert!(asked.query);
                let mut distinct: Vec<_> = signatures.iter().map(|s| service_of(s)).collect();
                distinct.sort_unstable();
                distinct.dedup();
                assert_eq!(distinct.len(), signatures.len(), "one part a shard");
                assert_eq!(signatures.len() + missing, 6);
                assert!(signatures.len() >= 5, "0.75 of 6 shards at least");
                assert_eq!(records.len(), signatures.len() * 16);
            }
            Answer::Relayed(reply) => assert!(!asked.query && reply.signature.is_some()),
            Answer::Refused { verdict, .. } => {
                asked.refused_as_not_run = *verdict == Verdict::NotRun;
            }
        }
    }

    fn later(&mut self, after: Duration, due: Due) {
        self.order += 1;
        self.due.push((self.now + after, self.order, due));
    }
}

/// Returns the shard of a replica or signature; both begin with `CENTRE-SHARD`.
fn service_of(signature: &str) -> &str {
    signature.split('-').nth(1).expect("signatures name the shard")
}
