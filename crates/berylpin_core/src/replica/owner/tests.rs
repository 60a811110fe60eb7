mod flood;
mod harness;

use super::*;
use crate::ids::Snapshot;
use crate::message::SnapshotRange;
use crate::replica::Availability;
use harness::{World, batch, tag_with_level};
use proptest::prelude::*;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { replica: usize, rank: Rank, level: u16, time_left_ms: u64 },
    Cancel(prop::sample::Index),
    End(prop::sample::Index, End),
    Wait(u64),
    Probe(bool),
    Drain(bool),
    Own(bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Rows,
    Crossed,
    Error,
    Refused(FailReason),
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        6 => Just(End::Rows),
        1 => Just(End::Crossed),
        1 => Just(End::Error),
        1 => Just(End::Refused(FailReason::Overloaded)),
        1 => Just(End::Refused(FailReason::Draining)),
        1 => Just(End::Refused(FailReason::SnapshotGone)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let arrive = (0..3_usize, prop::sample::select(&Rank::ALL), 0_u16..1000, 0_u64..400);
    prop_oneof![
        8 => arrive.prop_map(|(replica, rank, level, time_left_ms)| {
            Step::Arrive { replica, rank, level, time_left_ms }
        }),
        2 => any::<prop::sample::Index>().prop_map(Step::Cancel),
        6 => (any::<prop::sample::Index>(), end()).prop_map(|(call, end)| Step::End(call, end)),
        4 => (1_u64..60).prop_map(Step::Wait),
        1 => any::<bool>().prop_map(Step::Probe),
        1 => any::<bool>().prop_map(Step::Drain),
        1 => any::<bool>().prop_map(Step::Own),
    ]
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Arrive { replica, rank, level, time_left_ms } => {
            world.arrive(replica, rank, level, Duration::from_millis(time_left_ms));
        }
        Step::Cancel(index) if !world.attempts.is_empty() => {
            world.cancel(index.index(world.attempts.len()));
        }
        Step::End(index, end) if !world.calls.is_empty() => {
            let at = index.index(world.calls.len());
            match end {
                End::Rows => world.end_with_rows(at, Snapshot(5)),
                End::Crossed => world.end_with_rows(at, Snapshot(4)),
                End::Error => world.fail(at, Verdict::MayHaveRun, FailReason::UpstreamError),
                End::Refused(reason) => world.fail(at, Verdict::NotRun, reason),
            }
        }
        Step::Wait(ms) => world.wait(Duration::from_millis(ms)),
        Step::Probe(answered) => world.answer_probes(answered),
        Step::Drain(drain) => world.set_drain(drain),
        Step::Own(owned) => world.set_owned(owned),
        Step::Cancel(_) | Step::End(..) => {}
    }
}

proptest! {
    /// Whatever happens, slots are kept, every sub-query gets one reply, and "not run" is true.
    #[test]
    fn slots_replies_and_verdicts_hold(steps in prop::collection::vec(step(), 1..300)) {
        let mut world = World::new(2);
        for step in steps {
            let drained = world.drained();
            let calls = world.started;
            take(&mut world, step);
            for replica in world.replicas() {
                prop_assert!(world.running(replica) <= 2);
            }
            let undrained = matches!(step, Step::Drain(false));
            prop_assert!(!drained || undrained || world.started == calls, "call to a drained replica");
        }
        world.finish();
        prop_assert_eq!(world.owner.jobs(), 0);
        for attempt in &world.attempts {
            let replies = attempt.replies.len();
            let wanted = if attempt.cancelled { 0..=1 } else { 1..=1 };
            prop_assert!(wanted.contains(&replies), "{replies} replies to {attempt:?}");
            for outcome in &attempt.replies {
                let not_run = matches!(outcome, Outcome::Failed { verdict: Verdict::NotRun, .. });
                prop_assert!(!not_run || !attempt.called || attempt.refused, "{attempt:?}");
            }
        }
    }

    /// After its own refusal a replica gets nothing until a probe shows a restart.
    #[test]
    fn nothing_new_after_a_refusal_as_draining(
        arrivals in prop::collection::vec((0_u16..1000, 1_u64..30), 1..100),
    ) {
        let mut world = World::new(2);
        for level in [1, 2, 3] {
            world.arrive(0, Rank::Urgent, level, Duration::from_secs(1));
        }
        world.fail(0, Verdict::NotRun, FailReason::Draining);
        let started = world.started;
        for (level, ms) in arrivals {
            world.arrive(0, Rank::Urgent, level, Duration::from_secs(1));
            world.wait(Duration::from_millis(ms));
            world.answer_probes(true);
        }
        prop_assert_eq!(world.started, started);
        world.wait(Duration::from_secs(2));
        world.answer_probes(false);
        world.wait(Duration::from_secs(2));
        world.answer_probes(true);
        world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
        prop_assert_eq!(world.started, started + 1);
    }
}

#[test]
fn queue_goes_back_at_once_when_the_replica_moves_away() {
    let mut world = World::new(1);
    for level in [1, 2, 3] {
        world.arrive(0, Rank::Standard, level, Duration::from_secs(1));
    }
    world.set_owned(false);
    let (verdict, reason) = (Verdict::NotRun, FailReason::NotOwner);
    assert_eq!(world.attempts[1].replies, [Outcome::Failed { verdict, reason }]);
    assert_eq!(world.attempts[2].replies, [Outcome::Failed { verdict, reason }]);
    assert!(world.attempts[0].replies.is_empty());
    world.end_with_rows(0, Snapshot(5));
    assert!(matches!(world.attempts[0].replies[..], [Outcome::Rows { .. }]));
    assert_eq!(world.owner.jobs(), 0);
}

#[test]
fn silent_connection_is_replaced_before_the_deadline() {
    let mut world = World::new(2);
    world.warm(20, Duration::from_millis(8));
    world.arrive(0, Rank::Urgent, 0, Duration::from_millis(250));
    world.wait(Duration::from_millis(120));
    assert_eq!(world.reconnects, 1);
    let (verdict, reason) = (Verdict::MayHaveRun, FailReason::Connection);
    let last = world.attempts.len() - 1;
    assert_eq!(world.attempts[last].replies, [Outcome::Failed { verdict, reason }]);
    // One stall is a connection's fault and leaves the replica in use.
    assert!(!world.ejected(0));
}

#[test]
fn calls_that_are_only_late_leave_the_connection_and_the_replica_in_use() {
    let mut world = World::new(2);
    world.warm(20, Duration::from_millis(30));
    for _ in 0..4 {
        world.arrive(0, Rank::Urgent, 0, Duration::from_millis(40));
        world.wait(Duration::from_millis(45));
        world.end_with_rows(0, Snapshot(5));
    }
    assert_eq!(world.reconnects, 0);
    assert!(!world.ejected(0));
    let (verdict, reason) = (Verdict::MayHaveRun, FailReason::Deadline);
    let last = world.attempts.len() - 1;
    assert_eq!(world.attempts[last].replies, [Outcome::Failed { verdict, reason }]);
}

#[test]
fn success_status_with_crossed_rows_ejects_although_probes_succeed() {
    let mut world = World::new(2);
    world.warm(20, Duration::from_millis(8));
    for _ in 0..3 {
        world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
        world.answer_probes(true);
        world.end_with_rows(0, Snapshot(4));
    }
    assert!(world.ejected(0));
    assert!(world.hint(0).ejected && world.hint(0).usable);
    let replica = world.replicas()[0];
    world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    assert_eq!(world.running(replica), 0);
    // An entry that knows no better replica asks again, and gets one call at a time.
    world.ordinal = 1;
    world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    assert_eq!(world.running(replica), 1);
}

#[test]
fn upstream_that_sheds_load_gets_a_pause() {
    let mut world = World::new(2);
    world.warm(20, Duration::from_millis(8));
    let before = world.started;
    for level in 0..10 {
        world.arrive(0, Rank::Urgent, level, Duration::from_secs(1));
    }
    for _ in 0..2 {
        world.fail(0, Verdict::NotRun, FailReason::Overloaded);
    }
    assert_eq!(world.started - before, 2);
    world.wait(Duration::from_millis(8));
    assert_eq!(world.started - before, 3);
    assert!(!world.ejected(0));
}

#[test]
fn cancelled_call_keeps_its_slot_until_it_ends() {
    let mut world = World::new(1);
    world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    world.arrive(0, Rank::Urgent, 1, Duration::from_secs(1));
    world.cancel(0);
    assert_eq!(world.started, 1);
    world.fail(0, Verdict::MayHaveRun, FailReason::UpstreamError);
    assert_eq!(world.started, 2);
    assert!(world.attempts[0].replies.is_empty());
}

#[test]
fn attempts_of_two_entries_with_the_same_id_are_told_apart() {
    let mut world = World::new(1);
    let part = world.part(0, 7);
    let work = batch(tag_with_level(0), Rank::Urgent, Duration::from_secs(1), 7, part);
    let members: Vec<_> = world.view.members.keys().collect();
    for &member in &members {
        world.handle(Event::Batch(member, work.clone()));
    }
    world.handle(Event::Cancel(members[1], vec![part]));
    assert_eq!((world.owner.jobs(), world.started), (1, 1));
}

#[test]
fn late_work_is_dropped_before_it_starts() {
    let mut world = World::new(1);
    world.warm(20, Duration::from_millis(20));
    world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    world.arrive(0, Rank::Urgent, 1, Duration::from_millis(30));
    world.wait(Duration::from_millis(15));
    let started = world.started;
    world.end_with_rows(0, Snapshot(5));
    assert_eq!(world.started, started);
    let (verdict, reason) = (Verdict::NotRun, FailReason::Deadline);
    let last = world.attempts.len() - 1;
    assert_eq!(world.attempts[last].replies, [Outcome::Failed { verdict, reason }]);
}

#[test]
fn reported_range_that_steps_back_is_not_trusted() {
    let mut world = World::new(1);
    world.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    world.end_with_rows(0, Snapshot(5));
    world.wait(Duration::from_secs(2));
    let newest = Snapshot(3);
    world.answer_probes_with(ProbeResult::Serves(SnapshotRange { oldest: Snapshot(1), newest }));
    let trusted = world.hint(0).snapshots.map(|range| range.newest);
    assert_eq!(trusted, Some(Snapshot(1)));
}

#[test]
fn failed_probe_replaces_the_idle_connections() {
    let mut world = World::new(1);
    world.wait(Duration::from_secs(1));
    world.answer_probes(true);
    assert_eq!(world.reconnects, 0);
    world.wait(Duration::from_secs(1));
    world.answer_probes(false);
    assert_eq!(world.reconnects, world.replicas().len());
}

#[test]
fn executions_that_fail_or_are_refused_as_draining_change_availability() {
    let mut world = World::new(2);
    let replica = world.replicas()[0];
    let failure = |reason| Event::Executed(replica, Some(reason));
    world.handle(failure(FailReason::Deadline));
    world.handle(failure(FailReason::UpstreamError));
    world.handle(failure(FailReason::BadReply));
    assert_eq!(world.owner.availability(replica), Availability::Usable);
    world.handle(failure(FailReason::Connection));
    assert_eq!(world.owner.availability(replica), Availability::Ejected);
    world.handle(Event::Executed(replica, None));
    world.handle(Event::Executed(replica, None));
    assert_eq!(world.owner.availability(replica), Availability::Usable);
    world.handle(failure(FailReason::Draining));
    assert_eq!(world.owner.availability(replica), Availability::Draining);
}
