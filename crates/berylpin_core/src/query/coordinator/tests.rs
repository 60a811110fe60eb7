mod schedules;
mod world;

use super::{TIMER_SLACK, TIMERS_PER_QUERY};
use crate::decision::AttemptCause;
use crate::ids::{Key, MemberId, QueryTag, Snapshot};
use crate::message::{FailReason, SnapshotRange};
use crate::query::{Event, RefusalReason};
use crate::rank::Rank;
use crate::verdict::Verdict;
use std::time::Duration;
use world::{SMALL, Shape, World};

const MILLIS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn serves(oldest: u64, newest: u64) -> SnapshotRange {
    SnapshotRange { oldest: Snapshot(oldest), newest: Snapshot(newest) }
}

fn count(world: &World, cause: AttemptCause) -> usize {
    world.routed.iter().filter(|(_, _, known)| *known == cause).count()
}

/// Gives the coordinator enough samples to know each replica's latency, and some budget.
fn warmed(shape: Shape) -> World {
    let mut world = World::new(shape);
    for _ in 0..120 {
        world.run(Rank::Urgent, 2 * MILLIS);
    }
    assert_eq!(count(&world, AttemptCause::Hedge), 0);
    world.sent.clear();
    world
}

#[test]
fn the_last_straggler_is_hedged_and_the_loser_cancelled() {
    let mut world = warmed(SMALL);
    let ticket = world.request(Rank::Urgent, SECOND);
    world.wait(2 * MILLIS);
    for index in 1..6 {
        let rows = world.rows(&world.sent[index]);
        world.reply(index, rows);
    }
    world.wait(2 * MILLIS);
    assert_eq!(count(&world, AttemptCause::Hedge), 1);
    assert_ne!(world.sent[6].part.replica, world.sent[0].part.replica);
    let rows = world.rows(&world.sent[6]);
    world.reply(6, rows);
    assert!(world.sent[0].cancelled);
    assert!(world.result(ticket).unwrap().as_ref().unwrap().coverage.missing.is_empty());
}

#[test]
fn an_owner_that_answers_nothing_is_left_without_any_budget() {
    let shape = Shape { services: 1, shards: 20, extra_load: 0.0, ..SMALL };
    let mut world = warmed(shape);
    let dead = MemberId::from_index(2);
    let answer_others = |world: &mut World| {
        while let Some(index) = world
            .sent
            .iter()
            .position(|sent| !sent.replied && !sent.cancelled && sent.owner != dead)
        {
            let rows = world.rows(&world.sent[index]);
            world.reply(index, rows);
        }
    };
    world.wait(MILLIS);
    let ticket = world.request(Rank::Urgent, SECOND);
    assert!(world.sent.iter().filter(|sent| sent.owner == dead).count() >= 3);
    world.wait(2 * MILLIS);
    answer_others(&mut world);
    world.wait(5 * MILLIS);
    answer_others(&mut world);
    assert!(world.result(ticket).unwrap().as_ref().unwrap().coverage.missing.is_empty());
    world.sent.clear();
    world.request(Rank::Urgent, SECOND);
    assert!(world.sent.iter().all(|sent| sent.owner != dead), "it is avoided");
    world.wait(2 * SECOND);
    world.request(Rank::Urgent, SECOND);
    world.hint();
    world.sent.clear();
    world.request(Rank::Urgent, SECOND);
    assert!(world.sent.iter().any(|sent| sent.owner == dead), "it said something");
}

#[test]
fn a_replica_that_keeps_failing_is_avoided_for_longer_each_time() {
    let mut world = World::new(Shape { services: 1, shards: 1, extra_load: 1.0, ..SMALL });
    let local = world.view.topology.replicas.iter().next().unwrap().1.settings.tag;
    let mut asked = 0;
    for _ in 0..40 {
        world.request(Rank::Urgent, SECOND);
        world.hint();
        if world.sent.last().unwrap().part.replica == local {
            asked += 1;
            let last = world.sent.len() - 1;
            world.fail(last, Verdict::MayHaveRun, FailReason::UpstreamError);
        }
        world.answer_all();
        world.wait(SECOND);
    }
    assert!((2..=4).contains(&asked), "{asked} failures in 40 s");
    assert!(world.answers.iter().all(|(_, result)| result.is_ok()));
}

#[test]
fn an_ejected_replica_is_asked_if_there_is_no_other() {
    let mut world = World::new(Shape { replicas: 1, ..SMALL });
    for hint in &mut world.hints {
        hint.usable = false;
    }
    world.hint_all();
    world.request(Rank::Urgent, SECOND);
    assert_eq!(world.sent.len(), 6);
}

#[test]
fn no_hedge_is_sent_while_an_owner_sheds() {
    let mut world = warmed(SMALL);
    world.request(Rank::Urgent, SECOND);
    for hint in &mut world.hints {
        hint.shed_above[Rank::Urgent.index()] = QueryTag::LEVELS - 1;
    }
    for index in 1..6 {
        let rows = world.rows(&world.sent[index]);
        world.reply(index, rows);
    }
    world.wait(SECOND / 2);
    assert_eq!(count(&world, AttemptCause::Hedge), 0);
}

#[test]
fn a_query_that_owners_would_shed_is_refused_before_anything_is_sent() {
    let mut world = warmed(SMALL);
    for hint in &mut world.hints {
        hint.shed_above[Rank::Background.index()] = 0;
    }
    world.hint_all();
    let shed = world.request(Rank::Background, SECOND);
    let refusal = *world.result(shed).unwrap().as_ref().unwrap_err();
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::Overloaded, Verdict::NotRun));
    assert!(refusal.retry_after.is_some() && world.sent.is_empty());
    world.request(Rank::Standard, SECOND);
    assert!(!world.sent.is_empty());
}

#[test]
fn a_long_queue_refuses_only_the_rank_that_waits_behind_all_others() {
    let mut world = World::new(SMALL);
    world.hints.iter_mut().for_each(|hint| hint.queue_delay = 2 * SECOND);
    world.hint_all();
    let background = world.request(Rank::Background, SECOND);
    assert!(world.result(background).is_some());
    let urgent = world.request(Rank::Urgent, SECOND);
    assert!(world.result(urgent).is_none());
}

#[test]
fn latencies_of_a_fault_refuse_nothing() {
    let mut world = World::new(SMALL);
    for _ in 0..40 {
        world.run(Rank::Urgent, SECOND / 2);
    }
    let ticket = world.request(Rank::Urgent, SECOND / 4);
    assert!(world.result(ticket).is_none());
}

#[test]
fn a_shed_level_is_forgotten_without_news() {
    let mut world = warmed(SMALL);
    for hint in &mut world.hints {
        hint.shed_above = [0; Rank::COUNT];
    }
    world.hint_all();
    let refused = world.request(Rank::Urgent, SECOND / 4);
    assert!(world.result(refused).unwrap().is_err());
    world.wait(SECOND);
    world.request(Rank::Urgent, SECOND / 4);
    assert!(!world.sent.is_empty());
}

#[test]
fn a_query_whose_snapshot_expired_runs_once_more_on_a_newer_one() {
    let mut world = World::new(SMALL);
    let ticket = world.request(Rank::Urgent, SECOND);
    world.hint();
    for hint in &mut world.hints {
        hint.snapshots = Some(serves(4, 6));
    }
    // The owners' next hints show the new range; both replicas of the shard refuse.
    world.wait(MILLIS);
    world.hint_all();
    world.fail(0, Verdict::NotRun, FailReason::SnapshotGone);
    assert_eq!(world.restarts.len(), 1);
    world.answer_all();
    let answer = world.result(ticket).unwrap().as_ref().unwrap();
    assert_eq!((answer.snapshot, answer.coverage.answered), (Snapshot(6), 6));
}

#[test]
fn a_second_run_does_not_hide_that_the_first_one_ran() {
    let mut world = World::new(SMALL);
    let ticket = world.request(Rank::Urgent, SECOND);
    world.hint();
    let rows = world.rows(&world.sent[1]);
    world.reply(1, rows);
    for hint in &mut world.hints {
        hint.snapshots = Some(serves(4, 6));
    }
    world.hint_all();
    world.fail(0, Verdict::NotRun, FailReason::SnapshotGone);
    assert_eq!(world.restarts.len(), 1);
    for hint in &mut world.hints {
        hint.usable = false;
    }
    while let Some(index) = world.sent.iter().position(|sent| !sent.replied && !sent.cancelled) {
        world.fail(index, Verdict::NotRun, FailReason::Draining);
    }
    let refusal = *world.result(ticket).unwrap().as_ref().unwrap_err();
    assert!(refusal.verdict > Verdict::NotRun);
}

#[test]
fn each_service_of_a_group_keeps_its_minimum_coverage() {
    for (minimum_coverage, enough) in [(0.5, true), (0.6, false)] {
        let mut world = World::new(Shape { minimum_coverage, replicas: 1, ..SMALL });
        let ticket = world.request(Rank::Urgent, SECOND);
        world.hint();
        let lost = world.sent[0].part;
        world.sent[0].cancelled = true;
        world.answer_all();
        world.wait(SECOND);
        let result = world.result(ticket).unwrap();
        assert_eq!(result.is_ok(), enough, "{result:?} without {lost:?}");
    }
}

#[test]
fn a_stale_snapshot_is_refreshed_by_the_first_query_that_sees_it() {
    let mut world = World::new(SMALL);
    world.run(Rank::Urgent, MILLIS);
    for hint in &mut world.hints {
        hint.snapshots = Some(serves(2, 9));
    }
    world.wait(3 * SECOND);
    world.sent.clear();
    let old = world.request(Rank::Urgent, SECOND);
    world.hint();
    let new = world.request(Rank::Urgent, SECOND);
    let pinned = |ticket| world.sent.iter().find(|sent| sent.ticket == ticket).unwrap().snapshot;
    assert_eq!((pinned(old), pinned(new)), (Snapshot(3), Snapshot(9)));
}

#[test]
fn a_caller_that_goes_away_frees_everything() {
    let mut world = World::new(SMALL);
    let ticket = world.request(Rank::Urgent, SECOND);
    world.hint();
    world.event(Event::CallerGone(ticket));
    assert!(world.sent.iter().all(|sent| sent.cancelled));
    assert_eq!((world.coordinator.running(), world.coordinator.replicas.in_flight()), (0, 0));
    assert!(world.answers.is_empty());
}

#[test]
fn timers_of_finished_queries_do_not_pile_up() {
    let mut world = World::new(SMALL);
    let mut most = 0;
    for _ in 0..2000 {
        world.request(Rank::Urgent, 60 * SECOND);
        world.hint();
        world.answer_all();
        world.sent.clear();
        most = most.max(world.coordinator.timers.len());
    }
    assert_eq!(world.coordinator.running(), 0);
    assert!(most <= TIMER_SLACK + TIMERS_PER_QUERY + 1, "{most} timers");
}

#[test]
fn a_thread_full_of_one_rank_has_places_for_the_others() {
    let mut world = World::new(SMALL);
    while world.answers.is_empty() {
        world.request(Rank::Background, SECOND);
    }
    let (_, result) = world.answers.last().unwrap();
    let refusal = *result.as_ref().unwrap_err();
    assert_eq!((refusal.reason, refusal.verdict), (RefusalReason::Overloaded, Verdict::NotRun));
    let urgent = world.request(Rank::Urgent, SECOND);
    assert!(world.result(urgent).is_none());
}
