use super::super::key::Issuer;
use super::*;
use crate::config::ServiceSettings;
use crate::control::{Member, Topology};
use crate::ids::{Key, MemberTag};

const SECOND: Duration = Duration::from_secs(1);

struct Harness {
    runner: Runner,
    issuer: Issuer,
    now: Instant,
    replica: ReplicaTag,
    attempts: u64,
    is_last: bool,
    rank: Rank,
}

impl Harness {
    /// Creates a runner that owns one replica with 2 slots, which runs 1 execution at a time.
    fn new() -> Self {
        let document = "service = \"quota\"\n[[shard]]\nname = \"main\"\n[[shard.replica]]\n\
                        address = \"127.0.0.1:1\"\ndata_centre = \"a\"\nslots = 2\nconnections = 2\n";
        let document = Arc::new(ServiceSettings::parse(document).unwrap());
        let replica = document.shards[0].replicas[0].tag;
        let topology = Arc::new(Topology::default().with_documents(&[document]));
        let mut members = Arena::default();
        let tag = MemberTag(1);
        let own = members.push(Member {
            tag,
            name: "vm".to_owned(),
            data_centre: "a".to_owned(),
            peer_address: ([127, 0, 0, 1], 2).into(),
            live: true,
            leaving: false,
        });
        let (now, thread) = (Instant::now(), ThreadId::from_index(0));
        let view = Arc::new(View::new(1, own, members, topology));
        let issuer = Issuer::new(tag, thread, 9, b"secret", now);
        Self {
            runner: Runner::new(thread, 1, view, 1),
            issuer,
            now,
            replica,
            attempts: 0,
            is_last: false,
            rank: Rank::Urgent,
        }
    }

    fn handle(&mut self, event: Event, availability: Availability) -> Vec<Action> {
        let mut out = Vec::new();
        self.runner.handle(self.now, event, |_| availability, &mut out);
        out.retain(|action| !matches!(action, Action::Log(_) | Action::ExecutionEnded(..)));
        out
    }

    fn run(&mut self, time_left: Duration, availability: Availability) -> Vec<Action> {
        self.attempts += 1;
        let slab_key = Slab::default().insert(());
        let thread = ThreadId::from_index(0);
        let attempt = AttemptId { incarnation: 9, thread, slab_key, number: self.attempts };
        let run = Run {
            attempt,
            key: self.issuer.issue(self.now),
            replica: self.replica,
            is_last: self.is_last,
            rank: self.rank,
            time_left,
            body: Bytes::from_static(b"charge"),
        };
        self.handle(Event::Run(MemberId::from_index(0), run), availability)
    }
}

fn call(actions: &[Action]) -> &Call {
    match actions {
        [Action::Call(call)] => call,
        other => panic!("expected one call, got {other:?}"),
    }
}

fn failure(action: &Action) -> (Verdict, FailReason) {
    match action {
        Action::Send(
            _,
            ExecuteMessage::AttemptEnded { outcome: Outcome::Failed { verdict, reason }, .. },
        ) => (*verdict, *reason),
        other => panic!("expected a failed attempt, got {other:?}"),
    }
}

#[test]
fn a_draining_replica_refuses_new_and_queued_executions_as_not_run() {
    let mut harness = Harness::new();
    let key = call(&harness.run(SECOND, Availability::Usable)).key;
    assert!(harness.run(SECOND, Availability::Usable).is_empty(), "the second execution is queued");
    let refused = harness.run(SECOND, Availability::Draining);
    assert_eq!(failure(&refused[0]), (Verdict::NotRun, FailReason::Draining));
    let (verdict, reason) = (Verdict::MayHaveRun, FailReason::Connection);
    let ended = harness.handle(
        Event::CallEnded(key, CallResult::Failed { verdict, reason }),
        Availability::Draining,
    );
    assert_eq!(failure(&ended[0]), (Verdict::MayHaveRun, FailReason::Connection));
    assert_eq!(failure(&ended[1]), (Verdict::NotRun, FailReason::Draining));
}

#[test]
fn an_execution_whose_deadline_may_have_passed_during_a_pause_is_refused() {
    let mut harness = Harness::new();
    harness.handle(Event::Resumed(SECOND), Availability::Usable);
    let refused = harness.run(SECOND, Availability::Usable);
    assert_eq!(failure(&refused[0]), (Verdict::NotRun, FailReason::Deadline));
    assert_eq!(call(&harness.run(SECOND * 3, Availability::Usable)).time_left, SECOND * 2);
}

#[test]
fn a_queued_execution_is_refused_at_its_deadline_and_never_started() {
    let mut harness = Harness::new();
    let key = call(&harness.run(SECOND * 9, Availability::Usable)).key;
    assert!(harness.run(SECOND, Availability::Usable).is_empty());
    harness.now += SECOND;
    let ended = harness.handle(Event::Tick, Availability::Usable);
    let refused: Vec<_> = ended.iter().rev().take(1).map(failure).collect();
    assert_eq!(refused, [(Verdict::NotRun, FailReason::Deadline)]);
    let (verdict, reason) = (Verdict::NotRun, FailReason::Overloaded);
    let ended = harness.handle(
        Event::CallEnded(key, CallResult::Failed { verdict, reason }),
        Availability::Usable,
    );
    assert_eq!(ended.len(), 1, "the expired execution is not called");
}

#[test]
fn a_reply_with_a_wrong_request_id_counts_as_may_have_run() {
    let mut harness = Harness::new();
    let (key, request) = {
        let actions = harness.run(SECOND, Availability::Usable);
        (call(&actions).key, call(&actions).request)
    };
    let mismatched = CallResult::Replied {
        request: QueryTag(request.0 ^ 1),
        shard: "main".to_owned(),
        result: "done".to_owned(),
    };
    let ended = harness.handle(Event::CallEnded(key, mismatched), Availability::Usable);
    assert_eq!(failure(&ended[0]), (Verdict::MayHaveRun, FailReason::BadReply));
}

#[test]
fn an_execution_beyond_the_queue_limit_is_refused_as_not_run() {
    let mut harness = Harness::new();
    call(&harness.run(SECOND, Availability::Usable));
    for _ in 0..QUEUED_PER_RUNNING {
        assert!(harness.run(SECOND, Availability::Usable).is_empty());
    }
    let refused = harness.run(SECOND, Availability::Usable);
    assert_eq!(failure(&refused[0]), (Verdict::NotRun, FailReason::Overloaded));
}

#[test]
fn an_urgent_execution_displaces_a_queued_background_execution() {
    let mut harness = Harness::new();
    harness.rank = Rank::Background;
    for _ in 0..=QUEUED_PER_RUNNING {
        harness.run(SECOND, Availability::Usable);
    }
    harness.rank = Rank::Urgent;
    let refused = harness.run(SECOND * 2, Availability::Usable);
    assert_eq!(failure(&refused[0]), (Verdict::NotRun, FailReason::Overloaded));
    assert_eq!(harness.runner.jobs.len(), QUEUED_PER_RUNNING + 1);
    let urgent = harness.runner.jobs.iter().filter(|(_, job)| job.run.rank == Rank::Urgent);
    assert_eq!(urgent.count(), 1, "the urgent execution is queued");
}

#[test]
fn an_ejected_replica_runs_only_the_last_attempt_of_a_key() {
    let mut harness = Harness::new();
    let refused = harness.run(SECOND, Availability::Ejected);
    assert_eq!(failure(&refused[0]), (Verdict::NotRun, FailReason::Unreachable));
    harness.is_last = true;
    call(&harness.run(SECOND, Availability::Ejected));
}
