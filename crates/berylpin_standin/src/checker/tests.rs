use super::*;
use berylpin_core::message::FailReason;
use berylpin_wire::caller::{CoverageBody, MissingBody};

const LOOKUP: &str = "q1";

fn layout() -> Layout {
    ["a", "b", "c"].map(|shard| ("desk".to_owned(), shard.to_owned())).to_vec()
}

fn row(lookup: &str, shard: &str, snapshot: u64) -> Row {
    let shard = ("desk".to_owned(), shard.to_owned());
    Origin { lookup: lookup.to_owned(), shard, snapshot: Snapshot(snapshot) }.row()
}

/// A correct partial answer: rows of shards `a` and `b`, with `c` stated as missing.
fn partial_answer() -> AnswerBody {
    let missing = MissingBody {
        service: "desk".to_owned(),
        shard: "c".to_owned(),
        reason: FailReason::Deadline,
    };
    AnswerBody {
        complete: false,
        snapshot: Snapshot(3),
        coverage: CoverageBody { asked: 3, answered: 2, missing: vec![missing] },
        rows: vec![row(LOOKUP, "a", 3), row(LOOKUP, "b", 3)],
    }
}

fn check(answer: &AnswerBody) -> Violations {
    check_answer(LOOKUP, &[layout()], answer)
}

#[test]
fn a_correct_partial_answer_has_no_violations() {
    assert_eq!(check(&partial_answer()), Violations::default());
}

#[test]
fn a_row_of_another_snapshot_is_counted() {
    let mut answer = partial_answer();
    answer.rows[1] = row(LOOKUP, "b", 2);
    assert_eq!(check(&answer), Violations { mixed_snapshot: 1, ..Violations::default() });
}

#[test]
fn a_row_of_another_request_is_counted() {
    let mut answer = partial_answer();
    answer.rows[1] = row("q2", "b", 3);
    assert_eq!(check(&answer), Violations { crossed_answer: 1, ..Violations::default() });
}

#[test]
fn a_row_without_an_origin_is_counted() {
    let mut answer = partial_answer();
    answer.rows[0] = Row { key: "no origin".to_owned(), value: "3".to_owned() };
    assert_eq!(check(&answer).crossed_answer, 1);
}

#[test]
fn false_coverage_is_counted() {
    let changes: [fn(&mut AnswerBody); 5] = [
        |answer| answer.complete = true,
        |answer| answer.coverage.missing.clear(),
        |answer| answer.rows[1] = answer.rows[0].clone(),
        |answer| answer.coverage.answered = 3,
        |answer| drop(answer.rows.pop()),
    ];
    for change in changes {
        let mut answer = partial_answer();
        change(&mut answer);
        assert_eq!(check(&answer).false_coverage, 1, "{answer:?}");
    }
}

#[test]
fn an_answer_that_mixes_two_layouts_is_counted() {
    let [a, b, c] = ["a", "b", "c"].map(|shard| ("desk".to_owned(), shard.to_owned()));
    let answer = partial_answer();
    assert_eq!(check_answer(LOOKUP, &[vec![a.clone(), b.clone()], vec![c]], &answer).total(), 1);
}

#[test]
fn a_lookup_that_ran_and_was_refused_is_counted() {
    assert_eq!(count_false_not_run([1, 2, 3].into_iter(), &[2, 5]), 1);
}

#[test]
fn a_request_executed_repeatedly_is_counted_once() {
    let executed = ["x", "y", "x", "x"].map(str::to_owned).to_vec();
    assert_eq!(count_duplicate_runs(executed), 1);
}

#[test]
fn a_decrease_of_the_revision_is_counted() {
    assert_eq!(count_reverted_revisions(&[1, 2, 2, 1, 2, 3]), 1);
}

#[test]
fn missing_and_altered_changes_are_counted() {
    let change = |version: u64, text: &str| (version, text.to_owned());
    let stored = [change(1, "a"), change(2, "b")];
    assert_eq!(count_lost_changes(&[change(1, "a"), change(2, "x"), change(3, "c")], &stored), 2);
}

#[test]
fn the_total_and_the_sum_include_every_kind() {
    let ones = Violations {
        mixed_snapshot: 1,
        false_coverage: 1,
        crossed_answer: 1,
        ran_twice: 1,
        false_not_run: 1,
        work_after_drain: 1,
        cut_by_stop: 1,
        reverted_config: 1,
        lost_accepted_change: 1,
    };
    let mut sum = ones;
    sum += ones;
    assert_eq!((ones.total(), sum.total()), (9, 18));
}
