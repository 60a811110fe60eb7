//! Property tests with random schedules of requests, replies, failures and view changes.

use super::harness::{Harness, SMALL, Sent, Shape};
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

/// The kind of reply that is delivered to a sub-query.
#[derive(Clone, Copy, Debug)]
enum ReplyKind {
    Rows,
    Duplicate,
    WrongReplica,
    WrongTag,
    WrongSnapshot,
    Failed(Verdict, FailReason),
}

#[derive(Clone, Debug)]
enum Step {
    /// A request of the rank with this index, with the time left in milliseconds.
    Request(usize, u64),
    /// Replies to one of the sub-queries sent so far, possibly a second time.
    Deliver(usize, ReplyKind),
    AnswerHintRequests,
    /// In milliseconds.
    Wait(u64),
    LinkDown(usize),
    SetLiveMembers(Vec<bool>),
    /// One replica serves newer snapshots, which later hints report.
    AdvanceSnapshots(usize, u64),
    /// All replicas drop all their snapshots and report it in hints.
    ExpireSnapshots,
    /// One replica sheds one rank from this level.
    ShedLevel(usize, u16),
    Disconnect(usize),
}

fn reply_kind() -> impl Strategy<Value = ReplyKind> {
    use FailReason::{Connection, Draining, NotOwner, Overloaded, SnapshotGone, UpstreamError};
    prop_oneof![
        6 => Just(ReplyKind::Rows),
        1 => Just(ReplyKind::Duplicate),
        1 => Just(ReplyKind::WrongReplica),
        1 => Just(ReplyKind::WrongTag),
        1 => Just(ReplyKind::WrongSnapshot),
        1 => Just(ReplyKind::Failed(Verdict::NotRun, NotOwner)),
        2 => Just(ReplyKind::Failed(Verdict::NotRun, SnapshotGone)),
        1 => Just(ReplyKind::Failed(Verdict::NotRun, Draining)),
        1 => Just(ReplyKind::Failed(Verdict::NotRun, Overloaded)),
        1 => Just(ReplyKind::Failed(Verdict::MayHaveRun, Connection)),
        1 => Just(ReplyKind::Failed(Verdict::Ran, UpstreamError)),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..Rank::COUNT, 5u64..400).prop_map(|(rank, ms)| Step::Request(rank, ms)),
        20 => (any::<usize>(), reply_kind()).prop_map(|(at, kind)| Step::Deliver(at, kind)),
        5 => Just(Step::AnswerHintRequests),
        4 => (0u64..40).prop_map(Step::Wait),
        1 => (0usize..5).prop_map(Step::LinkDown),
        1 => prop::collection::vec(prop::bool::weighted(0.8), 5).prop_map(Step::SetLiveMembers),
        1 => (any::<usize>(), 1u64..3).prop_map(|(at, by)| Step::AdvanceSnapshots(at, by)),
        1 => Just(Step::ExpireSnapshots),
        1 => (any::<usize>(), 0..=QueryTag::LEVELS)
            .prop_map(|(at, level)| Step::ShedLevel(at, level)),
        1 => any::<usize>().prop_map(Step::Disconnect),
    ]
}

/// The answer that a query must give after the replies delivered so far.
struct ExpectedAnswer {
    ticket: Ticket,
    /// The shards with valid rows of the current run.
    shards: Vec<usize>,
    /// Whether the caller disconnected before the answer.
    disconnected: bool,
}

struct Checker {
    harness: Harness,
    queries: Vec<ExpectedAnswer>,
    answers_seen: usize,
    restarts_seen: usize,
}

impl Checker {
    fn step(&mut self, step: Step) {
        match step {
            Step::Request(rank, ms) => {
                let ticket = self.harness.request(Rank::ALL[rank], Duration::from_millis(ms));
                self.queries.push(ExpectedAnswer {
                    ticket,
                    shards: Vec::new(),
                    disconnected: false,
                });
            }
            Step::Deliver(at, kind) if !self.harness.sent.is_empty() => {
                self.deliver(at % self.harness.sent.len(), kind);
            }
            Step::AnswerHintRequests => self.harness.answer_hint_requests(),
            Step::Wait(ms) => self.harness.wait(Duration::from_millis(ms)),
            Step::LinkDown(member) => {
                self.harness.handle(Event::LinkDown(MemberId::from_index(member)));
            }
            Step::SetLiveMembers(live) => self.harness.set_live_members(&live),
            Step::AdvanceSnapshots(at, by) => {
                let replica = self.harness.replica(at).index();
                advance(&mut self.harness.hints[replica], by);
            }
            Step::ExpireSnapshots => {
                self.harness.hints.iter_mut().for_each(|hint| advance(hint, 3));
                self.harness.send_all_hints();
            }
            Step::ShedLevel(at, level) => {
                let replica = self.harness.replica(at).index();
                self.harness.hints[replica].shed_from[at % Rank::COUNT] = level;
            }
            Step::Disconnect(at) if !self.queries.is_empty() => {
                let at = at % self.queries.len();
                let query = &mut self.queries[at];
                query.disconnected |= self.harness.result(query.ticket).is_none();
                let ticket = query.ticket;
                self.harness.handle(Event::CallerDisconnected(ticket));
            }
            Step::Deliver(..) | Step::Disconnect(_) => {}
        }
    }

    fn deliver(&mut self, at: usize, kind: ReplyKind) {
        let sent = self.harness.sent[at];
        let rows = self.harness.rows(&sent);
        match kind {
            ReplyKind::Rows => self.deliver_rows(at, &sent, rows),
            ReplyKind::Duplicate => {
                self.deliver_rows(at, &sent, rows.clone());
                self.harness.reply(at, rows);
            }
            ReplyKind::WrongReplica => self.deliver_wrong_replica(&sent, rows),
            ReplyKind::WrongTag => self.deliver_wrong_tag(&sent),
            ReplyKind::WrongSnapshot => {
                let snapshot = Snapshot(sent.snapshot.0 + 1);
                let row = self.harness.row(sent.sub_query.replica, sent.ticket, snapshot);
                self.harness.reply(at, Outcome::Rows { snapshot, rows: vec![row] });
            }
            ReplyKind::Failed(verdict, reason) => self.harness.fail(at, verdict, reason),
        }
    }

    fn deliver_rows(&mut self, at: usize, sent: &Sent, rows: Outcome) {
        let coordinator = &self.harness.coordinator;
        let running = coordinator.queries.get(sent.sub_query.attempt.query);
        let valid = !sent.replied && running.is_some_and(|query| query.tag == sent.query);
        let query = self.queries.iter_mut().find(|query| query.ticket == sent.ticket).unwrap();
        let position = sent.sub_query.attempt.position as usize;
        if valid && !query.shards.contains(&position) {
            query.shards.push(position);
        }
        self.harness.reply(at, rows);
    }

    /// Delivers a reply with the tag of a replica of another shard.
    fn deliver_wrong_replica(&mut self, sent: &Sent, outcome: Outcome) {
        let replicas = &self.harness.view.topology.replicas;
        let addressed = self.harness.view.topology.replica(sent.sub_query.replica).unwrap();
        let other = replicas.iter().find(|(_, r)| r.shard != replicas[addressed].shard).unwrap();
        let replica = other.1.settings.tag;
        let hint = self.harness.hint_for(replica);
        let attempt = sent.sub_query.attempt;
        self.harness.handle(Event::Reply(SubQueryReply { attempt, replica, outcome, hint }));
    }

    /// Delivers a reply with another query tag, as if for a query of the entry's previous process
    /// that had the same keys.
    fn deliver_wrong_tag(&mut self, sent: &Sent) {
        let mut attempt = sent.sub_query.attempt;
        attempt.tag = QueryTag(!attempt.tag.0);
        let replica = sent.sub_query.replica;
        let rows = vec![self.harness.row(replica, Ticket(0), sent.snapshot)];
        let outcome = Outcome::Rows { snapshot: sent.snapshot, rows };
        let hint = self.harness.hint_for(replica);
        self.harness.handle(Event::Reply(SubQueryReply { attempt, replica, outcome, hint }));
    }

    fn check(&mut self) {
        for tag in self.harness.restarts[self.restarts_seen..].iter().copied() {
            let sent = self.harness.sent.iter().find(|sent| sent.query == tag).unwrap();
            self.queries.iter_mut().find(|q| q.ticket == sent.ticket).unwrap().shards.clear();
        }
        self.restarts_seen = self.harness.restarts.len();
        for at in self.answers_seen..self.harness.answers.len() {
            self.check_answer(at);
        }
        self.answers_seen = self.harness.answers.len();
        self.check_state();
        self.check_budget();
    }

    fn check_answer(&self, at: usize) {
        let (ticket, result) = &self.harness.answers[at];
        let is_duplicate = self.harness.answers[..at].iter().any(|(other, _)| other == ticket);
        assert!(!is_duplicate, "{ticket:?} was answered twice");
        let query = self.queries.iter().find(|query| query.ticket == *ticket);
        assert!(
            query.is_none_or(|query| !query.disconnected),
            "{ticket:?} was answered after its caller disconnected"
        );
        let shards = query.map_or(&[][..], |query| &query.shards);
        let mut sent = self.harness.sent.iter().filter(|sent| sent.ticket == *ticket);
        match result {
            Ok(answer) => {
                let mut rows: Vec<_> = shards.iter().map(|shard| format!("{shard:04}")).collect();
                rows.sort_unstable();
                let merged: Vec<_> = answer.rows.iter().map(|row| row.key.clone()).collect();
                assert_eq!(merged, rows, "rows differ from the delivered ones");
                let value = format!("{}@{}", ticket.0, answer.snapshot);
                assert!(
                    answer.rows.iter().all(|row| row.value == value),
                    "rows of several snapshots or queries"
                );
                let coverage = &answer.coverage;
                assert_eq!(coverage.answered as usize, shards.len());
                assert_eq!(coverage.asked as usize, shards.len() + coverage.missing.len());
                let was_delivered = |m: &crate::query::Missing| shards.contains(&m.shard.index());
                assert!(!coverage.missing.iter().any(was_delivered));
            }
            Err(refusal) if refusal.verdict == Verdict::NotRun => {
                assert!(
                    sent.all(|sent| sent.not_run),
                    "the verdict says that {ticket:?} did not run, but it may have run"
                );
            }
            Err(_) => assert!(
                sent.next().is_some(),
                "the verdict says that {ticket:?} may have run, but it was never sent"
            ),
        }
    }

    fn check_state(&self) {
        let coordinator = &self.harness.coordinator;
        let mut in_flight = 0;
        for (_, query) in coordinator.queries.iter() {
            let open = query.shards.iter().filter(|p| p.state == ShardState::Open).count();
            assert_eq!(query.open_shards as usize, open);
            let attempts = query.shards.iter().flat_map(ShardProgress::attempts);
            in_flight += attempts.filter(|a| a.state == AttemptState::Open).count();
        }
        assert_eq!(coordinator.replicas.in_flight() as usize, in_flight);
        assert_eq!(coordinator.tickets.len(), coordinator.queries.len());
        let tickets: Vec<SlabKey> = coordinator.tickets.iter().map(|(_, key)| *key).collect();
        assert!(tickets.iter().all(|key| coordinator.queries.get(*key).is_some()));
    }

    fn check_budget(&self) {
        for (service, _) in self.harness.view.topology.services.iter() {
            for rank in Rank::ALL {
                let count = |causes: &[AttemptCause]| {
                    let routed = self.harness.routed.iter();
                    routed
                        .filter(|(s, r, c)| *s == service && *r == rank && causes.contains(c))
                        .count()
                };
                let extra = count(&[AttemptCause::Hedge, AttemptCause::Retry]) as f64;
                let first = count(&[AttemptCause::First]) as f64;
                assert!(
                    extra <= 2.0 + SMALL.extra_load * first + 1e-6,
                    "{extra} hedges and retries for {first} first attempts"
                );
            }
        }
    }
}

/// Advances the three snapshots that a replica serves.
fn advance(hint: &mut Hint, by: u64) {
    if let Some(range) = &mut hint.snapshots {
        let newest = Snapshot(range.newest.0 + by);
        *range = SnapshotRange { oldest: Snapshot(newest.0 - 2), newest };
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn any_schedule_yields_consistent_answers_and_state(
        shape in (1u32..4, 2u32..4, 1u32..4),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let (services, shards, replicas) = shape;
        let harness = Harness::new(Shape { services, shards, replicas, ..SMALL });
        let mut checker =
            Checker { harness, queries: Vec::new(), answers_seen: 0, restarts_seen: 0 };
        for step in steps {
            checker.step(step);
            checker.check();
        }
        checker.harness.wait(Duration::from_secs(1));
        checker.check();
        prop_assert_eq!(checker.harness.coordinator.running(), 0);
        for query in &checker.queries {
            prop_assert_eq!(checker.harness.result(query.ticket).is_some(), !query.disconnected);
        }
    }

    /// Every shard has replicas at two owners, one of which is lost at a random time.
    #[test]
    fn lost_owner_reduces_no_coverage(
        member in 1usize..5,
        replied in 0usize..6,
        link_only in any::<bool>(),
        lost_after_ms in 0u64..200,
    ) {
        let mut harness = Harness::new(SMALL);
        let ticket = harness.request(Rank::Urgent, Duration::from_secs(1));
        harness.answer_hint_requests();
        for index in 0..replied {
            let rows = harness.rows(&harness.sent[index]);
            harness.reply(index, rows);
        }
        harness.wait(Duration::from_millis(lost_after_ms));
        let mut live = [true; 5];
        live[member] = false;
        if link_only {
            harness.handle(Event::LinkDown(MemberId::from_index(member)));
            for sent in &mut harness.sent {
                sent.cancelled |= sent.owner.index() == member;
            }
        } else {
            harness.set_live_members(&live);
        }
        harness.answer_all();
        let answer = harness.result(ticket).unwrap().as_ref().unwrap();
        prop_assert!(answer.coverage.missing.is_empty());
        let rerouted =
            harness.routed.iter().filter(|(_, _, cause)| *cause == AttemptCause::Reroute);
        prop_assert!(rerouted.count() <= 6 - replied);
    }
}
