//! Entry side of non-idempotent requests: forwards each request to the holder of its key.

use super::Action;
use super::answer::{Answer, Refusal, RefusalReason};
use super::key::{ExecutionKey, KeyId};
use super::message::{ExecuteMessage, RequestId, Submit};
use crate::arena::{Slab, SlabKey};
use crate::control::View;
use crate::decision::Decision;
use crate::ids::{MemberId, ThreadId};
use crate::query::Ticket;
use crate::rank::Rank;
use crate::timers::Timers;
use crate::verdict::Verdict;
use bytes::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between resends of a request that has no answer.
///
/// The holder deduplicates requests by key, so resending is safe and covers any message loss.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of requests of one thread that wait for an answer.
const MAX_PENDING: usize = 16 * 1024;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Idempotency key.
    pub key: ExecutionKey,
    /// Name of the service.
    pub service: String,
    /// Name of the shard; optional for a service with one shard.
    pub shard: Option<String>,
    /// Rank of the request.
    pub rank: Rank,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Request body.
    pub body: Bytes,
}

/// Input of a [`Forwarder`].
#[derive(Debug)]
pub enum Event {
    /// A new view of the control state.
    View(Arc<View>),
    /// A caller sent a request.
    Request(Ticket, Request),
    /// The caller disconnected before the answer; the execution is not cancelled.
    CallerDisconnected(Ticket),
    /// A holder answered a request.
    Answered(RequestId, KeyId, Answer),
    /// A timer may be due.
    Tick,
}

/// Forwards the requests that arrive at one traffic thread.
#[derive(Debug)]
pub struct Forwarder {
    thread: ThreadId,
    view: Arc<View>,
    pending: Slab<Pending>,
    /// Sorted by ticket; contains every pending request.
    tickets: Vec<(Ticket, SlabKey)>,
    timers: Timers<SlabKey>,
    rng: SmallRng,
}

#[derive(Debug)]
struct Pending {
    ticket: Ticket,
    holder: MemberId,
    nonce: u64,
    deadline: Instant,
    /// `time_left` is as of the arrival of the request.
    request: Request,
}

impl Forwarder {
    /// Creates the forwarder of `thread`; `seed` seeds its random choices.
    pub fn new(thread: ThreadId, view: Arc<View>, seed: u64) -> Self {
        Self {
            thread,
            view,
            pending: Slab::default(),
            tickets: Vec::new(),
            timers: Timers::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns when the next `Tick` is due.
    pub fn next_timer(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns the number of requests that wait for an answer.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::View(view) => self.view = view,
            Event::Request(ticket, request) => self.handle_request(now, ticket, request, out),
            Event::CallerDisconnected(ticket) => {
                if let Ok(at) = self.tickets.binary_search_by_key(&ticket, |(t, _)| *t) {
                    self.remove(self.tickets[at].1);
                }
            }
            Event::Answered(request, key, answer) => self.handle_answer(request, key, answer, out),
            Event::Tick => {
                while let Some(slab_key) = self.timers.pop_due(now) {
                    self.handle_timer(now, slab_key, out);
                }
            }
        }
    }

    fn handle_request(
        &mut self,
        now: Instant,
        ticket: Ticket,
        request: Request,
        out: &mut Vec<Action>,
    ) {
        let key = &request.key;
        let member = self.view.member(key.holder);
        let Some(holder) = member.filter(|id| self.is_reachable(*id)) else {
            return out.push(Action::Answer(ticket, refuse(RefusalReason::HolderUnreachable)));
        };
        if self.pending.len() >= MAX_PENDING {
            return out.push(Action::Answer(ticket, refuse(RefusalReason::Overloaded)));
        }
        out.push(Action::Log(Decision::KeyRouted { key: key.id, holder: key.holder }));
        let deadline = now + request.time_left;
        let nonce = self.rng.random();
        let slab_key = self.pending.insert(Pending { ticket, holder, nonce, deadline, request });
        let at = self.tickets.partition_point(|(t, _)| *t < ticket);
        self.tickets.insert(at, (ticket, slab_key));
        self.submit(now, slab_key, out);
    }

    /// Returns whether requests may be sent to a member.
    ///
    /// A leaving daemon still answers requests with its keys.
    fn is_reachable(&self, id: MemberId) -> bool {
        let member = &self.view.members[id];
        id == self.view.own || member.live || member.leaving
    }

    /// Sends or resends a request to its holder and sets the timer for the next resend.
    fn submit(&mut self, now: Instant, slab_key: SlabKey, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(slab_key) else { return };
        let request = &pending.request;
        let submit = Submit {
            request: RequestId { thread: self.thread, slab_key, nonce: pending.nonce },
            key: request.key,
            service: request.service.clone(),
            shard: request.shard.clone(),
            rank: request.rank,
            time_left: pending.deadline - now,
            body: request.body.clone(),
        };
        out.push(Action::Send(pending.holder, ExecuteMessage::Submit(submit)));
        self.timers.set(pending.deadline.min(now + RESEND_INTERVAL), slab_key);
    }

    /// Resends the request, or refuses it if the deadline passed.
    fn handle_timer(&mut self, now: Instant, slab_key: SlabKey, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.get(slab_key) else { return };
        if now < pending.deadline {
            return self.submit(now, slab_key, out);
        }
        let ticket = pending.ticket;
        self.remove(slab_key);
        out.push(Action::Answer(ticket, refuse(RefusalReason::Deadline)));
    }

    fn handle_answer(&mut self, id: RequestId, key: KeyId, answer: Answer, out: &mut Vec<Action>) {
        let matches = |p: &Pending| p.nonce == id.nonce && p.request.key.id == key;
        let Some(pending) = self.pending.get(id.slab_key).filter(|p| matches(p)) else { return };
        let ticket = pending.ticket;
        self.remove(id.slab_key);
        out.push(Action::Answer(ticket, answer));
    }

    fn remove(&mut self, slab_key: SlabKey) {
        let Some(pending) = self.pending.remove(slab_key) else { return };
        if let Ok(at) = self.tickets.binary_search_by_key(&pending.ticket, |(t, _)| *t) {
            self.tickets.remove(at);
        }
    }
}

/// Refuses a request without an answer from its holder.
///
/// The verdict is `MayHaveRun` because only the holder knows whether an upstream ran this or an
/// earlier request with the key.
fn refuse(reason: RefusalReason) -> Answer {
    Err(Refusal { verdict: Verdict::MayHaveRun, reason })
}
