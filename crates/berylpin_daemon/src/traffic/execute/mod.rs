//! Non-idempotent requests of one traffic thread.

mod upstream;

use super::mailbox::Mailbox;
use crate::logging::{Log, log_decision};
use crate::metrics::count_decision;
use crate::settings::Secret;
use berylpin_core::control::View;
use berylpin_core::execute::{
    Action, Answer, AttemptId, CallKey, CallResult, ExecuteMessage, ExecutionKey, ForwardEvent,
    Forwarder, Holder, HolderEvent, Issuer, Request, RunEvent, Runner,
};
use berylpin_core::ids::{MemberId, ReplicaId, ThreadId};
use berylpin_core::message::FailReason;
use berylpin_core::query::Ticket;
use berylpin_core::replica::{Availability, Owner};
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use upstream::ExecutionClient;

/// A message to a traffic thread about non-idempotent requests.
pub(crate) enum ExecuteMail {
    /// A caller requested idempotency keys.
    Issue { count: usize, reply: oneshot::Sender<Vec<ExecutionKey>> },
    /// A caller sent a request.
    Request { ticket: Ticket, request: Request, reply: oneshot::Sender<Answer> },
    /// The caller no longer waits for an answer.
    CallerDisconnected(Ticket),
    /// A daemon, which may be this one, sent a message.
    Message(MemberId, ExecuteMessage),
    /// An attempt was discarded before any byte of the message was sent.
    Undelivered(AttemptId),
    /// A call to an upstream ended.
    CallEnded(CallKey, CallResult),
}

/// The non-idempotent requests of one traffic thread.
pub(super) struct Executions {
    forwarder: Forwarder,
    holder: Holder,
    runner: Runner,
    client: ExecutionClient,
    view: Arc<View>,
    log: Log,
    /// The callers that wait for an answer, sorted by ticket.
    callers: Vec<(Ticket, oneshot::Sender<Answer>)>,
    actions: Vec<Action>,
    /// Messages to send, with their receivers.
    outbox: Vec<(MemberId, ExecuteMessage)>,
    /// Ended executions with their failures, which the owner records in the health of the replica.
    ended: Vec<(ReplicaId, Option<FailReason>)>,
}

/// The settings and handles of the executions of a thread.
pub(super) struct ExecutionContext {
    pub(super) thread: ThreadId,
    /// The number of traffic threads.
    pub(super) threads: usize,
    /// The mailbox of the thread.
    pub(super) mailbox: Mailbox,
    pub(super) log: Log,
    /// Signs idempotency keys.
    pub(super) fleet_key: Secret,
    pub(super) seed: u64,
}

impl Executions {
    pub(super) fn new(cx: ExecutionContext, view: Arc<View>, now: Instant) -> Self {
        let mut rng = rand::rng();
        let holder = view.members[view.own].tag;
        let issuer = Issuer::new(holder, cx.thread, rng.random(), cx.fleet_key.bytes(), now);
        Self {
            forwarder: Forwarder::new(cx.thread, view.clone(), cx.seed ^ 2),
            holder: Holder::new(issuer, view.clone(), cx.seed ^ 3),
            runner: Runner::new(cx.thread, cx.threads, view.clone(), cx.seed ^ 4),
            client: ExecutionClient::new(cx.mailbox),
            view,
            log: cx.log,
            callers: Vec::new(),
            actions: Vec::new(),
            outbox: Vec::new(),
            ended: Vec::new(),
        }
    }

    pub(super) fn handle(&mut self, now: Instant, mail: ExecuteMail, owner: &Owner) {
        match mail {
            ExecuteMail::Issue { count, reply } => {
                let keys = (0..count).map(|_| self.holder.issue(now)).collect();
                // An error means that the caller has disconnected.
                let _ = reply.send(keys);
            }
            ExecuteMail::Request { ticket, request, reply } => {
                let index = self.callers.partition_point(|(t, _)| *t < ticket);
                self.callers.insert(index, (ticket, reply));
                let event = ForwardEvent::Request(ticket, request);
                self.forwarder.handle(now, event, &mut self.actions);
            }
            ExecuteMail::CallerDisconnected(ticket) => {
                self.take_caller(ticket);
                let event = ForwardEvent::CallerDisconnected(ticket);
                self.forwarder.handle(now, event, &mut self.actions);
            }
            ExecuteMail::Message(from, message) => self.handle_message(now, from, message, owner),
            ExecuteMail::Undelivered(attempt) => {
                let event = HolderEvent::Undelivered(attempt);
                self.holder.handle(now, event, &mut self.actions);
            }
            ExecuteMail::CallEnded(key, result) => {
                let event = RunEvent::CallEnded(key, result);
                self.runner.handle(now, event, |id| owner.availability(id), &mut self.actions);
            }
        }
        self.carry_out_actions();
    }

    pub(super) fn apply_view(&mut self, now: Instant, view: Arc<View>) {
        self.view = view.clone();
        self.forwarder.handle(now, ForwardEvent::View(view.clone()), &mut self.actions);
        self.holder.handle(now, HolderEvent::View(view.clone()), &mut self.actions);
        self.runner.handle(now, RunEvent::View(view), |_| Availability::Usable, &mut self.actions);
        self.carry_out_actions();
    }

    pub(super) fn tick(&mut self, now: Instant) {
        self.forwarder.handle(now, ForwardEvent::Tick, &mut self.actions);
        self.holder.handle(now, HolderEvent::Tick, &mut self.actions);
        self.runner.handle(now, RunEvent::Tick, |_| Availability::Usable, &mut self.actions);
        self.carry_out_actions();
    }

    /// Handles the end of a pause of the process.
    pub(super) fn handle_resume(&mut self, now: Instant, pause: Duration) {
        let event = RunEvent::Resumed(pause);
        self.runner.handle(now, event, |_| Availability::Usable, &mut self.actions);
    }

    /// Stops the holder, which starts no further key after a grace period.
    pub(super) fn stop(&mut self, now: Instant) {
        self.holder.handle(now, HolderEvent::Stop, &mut self.actions);
        self.carry_out_actions();
    }

    pub(super) fn is_done(&self) -> bool {
        let pending = self.forwarder.pending_count() + self.runner.in_progress();
        pending == 0 && self.holder.is_done()
    }

    pub(super) fn next_timer(&self) -> Option<Instant> {
        let timers =
            [self.forwarder.next_timer(), self.holder.next_timer(), self.runner.next_timer()];
        timers.into_iter().flatten().min()
    }

    /// Removes and returns the messages to send.
    pub(super) fn take_outbox(&mut self) -> Vec<(MemberId, ExecuteMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Removes and returns the ended executions, to be reported to the owner.
    pub(super) fn take_ended_executions(&mut self) -> Vec<(ReplicaId, Option<FailReason>)> {
        std::mem::take(&mut self.ended)
    }

    fn handle_message(
        &mut self,
        now: Instant,
        from: MemberId,
        message: ExecuteMessage,
        owner: &Owner,
    ) {
        let out = &mut self.actions;
        match message {
            ExecuteMessage::Submit(submit) => {
                self.holder.handle(now, HolderEvent::Submit(from, submit), out);
            }
            ExecuteMessage::Answered { request, key, answer } => {
                self.forwarder.handle(now, ForwardEvent::Answered(request, key, answer), out);
            }
            ExecuteMessage::Run(run) => {
                let event = RunEvent::Run(from, run);
                self.runner.handle(now, event, |id| owner.availability(id), out);
            }
            ExecuteMessage::AttemptEnded { attempt, replica, outcome } => {
                self.holder.handle(
                    now,
                    HolderEvent::AttemptEnded(from, attempt, replica, outcome),
                    out,
                );
            }
            ExecuteMessage::Acknowledged { attempt, .. } => {
                self.runner.handle(
                    now,
                    RunEvent::Acknowledged(attempt),
                    |_| Availability::Usable,
                    out,
                );
            }
        }
    }

    fn carry_out_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send(to, message) => self.outbox.push((to, message)),
                Action::Answer(ticket, answer) => {
                    if let Some(reply) = self.take_caller(ticket) {
                        // An error means that the caller has disconnected.
                        let _ = reply.send(answer);
                    }
                }
                Action::Call(call) => self.client.call(&self.view, call),
                Action::ExecutionEnded(replica, failure) => self.ended.push((replica, failure)),
                Action::Log(decision) => {
                    log_decision(&self.log, &decision);
                    count_decision(&decision);
                }
            }
        }
        self.actions = actions;
    }

    fn take_caller(&mut self, ticket: Ticket) -> Option<oneshot::Sender<Answer>> {
        let index = self.callers.binary_search_by_key(&ticket, |(t, _)| *t).ok()?;
        Some(self.callers.remove(index).1)
    }
}
