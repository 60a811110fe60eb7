//! Cost of one sub-query at its owner, from arrival to reply.
//!
//! In each iteration one sub-query arrives and one call ends, while the given number of sub-queries
//! is queued.

use berylpin_core::arena::{Arena, Slab};
use berylpin_core::config::ServiceSettings;
use berylpin_core::control::{Member, Topology, View};
use berylpin_core::ids::{Key, MemberId, MemberTag, QueryTag, ReplicaId, Snapshot, ThreadId};
use berylpin_core::message::{AttemptId, Batch, SnapshotRange, SubQuery};
use berylpin_core::rank::Rank;
use berylpin_core::replica::{Action, Call, CallResult, Event, Owner};
use bytes::Bytes;
use divan::{AllocProfiler, Bencher};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

const DOCUMENT: &str = "service = \"s\"\n[[shard]]\nname = \"0\"\n[[shard.replica]]\n\
    address = \"127.0.0.1:9000\"\ndata_centre = \"d\"\nslots = 2\nconnections = 25\n";

fn main() {
    divan::main();
}

fn view() -> Arc<View> {
    let settings = ServiceSettings::parse(DOCUMENT).expect("the document is valid");
    let topology = Arc::new(Topology::default().with_documents(&[Arc::new(settings)]));
    let mut members = Arena::default();
    members.push(Member {
        tag: MemberTag::of(["own"]),
        name: "own".to_owned(),
        data_centre: "d".to_owned(),
        peer_address: "127.0.0.1:1".parse().expect("the address is valid"),
        live: true,
        leaving: false,
    });
    Arc::new(View::new(1, MemberId::from_index(0), members, topology))
}

/// An owner of one replica, and its calls in flight.
struct OwnerDriver {
    now: Instant,
    owner: Owner,
    view: Arc<View>,
    /// Calls in flight, oldest first.
    calls: VecDeque<Call>,
    out: Vec<Action>,
    /// Number of sub-queries so far.
    arrived: u32,
}

impl OwnerDriver {
    fn new(queued: u32) -> Self {
        let (now, view) = (Instant::now(), view());
        let owner = Owner::new(ThreadId::from_index(0), 1, view.clone(), 1, now);
        let calls = VecDeque::new();
        let mut driver = Self { now, owner, view, calls, out: Vec::new(), arrived: 0 };
        for _ in 0..queued {
            driver.add_sub_query();
        }
        driver
    }

    fn handle(&mut self, event: Event) {
        self.owner.handle(self.now, event, &mut self.out);
        for action in self.out.drain(..) {
            if let Action::Call(call) = action {
                self.calls.push_back(call);
            }
        }
    }

    fn add_sub_query(&mut self) {
        self.arrived += 1;
        let replica = self.view.topology.replicas[ReplicaId::from_index(0)].settings.tag;
        // Multiplication by 2^64 / the golden ratio spreads consecutive tags over all query levels.
        let tag = QueryTag(u64::from(self.arrived).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (thread, query) = (ThreadId::from_index(0), Slab::default().insert(()));
        let attempt = AttemptId { thread, query, tag, position: self.arrived, ordinal: 0 };
        let batch = Batch {
            query: tag,
            rank: Rank::ALL[self.arrived as usize % Rank::COUNT],
            // Long enough that no deadline passes during a run.
            time_left: Duration::from_hours(1),
            snapshot: Snapshot(5),
            body: Bytes::from_static(b"balance of student 4711"),
            sub_queries: vec![SubQuery { attempt, replica }],
        };
        self.handle(Event::Batch(MemberId::from_index(0), batch));
    }

    /// Ends the oldest call in flight with an empty result.
    fn end_call(&mut self) {
        let Some(call) = self.calls.pop_front() else { return };
        let serves = SnapshotRange { oldest: Snapshot(4), newest: Snapshot(5) };
        let result = CallResult::Rows {
            request: call.request,
            shard: "0".to_owned(),
            snapshot: call.snapshot,
            serves,
            rows: Vec::new(),
        };
        self.handle(Event::CallEnded(call.key, result));
    }

    /// Advances time, adds a sub-query and ends a call.
    fn step(&mut self) {
        // The simulated time between arrivals.
        self.now += Duration::from_micros(20);
        if self.owner.next_timer().is_some_and(|at| at <= self.now) {
            self.handle(Event::Tick);
        }
        self.add_sub_query();
        self.end_call();
    }
}

/// The arguments are the numbers of queued sub-queries.
#[divan::bench(args = [0, 100, 1000])]
fn arrival_to_reply(bencher: Bencher, queued: u32) {
    let mut driver = OwnerDriver::new(queued);
    bencher.bench_local(|| driver.step());
}
