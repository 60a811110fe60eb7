//! The traffic thread: carries out what the dispatcher decides.

use super::attempt::AttemptTask;
use super::lines::Lines;
use super::pool::{Connection, Pools};
use super::process::Shared;
use berylpin_core::direct::{
    Action, Answer, AttemptKey, Dispatcher, Event, ExtraLimits, Outcome, Request, Ticket, View,
};
use berylpin_core::ids::ReplicaId;
use berylpin_platform::RequestHead;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// How often idle connections are looked through.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);

/// What a traffic thread gets from the start.
pub(super) struct TrafficContext {
    pub(super) shared: Shared,
    pub(super) limits: ExtraLimits,
    pub(super) seed: u64,
}

/// A request as it is passed on.
pub(super) struct Payload {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
}

/// A caller that waits.
struct Call {
    ticket: Ticket,
    payload: Rc<Payload>,
    reply: oneshot::Sender<Answer<HeaderMap>>,
}

/// The state of a traffic thread.
struct State {
    dispatcher: Dispatcher<HeaderMap>,
    /// Sorted by ticket.
    calls: Vec<Call>,
    /// Attempts that are under way, sorted by key.
    attempts: Vec<(AttemptKey, ReplicaId, AbortHandle)>,
    pools: Pools,
    lines: Lines,
}

/// A traffic thread's dispatcher with what it acts on.
pub(super) struct Traffic {
    shared: Shared,
    state: RefCell<State>,
    tickets: Cell<u64>,
    /// When the timer task is due.
    wake_at: Cell<Option<Instant>>,
    /// Tells the timer task that it is due earlier.
    earlier: Notify,
}

impl Traffic {
    /// Starts the tasks of a thread; call it within its runtime.
    pub(super) fn start(cx: TrafficContext) -> Rc<Self> {
        let TrafficContext { shared, limits, seed } = cx;
        let state = State {
            dispatcher: Dispatcher::new(limits, seed),
            calls: Vec::new(),
            attempts: Vec::new(),
            pools: Pools::default(),
            lines: Lines::new(shared.log.clone(), shared.clock.now()),
        };
        let traffic = Rc::new(Self {
            shared,
            state: RefCell::new(state),
            tickets: Cell::new(0),
            wake_at: Cell::new(None),
            earlier: Notify::new(),
        });
        tokio::task::spawn_local(traffic.clone().keep_time());
        tokio::task::spawn_local(traffic.clone().follow_views());
        tokio::task::spawn_local(traffic.clone().sweep());
        traffic
    }

    pub(super) fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Returns the view in force.
    pub(super) fn view(&self) -> Option<Arc<View>> {
        self.shared.view.borrow().clone()
    }

    /// Starts a request of a caller.
    pub(super) fn request(
        self: &Rc<Self>,
        payload: Payload,
    ) -> (Ticket, oneshot::Receiver<Answer<HeaderMap>>) {
        let ticket = Ticket(self.tickets.get());
        self.tickets.set(ticket.0 + 1);
        let request = Request {
            host: payload.head.host.clone(),
            path: payload.uri.path().to_owned(),
            time_left: payload.head.time_left,
        };
        let (reply, rx) = oneshot::channel();
        // Tickets only grow, so the calls stay sorted.
        self.state.borrow_mut().calls.push(Call { ticket, payload: Rc::new(payload), reply });
        self.handle(Event::Request(ticket, request));
        (ticket, rx)
    }

    /// Notes that a caller went away.
    pub(super) fn caller_gone(self: &Rc<Self>, ticket: Ticket) {
        self.state.borrow_mut().take_call(ticket);
        self.handle(Event::CallerGone(ticket));
    }

    /// Notes how an attempt ended.
    pub(super) fn attempt_ended(self: &Rc<Self>, key: AttemptKey, outcome: Outcome<HeaderMap>) {
        self.state.borrow_mut().take_attempt(key);
        self.handle(Event::Ended(key, outcome));
    }

    /// Notes that a connection was opened.
    pub(super) fn connected(&self, replica: ReplicaId, started: Instant) {
        let now = self.now();
        let elapsed = now.saturating_duration_since(started);
        self.state.borrow_mut().dispatcher.connected(replica, elapsed, now);
    }

    pub(super) fn idle_connection(&self, replica: ReplicaId) -> Option<Connection> {
        self.state.borrow_mut().pools.take(replica, self.now())
    }

    pub(super) fn keep_connection(
        &self,
        replica: ReplicaId,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        self.state.borrow_mut().pools.put(replica, connection, keep_alive, self.now());
    }

    fn handle(self: &Rc<Self>, event: Event<HeaderMap>) {
        let now = self.now();
        let mut actions = Vec::new();
        let mut state = self.state.borrow_mut();
        state.dispatcher.handle(event, now, &mut actions);
        for action in actions {
            self.carry_out(&mut state, action, now);
        }
        let next = state.dispatcher.next_wake();
        drop(state);
        if next.is_some_and(|next| self.wake_at.get().is_none_or(|at| next < at)) {
            self.earlier.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action<HeaderMap>, now: Instant) {
        match action {
            Action::Send { ticket, attempt, replica, time_left, idempotent } => {
                let Some(payload) = state.payload(ticket) else { return };
                let id = replica.id;
                let task = AttemptTask { key: attempt, replica, time_left, idempotent, payload };
                let running = tokio::task::spawn_local(task.run(self.clone()));
                state.add_attempt(attempt, id, running.abort_handle());
            }
            Action::Abort { attempt, silent } => {
                if let Some((replica, running)) = state.take_attempt(attempt) {
                    running.abort();
                    if silent {
                        state.pools.close(replica);
                    }
                }
            }
            Action::Answer(ticket, answer) => {
                if let Some(call) = state.take_call(ticket) {
                    // An error means that the caller went away just now.
                    let _ = call.reply.send(answer);
                }
            }
            Action::Log(ticket, decision) => {
                let payload = state.payload(ticket);
                let id = payload.as_ref().map_or("", |payload| &payload.head.request_id);
                state.lines.write(id, &decision, now);
            }
        }
    }

    /// Wakes the dispatcher when it is due.
    async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.state.borrow_mut().dispatcher.next_wake();
            self.wake_at.set(next);
            let Some(next) = next else {
                self.earlier.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(next.into()) => self.handle(Event::Wake),
                () = self.earlier.notified() => {}
            }
        }
    }

    async fn follow_views(self: Rc<Self>) {
        let mut views = self.shared.view.clone();
        loop {
            let view = views.borrow_and_update().clone();
            if let Some(view) = view {
                self.handle(Event::View(view));
            }
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes connections that nobody needs.
    async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_PERIOD).await;
            let Some(view) = self.view() else { continue };
            let now = self.now();
            self.state.borrow_mut().pools.sweep(|replica| view.has_replica(replica), now);
        }
    }
}

impl State {
    fn payload(&self, ticket: Ticket) -> Option<Rc<Payload>> {
        let index = self.calls.binary_search_by_key(&ticket, |call| call.ticket).ok()?;
        Some(self.calls[index].payload.clone())
    }

    fn take_call(&mut self, ticket: Ticket) -> Option<Call> {
        let index = self.calls.binary_search_by_key(&ticket, |call| call.ticket).ok()?;
        Some(self.calls.remove(index))
    }

    fn add_attempt(&mut self, key: AttemptKey, replica: ReplicaId, running: AbortHandle) {
        let position = self.attempts.partition_point(|(other, ..)| *other < key);
        self.attempts.insert(position, (key, replica, running));
    }

    fn take_attempt(&mut self, key: AttemptKey) -> Option<(ReplicaId, AbortHandle)> {
        let index = self.attempts.binary_search_by_key(&key, |(key, ..)| *key).ok()?;
        let (_, replica, running) = self.attempts.remove(index);
        Some((replica, running))
    }
}
