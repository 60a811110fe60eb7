//! The event loop of a traffic thread.

use super::execute::{ExecutionContext, Executions};
use super::link::LinkFrame;
use super::mailbox::{Mail, Mailbox, Mailboxes};
use super::stop::StopBarrier;
use super::upstream::Upstreams;
use crate::logging::{Log, log_decision};
use crate::metrics::{count_decision, record_queue_delay};
use crate::settings::Secret;
use berylpin_core::clock::Clock;
use berylpin_core::control::View;
use berylpin_core::decision::Decision;
use berylpin_core::ids::{Key, MemberId, ThreadId};
use berylpin_core::message::QueryMessage;
use berylpin_core::query::{self, Answer, Coordinator, Refusal, Ticket};
use berylpin_core::replica::{self, Owner};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of messages handled between two checks of the timers.
const MAX_MAIL_BATCH: usize = 256;

/// Delay of a wake-up above which the process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);

/// Interval at which a thread that is done checks whether all threads are done.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of consecutive checks, without mail between them, that must find all threads done before
/// a thread ends.
const REQUIRED_DONE_POLLS: u32 = 3;

/// How long links keep writing queued frames after all threads are done.
const LINK_FLUSH_PERIOD: Duration = Duration::from_millis(100);

/// Maximum time that a thread without timers waits for mail.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// The settings and handles of a traffic thread.
pub(crate) struct ThreadContext {
    pub(crate) id: ThreadId,
    pub(crate) mailboxes: Mailboxes,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) log: Log,
    pub(crate) fleet_key: Secret,
    pub(crate) stop_barrier: StopBarrier,
    pub(crate) seed: u64,
}

struct TrafficThread {
    cx: ThreadContext,
    /// The mailbox of this thread.
    mailbox: Mailbox,
    view: Arc<View>,
    /// Indexed by member.
    links: Vec<Option<mpsc::Sender<LinkFrame>>>,
    coordinator: Coordinator,
    owner: Owner,
    executions: Executions,
    upstreams: Upstreams,
    /// The callers that wait for an answer, sorted by ticket; tickets arrive in ascending order.
    callers: Vec<(Ticket, oneshot::Sender<Result<Answer, Refusal>>)>,
    query_actions: Vec<query::Action>,
    replica_actions: Vec<replica::Action>,
    stopping: bool,
}

/// Runs a traffic thread until the daemon stops and no thread has work left.
pub(crate) async fn run_thread(cx: ThreadContext, view: Arc<View>, mut rx: mpsc::Receiver<Mail>) {
    let Some(mailbox) = cx.mailboxes.get(cx.id).cloned() else { return };
    let _guard = cx.stop_barrier.guard(cx.id);
    let now = cx.clock.now();
    let threads = cx.mailboxes.iter().count();
    let execution_cx = ExecutionContext {
        thread: cx.id,
        threads,
        mailbox: mailbox.clone(),
        log: cx.log.clone(),
        fleet_key: cx.fleet_key.clone(),
        seed: cx.seed,
    };
    let mut thread = TrafficThread {
        executions: Executions::new(execution_cx, view.clone(), now),
        coordinator: Coordinator::new(cx.id, view.clone(), cx.seed),
        owner: Owner::new(cx.id, threads, view.clone(), cx.seed ^ 1, now),
        upstreams: Upstreams::new(mailbox.clone()),
        mailbox,
        view,
        links: Vec::new(),
        callers: Vec::new(),
        query_actions: Vec::new(),
        replica_actions: Vec::new(),
        stopping: false,
        cx,
    };
    let mut done_polls = 0;
    let mut last_run = now;
    while done_polls < REQUIRED_DONE_POLLS {
        let wake = thread.next_wake();
        done_polls += 1;
        let mail = tokio::select! {
            mail = rx.recv() => Some(mail),
            () = tokio::time::sleep_until(wake.into()) => None,
        };
        last_run = thread.detect_pause(last_run, wake);
        match mail {
            Some(None) => return,
            Some(Some(mail)) => {
                done_polls = 0;
                thread.handle(mail);
                for _ in 1..MAX_MAIL_BATCH {
                    let Ok(mail) = rx.try_recv() else { break };
                    thread.handle(mail);
                }
            }
            None => {}
        }
        thread.tick();
        if !thread.cx.stop_barrier.update(thread.cx.id, thread.is_done()) {
            done_polls = 0;
        }
    }
    // The links that run on this thread still write their queued frames.
    tokio::time::sleep(LINK_FLUSH_PERIOD).await;
}

impl TrafficThread {
    fn is_done(&self) -> bool {
        self.stopping
            && self.coordinator.running() == 0
            && self.owner.jobs() == 0
            && self.executions.is_done()
    }

    /// Reports a pause of the process to the executions if the thread woke late; returns the
    /// current time.
    fn detect_pause(&mut self, last_run: Instant, wake: Instant) -> Instant {
        let now = self.cx.clock.now();
        if now.saturating_duration_since(wake.max(last_run)) > PAUSE_THRESHOLD {
            let pause = now.saturating_duration_since(last_run);
            self.with_executions(|executions, _, now| executions.handle_resume(now, pause));
        }
        now
    }

    /// Returns when to check the timers and, once this thread is done, whether all threads are.
    fn next_wake(&self) -> Instant {
        let timer = self.next_timer();
        if self.is_done() { timer.min(self.cx.clock.now() + STOP_POLL_INTERVAL) } else { timer }
    }

    fn next_timer(&self) -> Instant {
        let timers =
            [self.coordinator.next_timer(), self.owner.next_timer(), self.executions.next_timer()];
        let idle = self.cx.clock.now() + IDLE_SLEEP;
        timers.into_iter().flatten().min().unwrap_or(idle)
    }

    fn handle(&mut self, mail: Mail) {
        match mail {
            // A deferred send may deliver a view late, and the first view of the thread may be
            // newer than the oldest in its mailbox.
            Mail::View { view, .. } if view.epoch < self.view.epoch => {}
            Mail::View { view, links } => {
                self.links = links;
                self.upstreams.apply_view(&view);
                self.view = view.clone();
                self.handle_query_event(query::Event::View(view.clone()));
                self.handle_replica_event(replica::Event::View(view.clone()));
                self.with_executions(|executions, _, now| executions.apply_view(now, view));
            }
            Mail::Request { ticket, request, reply } => {
                self.callers.push((ticket, reply));
                self.handle_query_event(query::Event::Request(ticket, request));
            }
            Mail::CallerDisconnected(ticket) => {
                self.take_caller(ticket);
                self.handle_query_event(query::Event::CallerDisconnected(ticket));
            }
            Mail::Message(from, message) => self.handle_message(from, message),
            Mail::CallEnded(key, result) => {
                self.handle_replica_event(replica::Event::CallEnded(key, result));
            }
            Mail::ProbeEnded(id, result) => {
                self.handle_replica_event(replica::Event::ProbeEnded(id, result));
            }
            Mail::LinkDown(member) => self.handle_query_event(query::Event::LinkDown(member)),
            Mail::Execute(mail) => {
                self.with_executions(|executions, owner, now| executions.handle(now, mail, owner));
            }
            Mail::Stop => {
                self.stopping = true;
                self.with_executions(|executions, _, now| executions.stop(now));
            }
        }
    }

    fn handle_message(&mut self, from: MemberId, message: QueryMessage) {
        match message {
            QueryMessage::Batch(batch) => {
                self.handle_replica_event(replica::Event::Batch(from, batch));
            }
            QueryMessage::Cancel(sub_queries) => {
                self.handle_replica_event(replica::Event::Cancel(from, sub_queries));
            }
            QueryMessage::RequestHints { thread, replicas } => {
                self.handle_replica_event(replica::Event::RequestHints(from, thread, replicas));
            }
            QueryMessage::Reply(reply) => self.handle_query_event(query::Event::Reply(reply)),
            QueryMessage::Hints { hints, .. } => {
                self.handle_query_event(query::Event::Hints(hints));
            }
        }
    }

    fn tick(&mut self) {
        self.handle_query_event(query::Event::Tick);
        self.handle_replica_event(replica::Event::Tick);
        self.with_executions(|executions, _, now| executions.tick(now));
    }

    fn handle_query_event(&mut self, event: query::Event) {
        let mut actions = std::mem::take(&mut self.query_actions);
        self.coordinator.handle(self.cx.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                query::Action::Send(to, message) => self.send(to, message),
                query::Action::Answer(ticket, result) => {
                    if let Some(reply) = self.take_caller(ticket) {
                        // An error means that the caller has disconnected.
                        let _ = reply.send(result);
                    }
                }
                query::Action::Log(decision) => self.record_decision(&decision),
            }
        }
        self.query_actions = actions;
    }

    fn handle_replica_event(&mut self, event: replica::Event) {
        let mut actions = std::mem::take(&mut self.replica_actions);
        self.owner.handle(self.cx.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                replica::Action::Send(to, message) => {
                    if let QueryMessage::Reply(reply) = &message {
                        record_queue_delay(reply.hint.queue_delay);
                    }
                    self.send(to, message);
                }
                replica::Action::Call(call) => self.upstreams.call(&self.view, call),
                replica::Action::Abort { replica, request } => {
                    self.upstreams.abort(&self.view, replica, request);
                }
                replica::Action::Reconnect { replica, call } => {
                    self.upstreams.reconnect(replica, call);
                }
                replica::Action::Probe(probe) => self.upstreams.probe(&self.view, probe),
                replica::Action::Log(decision) => self.record_decision(&decision),
            }
        }
        self.replica_actions = actions;
    }

    /// Calls `handle` with the executions, then reports the ended ones to the owner and sends the
    /// messages of their outbox.
    fn with_executions<F>(&mut self, handle: F)
    where
        F: FnOnce(&mut Executions, &Owner, Instant),
    {
        handle(&mut self.executions, &self.owner, self.cx.clock.now());
        for (replica, failure) in self.executions.take_ended_executions() {
            self.handle_replica_event(replica::Event::ExecutionEnded(replica, failure));
        }
        for (to, message) in self.executions.take_outbox() {
            let link = self.links.get(to.index()).and_then(Option::as_ref);
            let attempt = message.run_attempt();
            if to == self.view.own {
                self.cx.mailboxes.deliver_execute(to, message);
            } else if link.is_none_or(|link| link.try_send(LinkFrame::Execute(message)).is_err())
                && let Some(attempt) = attempt
            {
                self.cx.mailboxes.report_undelivered(attempt);
            }
        }
    }

    /// Sends a message to a daemon; a message to this daemon is delivered to its mailboxes.
    ///
    /// If the link is missing or does not accept the message, the message is lost; the loss is
    /// handled like a failed link.
    fn send(&self, to: MemberId, message: QueryMessage) {
        if to == self.view.own {
            return self.cx.mailboxes.deliver(to, message);
        }
        let link = self.links.get(to.index()).and_then(Option::as_ref);
        let sent = link.is_some_and(|link| link.try_send(LinkFrame::Query(message)).is_ok());
        if !sent {
            metrics::counter!("berylpin_link_overflows_total").increment(1);
            self.mailbox.try_send(Mail::LinkDown(to));
        }
    }

    fn record_decision(&self, decision: &Decision) {
        log_decision(&self.cx.log, decision);
        count_decision(decision);
    }

    fn take_caller(&mut self, ticket: Ticket) -> Option<oneshot::Sender<Result<Answer, Refusal>>> {
        let index = self.callers.binary_search_by_key(&ticket, |(t, _)| *t).ok()?;
        Some(self.callers.remove(index).1)
    }
}
