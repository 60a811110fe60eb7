//! Simulates daemons, links, callers and an upstream in virtual time.

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
/// Shared by all processes, so that keys of different processes differ only in the incarnation.
const SECRET: &[u8] = b"fleet";
const SERVICE: &str = "quota";

#[derive(Clone, Debug)]
pub(super) enum Step {
    /// Issues a key at a daemon (first) and submits it at an entry (second) with a deadline in
    /// milliseconds.
    SubmitNew(usize, usize, u64),
    /// Submits an issued key again at an entry, with a deadline in milliseconds.
    Resubmit(Index, usize, u64),
    /// Submits an issued key again at an entry, with another body.
    ConflictingBody(Index, usize),
    /// Advances the time by this many milliseconds.
    Wait(u64),
    Fault(Fault),
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// Kills the process of a daemon and starts a new one immediately.
    Kill(usize),
    /// Pauses a daemon for this many milliseconds.
    Pause(usize, u64),
    /// Drops all messages between two daemons for this many milliseconds.
    Cut(usize, usize, u64),
    /// Delays all messages between two daemons until this many milliseconds have passed.
    Stall(usize, usize, u64),
    /// Installs a view at one daemon only; bit `n` is set if daemon `n` is live in the view.
    View(usize, u8),
    /// Stops the holders of a daemon.
    Stop(usize),
}

struct Process {
    /// Number of processes of this daemon before this one.
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

enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: ExecuteMessage,
        /// If set, only a process of this generation receives the message.
        generation: Option<u32>,
    },
    Request {
        to: usize,
        thread: usize,
        ticket: Ticket,
        request: Request,
    },
    /// A call arrives at the upstream.
    UpstreamCall {
        from: usize,
        thread: usize,
        generation: u32,
        call: Call,
    },
    CallEnded {
        to: usize,
        thread: usize,
        generation: u32,
        key: CallKey,
        result: CallResult,
    },
}

struct IssuedKey {
    key: ExecutionKey,
    body: Bytes,
    /// Index of the issuing daemon and generation of its process.
    holder: (usize, u32),
    /// Each answer with the body of its request.
    answers: Vec<(Bytes, Answer)>,
    /// Bodies that the upstream ran.
    runs: Vec<Bytes>,
}

pub(super) struct Simulation {
    start: Instant,
    now: Instant,
    rng: SmallRng,
    inject_faults: bool,
    topology: Arc<Topology>,
    daemons: Vec<Process>,
    /// Sorted by time in descending order.
    events: Vec<(Instant, Event)>,
    /// Pairs of daemons whose messages are dropped, and until when.
    cuts: Vec<(usize, usize, Instant)>,
    /// Pairs of daemons whose messages are delayed, and until when.
    stalls: Vec<(usize, usize, Instant)>,
    keys: Vec<IssuedKey>,
    /// Index into `keys` and body of each request, indexed by ticket.
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
            inject_faults: true,
            topology,
            daemons: Vec::new(),
            events: Vec::new(),
            cuts: Vec::new(),
            stalls: Vec::new(),
            keys: Vec::new(),
            requests: Vec::new(),
        };
        for index in 0..DAEMONS {
            let process = simulation.spawn_process(index, 0);
            simulation.daemons.push(process);
        }
        simulation
    }

    pub(super) fn without_faults(seed: u64) -> Self {
        Self { inject_faults: false, ..Self::new(seed) }
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

    fn spawn_process(&mut self, index: usize, generation: u32) -> Process {
        let view = self.view(index, u8::MAX);
        let spawn_thread = |number| {
            let thread = ThreadId::from_index(number);
            let incarnation = self.rng.random();
            let issuer = Issuer::new(tag(index), thread, incarnation, SECRET, self.now);
            Thread {
                forwarder: Forwarder::new(thread, view.clone(), self.rng.random()),
                holder: Holder::with_limits(issuer, view.clone(), self.rng.random(), LIMITS),
                runner: Runner::new(thread, THREADS, view.clone(), self.rng.random()),
            }
        };
        let threads = (0..THREADS).map(spawn_thread).collect();
        Process { generation, view, threads, paused_until: self.now }
    }

    pub(super) fn apply(&mut self, step: &Step) {
        match step {
            Step::SubmitNew(issuer, entry, ms) => self.submit_new(*issuer, *entry, *ms),
            Step::Resubmit(_, _, _) | Step::ConflictingBody(_, _) if self.keys.is_empty() => {}
            Step::Resubmit(key, entry, ms) => {
                let key = key.index(self.keys.len());
                self.submit(key, *entry, *ms, self.keys[key].body.clone());
            }
            Step::ConflictingBody(key, entry) => {
                let key = key.index(self.keys.len());
                self.submit(key, *entry, 500, Bytes::from_static(b"other"));
            }
            Step::Wait(ms) => self.run_until(self.now + Duration::from_millis(*ms)),
            Step::Fault(fault) => self.apply_fault(*fault),
        }
    }

    fn submit_new(&mut self, issuer: usize, entry: usize, ms: u64) {
        let thread = self.rng.random_range(0..THREADS);
        let process = &mut self.daemons[issuer];
        let key = process.threads[thread].holder.issue(self.now);
        let body = Bytes::from(format!("charge {}", self.keys.len()));
        let holder = (issuer, process.generation);
        self.keys.push(IssuedKey {
            key,
            body: body.clone(),
            holder,
            answers: Vec::new(),
            runs: Vec::new(),
        });
        self.submit(self.keys.len() - 1, entry, ms, body);
    }

    fn submit(&mut self, key: usize, to: usize, ms: u64, body: Bytes) {
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
        self.schedule(self.now, Event::Request { to, thread, ticket, request });
    }

    fn apply_fault(&mut self, fault: Fault) {
        let until = |ms| self.now + Duration::from_millis(ms);
        match fault {
            Fault::Kill(index) => {
                let generation = self.daemons[index].generation + 1;
                self.daemons[index] = self.spawn_process(index, generation);
            }
            Fault::Pause(index, ms) => self.daemons[index].paused_until = until(ms),
            Fault::Cut(a, b, ms) => self.cuts.push((a, b, until(ms))),
            Fault::Stall(a, b, ms) => self.stalls.push((a, b, until(ms))),
            Fault::View(index, live) => self.install_view(index, live),
            Fault::Stop(index) => {
                for thread in 0..THREADS {
                    self.drive(index, thread, |thread, now, out| {
                        thread.holder.handle(now, HolderEvent::Stop, out);
                    });
                }
            }
        }
    }

    fn install_view(&mut self, index: usize, live: u8) {
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

    fn schedule(&mut self, at: Instant, event: Event) {
        let position = self.events.partition_point(|(other, _)| *other > at);
        self.events.insert(position, (at, event));
    }

    fn run_until(&mut self, end: Instant) {
        loop {
            let next_event = self.events.last().map(|(at, _)| *at);
            let timer = self.daemons.iter().filter_map(Process::next_timer).min();
            let Some(next) = next_event.into_iter().chain(timer).min().filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(next);
            if next_event == Some(next) {
                let Some((_, event)) = self.events.pop() else { break };
                self.dispatch(event);
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
                self.drive(index, thread, |thread, now, out| {
                    thread.forwarder.handle(now, ForwardEvent::Tick, out);
                    thread.holder.handle(now, HolderEvent::Tick, out);
                    thread.runner.handle(now, RunEvent::Tick, |_| Availability::Usable, out);
                });
            }
        }
    }

    fn dispatch(&mut self, event: Event) {
        let receiver = match &event {
            Event::Deliver { to, .. } | Event::Request { to, .. } | Event::CallEnded { to, .. } => {
                Some(*to)
            }
            Event::UpstreamCall { .. } => None,
        };
        let paused = receiver.map(|to| self.daemons[to].paused_until);
        if let Some(until) = paused.filter(|until| *until > self.now) {
            return self.schedule(until, event);
        }
        match event {
            Event::Deliver { from, to, message, generation } => {
                self.deliver(from, to, message, generation);
            }
            Event::Request { to, thread, ticket, request } => {
                self.drive(to, thread, |thread, now, out| {
                    thread.forwarder.handle(now, ForwardEvent::Request(ticket, request), out);
                });
            }
            Event::UpstreamCall { from, thread, generation, call } => {
                self.call_upstream(from, thread, generation, call);
            }
            Event::CallEnded { to, thread, generation, key, result } => {
                let availability = self.availability();
                if self.daemons[to].generation == generation {
                    self.drive(to, thread, |thread, now, out| {
                        let event = RunEvent::CallEnded(key, result);
                        thread.runner.handle(now, event, |_| availability, out);
                    });
                }
            }
        }
    }

    /// Delivers a message to its thread; with faults, one in ten is scheduled for a second
    /// delivery.
    fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: ExecuteMessage,
        generation: Option<u32>,
    ) {
        let current = self.daemons[to].generation;
        if generation.is_some_and(|generation| generation != current) {
            return;
        }
        if self.inject_faults && self.rng.random_bool(0.1) {
            let (message, generation) = (message.clone(), Some(current));
            let at = self.now + self.delay(2000);
            self.schedule(at, Event::Deliver { from, to, message, generation });
        }
        let availability = self.availability();
        let thread = message.thread(THREADS).index();
        let from = MemberId::from_index(from);
        self.drive(to, thread, |thread, now, out| match message {
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

    /// Simulates a call at the upstream and schedules its result for the calling daemon `to`; with
    /// faults, some calls fail, with or without having run.
    fn call_upstream(&mut self, to: usize, thread: usize, generation: u32, call: Call) {
        let roll = if self.inject_faults { self.rng.random_range(0..10) } else { 9 };
        let fail = |verdict, reason| CallResult::Failed { verdict, reason };
        let result = match roll {
            0 | 1 => fail(Verdict::NotRun, FailReason::Overloaded),
            2 => fail(Verdict::MayHaveRun, FailReason::Connection),
            _ => {
                let issued = self.keys.iter_mut().find(|k| k.key == call.idempotency_key).unwrap();
                issued.runs.push(call.body.clone());
                if roll == 3 {
                    fail(Verdict::MayHaveRun, FailReason::Deadline)
                } else {
                    let result = String::from_utf8(call.body.to_vec()).unwrap();
                    CallResult::Replied { request: call.request, shard: "main".to_owned(), result }
                }
            }
        };
        let at = self.now + self.delay(1500);
        self.schedule(at, Event::CallEnded { to, thread, generation, key: call.key, result });
    }

    /// Runs `f` on a thread of a daemon and performs the resulting actions.
    fn drive<F>(&mut self, index: usize, thread: usize, f: F)
    where
        F: FnOnce(&mut Thread, Instant, &mut Vec<Action>),
    {
        let mut out = Vec::new();
        f(&mut self.daemons[index].threads[thread], self.now, &mut out);
        let used = self.daemons[index].threads[thread].holder.used_keys();
        assert!(used <= LIMITS.keys, "{used} used keys, more than the limit");
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
                    self.schedule(
                        at,
                        Event::UpstreamCall { from: index, thread, generation, call },
                    );
                }
                Action::Log(_) | Action::ExecutionEnded(..) => {}
            }
        }
    }

    /// Sends a message, or drops it if the daemons are cut off from each other.
    ///
    /// Half of the dropped attempts are reported to the holder as undelivered.
    fn transmit(&mut self, from: usize, thread: usize, to: usize, message: ExecuteMessage) {
        let connects = |(a, b, until): &(usize, usize, Instant)| {
            *until > self.now && ((*a, *b) == (from, to) || (*b, *a) == (from, to))
        };
        let lost = from != to && self.cuts.iter().any(connects);
        let stalled_until =
            self.stalls.iter().filter(|stall| connects(stall)).map(|(_, _, at)| *at).max();
        if !lost {
            let at = stalled_until.unwrap_or(self.now) + self.delay(20);
            return self.schedule(at, Event::Deliver { from, to, message, generation: None });
        }
        if let ExecuteMessage::Run(run) = message
            && self.rng.random_bool(0.5)
        {
            self.drive(from, thread, |thread, now, out| {
                thread.holder.handle(now, HolderEvent::Undelivered(run.attempt), out);
            });
        }
    }

    /// Draws the state of a replica at its owner.
    fn availability(&mut self) -> Availability {
        match self.rng.random_range(0..10) {
            0 if self.inject_faults => Availability::Draining,
            1 if self.inject_faults => Availability::Ejected,
            _ => Availability::Usable,
        }
    }

    /// Draws a delay of 1 ms, or with faults sometimes of up to `max_ms`.
    fn delay(&mut self, max_ms: u64) -> Duration {
        let slow = self.inject_faults && self.rng.random_bool(0.2);
        Duration::from_millis(if slow { self.rng.random_range(0..max_ms) } else { 1 })
    }

    /// Ends all faults and runs for 30 s, so that everything in flight ends.
    pub(super) fn clear_faults(&mut self) {
        self.inject_faults = false;
        self.cuts.clear();
        self.stalls.clear();
        for index in 0..DAEMONS {
            self.daemons[index].paused_until = self.now;
            self.install_view(index, u8::MAX);
        }
        self.run_until(self.now + Duration::from_secs(30));
    }
}

impl Process {
    /// Returns when the process handles its next timer, which is not before the end of a pause.
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
