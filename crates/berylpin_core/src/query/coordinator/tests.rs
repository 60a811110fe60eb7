mod harness;
mod schedules;

use super::{TIMER_SLACK, TIMERS_PER_QUERY};
use crate::decision::AttemptCause;
use crate::ids::{Key, MemberId, QueryTag, Snapshot};
use crate::message::{FailReason, SnapshotRange};
use crate::query::{Event, RefusalReason};
use crate::rank::Rank;
use crate::verdict::Verdict;
use harness::{Harness, SMALL, Shape};
use std::time::Duration;

const MILLIS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn range(oldest: u64, newest: u64) -> SnapshotRange {
    SnapshotRange { oldest: Snapshot(oldest), newest: Snapshot(newest) }
}

fn count_routed(harness: &Harness, cause: AttemptCause) -> usize {
    harness.routed.iter().filter(|(_, _, other)| *other == cause).count()
}

/// Returns a harness whose coordinator has latency percentiles for all replicas and some budget.
fn warmed_up(shape: Shape) -> Harness {
    let mut harness = Harness::new(shape);
    for _ in 0..120 {
        harness.run_query(Rank::Urgent, 2 * MILLIS);
    }
    assert_eq!(count_routed(&harness, AttemptCause::Hedge), 0);
    harness.sent.clear();
    harness
}

#[test]
fn last_open_shard_is_hedged_and_the_slower_attempt_cancelled() {
    let mut harness = warmed_up(SMALL);
    let ticket = harness.request(Rank::Urgent, SECOND);
    harness.wait(2 * MILLIS);
    for index in 1..6 {
        let rows = harness.rows(&harness.sent[index]);
        harness.reply(index, rows);
    }
    harness.wait(2 * MILLIS);
    assert_eq!(count_routed(&harness, AttemptCause::Hedge), 1);
    assert_ne!(harness.sent[6].sub_query.replica, harness.sent[0].sub_query.replica);
    let rows = harness.rows(&harness.sent[6]);
    harness.reply(6, rows);
    assert!(harness.sent[0].cancelled);
    assert!(harness.result(ticket).unwrap().as_ref().unwrap().coverage.missing.is_empty());
}

#[test]
fn attempts_at_a_silent_owner_are_rerouted_without_budget() {
    let shape = Shape { services: 1, shards: 20, extra_load: 0.0, ..SMALL };
    let mut harness = warmed_up(shape);
    let silent_owner = MemberId::from_index(2);
    let answer_others = |harness: &mut Harness| {
        while let Some(index) = harness
            .sent
            .iter()
            .position(|sent| !sent.replied && !sent.cancelled && sent.owner != silent_owner)
        {
            let rows = harness.rows(&harness.sent[index]);
            harness.reply(index, rows);
        }
    };
    harness.wait(MILLIS);
    let ticket = harness.request(Rank::Urgent, SECOND);
    assert!(harness.sent.iter().filter(|sent| sent.owner == silent_owner).count() >= 3);
    harness.wait(2 * MILLIS);
    answer_others(&mut harness);
    harness.wait(5 * MILLIS);
    answer_others(&mut harness);
    assert!(harness.result(ticket).unwrap().as_ref().unwrap().coverage.missing.is_empty());
    harness.sent.clear();
    harness.request(Rank::Urgent, SECOND);
    assert!(
        harness.sent.iter().all(|sent| sent.owner != silent_owner),
        "the silent owner is not avoided"
    );
    harness.wait(2 * SECOND);
    harness.request(Rank::Urgent, SECOND);
    harness.answer_hint_requests();
    harness.sent.clear();
    harness.request(Rank::Urgent, SECOND);
    assert!(
        harness.sent.iter().any(|sent| sent.owner == silent_owner),
        "the owner is still avoided after a hint"
    );
}

#[test]
fn avoidance_of_a_failing_replica_grows_with_each_failure() {
    let mut harness = Harness::new(Shape { services: 1, shards: 1, extra_load: 1.0, ..SMALL });
    let local_replica = harness.view.topology.replicas.iter().next().unwrap().1.settings.tag;
    let mut local_attempts = 0;
    for _ in 0..40 {
        harness.request(Rank::Urgent, SECOND);
        harness.answer_hint_requests();
        if harness.sent.last().unwrap().sub_query.replica == local_replica {
            local_attempts += 1;
            let last = harness.sent.len() - 1;
            harness.fail(last, Verdict::MayHaveRun, FailReason::UpstreamError);
        }
        harness.answer_all();
        harness.wait(SECOND);
    }
    assert!((2..=4).contains(&local_attempts), "{local_attempts} failures in 40 s");
    assert!(harness.answers.iter().all(|(_, result)| result.is_ok()));
}

#[test]
fn unusable_replica_is_tried_if_the_shard_has_no_other() {
    let mut harness = Harness::new(Shape { replicas: 1, ..SMALL });
    for hint in &mut harness.hints {
        hint.usable = false;
    }
    harness.send_all_hints();
    harness.request(Rank::Urgent, SECOND);
    assert_eq!(harness.sent.len(), 6);
}

#[test]
fn no_hedge_is_sent_while_an_owner_sheds() {
    let mut harness = warmed_up(SMALL);
    harness.request(Rank::Urgent, SECOND);
    for hint in &mut harness.hints {
        hint.shed_from[Rank::Urgent.index()] = QueryTag::LEVELS - 1;
    }
    for index in 1..6 {
        let rows = harness.rows(&harness.sent[index]);
        harness.reply(index, rows);
    }
    harness.wait(SECOND / 2);
    assert_eq!(count_routed(&harness, AttemptCause::Hedge), 0);
}

#[test]
fn query_at_or_above_the_shed_level_is_refused_before_any_sub_query_is_sent() {
    let mut harness = warmed_up(SMALL);
    for hint in &mut harness.hints {
        hint.shed_from[Rank::Background.index()] = 0;
    }
    harness.send_all_hints();
    let shed = harness.request(Rank::Background, SECOND);
    let refusal = *harness.result(shed).unwrap().as_ref().unwrap_err();
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::Overloaded, Verdict::NotRun));
    assert!(refusal.retry_after.is_some() && harness.sent.is_empty());
    harness.request(Rank::Standard, SECOND);
    assert!(!harness.sent.is_empty());
}

#[test]
fn queue_delay_beyond_the_deadline_refuses_background_queries_only() {
    let mut harness = Harness::new(SMALL);
    harness.hints.iter_mut().for_each(|hint| hint.queue_delay = 2 * SECOND);
    harness.send_all_hints();
    let background = harness.request(Rank::Background, SECOND);
    assert!(harness.result(background).is_some());
    let urgent = harness.request(Rank::Urgent, SECOND);
    assert!(harness.result(urgent).is_none());
}

#[test]
fn high_latency_samples_alone_refuse_no_query() {
    let mut harness = Harness::new(SMALL);
    for _ in 0..40 {
        harness.run_query(Rank::Urgent, SECOND / 2);
    }
    let ticket = harness.request(Rank::Urgent, SECOND / 4);
    assert!(harness.result(ticket).is_none());
}

#[test]
fn shed_level_expires_without_a_new_hint() {
    let mut harness = warmed_up(SMALL);
    for hint in &mut harness.hints {
        hint.shed_from = [0; Rank::COUNT];
    }
    harness.send_all_hints();
    let refused = harness.request(Rank::Urgent, SECOND / 4);
    assert!(harness.result(refused).unwrap().is_err());
    harness.wait(SECOND);
    harness.request(Rank::Urgent, SECOND / 4);
    assert!(!harness.sent.is_empty());
}

#[test]
fn query_whose_snapshot_expired_is_restarted_on_a_newer_one() {
    let mut harness = Harness::new(SMALL);
    let ticket = harness.request(Rank::Urgent, SECOND);
    harness.answer_hint_requests();
    for hint in &mut harness.hints {
        hint.snapshots = Some(range(4, 6));
    }
    // All hints report the new range, so a refusal leaves the shard no replica for the snapshot.
    harness.wait(MILLIS);
    harness.send_all_hints();
    harness.fail(0, Verdict::NotRun, FailReason::SnapshotGone);
    assert_eq!(harness.restarts.len(), 1);
    harness.answer_all();
    let answer = harness.result(ticket).unwrap().as_ref().unwrap();
    assert_eq!((answer.snapshot, answer.coverage.answered), (Snapshot(6), 6));
}

#[test]
fn refusal_of_a_second_run_keeps_the_verdict_of_the_first() {
    let mut harness = Harness::new(SMALL);
    let ticket = harness.request(Rank::Urgent, SECOND);
    harness.answer_hint_requests();
    let rows = harness.rows(&harness.sent[1]);
    harness.reply(1, rows);
    for hint in &mut harness.hints {
        hint.snapshots = Some(range(4, 6));
    }
    harness.send_all_hints();
    harness.fail(0, Verdict::NotRun, FailReason::SnapshotGone);
    assert_eq!(harness.restarts.len(), 1);
    for hint in &mut harness.hints {
        hint.usable = false;
    }
    while let Some(index) = harness.sent.iter().position(|sent| !sent.replied && !sent.cancelled) {
        harness.fail(index, Verdict::NotRun, FailReason::Draining);
    }
    let refusal = *harness.result(ticket).unwrap().as_ref().unwrap_err();
    assert!(refusal.verdict > Verdict::NotRun);
}

#[test]
fn answer_requires_the_minimum_coverage_of_each_service() {
    for (minimum_coverage, enough) in [(0.5, true), (0.6, false)] {
        let mut harness = Harness::new(Shape { minimum_coverage, replicas: 1, ..SMALL });
        let ticket = harness.request(Rank::Urgent, SECOND);
        harness.answer_hint_requests();
        let unanswered = harness.sent[0].sub_query;
        harness.sent[0].cancelled = true;
        harness.answer_all();
        harness.wait(SECOND);
        let result = harness.result(ticket).unwrap();
        assert_eq!(result.is_ok(), enough, "{result:?} without {unanswered:?}");
    }
}

#[test]
fn first_query_with_a_stale_hint_refreshes_it_for_later_queries() {
    let mut harness = Harness::new(SMALL);
    harness.run_query(Rank::Urgent, MILLIS);
    for hint in &mut harness.hints {
        hint.snapshots = Some(range(2, 9));
    }
    harness.wait(3 * SECOND);
    harness.sent.clear();
    let old = harness.request(Rank::Urgent, SECOND);
    harness.answer_hint_requests();
    let new = harness.request(Rank::Urgent, SECOND);
    let pinned = |ticket| harness.sent.iter().find(|sent| sent.ticket == ticket).unwrap().snapshot;
    assert_eq!((pinned(old), pinned(new)), (Snapshot(3), Snapshot(9)));
}

#[test]
fn disconnected_caller_cancels_all_attempts_and_is_not_answered() {
    let mut harness = Harness::new(SMALL);
    let ticket = harness.request(Rank::Urgent, SECOND);
    harness.answer_hint_requests();
    harness.handle(Event::CallerDisconnected(ticket));
    assert!(harness.sent.iter().all(|sent| sent.cancelled));
    assert_eq!((harness.coordinator.running(), harness.coordinator.replicas.in_flight()), (0, 0));
    assert!(harness.answers.is_empty());
}

#[test]
fn timers_of_finished_queries_are_removed() {
    let mut harness = Harness::new(SMALL);
    let mut max_timers = 0;
    for _ in 0..2000 {
        harness.request(Rank::Urgent, 60 * SECOND);
        harness.answer_hint_requests();
        harness.answer_all();
        harness.sent.clear();
        max_timers = max_timers.max(harness.coordinator.timers.len());
    }
    assert_eq!(harness.coordinator.running(), 0);
    assert!(max_timers <= TIMER_SLACK + TIMERS_PER_QUERY + 1, "{max_timers} timers");
}

#[test]
fn thread_at_the_limit_of_one_rank_accepts_queries_of_another() {
    let mut harness = Harness::new(SMALL);
    while harness.answers.is_empty() {
        harness.request(Rank::Background, SECOND);
    }
    let (_, result) = harness.answers.last().unwrap();
    let refusal = *result.as_ref().unwrap_err();
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::Overloaded, Verdict::NotRun));
    let urgent = harness.request(Rank::Urgent, SECOND);
    assert!(harness.result(urgent).is_none());
}
