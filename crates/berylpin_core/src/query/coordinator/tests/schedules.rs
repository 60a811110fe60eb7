//! Random schedules of replies, failures and changes.

use super::world::{SMALL, Sent, Shape, World};
use crate::arena::SlabKey;
use crate::decision::AttemptCause;
use crate::ids::{Key, MemberId, QueryTag, Snapshot};
use crate::message::{FailReason, Hint, Outcome, SnapshotRange, SubQueryReply};
use crate::query::progress::{AttemptState, ShardProgress, ShardState};
use crate::query::{Event, Ticket};
use crate::rank::Rank;
use crate::verdict::Verdict;
use proptest::prelude::*;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
enum Fate {
    Rows,
    Doubled,
    Crossed,
    OfFormerRun,
    OfOtherSnapshot,
    Failed(Verdict, FailReason),
}

#[derive(Clone, Debug)]
enum Step {
    Request(usize, u64),
    /// Takes a reply out of order; some may be given to the same sub-query again.
    Deliver(usize, Fate),
    Hint,
    Wait(u64),
    LinkDown(usize),
    Members(Vec<bool>),
    Version(usize, u64),
    /// All replicas give up all snapshots and tell so.
    Expire,
    Shed(usize, u16),
    Gone(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    use FailReason::{Connection, Draining, NotOwner, Overloaded, SnapshotGone, UpstreamError};
    prop_oneof![
        6 => Just(Fate::Rows),
        1 => Just(Fate::Doubled),
        1 => Just(Fate::Crossed),
        1 => Just(Fate::OfFormerRun),
        1 => Just(Fate::OfOtherSnapshot),
        1 => Just(Fate::Failed(Verdict::NotRun, NotOwner)),
        2 => Just(Fate::Failed(Verdict::NotRun, SnapshotGone)),
        1 => Just(Fate::Failed(Verdict::NotRun, Draining)),
        1 => Just(Fate::Failed(Verdict::NotRun, Overloaded)),
        1 => Just(Fate::Failed(Verdict::MayHaveRun, Connection)),
        1 => Just(Fate::Failed(Verdict::Ran, UpstreamError)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..Rank::COUNT, 5u64..400).prop_map(|(rank, ms)| Step::Request(rank, ms)),
        20 => (any::<usize>(), fate()).prop_map(|(at, fate)| Step::Deliver(at, fate)),
        5 => Just(Step::Hint),
        4 => (0u64..40).prop_map(Step::Wait),
        1 => (0usize..5).prop_map(Step::LinkDown),
        1 => prop::collection::vec(prop::bool::weighted(0.8), 5).prop_map(Step::Members),
        1 => (any::<usize>(), 1u64..3).prop_map(|(at, by)| Step::Version(at, by)),
        1 => Just(Step::Expire),
        1 => (any::<usize>(), 0..=QueryTag::LEVELS).prop_map(|(at, level)| Step::Shed(at, level)),
        1 => any::<usize>().prop_map(Step::Gone),
    ]
}

/// What a query has to answer, by the replies that were delivered.
struct Expected {
    ticket: Ticket,
    /// The shards with valid rows of the current run.
    shards: Vec<usize>,
    gone: bool,
}

struct Checker {
    world: World,
    queries: Vec<Expected>,
    answers_seen: usize,
    restarts_seen: usize,
}

impl Checker {
    fn step(&mut self, step: Step) {
        match step {
            Step::Request(rank, ms) => {
                let ticket = self.world.request(Rank::ALL[rank], Duration::from_millis(ms));
                self.queries.push(Expected { ticket, shards: Vec::new(), gone: false });
            }
            Step::Deliver(at, fate) if !self.world.sent.is_empty() => {
                self.deliver(at % self.world.sent.len(), fate);
            }
            Step::Hint => self.world.hint(),
            Step::Wait(ms) => self.world.wait(Duration::from_millis(ms)),
            Step::LinkDown(member) => {
                self.world.event(Event::LinkDown(MemberId::from_index(member)));
            }
            Step::Members(live) => self.world.members(&live),
            Step::Version(at, by) => {
                let replica = self.world.replica(at).index();
                advance(&mut self.world.hints[replica], by);
            }
            Step::Expire => {
                self.world.hints.iter_mut().for_each(|hint| advance(hint, 3));
                self.world.hint_all();
            }
            Step::Shed(at, level) => {
                let replica = self.world.replica(at).index();
                self.world.hints[replica].shed_above[at % Rank::COUNT] = level;
            }
            Step::Gone(at) if !self.queries.is_empty() => {
                let at = at % self.queries.len();
                let query = &mut self.queries[at];
                query.gone |= self.world.result(query.ticket).is_none();
                let ticket = query.ticket;
                self.world.event(Event::CallerGone(ticket));
            }
            Step::Deliver(..) | Step::Gone(_) => {}
        }
    }

    fn deliver(&mut self, at: usize, fate: Fate) {
        let sent = self.world.sent[at];
        let rows = self.world.rows(&sent);
        match fate {
            Fate::Rows => self.deliver_rows(at, &sent, rows),
            Fate::Doubled => {
                self.deliver_rows(at, &sent, rows.clone());
                self.world.reply(at, rows);
            }
            Fate::Crossed => self.deliver_crossed(&sent, rows),
            Fate::OfFormerRun => self.deliver_former(&sent),
            Fate::OfOtherSnapshot => {
                let snapshot = Snapshot(sent.snapshot.0 + 1);
                let row = self.world.row(sent.part.replica, sent.ticket, snapshot);
                self.world.reply(at, Outcome::Rows { snapshot, rows: vec![row] });
            }
            Fate::Failed(verdict, reason) => self.world.fail(at, verdict, reason),
        }
    }

    fn deliver_rows(&mut self, at: usize, sent: &Sent, rows: Outcome) {
        let coordinator = &self.world.coordinator;
        let running = coordinator.queries.get(sent.part.attempt.query);
        let valid = !sent.replied && running.is_some_and(|query| query.tag == sent.query);
        let query = self.queries.iter_mut().find(|query| query.ticket == sent.ticket).unwrap();
        let position = sent.part.attempt.position as usize;
        if valid && !query.shards.contains(&position) {
            query.shards.push(position);
        }
        self.world.reply(at, rows);
    }

    /// Gives the reply of one sub-query with the tag of a replica of another shard.
    fn deliver_crossed(&mut self, sent: &Sent, outcome: Outcome) {
        let replicas = &self.world.view.topology.replicas;
        let asked = self.world.view.topology.replica(sent.part.replica).unwrap();
        let other = replicas.iter().find(|(_, r)| r.shard != replicas[asked].shard).unwrap();
        let replica = other.1.settings.tag;
        let hint = self.world.hint_of(replica);
        let attempt = sent.part.attempt;
        self.world.event(Event::Reply(SubQueryReply { attempt, replica, outcome, hint }));
    }

    /// Gives a reply to a query that the entry ran under the same keys before it was restarted.
    fn deliver_former(&mut self, sent: &Sent) {
        let mut attempt = sent.part.attempt;
        attempt.tag = QueryTag(!attempt.tag.0);
        let replica = sent.part.replica;
        let rows = vec![self.world.row(replica, Ticket(0), sent.snapshot)];
        let outcome = Outcome::Rows { snapshot: sent.snapshot, rows };
        let hint = self.world.hint_of(replica);
        self.world.event(Event::Reply(SubQueryReply { attempt, replica, outcome, hint }));
    }

    fn check(&mut self) {
        for tag in self.world.restarts[self.restarts_seen..].iter().copied() {
            let sent = self.world.sent.iter().find(|sent| sent.query == tag).unwrap();
            self.queries.iter_mut().find(|q| q.ticket == sent.ticket).unwrap().shards.clear();
        }
        self.restarts_seen = self.world.restarts.len();
        for at in self.answers_seen..self.world.answers.len() {
            self.check_answer(at);
        }
        self.answers_seen = self.world.answers.len();
        self.check_state();
        self.check_budget();
    }

    fn check_answer(&self, at: usize) {
        let (ticket, result) = &self.world.answers[at];
        let again = self.world.answers[..at].iter().any(|(known, _)| known == ticket);
        assert!(!again, "{ticket:?} was answered twice");
        let query = self.queries.iter().find(|query| query.ticket == *ticket);
        assert!(query.is_none_or(|query| !query.gone), "{ticket:?} does not wait any more");
        let shards = query.map_or(&[][..], |query| &query.shards);
        let mut sent = self.world.sent.iter().filter(|sent| sent.ticket == *ticket);
        match result {
            Ok(answer) => {
                let mut rows: Vec<_> = shards.iter().map(|shard| format!("{shard:04}")).collect();
                rows.sort_unstable();
                let merged: Vec<_> = answer.rows.iter().map(|row| row.key.clone()).collect();
                assert_eq!(merged, rows, "coverage is what was merged");
                let value = format!("{}@{}", ticket.0, answer.snapshot);
                assert!(answer.rows.iter().all(|row| row.value == value), "one snapshot");
                let coverage = &answer.coverage;
                assert_eq!(coverage.answered as usize, shards.len());
                assert_eq!(coverage.asked as usize, shards.len() + coverage.missing.len());
                let missing = |m: &crate::query::Missing| shards.contains(&m.shard.index());
                assert!(!coverage.missing.iter().any(missing));
            }
            Err(refusal) if refusal.verdict == Verdict::NotRun => {
                assert!(sent.all(|sent| sent.not_run), "{ticket:?} may have run");
            }
            Err(_) => assert!(sent.next().is_some(), "{ticket:?} was not sent"),
        }
    }

    fn check_state(&self) {
        let coordinator = &self.world.coordinator;
        let mut in_flight = 0;
        for (_, query) in coordinator.queries.iter() {
            let open = query.shards.iter().filter(|p| p.state == ShardState::Open).count();
            assert_eq!(query.open as usize, open);
            let attempts = query.shards.iter().flat_map(ShardProgress::attempts);
            in_flight += attempts.filter(|a| a.state == AttemptState::Open).count();
        }
        assert_eq!(coordinator.replicas.in_flight() as usize, in_flight);
        assert_eq!(coordinator.tickets.len(), coordinator.queries.len());
        let tickets: Vec<SlabKey> = coordinator.tickets.iter().map(|(_, key)| *key).collect();
        assert!(tickets.iter().all(|key| coordinator.queries.get(*key).is_some()));
    }

    fn check_budget(&self) {
        for (service, _) in self.world.view.topology.services.iter() {
            for rank in Rank::ALL {
                let of = |causes: &[AttemptCause]| {
                    let routed = self.world.routed.iter();
                    routed
                        .filter(|(s, r, c)| *s == service && *r == rank && causes.contains(c))
                        .count()
                };
                let extra = of(&[AttemptCause::Hedge, AttemptCause::Retry]) as f64;
                let first = of(&[AttemptCause::First]) as f64;
                assert!(extra <= 2.0 + SMALL.extra_load * first + 1e-6, "{extra} for {first}");
            }
        }
    }
}

/// Moves the snapshots that a replica serves, of which there are three.
fn advance(hint: &mut Hint, by: u64) {
    if let Some(range) = &mut hint.snapshots {
        let newest = Snapshot(range.newest.0 + by);
        *range = SnapshotRange { oldest: Snapshot(newest.0 - 2), newest };
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn answers_are_true_under_any_schedule(
        shape in (1u32..4, 2u32..4, 1u32..4),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let (services, shards, replicas) = shape;
        let world = World::new(Shape { services, shards, replicas, ..SMALL });
        let mut checker =
            Checker { world, queries: Vec::new(), answers_seen: 0, restarts_seen: 0 };
        for step in steps {
            checker.step(step);
            checker.check();
        }
        checker.world.wait(Duration::from_secs(1));
        checker.check();
        prop_assert_eq!(checker.world.coordinator.running(), 0);
        for query in &checker.queries {
            prop_assert_eq!(checker.world.result(query.ticket).is_some(), !query.gone);
        }
    }

    /// Every shard has replicas at two owners; one of the owners goes at any moment.
    #[test]
    fn a_lost_owner_loses_no_query(
        member in 1usize..5,
        replied in 0usize..6,
        link in any::<bool>(),
        moment in 0u64..200,
    ) {
        let mut world = World::new(SMALL);
        let ticket = world.request(Rank::Urgent, Duration::from_secs(1));
        world.hint();
        for index in 0..replied {
            let rows = world.rows(&world.sent[index]);
            world.reply(index, rows);
        }
        world.wait(Duration::from_millis(moment));
        let mut live = [true; 5];
        live[member] = false;
        if link {
            world.event(Event::LinkDown(MemberId::from_index(member)));
            for sent in &mut world.sent {
                sent.cancelled |= sent.owner.index() == member;
            }
        } else {
            world.members(&live);
        }
        world.answer_all();
        let answer = world.result(ticket).unwrap().as_ref().unwrap();
        prop_assert!(answer.coverage.missing.is_empty());
        let extra = world.routed.iter().filter(|(_, _, cause)| *cause == AttemptCause::Reroute);
        prop_assert!(extra.count() <= 6 - replied);
    }
}
