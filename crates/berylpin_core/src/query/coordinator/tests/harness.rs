//! A test harness that simulates the fleet around a coordinator, in virtual time.

use crate::arena::Arena;
use crate::config::{ReplicaSettings, ServiceSettings, ShardSettings};
use crate::control::{Member, Topology, View};
use crate::decision::{AttemptCause, Decision};
use crate::ids::{
    Key, MemberId, MemberTag, QueryTag, ReplicaId, ReplicaTag, ServiceId, Snapshot, ThreadId,
};
use crate::message::{
    Batch, FailReason, Hint, Outcome, QueryMessage, Row, SnapshotRange, SubQuery, SubQueryReply,
};
use crate::query::{Action, Answer, Coordinator, Event, Refusal, Request, Ticket};
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub(super) const DATA_CENTRES: [&str; 2] = ["palermo-1", "catania-1"];

/// The size and settings of the fleet; every service belongs to the group `desk`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) services: u32,
    pub(super) shards: u32,
    pub(super) replicas: u32,
    pub(super) members: u32,
    pub(super) minimum_coverage: f64,
    pub(super) extra_load: f64,
}

pub(super) const SMALL: Shape = Shape {
    services: 3,
    shards: 2,
    replicas: 2,
    members: 5,
    minimum_coverage: 0.0,
    extra_load: 0.1,
};

/// A sub-query that the coordinator sent, and the state of its reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    pub(super) owner: MemberId,
    pub(super) sub_query: SubQuery,
    pub(super) query: QueryTag,
    pub(super) ticket: Ticket,
    pub(super) snapshot: Snapshot,
    /// Whether the coordinator cancelled the sub-query, or a test excludes it from replies.
    pub(super) cancelled: bool,
    pub(super) replied: bool,
    /// Whether the first reply had the verdict `not run`.
    pub(super) not_run: bool,
}

pub(super) struct Harness {
    pub(super) now: Instant,
    pub(super) view: Arc<View>,
    pub(super) coordinator: Coordinator,
    /// The hints that owners report, indexed by replica.
    pub(super) hints: Vec<Hint>,
    pub(super) sent: Vec<Sent>,
    pub(super) hint_requests: Vec<(MemberId, ReplicaTag)>,
    pub(super) answers: Vec<(Ticket, Result<Answer, Refusal>)>,
    /// The service, rank and cause of each routed attempt.
    pub(super) routed: Vec<(ServiceId, Rank, AttemptCause)>,
    pub(super) ranks: Vec<(QueryTag, Rank)>,
    pub(super) restarts: Vec<QueryTag>,
    tickets: u64,
}

impl Harness {
    pub(super) fn new(shape: Shape) -> Self {
        let live = vec![true; shape.members as usize];
        let topology = Arc::new(Topology::default().with_documents(&documents(shape)));
        let view = Arc::new(view(1, &live, topology));
        let range = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };
        let hint = Hint {
            snapshots: Some(range),
            queue_delay: Duration::ZERO,
            shed_from: [QueryTag::LEVELS; Rank::COUNT],
            usable: true,
            ejected: false,
            service_time: Duration::ZERO,
        };
        Self {
            now: Instant::now(),
            coordinator: Coordinator::new(ThreadId::from_index(0), view.clone(), 7),
            hints: vec![hint; view.topology.replicas.len()],
            view,
            sent: Vec::new(),
            hint_requests: Vec::new(),
            answers: Vec::new(),
            routed: Vec::new(),
            ranks: Vec::new(),
            restarts: Vec::new(),
            tickets: 0,
        }
    }

    pub(super) fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.coordinator.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(owner, QueryMessage::Batch(batch)) => self.record_batch(owner, &batch),
                Action::Send(_, QueryMessage::Cancel(sub_queries)) => {
                    for sent in &mut self.sent {
                        sent.cancelled |= sub_queries.contains(&sent.sub_query);
                    }
                }
                Action::Send(owner, QueryMessage::RequestHints { replicas, .. }) => {
                    self.hint_requests.extend(replicas.into_iter().map(|tag| (owner, tag)));
                }
                Action::Send(_, message) => panic!("an entry does not send {message:?}"),
                Action::Answer(ticket, result) => self.answers.push((ticket, result)),
                Action::Log(decision) => self.record_decision(decision),
            }
        }
    }

    fn record_batch(&mut self, owner: MemberId, batch: &Batch) {
        let ticket = Ticket(u64::from_le_bytes(batch.body[..].try_into().unwrap()));
        assert!(!batch.sub_queries.is_empty());
        self.sent.extend(batch.sub_queries.iter().map(|&sub_query| Sent {
            owner,
            sub_query,
            query: batch.query,
            ticket,
            snapshot: batch.snapshot,
            cancelled: false,
            replied: false,
            not_run: false,
        }));
    }

    fn record_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Pinned { query, rank, .. } => self.ranks.push((query, rank)),
            Decision::Routed { query, replica, cause } => {
                let rank = self.ranks.iter().find(|(tag, _)| *tag == query).unwrap().1;
                let replica = self.view.topology.replica(replica).unwrap();
                let shard = self.view.topology.replicas[replica].shard;
                self.routed.push((self.view.topology.shards[shard].service, rank, cause));
            }
            Decision::Restarted { query, .. } => self.restarts.push(query),
            _ => {}
        }
    }

    pub(super) fn request(&mut self, rank: Rank, time_left: Duration) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let body = Bytes::copy_from_slice(&self.tickets.to_le_bytes());
        let target = "desk".to_owned();
        let request = Request { target, rank, time_left, limit: 10_000, body };
        self.handle(Event::Request(ticket, request));
        ticket
    }

    /// Answers all hint requests.
    pub(super) fn answer_hint_requests(&mut self) {
        let hint_requests = std::mem::take(&mut self.hint_requests);
        let hints = hint_requests.iter().map(|(_, tag)| (*tag, self.hint_for(*tag))).collect();
        self.handle(Event::Hints(hints));
    }

    /// Sends the hints of all replicas.
    pub(super) fn send_all_hints(&mut self) {
        let replicas = self.view.topology.replicas.iter();
        let tags = replicas.map(|(_, replica)| replica.settings.tag);
        let hints = tags.map(|tag| (tag, self.hint_for(tag))).collect();
        self.handle(Event::Hints(hints));
    }

    pub(super) fn hint_for(&self, tag: ReplicaTag) -> Hint {
        self.hints[self.view.topology.replica(tag).unwrap().index()]
    }

    /// Advances time and fires the timers that become due.
    pub(super) fn wait(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(at) = self.coordinator.next_timer().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.handle(Event::Tick);
        }
        self.now = end;
    }

    /// Returns the row that the shard of a replica has for a ticket.
    pub(super) fn row(&self, replica: ReplicaTag, ticket: Ticket, snapshot: Snapshot) -> Row {
        let replica = self.view.topology.replica(replica).unwrap();
        let shard = self.view.topology.replicas[replica].shard;
        Row { key: format!("{:04}", shard.index()), value: format!("{}@{snapshot}", ticket.0) }
    }

    pub(super) fn rows(&self, sent: &Sent) -> Outcome {
        let row = self.row(sent.sub_query.replica, sent.ticket, sent.snapshot);
        Outcome::Rows { snapshot: sent.snapshot, rows: vec![row] }
    }

    pub(super) fn reply(&mut self, index: usize, outcome: Outcome) {
        let sub_query = self.sent[index].sub_query;
        // The coordinator ignores further replies to an attempt.
        if !self.sent[index].replied {
            self.sent[index].replied = true;
            self.sent[index].not_run =
                matches!(outcome, Outcome::Failed { verdict: Verdict::NotRun, .. });
        }
        let hint = self.hint_for(sub_query.replica);
        let (attempt, replica) = (sub_query.attempt, sub_query.replica);
        self.handle(Event::Reply(SubQueryReply { attempt, replica, outcome, hint }));
    }

    pub(super) fn fail(&mut self, index: usize, verdict: Verdict, reason: FailReason) {
        self.reply(index, Outcome::Failed { verdict, reason });
    }

    /// Replies with rows to every sub-query of a live owner that has no reply and is not cancelled.
    pub(super) fn answer_all(&mut self) {
        while let Some(index) = self
            .sent
            .iter()
            .position(|sent| !sent.replied && !sent.cancelled && self.view.members[sent.owner].live)
        {
            let rows = self.rows(&self.sent[index]);
            self.reply(index, rows);
        }
    }

    /// Applies a view in which member `i` is live if `live[i]` is set; member 0 is this daemon.
    pub(super) fn set_live_members(&mut self, live: &[bool]) {
        let topology = self.view.topology.clone();
        self.view = Arc::new(view(self.view.epoch + 1, live, topology));
        self.handle(Event::View(self.view.clone()));
    }

    /// Runs a query whose sub-queries each take `latency`.
    pub(super) fn run_query(&mut self, rank: Rank, latency: Duration) -> Ticket {
        let ticket = self.request(rank, Duration::from_secs(1));
        self.answer_hint_requests();
        self.wait(latency);
        self.answer_all();
        ticket
    }

    pub(super) fn result(&self, ticket: Ticket) -> Option<&Result<Answer, Refusal>> {
        self.answers.iter().find(|(other, _)| *other == ticket).map(|(_, result)| result)
    }

    pub(super) fn replica(&self, index: usize) -> ReplicaId {
        ReplicaId::from_index(index % self.hints.len())
    }
}

fn documents(shape: Shape) -> Vec<Arc<ServiceSettings>> {
    let replica = |service, shard, index: u32| ReplicaSettings {
        tag: ReplicaTag(u64::from((service * 100 + shard) * 100 + index) * 0x9e37_79b9),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: DATA_CENTRES[index as usize % DATA_CENTRES.len()].to_owned(),
        slots: 2,
        connections: 25,
        drain: false,
    };
    let shard = |service, shard| ShardSettings {
        name: format!("shard-{shard}"),
        replicas: (0..shape.replicas).map(|index| replica(service, shard, index)).collect(),
    };
    let service = |service| ServiceSettings {
        name: format!("desk-{service:02}"),
        group: "desk".to_owned(),
        minimum_coverage: shape.minimum_coverage,
        extra_load: shape.extra_load,
        target_latencies: [Duration::from_secs(1); Rank::COUNT],
        minimum_shares: [0.7, 0.2, 0.1],
        shards: (0..shape.shards).map(|index| shard(service, index)).collect(),
    };
    (0..shape.services).map(|index| Arc::new(service(index))).collect()
}

fn view(epoch: u64, live: &[bool], topology: Arc<Topology>) -> View {
    let mut members = Arena::default();
    for (index, live) in live.iter().enumerate() {
        let name = format!("vm-{index}");
        members.push(Member {
            tag: MemberTag::of([name.as_str()]),
            name,
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
            peer_address: "127.0.0.1:9100".parse().unwrap(),
            live: *live,
            leaving: false,
        });
    }
    View::new(epoch, MemberId::from_index(0), members, topology)
}
