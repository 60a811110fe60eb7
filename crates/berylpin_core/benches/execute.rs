//! Cost of non-idempotent requests in the core, without message encoding and upstream calls.
//!
//! `execute` passes requests through entry, holder and owner and back; one item is one execution.
//! Each sample starts with an empty holder, so allocations that are not freed during a sample
//! belong to its used keys.

use berylpin_core::arena::Arena;
use berylpin_core::config::ServiceSettings;
use berylpin_core::control::{Member, Topology, View};
use berylpin_core::execute::{
    Action, CallResult, ExecuteMessage, ForwardEvent, Forwarder, Holder, HolderEvent, Issuer,
    Request, RunEvent, Runner,
};
use berylpin_core::ids::{Key, MemberTag, ThreadId};
use berylpin_core::query::Ticket;
use berylpin_core::rank::Rank;
use berylpin_core::replica::Availability;
use bytes::Bytes;
use divan::counter::ItemsCount;
use divan::{AllocProfiler, Bencher};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// Executions per sample, all with keys of one holder.
const EXECUTIONS: [u64; 2] = [1_000, 20_000];

const DOCUMENT: &str = "service = \"receipt-vault\"\n[[shard]]\nname = \"main\"\n\
    [[shard.replica]]\naddress = \"127.0.0.1:1\"\ndata_centre = \"palermo-1\"\nslots = 6\n\
    connections = 110\n";

fn main() {
    divan::main();
}

struct StateMachines {
    now: Instant,
    forwarder: Forwarder,
    holder: Holder,
    runner: Runner,
}

impl StateMachines {
    fn new() -> Self {
        let (now, thread) = (Instant::now(), ThreadId::from_index(0));
        let tag = MemberTag(1);
        let view = view(tag);
        let issuer = Issuer::new(tag, thread, 9, b"secret of the fleet", now);
        Self {
            now,
            forwarder: Forwarder::new(thread, view.clone(), 1),
            holder: Holder::new(issuer, view.clone(), 2),
            runner: Runner::new(thread, 1, view, 3),
        }
    }

    /// Issues a key and processes one request with it up to its answer.
    fn execute(&mut self, number: u64) {
        let request = Request {
            key: self.holder.issue(self.now),
            service: "receipt-vault".to_owned(),
            shard: None,
            rank: Rank::Urgent,
            time_left: Duration::from_secs(1),
            body: Bytes::from_static(b"charge account-17 12"),
        };
        let mut out = Vec::new();
        self.forwarder.handle(self.now, ForwardEvent::Request(Ticket(number), request), &mut out);
        while let Some(action) = out.pop() {
            self.perform(action, &mut out);
        }
    }

    fn perform(&mut self, action: Action, out: &mut Vec<Action>) {
        match action {
            Action::Send(from, ExecuteMessage::Submit(submit)) => {
                self.holder.handle(self.now, HolderEvent::Submit(from, submit), out);
            }
            Action::Send(from, ExecuteMessage::Run(run)) => {
                self.handle_owner_event(RunEvent::Run(from, run), out);
            }
            Action::Send(from, ExecuteMessage::AttemptEnded { attempt, replica, outcome }) => {
                let event = HolderEvent::AttemptEnded(from, attempt, replica, outcome);
                self.holder.handle(self.now, event, out);
            }
            Action::Send(_, ExecuteMessage::Acknowledged { attempt, .. }) => {
                self.handle_owner_event(RunEvent::Acknowledged(attempt), out);
            }
            Action::Send(_, ExecuteMessage::Answered { request, key, answer }) => {
                let event = ForwardEvent::Answered(request, key, answer);
                self.forwarder.handle(self.now, event, out);
            }
            Action::Call(call) => {
                let (shard, result) = ("main".to_owned(), "balance 12".to_owned());
                let result = CallResult::Replied { request: call.request, shard, result };
                self.handle_owner_event(RunEvent::CallEnded(call.key, result), out);
            }
            Action::Answer(_, answer) => assert!(answer.is_ok()),
            Action::ExecutionEnded(..) | Action::Log(_) => {}
        }
    }

    fn handle_owner_event(&mut self, event: RunEvent, out: &mut Vec<Action>) {
        self.runner.handle(self.now, event, |_| Availability::Usable, out);
    }
}

fn view(tag: MemberTag) -> Arc<View> {
    let document = Arc::new(ServiceSettings::parse(DOCUMENT).expect("the document is valid"));
    let topology = Arc::new(Topology::default().with_documents(&[document]));
    let mut members = Arena::default();
    let own = members.push(Member {
        tag,
        name: "entry-1".to_owned(),
        data_centre: "palermo-1".to_owned(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        live: true,
        leaving: false,
    });
    Arc::new(View::new(1, own, members, topology))
}

#[divan::bench(args = EXECUTIONS, sample_count = 20)]
fn execute(bencher: Bencher, executions: u64) {
    bencher.counter(ItemsCount::new(executions)).with_inputs(StateMachines::new).bench_values(
        |mut state_machines| {
            for number in 0..executions {
                state_machines.execute(number);
            }
            state_machines
        },
    );
}
