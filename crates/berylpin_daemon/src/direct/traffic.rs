//! The traffic thread: passes events to the dispatcher and carries out its actions.

mod process_changes;

use super::attempt::AttemptTask;
use super::body::MemoryBudget;
use super::decision_log::DecisionLog;
use super::delivery::CallerDeliveries;
use super::links::{DelegatedCall, PeerLinks, PeerSender, connect_peer};
use super::peer_versions::PeerVersion;
use super::pool::{Connection, ConnectionPools};
use super::process::Shared;
use berylpin_core::direct::{
    Action, Answer, AttemptKey, CallKey, DirectDecision, Dispatcher, Event, Outcome, PartsRequest,
    RefusalReason, Replica, Request, Ticket, View,
};
use berylpin_core::ids::{PeerId, ReplicaId};
use berylpin_core::verdict::Verdict;
use berylpin_platform::{PlatformSettings, RequestHead};
use berylpin_wire::parts::DelegatedReply;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use process_changes::extra_limits;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// A timer that is handled later than this after it is due is logged: callers may have waited for
/// their answers as long.
const LOGGED_TIMER_DELAY: Duration = Duration::from_millis(250);

/// The interval between evictions of idle connections.
const EVICTION_INTERVAL: Duration = Duration::from_secs(2);

/// The share of the process's memory, as a divisor, for answers that are being read.
const ANSWER_MEMORY_DIVISOR: usize = 8;

/// The share of the process's memory, as a divisor, for the bodies of requests.
const REQUEST_MEMORY_DIVISOR: usize = 4;

/// The context and parameters of a traffic thread.
pub(super) struct TrafficContext {
    pub(super) shared: Shared,
    /// The settings, of which the limits of extra attempts can change.
    pub(super) settings: watch::Receiver<PlatformSettings>,
    pub(super) seed: u64,
    /// The memory that the process may use, in bytes.
    pub(super) memory_limit: usize,
    /// Replicas that announced that they leave, for the control thread.
    pub(super) leaving: mpsc::Sender<Arc<Replica>>,
    /// The address on which this daemon accepts requests of peers.
    pub(super) peer_address: SocketAddr,
    /// Versions of the configuration that peers have, for the control thread.
    pub(super) peer_versions: mpsc::Sender<PeerVersion>,
    /// When the configuration in force was last confirmed.
    pub(super) confirmed_at: watch::Receiver<Option<Instant>>,
}

/// A caller's request as it is forwarded to replicas and peers.
pub(super) struct Payload {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
}

/// A request that has not received its last answer.
struct PendingRequest {
    ticket: Ticket,
    payload: Rc<Payload>,
    reply: ReplyTo,
}

/// The recipient of an answer.
enum ReplyTo {
    /// The caller, which receives one answer.
    Caller(oneshot::Sender<Answer<HeaderMap>>),
    /// The peer that requested parts, which it may receive in two replies.
    Peer(mpsc::UnboundedSender<DelegatedReply>),
}

/// The state of a traffic thread.
struct State {
    dispatcher: Dispatcher<HeaderMap>,
    /// Sorted by ticket.
    requests: Vec<PendingRequest>,
    /// The attempts in flight, sorted by key.
    attempts: Vec<(AttemptKey, ReplicaId, AbortHandle)>,
    /// The calls to peers in flight, sorted by key.
    delegated_calls: Vec<(CallKey, AbortHandle)>,
    pools: ConnectionPools,
    links: PeerLinks,
    decision_log: DecisionLog,
}

/// A traffic thread's dispatcher with its connections, tasks and timer.
pub(super) struct Traffic {
    shared: Shared,
    state: RefCell<State>,
    answer_memory: MemoryBudget,
    /// The answers that hold memory until their callers take them.
    pub(super) deliveries: Rc<CallerDeliveries>,
    /// The memory for the bodies of requests that are being received or have no answer.
    request_memory: MemoryBudget,
    leaving: mpsc::Sender<Arc<Replica>>,
    pub(super) peer_address: SocketAddr,
    pub(super) peer_versions: mpsc::Sender<PeerVersion>,
    pub(super) confirmed_at: watch::Receiver<Option<Instant>>,
    next_ticket: Cell<u64>,
    /// When the timer task wakes the dispatcher; `None` if no timer is set.
    timer_due_at: Cell<Option<Instant>>,
    /// Notified when the dispatcher needs an earlier wake than `timer_due_at`.
    timer_moved: Notify,
}

impl Traffic {
    /// Starts the tasks of a traffic thread; must be called within its `LocalSet`.
    pub(super) fn start(cx: TrafficContext) -> Rc<Self> {
        let TrafficContext {
            shared,
            settings,
            seed,
            memory_limit,
            leaving,
            peer_address,
            peer_versions,
            confirmed_at,
        } = cx;
        let state = State {
            dispatcher: Dispatcher::new(extra_limits(&settings.borrow()), seed),
            requests: Vec::new(),
            attempts: Vec::new(),
            delegated_calls: Vec::new(),
            pools: ConnectionPools::default(),
            links: PeerLinks::default(),
            decision_log: DecisionLog::new(shared.log.clone(), shared.clock.now()),
        };
        let traffic = Rc::new(Self {
            deliveries: Rc::new(CallerDeliveries::new(shared.log.clone())),
            shared,
            state: RefCell::new(state),
            answer_memory: MemoryBudget::new(memory_limit / ANSWER_MEMORY_DIVISOR),
            request_memory: MemoryBudget::new(memory_limit / REQUEST_MEMORY_DIVISOR),
            leaving,
            peer_address,
            peer_versions,
            confirmed_at,
            next_ticket: Cell::new(0),
            timer_due_at: Cell::new(None),
            timer_moved: Notify::new(),
        });
        let failures = traffic.shared.failures.clone();
        failures.spawn_local("timer", traffic.clone().run_timer());
        failures.spawn_local("views", traffic.clone().apply_views());
        failures.spawn_local("idle connections", traffic.clone().evict_idle_connections());
        failures.spawn_local("stop", traffic.clone().apply_stop());
        failures.spawn_local("settings", traffic.clone().apply_settings(settings));
        traffic
    }

    pub(super) fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Returns the view in force.
    pub(super) fn view(&self) -> Option<Arc<View>> {
        self.shared.view.borrow().clone()
    }

    /// Starts a caller's request.
    pub(super) fn start_request(
        self: &Rc<Self>,
        payload: Payload,
    ) -> (Ticket, oneshot::Receiver<Answer<HeaderMap>>) {
        let ticket = self.assign_ticket();
        let request = Request {
            host: payload.head.host.clone(),
            path: payload.uri.path().to_owned(),
            time_left: payload.head.time_left,
        };
        let (reply, rx) = oneshot::channel();
        self.add_request(ticket, payload, ReplyTo::Caller(reply));
        self.handle(Event::Request(ticket, request));
        (ticket, rx)
    }

    /// Starts a peer's request for parts.
    pub(super) fn start_parts_request(
        self: &Rc<Self>,
        payload: Payload,
        request: PartsRequest,
    ) -> (Ticket, mpsc::UnboundedReceiver<DelegatedReply>) {
        let ticket = self.assign_ticket();
        let (reply, rx) = mpsc::unbounded_channel();
        self.add_request(ticket, payload, ReplyTo::Peer(reply));
        self.handle(Event::PartsRequest(ticket, request));
        (ticket, rx)
    }

    fn assign_ticket(&self) -> Ticket {
        let ticket = Ticket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        ticket
    }

    fn add_request(&self, ticket: Ticket, payload: Payload, reply: ReplyTo) {
        // Tickets increase, so the requests stay sorted.
        self.state.borrow_mut().requests.push(PendingRequest {
            ticket,
            payload: Rc::new(payload),
            reply,
        });
    }

    /// Handles a peer's reply to a call.
    pub(super) fn handle_parts_reply(self: &Rc<Self>, call: CallKey, reply: DelegatedReply) {
        if reply.last {
            self.state.borrow_mut().remove_delegated_call(call);
        }
        self.handle(Event::PartsReply(call, reply.reply, reply.last));
    }

    /// Handles a call to a peer that failed before its last reply.
    pub(super) fn handle_call_failure(self: &Rc<Self>, call: CallKey, verdict: Verdict) {
        self.state.borrow_mut().remove_delegated_call(call);
        self.handle(Event::CallFailed(call, verdict));
    }

    /// Handles a connection to a peer that opened, or that closed if `sender` is `None`.
    pub(super) fn handle_peer_connection(
        self: &Rc<Self>,
        peer: PeerId,
        sender: Option<PeerSender>,
    ) {
        let connected = sender.is_some();
        self.state.borrow_mut().links.set_sender(peer, sender);
        self.handle(Event::PeerConnected(peer, connected));
    }

    /// Handles the disconnection of a caller, or of a peer that requested parts.
    pub(super) fn handle_caller_disconnect(self: &Rc<Self>, ticket: Ticket) {
        // The log line needs the id of the request, so the request is removed afterwards.
        self.handle(Event::CallerDisconnected(ticket));
        self.state.borrow_mut().remove_request(ticket);
    }

    /// Handles the outcome of an attempt.
    pub(super) fn handle_attempt_end(
        self: &Rc<Self>,
        key: AttemptKey,
        outcome: Outcome<HeaderMap>,
    ) {
        self.state.borrow_mut().remove_attempt(key);
        self.handle(Event::AttemptEnded(key, outcome));
    }

    /// Records how long a connection to a replica took to open.
    pub(super) fn record_connect_time(&self, replica: ReplicaId, started: Instant) {
        let now = self.now();
        let elapsed = now.saturating_duration_since(started);
        self.state.borrow_mut().dispatcher.record_connect_time(replica, elapsed, now);
    }

    /// Returns the memory for the answers of replicas.
    pub(super) fn answer_memory(&self) -> &MemoryBudget {
        &self.answer_memory
    }

    /// Returns the memory for the bodies of requests.
    pub(super) fn request_memory(&self) -> &MemoryBudget {
        &self.request_memory
    }

    /// Refuses a request before it is started, and logs that.
    pub(super) fn refuse(&self, request_id: &str, reason: RefusalReason) -> Answer<HeaderMap> {
        let version = self.view().map(|view| view.version);
        let decision = DirectDecision::Refused { reason, version };
        self.state.borrow_mut().decision_log.record(request_id, &decision, self.now());
        Answer::refused_unsent(reason)
    }

    /// Handles an answer that announces that its replica leaves: the replica gets nothing more from
    /// this thread, and the control thread excludes it from later views.
    pub(super) fn handle_leaving_replica(&self, replica: &Arc<Replica>) {
        let now = self.now();
        if !self.state.borrow_mut().dispatcher.record_leaving(replica.id, now) {
            return;
        }
        info!(self.shared.log, "route: replica announces that it leaves"; "replica" => &*replica.name);
        if self.leaving.try_send(replica.clone()).is_err() {
            warn!(self.shared.log, "route: leaving replica not passed to the control thread";
                "replica" => &*replica.name, "cause" => "queue full");
        }
    }

    /// Records the pause that a replica asked for without proof that it did not run the request.
    pub(super) fn record_pause(&self, replica: &Replica, pause: Duration) {
        self.state.borrow_mut().dispatcher.record_pause(replica.id, pause, self.now());
    }

    /// Records the round trip measured on a new connection to a peer.
    pub(super) fn record_peer_round_trip(&self, peer: PeerId, round_trip: Duration) {
        self.state.borrow_mut().dispatcher.record_peer_round_trip(peer, round_trip, self.now());
    }

    pub(super) fn take_idle_connection(&self, replica: ReplicaId) -> Option<Connection> {
        self.state.borrow_mut().pools.take(replica, self.now())
    }

    pub(super) fn keep_idle_connection(
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
        if next.is_some_and(|next| self.timer_due_at.get().is_none_or(|at| next < at)) {
            self.timer_moved.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action<HeaderMap>, now: Instant) {
        match action {
            Action::Send { ticket, attempt, replica, time_left, idempotent, body_limits } => {
                let Some(payload) = state.payload(ticket) else { return };
                let id = replica.id;
                let task = AttemptTask {
                    key: attempt,
                    replica,
                    time_left,
                    idempotent,
                    body_limits,
                    payload,
                };
                let running = tokio::task::spawn_local(task.run(self.clone()));
                state.insert_attempt(attempt, id, running.abort_handle());
            }
            Action::Abort { attempt, silent } => {
                if let Some((replica, running)) = state.remove_attempt(attempt) {
                    running.abort();
                    if silent {
                        // The other connections to the replica may be dead as well.
                        state.pools.close(replica);
                    }
                }
            }
            Action::Answer(ticket, answer) => {
                if let Some(PendingRequest { reply: ReplyTo::Caller(reply), .. }) =
                    state.remove_request(ticket)
                {
                    // An error means that the caller disconnected in the meantime.
                    let _ = reply.send(answer);
                }
            }
            Action::SendParts(ticket, reply, last) => {
                if let Some(PendingRequest { reply: ReplyTo::Peer(tx), .. }) = state.request(ticket)
                {
                    // An error means that the peer disconnected in the meantime.
                    let _ = tx.send(DelegatedReply { reply, last });
                }
                if last {
                    state.remove_request(ticket);
                }
            }
            Action::Delegate { ticket, call, peer, request } => {
                let Some(payload) = state.payload(ticket) else { return };
                let sender = state.links.sender(peer.id);
                let task = DelegatedCall { key: call, payload, request };
                let running = tokio::task::spawn_local(task.run(sender, self.clone()));
                state.insert_delegated_call(call, running.abort_handle());
            }
            Action::CancelCall(call) => {
                if let Some(running) = state.remove_delegated_call(call) {
                    running.abort();
                }
            }
            Action::Connect(peer) => {
                if state.links.try_begin_connect(peer.id, now) {
                    tokio::task::spawn_local(connect_peer(
                        peer,
                        self.clone(),
                        self.shared.log.clone(),
                    ));
                }
            }
            Action::Disconnect(peer) => state.links.set_sender(peer, None),
            Action::Log(ticket, decision) => {
                let payload = state.payload(ticket);
                let id = payload.as_ref().map_or("", |payload| &payload.head.request_id);
                state.decision_log.record(id, &decision, now);
            }
        }
    }

    /// Wakes the dispatcher whenever one of its timers is due.
    async fn run_timer(self: Rc<Self>) {
        loop {
            let next = self.state.borrow_mut().dispatcher.next_wake();
            self.timer_due_at.set(next);
            let Some(next) = next else {
                self.timer_moved.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(next.into()) => {
                    let delay = self.now().saturating_duration_since(next);
                    if delay > LOGGED_TIMER_DELAY {
                        warn!(self.shared.log, "route: traffic thread was late";
                            "delay_ms" => delay.as_millis() as u64);
                    }
                    self.handle(Event::Wake);
                }
                () = self.timer_moved.notified() => {}
            }
        }
    }

    async fn apply_views(self: Rc<Self>) {
        let mut views = self.shared.view.clone();
        let mut version = None;
        loop {
            let view = views.borrow_and_update().clone();
            if let Some(view) = view {
                if version.replace(view.version) != Some(view.version) {
                    info!(self.shared.log, "route: configuration in use"; "version" => view.version);
                }
                self.state.borrow_mut().links.retain(|id| view.has_peer(id));
                self.handle(Event::View(view));
            }
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes idle connections that expired, and those to removed replicas.
    async fn evict_idle_connections(self: Rc<Self>) {
        loop {
            tokio::time::sleep(EVICTION_INTERVAL).await;
            let Some(view) = self.view() else { continue };
            let now = self.now();
            self.state.borrow_mut().pools.evict_expired(|replica| view.has_replica(replica), now);
        }
    }
}

impl State {
    fn request(&self, ticket: Ticket) -> Option<&PendingRequest> {
        let index = self.requests.binary_search_by_key(&ticket, |request| request.ticket).ok()?;
        Some(&self.requests[index])
    }

    fn payload(&self, ticket: Ticket) -> Option<Rc<Payload>> {
        self.request(ticket).map(|request| request.payload.clone())
    }

    fn insert_delegated_call(&mut self, key: CallKey, task: AbortHandle) {
        let position = self.delegated_calls.partition_point(|(other, _)| *other < key);
        self.delegated_calls.insert(position, (key, task));
    }

    fn remove_delegated_call(&mut self, key: CallKey) -> Option<AbortHandle> {
        let index = self.delegated_calls.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        Some(self.delegated_calls.remove(index).1)
    }

    fn remove_request(&mut self, ticket: Ticket) -> Option<PendingRequest> {
        let index = self.requests.binary_search_by_key(&ticket, |request| request.ticket).ok()?;
        Some(self.requests.remove(index))
    }

    fn insert_attempt(&mut self, key: AttemptKey, replica: ReplicaId, task: AbortHandle) {
        let position = self.attempts.partition_point(|(other, ..)| *other < key);
        self.attempts.insert(position, (key, replica, task));
    }

    fn remove_attempt(&mut self, key: AttemptKey) -> Option<(ReplicaId, AbortHandle)> {
        let index = self.attempts.binary_search_by_key(&key, |(key, ..)| *key).ok()?;
        let (_, replica, task) = self.attempts.remove(index);
        Some((replica, task))
    }
}
