//! Cost of one sub-query at the entry.
//!
//! `fan_out` measures from a request to the messages to owners, `merge` from the replies of the
//! owners to the answer. One item is one sub-query.

use berylpin_core::arena::Arena;
use berylpin_core::config::{ReplicaSettings, ServiceSettings, ShardSettings};
use berylpin_core::control::{Member, Topology, View};
use berylpin_core::ids::{Key, MemberId, MemberTag, QueryTag, ReplicaTag, Snapshot, ThreadId};
use berylpin_core::message::{Hint, Outcome, QueryMessage, Row, SnapshotRange, SubQueryReply};
use berylpin_core::query::{Action, Coordinator, Event, Request, Ticket};
use berylpin_core::rank::Rank;
use bytes::Bytes;
use divan::counter::ItemsCount;
use divan::{AllocProfiler, Bencher};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// Number of daemons in the fleet.
const MEMBERS: usize = 18;

/// Data centres of the fleet; each shard has one replica in each.
const DATA_CENTRES: [&str; 2] = ["palermo-1", "catania-1"];

/// Numbers of shards of the queried service.
const SHARDS: [u32; 3] = [20, 100, 400];

fn main() {
    divan::main();
}

/// An entry that has received the state of all replicas.
struct Entry {
    now: Instant,
    coordinator: Coordinator,
    out: Vec<Action>,
    last_ticket: u64,
    hint: Hint,
}

impl Entry {
    fn new(shards: u32) -> Self {
        let view = view(shards);
        let range = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };
        let hint = Hint {
            snapshots: Some(range),
            queue_delay: Duration::from_millis(1),
            shed_from: [QueryTag::LEVELS; Rank::COUNT],
            usable: true,
            ejected: false,
            service_time: Duration::from_millis(8),
        };
        let mut entry = Self {
            now: Instant::now(),
            coordinator: Coordinator::new(ThreadId::from_index(0), view.clone(), 1),
            out: Vec::new(),
            last_ticket: 0,
            hint,
        };
        entry.send_hints(&view);
        entry
    }

    fn send_hints(&mut self, view: &View) {
        let replicas = view.topology.replicas.iter();
        let hints = replicas.map(|(_, replica)| (replica.settings.tag, self.hint)).collect();
        self.coordinator.handle(self.now, Event::Hints(hints), &mut self.out);
    }

    fn request(&mut self) -> (Ticket, Request) {
        self.last_ticket += 1;
        self.now += Duration::from_micros(10);
        self.out.clear();
        let request = Request {
            target: "desk".to_owned(),
            rank: Rank::Urgent,
            time_left: Duration::from_millis(250),
            limit: 100,
            body: Bytes::from_static(b"balance of student 4711"),
        };
        (Ticket(self.last_ticket), request)
    }

    /// Drains the sent sub-queries and returns a reply with one row for each.
    fn replies(&mut self) -> Vec<SubQueryReply> {
        let mut replies = Vec::new();
        for action in self.out.drain(..) {
            let Action::Send(_, QueryMessage::Batch(batch)) = action else { continue };
            replies.extend(batch.sub_queries.iter().map(|part| {
                let key = format!("student-4711/{}", part.attempt.position);
                let rows = vec![Row { key, value: "quota 120".to_owned() }];
                let outcome = Outcome::Rows { snapshot: batch.snapshot, rows };
                let (attempt, replica) = (part.attempt, part.replica);
                SubQueryReply { attempt, replica, outcome, hint: self.hint }
            }));
        }
        replies
    }

    fn begin(&mut self, ticket: Ticket, request: Request) {
        self.coordinator.handle(self.now, Event::Request(ticket, request), &mut self.out);
    }

    fn send_replies(&mut self, replies: Vec<SubQueryReply>) {
        for reply in replies {
            self.coordinator.handle(self.now, Event::Reply(reply), &mut self.out);
        }
    }
}

/// A sample is one request, because the replies to it are handled between samples, unmeasured.
#[divan::bench(args = SHARDS, sample_count = 2000, sample_size = 1)]
fn fan_out(bencher: Bencher, shards: u32) {
    let entry = RefCell::new(Entry::new(shards));
    bencher
        .counter(ItemsCount::new(shards))
        .with_inputs(|| {
            let mut entry = entry.borrow_mut();
            let replies = entry.replies();
            entry.send_replies(replies);
            assert_eq!(entry.coordinator.running(), 0);
            entry.request()
        })
        .bench_local_values(|(ticket, request)| entry.borrow_mut().begin(ticket, request));
}

/// A sample is one query, because its request is sent between samples, unmeasured.
#[divan::bench(args = SHARDS, sample_count = 2000, sample_size = 1)]
fn merge(bencher: Bencher, shards: u32) {
    let entry = RefCell::new(Entry::new(shards));
    bencher
        .counter(ItemsCount::new(shards))
        .with_inputs(|| {
            let mut entry = entry.borrow_mut();
            let (ticket, request) = entry.request();
            entry.begin(ticket, request);
            let replies = entry.replies();
            assert_eq!(replies.len(), shards as usize);
            replies
        })
        .bench_local_values(|replies| entry.borrow_mut().send_replies(replies));
    assert_eq!(entry.borrow().coordinator.running(), 0);
}

fn view(shards: u32) -> Arc<View> {
    let replica = |shard, index: usize| ReplicaSettings {
        tag: ReplicaTag::of(["desk", &format!("shard-{shard}"), &index.to_string()]),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: DATA_CENTRES[index].to_owned(),
        slots: 2,
        connections: 25,
        drain: false,
    };
    let shard = |shard| ShardSettings {
        name: format!("shard-{shard}"),
        replicas: (0..DATA_CENTRES.len()).map(|index| replica(shard, index)).collect(),
    };
    let service = ServiceSettings {
        name: "desk".to_owned(),
        group: "desk".to_owned(),
        minimum_coverage: 0.9,
        extra_load: 0.05,
        target_latencies: [Duration::from_millis(250); Rank::COUNT],
        minimum_shares: [0.7, 0.2, 0.1],
        shards: (0..shards).map(shard).collect(),
    };
    let topology = Topology::default().with_documents(&[Arc::new(service)]);
    let mut members = Arena::default();
    for index in 0..MEMBERS {
        let name = format!("vm-{index}");
        members.push(Member {
            tag: MemberTag::of([name.as_str()]),
            name,
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
            peer_address: ([127, 0, 0, 1], 9100).into(),
            live: true,
            leaving: false,
        });
    }
    Arc::new(View::new(1, MemberId::from_index(0), members, Arc::new(topology)))
}
