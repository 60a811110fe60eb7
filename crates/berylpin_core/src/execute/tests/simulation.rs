//! Daemons, links, callers and a fake upstream in virtual time.

use super::super::holder::Event as HolderEvent;
use super::super::run::Event as RunEvent;
use super::super::table::TableLimits;
use super::super::*;
use crate::arena::Arena;
use crate::config::ServiceSettings;
use crate::control::{Member, Topology, View};
use crate::ids::{Key, MemberId, MemberTag, ThreadId};
use crate::message::FailReason;
use crate::query::Ticket;
use crate::rank::Rank;
use crate::replica::Availability;
use crate::verdict::Verdict;
use bytes::Bytes;
use proptest::sample::Index;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod check;

pub(super) const DAEMONS: usize = 3;
const THREADS: usize = 2;
const LIMITS: TableLimits = TableLimits { keys: 6, result_bytes: 10_000 };
/// One secret for all processes, so that only the incarnation tells them apart.
const SECRET: &[u8] = b"fleet";
const SERVICE: &str = "quota";

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// A new key of one daemon, sent through another, with a deadline in milliseconds.
    First(usize, usize, u64),
    Resend(Index, usize, u64),
    /// An earlier key with another body.
    Conflict(Index, usize),
    Wait(u64),
    Fault(Fault),
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Replaces a process at once.
    Kill(usize),
    Pause(usize, u64),
    /// Loses everything between two daemons.
    Cut(usize, usize, u64),
    /// Holds everything between two daemons back.
    Stall(usize, usize, u64),
    /// Gives a daemon a view of its own; the bits say who is live.
    View(usize, u8),
    Stop(usize),
}

struct Process {
    generation: u32,
    view: Arc<View>,
    threads: Vec<Thread>,
    paused_until: Instant,
}

struct Thread {
    forwarder: Forwarder,
    holder: Holder,
    runner: Runner,
}

enum Job {
    Deliver {
        from: usize,
        to: usize,
        message: ExecuteMessage,
        only: Option<u32>,
    },
    Request {
        to: usize,
        thread: usize,
        ticket: Ticket,
        request: Request,
    },
    /// The call reaches the upstream.
    Upstream {
        from: usize,
        thread: usize,
        generation: u32,
        call: Call,
    },
    Called {
        to: usize,
        thread: usize,
        generation: u32,
        key: CallKey,
        result: CallResult,
    },
}

struct Issued {
    key: ExecutionKey,
    body: Bytes,
    holder: (usize, u32),
    /// With the body of the request that each answers.
    answers: Vec<(Bytes, Answer)>,
    /// The bodies that the upstream ran.
    runs: Vec<Bytes>,
}

pub(super) struct Simulation {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    faulty: bool,
    topology: Arc<Topology>,
    daemons: Vec<Process>,
    /// Sorted by time, the latest first.
    jobs: Vec<(Instant, Job)>,
    cuts: Vec<(usize, usize, Instant)>,
    stalls: Vec<(usize, usize, Instant)>,
    keys: Vec<Issued>,
    /// The key and the body of each request, indexed by ticket.
    requests: Vec<(usize, Bytes)>,
}

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        let document = "service = \"quota\"\n[[shard]]\nname = \"main\"\n".to_owned()
            + &replica(1, "a")
            + &replica(2, "a")
            + &replica(3, "b");
        let document = Arc::new(ServiceSettings::parse(&document).unwrap());
        let topology = Arc::new(Topology::default().with_documents(&[document]));
        let now = Instant::now();
        let mut simulation = Self {
            start: now,
            now,
            rng: SmallRng::seed_from_u64(seed),
            faulty: true,
            topology,
            daemons: Vec::new(),
            jobs: Vec::new(),
            cuts: Vec::new(),
            stalls: Vec::new(),
            keys: Vec::new(),
            requests: Vec::new(),
        };
        for index in 0..DAEMONS {
            let process = simulation.process(index, 0);
            simulation.daemons.push(process);
        }
        simulation
    }

    pub(super) fn without_faults(seed: u64) -> Self {
        Self { faulty: false, ..Self::new(seed) }
    }

    fn view(&self, own: usize, live: u8) -> Arc<View> {
        let mut members = Arena::default();
        for index in 0..DAEMONS {
            members.push(Member {
                tag: tag(index),
                name: format!("vm-{index}"),
                data_centre: if index < 2 { "a" } else { "b" }.to_owned(),
                peer_address: ([127, 0, 0, 1], 1).into(),
                live: index == own || live & (1 << index) != 0,
                leaving: false,
            });
        }
        Arc::new(View::new(1, MemberId::from_index(own), members, self.topology.clone()))
    }

    fn process(&mut self, index: usize, generation: u32) -> Process {
        let view = self.view(index, u8::MAX);
        let make = |number| {
            let thread = ThreadId::from_index(number);
            let incarnation = self.rng.random();
            let issuer = Issuer::new(tag(index), thread, incarnation, SECRET, self.now);
            Thread {
                forwarder: Forwarder::new(thread, view.clone(), self.rng.random()),
                holder: Holder::with_limits(issuer, view.clone(), self.rng.random(), LIMITS),
                runner: Runner::new(thread, THREADS, view.clone(), self.rng.random()),
            }
        };
        let threads = (0..THREADS).map(make).collect();
        Process { generation, view, threads, paused_until: self.now }
    }

    pub(super) fn step(&mut self, step: &Step) {
        match step {
            Step::First(issuer, entry, ms) => self.first(*issuer, *entry, *ms),
            Step::Resend(_, _, _) | Step::Conflict(_, _) if self.keys.is_empty() => {}
            Step::Resend(key, entry, ms) => {
                let key = key.index(self.keys.len());
                self.send(key, *entry, *ms, self.keys[key].body.clone());
            }
            Step::Conflict(key, entry) => {
                let key = key.index(self.keys.len());
                self.send(key, *entry, 500, Bytes::from_static(b"other"));
            }
            Step::Wait(ms) => self.run_until(self.now + Duration::from_millis(*ms)),
            Step::Fault(fault) => self.fault(*fault),
        }
    }

    fn first(&mut self, issuer: usize, entry: usize, ms: u64) {
        let thread = self.rng.random_range(0..THREADS);
        let process = &mut self.daemons[issuer];
        let key = process.threads[thread].holder.issue(self.now);
        let body = Bytes::from(format!("charge {}", self.keys.len()));
        let holder = (issuer, process.generation);
        self.keys.push(Issued {
            key,
            body: body.clone(),
            holder,
            answers: Vec::new(),
            runs: Vec::new(),
        });
        self.send(self.keys.len() - 1, entry, ms, body);
    }

    fn send(&mut self, key: usize, to: usize, ms: u64, body: Bytes) {
        let request = Request {
            key: self.keys[key].key,
            service: SERVICE.to_owned(),
            shard: None,
            rank: Rank::Urgent,
            time_left: Duration::from_millis(ms),
            body: body.clone(),
        };
        let ticket = Ticket(self.requests.len() as u64);
        self.requests.push((key, body));
        let thread = self.rng.random_range(0..THREADS);
        self.schedule(self.now, Job::Request { to, thread, ticket, request });
    }

    fn fault(&mut self, fault: Fault) {
        let until = |ms| self.now + Duration::from_millis(ms);
        match fault {
            Fault::Kill(index) => {
                let generation = self.daemons[index].generation + 1;
                self.daemons[index] = self.process(index, generation);
            }
            Fault::Pause(index, ms) => self.daemons[index].paused_until = until(ms),
            Fault::Cut(a, b, ms) => self.cuts.push((a, b, until(ms))),
            Fault::Stall(a, b, ms) => self.stalls.push((a, b, until(ms))),
            Fault::View(index, live) => self.install(index, live),
            Fault::Stop(index) => {
                for thread in 0..THREADS {
                    self.with(index, thread, |thread, now, out| {
                        thread.holder.handle(now, HolderEvent::Stop, out);
                    });
                }
            }
        }
    }

    fn install(&mut self, index: usize, live: u8) {
        let view = self.view(index, live);
        self.daemons[index].view = view.clone();
        for thread in &mut self.daemons[index].threads {
            let mut out = Vec::new();
            thread.forwarder.handle(self.now, ForwardEvent::View(view.clone()), &mut out);
            thread.holder.handle(self.now, HolderEvent::View(view.clone()), &mut out);
            thread.runner.handle(
                self.now,
                RunEvent::View(view.clone()),
                |_| Availability::Usable,
                &mut out,
            );
        }
    }

    fn schedule(&mut self, at: Instant, job: Job) {
        let position = self.jobs.partition_point(|(other, _)| *other > at);
        self.jobs.insert(position, (at, job));
    }

    fn run_until(&mut self, end: Instant) {
        loop {
            let job = self.jobs.last().map(|(at, _)| *at);
            let timer = self.daemons.iter().filter_map(Process::next_timer).min();
            let Some(next) = job.into_iter().chain(timer).min().filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if job == Some(next) {
                let Some((_, job)) = self.jobs.pop() else { break };
                self.work(job);
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    fn tick(&mut self) {
        for index in 0..DAEMONS {
            if self.daemons[index].paused_until > self.now {
                continue;
            }
            for thread in 0..THREADS {
                self.with(index, thread, |thread, now, out| {
                    thread.forwarder.handle(now, ForwardEvent::Tick, out);
                    thread.holder.handle(now, HolderEvent::Tick, out);
                    thread.runner.handle(now, RunEvent::Tick, |_| Availability::Usable, out);
                });
            }
        }
    }

    fn work(&mut self, job: Job) {
        let receiver = match &job {
            Job::Deliver { to, .. } | Job::Request { to, .. } | Job::Called { to, .. } => Some(*to),
            Job::Upstream { .. } => None,
        };
        let paused = receiver.map(|to| self.daemons[to].paused_until);
        if let Some(until) = paused.filter(|until| *until > self.now) {
            return self.schedule(until, job);
        }
        match job {
            Job::Deliver { from, to, message, only } => self.deliver(from, to, message, only),
            Job::Request { to, thread, ticket, request } => {
                self.with(to, thread, |thread, now, out| {
                    thread.forwarder.handle(now, ForwardEvent::Request(ticket, request), out);
                });
            }
            Job::Upstream { from, thread, generation, call } => {
                self.upstream(from, thread, generation, call);
            }
            Job::Called { to, thread, generation, key, result } => {
                let availability = self.availability();
                if self.daemons[to].generation == generation {
                    self.with(to, thread, |thread, now, out| {
                        let event = RunEvent::Called(key, result);
                        thread.runner.handle(now, event, |_| availability, out);
                    });
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: ExecuteMessage, only: Option<u32>) {
        let generation = self.daemons[to].generation;
        if only.is_some_and(|only| only != generation) {
            return;
        }
        if self.faulty && self.rng.random_bool(0.1) {
            let (message, only) = (message.clone(), Some(generation));
            let at = self.now + self.delay(2000);
            self.schedule(at, Job::Deliver { from, to, message, only });
        }
        let availability = self.availability();
        let thread = message.thread(THREADS).index();
        let from = MemberId::from_index(from);
        self.with(to, thread, |thread, now, out| match message {
            ExecuteMessage::Submit(submit) => {
                thread.holder.handle(now, HolderEvent::Submit(from, submit), out);
            }
            ExecuteMessage::Answered { request, key, answer } => {
                let event = ForwardEvent::Answered(request, key, answer);
                thread.forwarder.handle(now, event, out);
            }
            ExecuteMessage::Run(run) => {
                thread.runner.handle(now, RunEvent::Run(from, run), |_| availability, out);
            }
            ExecuteMessage::AttemptEnded { attempt, replica, outcome } => {
                let event = HolderEvent::AttemptEnded(from, attempt, replica, outcome);
                thread.holder.handle(now, event, out);
            }
            ExecuteMessage::Acknowledged { attempt, .. } => {
                let event = RunEvent::Acknowledged(attempt);
                thread.runner.handle(now, event, |_| Availability::Usable, out);
            }
        });
    }

    /// Runs a call or refuses it, and loses some of the replies.
    fn upstream(&mut self, to: usize, thread: usize, generation: u32, call: Call) {
        let choice = if self.faulty { self.rng.random_range(0..10) } else { 9 };
        let failed = |verdict, reason| CallResult::Failed { verdict, reason };
        let result = match choice {
            0 | 1 => failed(Verdict::NotRun, FailReason::Overloaded),
            2 => failed(Verdict::MayHaveRun, FailReason::Connection),
            _ => {
                let issued = self.keys.iter_mut().find(|k| k.key == call.idempotency_key).unwrap();
                issued.runs.push(call.body.clone());
                if choice == 3 {
                    failed(Verdict::MayHaveRun, FailReason::Deadline)
                } else {
                    let result = String::from_utf8(call.body.to_vec()).unwrap();
                    CallResult::Replied { request: call.request, shard: "main".to_owned(), result }
                }
            }
        };
        let at = self.now + self.delay(1500);
        self.schedule(at, Job::Called { to, thread, generation, key: call.key, result });
    }

    fn with<F>(&mut self, index: usize, thread: usize, f: F)
    where
        F: FnOnce(&mut Thread, Instant, &mut Vec<Action>),
    {
        let mut out = Vec::new();
        f(&mut self.daemons[index].threads[thread], self.now, &mut out);
        let used = self.daemons[index].threads[thread].holder.used_keys();
        assert!(used <= LIMITS.keys, "{used} used keys");
        for action in out {
            match action {
                Action::Send(to, message) => self.transmit(index, thread, to.index(), message),
                Action::Answer(ticket, answer) => {
                    let (key, body) = self.requests[ticket.0 as usize].clone();
                    self.keys[key].answers.push((body, answer));
                }
                Action::Call(call) => {
                    let generation = self.daemons[index].generation;
                    let at = self.now + self.delay(20);
                    self.schedule(at, Job::Upstream { from: index, thread, generation, call });
                }
                Action::Decided(_) | Action::Executed(..) => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, thread: usize, to: usize, message: ExecuteMessage) {
        let between = |(a, b, until): &(usize, usize, Instant)| {
            *until > self.now && ((*a, *b) == (from, to) || (*b, *a) == (from, to))
        };
        let lost = from != to && self.cuts.iter().any(between);
        let held = self.stalls.iter().filter(|stall| between(stall)).map(|(_, _, at)| *at).max();
        if !lost {
            let at = held.unwrap_or(self.now) + self.delay(20);
            return self.schedule(at, Job::Deliver { from, to, message, only: None });
        }
        if let ExecuteMessage::Run(run) = message
            && self.rng.random_bool(0.5)
        {
            self.with(from, thread, |thread, now, out| {
                thread.holder.handle(now, HolderEvent::Undelivered(run.attempt), out);
            });
        }
    }

    /// Returns what the owner thinks of a replica at the moment.
    fn availability(&mut self) -> Availability {
        match self.rng.random_range(0..10) {
            0 if self.faulty => Availability::Draining,
            1 if self.faulty => Availability::Ejected,
            _ => Availability::Usable,
        }
    }

    /// Most messages are quick; some take up to the given time, in milliseconds.
    fn delay(&mut self, most_ms: u64) -> Duration {
        let slow = self.faulty && self.rng.random_bool(0.2);
        Duration::from_millis(if slow { self.rng.random_range(0..most_ms) } else { 1 })
    }

    /// Ends all faults and lets everything in progress end.
    pub(super) fn heal(&mut self) {
        self.faulty = false;
        self.cuts.clear();
        self.stalls.clear();
        for index in 0..DAEMONS {
            self.daemons[index].paused_until = self.now;
            self.install(index, u8::MAX);
        }
        self.run_until(self.now + Duration::from_secs(30));
    }
}

impl Process {
    /// Returns when a timer is due that the process notices.
    fn next_timer(&self) -> Option<Instant> {
        let timers = self.threads.iter().flat_map(|thread| {
            [thread.forwarder.next_timer(), thread.holder.next_timer(), thread.runner.next_timer()]
        });
        timers.flatten().min().map(|at| at.max(self.paused_until))
    }
}

fn tag(index: usize) -> MemberTag {
    MemberTag::of([format!("vm-{index}").as_str()])
}

fn replica(number: u16, data_centre: &str) -> String {
    format!(
        "[[shard.replica]]\naddress = \"127.0.0.1:{number}\"\ndata_centre = \"{data_centre}\"\n\
         slots = 2\nconnections = 4\n"
    )
}
