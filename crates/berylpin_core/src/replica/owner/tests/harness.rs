//! A test harness that drives the owner of three replicas in virtual time.

use super::super::*;
use crate::config::ServiceSettings;
use crate::control::{Member, Topology};
use crate::ids::{Key, MemberTag, Snapshot};
use crate::message::{AttemptId, SnapshotRange};
use bytes::Bytes;
use std::time::Duration;

const SERVES: SnapshotRange = SnapshotRange { oldest: Snapshot(4), newest: Snapshot(5) };

#[derive(Debug)]
pub(super) struct Attempt {
    sub_query: SubQuery,
    pub(super) cancelled: bool,
    pub(super) called: bool,
    /// Whether the upstream refused the call before execution.
    pub(super) refused: bool,
    pub(super) replies: Vec<Outcome>,
}

#[derive(Debug)]
pub(super) struct Harness {
    pub(super) owner: Owner,
    pub(super) view: Arc<View>,
    pub(super) now: Instant,
    pub(super) attempts: Vec<Attempt>,
    /// Calls in flight; the body of each is the index of its attempt.
    pub(super) calls: Vec<Call>,
    pub(super) calls_started: usize,
    pub(super) reconnects: usize,
    /// The ordinal of the next attempts.
    pub(super) ordinal: u8,
    /// The replicas with a probe in flight.
    probes: Vec<ReplicaId>,
    slots: u16,
    drain: bool,
}

fn topology(slots: u16, drain: bool) -> Topology {
    let shards = (0..3).map(|shard| {
        format!(
            "[[shard]]\nname = \"{shard}\"\n[[shard.replica]]\naddress = \"127.0.0.1:{}\"\n\
             data_centre = \"d\"\nslots = {slots}\nconnections = 25\ndrain = {drain}\n",
            9000 + shard
        )
    });
    let text = format!("service = \"s\"\n{}", shards.collect::<String>());
    let settings = ServiceSettings::parse(&text).expect("the document is valid");
    Topology::default().with_documents(&[Arc::new(settings)])
}

fn view(epoch: u64, topology: Topology, owned: bool) -> Arc<View> {
    let mut members = Arena::default();
    for (name, live) in [("own", owned), ("other", !owned)] {
        members.push(Member {
            tag: MemberTag::of([name]),
            name: name.to_owned(),
            data_centre: "d".to_owned(),
            peer_address: "127.0.0.1:1".parse().expect("an address"),
            live,
            leaving: false,
        });
    }
    Arc::new(View::new(epoch, MemberId::from_index(0), members, Arc::new(topology)))
}

/// Returns a query tag with the given `QueryTag::level`.
pub(super) fn tag_with_level(level: u16) -> QueryTag {
    QueryTag(u64::from(level) + 7 * u64::from(QueryTag::LEVELS))
}

pub(super) fn batch(
    query: QueryTag,
    rank: Rank,
    time_left: Duration,
    attempt: usize,
    sub_query: SubQuery,
) -> Batch {
    let body = Bytes::from(attempt.to_string());
    Batch { query, rank, time_left, snapshot: Snapshot(5), body, sub_queries: vec![sub_query] }
}

impl Harness {
    pub(super) fn new(slots: u16) -> Self {
        let now = Instant::now();
        let view = view(1, topology(slots, false), true);
        let owner = Owner::new(ThreadId::from_index(0), 1, view.clone(), 7, now);
        Self {
            owner,
            view,
            now,
            attempts: Vec::new(),
            calls: Vec::new(),
            calls_started: 0,
            reconnects: 0,
            ordinal: 0,
            probes: Vec::new(),
            slots,
            drain: false,
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.owner.handle(self.now, event, &mut out);
        let mut closed = Vec::new();
        for action in out {
            match action {
                Action::Send(_, QueryMessage::Reply(reply)) => {
                    let at = reply.attempt.position as usize;
                    self.attempts[at].replies.push(reply.outcome);
                }
                Action::Call(call) => {
                    self.calls_started += 1;
                    if let Some(attempt) = self.attempts.get_mut(attempt_index(&call)) {
                        attempt.called = true;
                    }
                    self.calls.push(call);
                }
                Action::Reconnect { call, .. } => {
                    self.reconnects += 1;
                    closed.extend(call);
                }
                Action::Probe(probe) => self.probes.push(probe.replica),
                Action::Send(..) | Action::Abort { .. } | Action::Log(_) => {}
            }
        }
        for key in closed {
            if let Some(at) = self.calls.iter().position(|call| call.key == key) {
                self.fail(at, Verdict::MayHaveRun, FailReason::Connection);
            }
        }
    }

    pub(super) fn replicas(&self) -> Vec<ReplicaId> {
        self.view.topology.replicas.keys().collect()
    }

    pub(super) fn sub_query(&self, replica: usize, attempt: usize) -> SubQuery {
        let replica = self.view.topology.replicas[ReplicaId::from_index(replica)].settings.tag;
        let query = Slab::default().insert(());
        let thread = ThreadId::from_index(0);
        let position = attempt as u32;
        let tag = QueryTag(position.into());
        SubQuery {
            attempt: AttemptId { thread, query, tag, position, ordinal: self.ordinal },
            replica,
        }
    }

    pub(super) fn arrive(&mut self, replica: usize, rank: Rank, level: u16, time_left: Duration) {
        let at = self.attempts.len();
        let sub_query = self.sub_query(replica, at);
        self.attempts.push(Attempt {
            sub_query,
            cancelled: false,
            called: false,
            refused: false,
            replies: Vec::new(),
        });
        let batch = batch(tag_with_level(level), rank, time_left, at, sub_query);
        self.handle(Event::Batch(MemberId::from_index(0), batch));
    }

    pub(super) fn cancel(&mut self, attempt: usize) {
        self.attempts[attempt].cancelled = true;
        let sub_query = self.attempts[attempt].sub_query;
        self.handle(Event::Cancel(MemberId::from_index(0), vec![sub_query]));
    }

    pub(super) fn end_with_rows(&mut self, at: usize, snapshot: Snapshot) {
        let call = self.calls.remove(at);
        let shard = self.view.topology.replicas[call.replica].shard;
        let shard = self.view.topology.shards[shard].name.clone();
        let (request, serves, rows) = (call.request, SERVES, Vec::new());
        let result = CallResult::Rows { request, shard, snapshot, serves, rows };
        self.handle(Event::CallEnded(call.key, result));
    }

    pub(super) fn fail(&mut self, at: usize, verdict: Verdict, reason: FailReason) {
        let call = self.calls.remove(at);
        if let Some(attempt) = self.attempts.get_mut(attempt_index(&call)) {
            attempt.refused = verdict == Verdict::NotRun;
        }
        self.handle(Event::CallEnded(call.key, CallResult::Failed { verdict, reason }));
    }

    /// Advances time and fires each timer when it is due.
    pub(super) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.owner.next_timer().filter(|at| *at <= end) {
            self.now = at.max(self.now);
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    pub(super) fn answer_probes(&mut self, answered: bool) {
        let result = if answered { ProbeResult::Serves(SERVES) } else { ProbeResult::Failed };
        self.answer_probes_with(result);
    }

    pub(super) fn answer_probes_with(&mut self, result: ProbeResult) {
        for replica in std::mem::take(&mut self.probes) {
            self.handle(Event::ProbeEnded(replica, result));
        }
    }

    /// Completes successive calls of the given service time at the first replica.
    pub(super) fn complete_calls(&mut self, calls: usize, service_time: Duration) {
        for _ in 0..calls {
            self.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
            self.advance(service_time);
            self.end_with_rows(0, Snapshot(5));
        }
    }

    pub(super) fn set_drain(&mut self, drain: bool) {
        self.drain = drain;
        let topology = topology(self.slots, drain);
        let owned = self.view.members[self.view.own].live;
        self.apply_view(topology, owned);
    }

    pub(super) fn set_owned(&mut self, owned: bool) {
        let topology = topology(self.slots, self.drain);
        self.apply_view(topology, owned);
    }

    fn apply_view(&mut self, topology: Topology, owned: bool) {
        self.view = view(self.view.epoch + 1, topology, owned);
        self.handle(Event::View(self.view.clone()));
    }

    pub(super) fn drained(&self) -> bool {
        self.drain
    }

    pub(super) fn running(&self, replica: ReplicaId) -> usize {
        self.calls.iter().filter(|call| call.replica == replica).count()
    }

    pub(super) fn hint(&self, replica: usize) -> Hint {
        self.owner.hint(ReplicaId::from_index(replica))
    }

    pub(super) fn ejected(&self, replica: usize) -> bool {
        self.owner.replicas[ReplicaId::from_index(replica)].health.is_ejected()
    }

    /// Ends all calls, including those that start meanwhile.
    pub(super) fn finish(&mut self) {
        while !self.calls.is_empty() {
            self.end_with_rows(0, Snapshot(5));
        }
        self.advance(Duration::from_secs(1));
        while !self.calls.is_empty() {
            self.end_with_rows(0, Snapshot(5));
        }
    }
}

fn attempt_index(call: &Call) -> usize {
    std::str::from_utf8(&call.body).expect("a number").parse().expect("a number")
}
