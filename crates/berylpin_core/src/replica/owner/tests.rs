mod flood;
mod harness;

use super::*;
use crate::ids::Snapshot;
use crate::message::SnapshotRange;
use crate::replica::Availability;
use harness::{Harness, batch, tag_with_level};
use proptest::prelude::*;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { replica: usize, rank: Rank, level: u16, time_left_ms: u64 },
    Cancel(prop::sample::Index),
    EndCall(prop::sample::Index, Ending),
    Wait(u64),
    AnswerProbes(bool),
    SetDrain(bool),
    SetOwned(bool),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Rows,
    WrongSnapshot,
    Error,
    Refused(FailReason),
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        6 => Just(Ending::Rows),
        1 => Just(Ending::WrongSnapshot),
        1 => Just(Ending::Error),
        1 => Just(Ending::Refused(FailReason::Overloaded)),
        1 => Just(Ending::Refused(FailReason::Draining)),
        1 => Just(Ending::Refused(FailReason::SnapshotGone)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let arrive = (0..3_usize, prop::sample::select(&Rank::ALL), 0_u16..1000, 0_u64..400);
    prop_oneof![
        8 => arrive.prop_map(|(replica, rank, level, time_left_ms)| {
            Step::Arrive { replica, rank, level, time_left_ms }
        }),
        2 => any::<prop::sample::Index>().prop_map(Step::Cancel),
        6 => (any::<prop::sample::Index>(), ending())
            .prop_map(|(call, ending)| Step::EndCall(call, ending)),
        4 => (1_u64..60).prop_map(Step::Wait),
        1 => any::<bool>().prop_map(Step::AnswerProbes),
        1 => any::<bool>().prop_map(Step::SetDrain),
        1 => any::<bool>().prop_map(Step::SetOwned),
    ]
}

fn apply(harness: &mut Harness, step: Step) {
    match step {
        Step::Arrive { replica, rank, level, time_left_ms } => {
            harness.arrive(replica, rank, level, Duration::from_millis(time_left_ms));
        }
        Step::Cancel(index) if !harness.attempts.is_empty() => {
            harness.cancel(index.index(harness.attempts.len()));
        }
        Step::EndCall(index, ending) if !harness.calls.is_empty() => {
            let at = index.index(harness.calls.len());
            match ending {
                Ending::Rows => harness.end_with_rows(at, Snapshot(5)),
                Ending::WrongSnapshot => harness.end_with_rows(at, Snapshot(4)),
                Ending::Error => harness.fail(at, Verdict::MayHaveRun, FailReason::UpstreamError),
                Ending::Refused(reason) => harness.fail(at, Verdict::NotRun, reason),
            }
        }
        Step::Wait(ms) => harness.advance(Duration::from_millis(ms)),
        Step::AnswerProbes(answered) => harness.answer_probes(answered),
        Step::SetDrain(drain) => harness.set_drain(drain),
        Step::SetOwned(owned) => harness.set_owned(owned),
        Step::Cancel(_) | Step::EndCall(..) => {}
    }
}

proptest! {
    /// Calls in flight never exceed the slots, no call starts at a drained replica, every sub-query
    /// has one reply (a cancelled one at most one), and the verdict `not run` is true.
    #[test]
    fn any_sequence_respects_slots_replies_and_verdicts(
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut harness = Harness::new(2);
        for step in steps {
            let drained = harness.drained();
            let calls = harness.calls_started;
            apply(&mut harness, step);
            for replica in harness.replicas() {
                prop_assert!(harness.running(replica) <= 2);
            }
            let undrained = matches!(step, Step::SetDrain(false));
            prop_assert!(
                !drained || undrained || harness.calls_started == calls,
                "a call started at a drained replica"
            );
        }
        harness.finish();
        prop_assert_eq!(harness.owner.jobs(), 0);
        for attempt in &harness.attempts {
            let replies = attempt.replies.len();
            let wanted = if attempt.cancelled { 0..=1 } else { 1..=1 };
            prop_assert!(wanted.contains(&replies), "{replies} replies to {attempt:?}");
            for outcome in &attempt.replies {
                let not_run = matches!(outcome, Outcome::Failed { verdict: Verdict::NotRun, .. });
                prop_assert!(!not_run || !attempt.called || attempt.refused, "{attempt:?}");
            }
        }
    }

    /// A replica that refused a call as draining receives none until a probe indicates a restart.
    #[test]
    fn no_call_starts_after_a_refusal_as_draining_until_a_restart(
        arrivals in prop::collection::vec((0_u16..1000, 1_u64..30), 1..100),
    ) {
        let mut harness = Harness::new(2);
        for level in [1, 2, 3] {
            harness.arrive(0, Rank::Urgent, level, Duration::from_secs(1));
        }
        harness.fail(0, Verdict::NotRun, FailReason::Draining);
        let started = harness.calls_started;
        for (level, ms) in arrivals {
            harness.arrive(0, Rank::Urgent, level, Duration::from_secs(1));
            harness.advance(Duration::from_millis(ms));
            harness.answer_probes(true);
        }
        prop_assert_eq!(harness.calls_started, started);
        harness.advance(Duration::from_secs(2));
        harness.answer_probes(false);
        harness.advance(Duration::from_secs(2));
        harness.answer_probes(true);
        harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
        prop_assert_eq!(harness.calls_started, started + 1);
    }
}

#[test]
fn queued_jobs_are_refused_when_the_replica_changes_owner() {
    let mut harness = Harness::new(1);
    for level in [1, 2, 3] {
        harness.arrive(0, Rank::Standard, level, Duration::from_secs(1));
    }
    harness.set_owned(false);
    let (verdict, reason) = (Verdict::NotRun, FailReason::NotOwner);
    assert_eq!(harness.attempts[1].replies, [Outcome::Failed { verdict, reason }]);
    assert_eq!(harness.attempts[2].replies, [Outcome::Failed { verdict, reason }]);
    assert!(harness.attempts[0].replies.is_empty());
    harness.end_with_rows(0, Snapshot(5));
    assert!(matches!(harness.attempts[0].replies[..], [Outcome::Rows { .. }]));
    assert_eq!(harness.owner.jobs(), 0);
}

#[test]
fn stalled_call_fails_and_its_connection_is_replaced_before_the_deadline() {
    let mut harness = Harness::new(2);
    harness.complete_calls(20, Duration::from_millis(8));
    harness.arrive(0, Rank::Urgent, 0, Duration::from_millis(250));
    harness.advance(Duration::from_millis(120));
    assert_eq!(harness.reconnects, 1);
    let (verdict, reason) = (Verdict::MayHaveRun, FailReason::Connection);
    let last = harness.attempts.len() - 1;
    assert_eq!(harness.attempts[last].replies, [Outcome::Failed { verdict, reason }]);
    // A single stall may be due to the connection, so it does not eject the replica.
    assert!(!harness.ejected(0));
}

#[test]
fn late_calls_neither_replace_connections_nor_eject_the_replica() {
    let mut harness = Harness::new(2);
    harness.complete_calls(20, Duration::from_millis(30));
    for _ in 0..4 {
        harness.arrive(0, Rank::Urgent, 0, Duration::from_millis(40));
        harness.advance(Duration::from_millis(45));
        harness.end_with_rows(0, Snapshot(5));
    }
    assert_eq!(harness.reconnects, 0);
    assert!(!harness.ejected(0));
    let (verdict, reason) = (Verdict::MayHaveRun, FailReason::Deadline);
    let last = harness.attempts.len() - 1;
    assert_eq!(harness.attempts[last].replies, [Outcome::Failed { verdict, reason }]);
}

#[test]
fn rows_of_another_snapshot_eject_the_replica_although_probes_succeed() {
    let mut harness = Harness::new(2);
    harness.complete_calls(20, Duration::from_millis(8));
    for _ in 0..3 {
        harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
        harness.answer_probes(true);
        harness.end_with_rows(0, Snapshot(4));
    }
    assert!(harness.ejected(0));
    assert!(harness.hint(0).ejected && harness.hint(0).usable);
    let replica = harness.replicas()[0];
    harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    assert_eq!(harness.running(replica), 0);
    // An entry that knows no better replica sends another attempt; one call runs at a time.
    harness.ordinal = 1;
    harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    assert_eq!(harness.running(replica), 1);
}

#[test]
fn refusals_of_an_overloaded_upstream_pause_its_calls() {
    let mut harness = Harness::new(2);
    harness.complete_calls(20, Duration::from_millis(8));
    let before = harness.calls_started;
    for level in 0..10 {
        harness.arrive(0, Rank::Urgent, level, Duration::from_secs(1));
    }
    for _ in 0..2 {
        harness.fail(0, Verdict::NotRun, FailReason::Overloaded);
    }
    assert_eq!(harness.calls_started - before, 2);
    harness.advance(Duration::from_millis(8));
    assert_eq!(harness.calls_started - before, 3);
    assert!(!harness.ejected(0));
}

#[test]
fn cancelled_call_keeps_its_slot_until_it_ends() {
    let mut harness = Harness::new(1);
    harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    harness.arrive(0, Rank::Urgent, 1, Duration::from_secs(1));
    harness.cancel(0);
    assert_eq!(harness.calls_started, 1);
    harness.fail(0, Verdict::MayHaveRun, FailReason::UpstreamError);
    assert_eq!(harness.calls_started, 2);
    assert!(harness.attempts[0].replies.is_empty());
}

#[test]
fn equal_attempt_ids_of_two_entries_are_separate_jobs() {
    let mut harness = Harness::new(1);
    let sub_query = harness.sub_query(0, 7);
    let batch = batch(tag_with_level(0), Rank::Urgent, Duration::from_secs(1), 7, sub_query);
    let members: Vec<_> = harness.view.members.keys().collect();
    for &member in &members {
        harness.handle(Event::Batch(member, batch.clone()));
    }
    harness.handle(Event::Cancel(members[1], vec![sub_query]));
    assert_eq!((harness.owner.jobs(), harness.calls_started), (1, 1));
}

#[test]
fn job_that_cannot_meet_its_deadline_is_refused_before_it_starts() {
    let mut harness = Harness::new(1);
    harness.complete_calls(20, Duration::from_millis(20));
    harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    harness.arrive(0, Rank::Urgent, 1, Duration::from_millis(30));
    harness.advance(Duration::from_millis(15));
    let started = harness.calls_started;
    harness.end_with_rows(0, Snapshot(5));
    assert_eq!(harness.calls_started, started);
    let (verdict, reason) = (Verdict::NotRun, FailReason::Deadline);
    let last = harness.attempts.len() - 1;
    assert_eq!(harness.attempts[last].replies, [Outcome::Failed { verdict, reason }]);
}

#[test]
fn hint_excludes_unconfirmed_snapshots_after_a_step_back() {
    let mut harness = Harness::new(1);
    harness.arrive(0, Rank::Urgent, 0, Duration::from_secs(1));
    harness.end_with_rows(0, Snapshot(5));
    harness.advance(Duration::from_secs(2));
    let newest = Snapshot(3);
    harness.answer_probes_with(ProbeResult::Serves(SnapshotRange { oldest: Snapshot(1), newest }));
    let trusted = harness.hint(0).snapshots.map(|range| range.newest);
    assert_eq!(trusted, Some(Snapshot(1)));
}

#[test]
fn failed_probe_replaces_the_idle_connections() {
    let mut harness = Harness::new(1);
    harness.advance(Duration::from_secs(1));
    harness.answer_probes(true);
    assert_eq!(harness.reconnects, 0);
    harness.advance(Duration::from_secs(1));
    harness.answer_probes(false);
    assert_eq!(harness.reconnects, harness.replicas().len());
}

#[test]
fn execution_failures_and_drain_refusals_change_availability() {
    let mut harness = Harness::new(2);
    let replica = harness.replicas()[0];
    let failure = |reason| Event::ExecutionEnded(replica, Some(reason));
    harness.handle(failure(FailReason::Deadline));
    harness.handle(failure(FailReason::UpstreamError));
    harness.handle(failure(FailReason::BadReply));
    assert_eq!(harness.owner.availability(replica), Availability::Usable);
    harness.handle(failure(FailReason::Connection));
    assert_eq!(harness.owner.availability(replica), Availability::Ejected);
    harness.handle(Event::ExecutionEnded(replica, None));
    harness.handle(Event::ExecutionEnded(replica, None));
    assert_eq!(harness.owner.availability(replica), Availability::Usable);
    harness.handle(failure(FailReason::Draining));
    assert_eq!(harness.owner.availability(replica), Availability::Draining);
}
