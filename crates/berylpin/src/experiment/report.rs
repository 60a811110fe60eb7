//! What a run showed.

use super::canary::{self, Edit, Observation};
use super::run::{ControlCost, WorkAt, by_daemon};
use super::scenario::{Recovery, Scenario};
use crate::bench::{Bench, CANARY};
use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use berylpin_standin::charges::Charge;
use berylpin_standin::checker::{
    Violations, count_duplicate_runs, count_false_not_run, count_lost_changes,
    count_reverted_revisions,
};
use berylpin_standin::load::{Outcome, QueryStream, RankStats, Sample};
use comfy_table::Table;
use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// A state that still differs this close to the end counts as not recovered.
const END_MARGIN: Duration = Duration::from_millis(700);

/// What a run left behind.
pub(super) struct Facts<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) seed: u64,
    pub(super) streams: &'a [QueryStream],
    pub(super) samples: &'a [Sample],
    pub(super) charges: &'a [Charge],
    pub(super) observations: &'a [Observation],
    /// At the start, where the settled part begins, and at the end.
    pub(super) works: &'a [WorkAt],
    pub(super) stops: &'a [(usize, Instant)],
    pub(super) edits: &'a [Edit],
    pub(super) start: Instant,
    pub(super) fault_start: Instant,
    pub(super) control: ControlCost,
    pub(super) memory_mb: f64,
}

/// What callers of one rank saw.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RankReport {
    pub(crate) rank: Rank,
    pub(crate) sent: u64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) coverage: f64,
}

/// One request in the plot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Point {
    pub(crate) second: f64,
    pub(crate) latency_ms: f64,
    pub(crate) coverage: f64,
    pub(crate) rank: Rank,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) experiment: String,
    pub(crate) seed: u64,
    pub(crate) ranks: Vec<RankReport>,
    pub(crate) baseline: Vec<RankReport>,
    pub(crate) extra_load: f64,
    pub(crate) useful_work: f64,
    /// `None` if the state was not reached, or is not looked at.
    pub(crate) recovery_ms: Option<f64>,
    pub(crate) control: ControlCost,
    pub(crate) memory_mb: f64,
    pub(crate) violations: Violations,
    /// Each reason of a refusal and how often it was given, by rank.
    #[serde(skip)]
    pub(crate) refusals: Vec<(Rank, String, usize)>,
    /// Editors, and how many of them were told that their change is accepted.
    #[serde(skip)]
    pub(crate) edits: [usize; 2],
    /// Non-idempotent requests: sent, told to have run, and run by the record of the replicas.
    #[serde(skip)]
    pub(crate) charges: [usize; 3],
    #[serde(skip)]
    pub(crate) points: Vec<Point>,
    /// Where the part with faults begins in the plot.
    #[serde(skip)]
    pub(crate) fault_second: f64,
}

impl Report {
    pub(super) fn new(facts: &Facts<'_>, bench: &Bench) -> Self {
        let (before, after): (Vec<&Sample>, Vec<&Sample>) =
            facts.samples.iter().partition(|sample| sample.start < facts.fault_start);
        Self {
            experiment: facts.scenario.name.clone(),
            seed: facts.seed,
            ranks: ranks(facts, &after),
            baseline: ranks(facts, &before),
            extra_load: extra_load(facts),
            useful_work: useful_work(facts, bench),
            recovery_ms: recovery(facts, bench).map(|time| time.as_secs_f64() * 1000.0),
            control: facts.control,
            memory_mb: facts.memory_mb,
            violations: violations(facts, bench),
            refusals: refusals(facts),
            edits: [facts.edits.len(), accepted(facts.edits).count()],
            charges: [
                facts.charges.len(),
                facts.charges.iter().filter(|charge| charge.executed).count(),
                executions(bench).len(),
            ],
            points: facts.samples.iter().map(|sample| point(facts, sample)).collect(),
            fault_second: (facts.fault_start - facts.start).as_secs_f64(),
        }
    }
}

fn ranks(facts: &Facts<'_>, samples: &[&Sample]) -> Vec<RankReport> {
    let report = |rank: Rank| {
        let mut tally = RankStats::default();
        let of_rank = samples.iter().filter(|sample| facts.streams[sample.stream].rank == rank);
        of_rank.for_each(|sample| tally.record(sample));
        RankReport {
            rank,
            sent: tally.sent,
            complete: tally.complete,
            partial: tally.partial,
            refused: tally.refused,
            failed: tally.failed,
            p50_ms: tally.quantile_ms(0.5),
            p99_ms: tally.quantile_ms(0.99),
            p999_ms: tally.quantile_ms(0.999),
            coverage: tally.coverage(),
        }
    };
    Rank::ALL.into_iter().map(report).collect()
}

fn refusals(facts: &Facts<'_>) -> Vec<(Rank, String, usize)> {
    let refused = facts.samples.iter().filter(|sample| !sample.reason.is_empty());
    let mut reasons: Vec<(Rank, &str)> =
        refused.map(|sample| (facts.streams[sample.stream].rank, sample.reason.as_str())).collect();
    reasons.sort_unstable();
    let runs = reasons.chunk_by(|a, b| a == b);
    runs.map(|run| (run[0].0, run[0].1.to_owned(), run.len())).collect()
}

fn point(facts: &Facts<'_>, sample: &Sample) -> Point {
    Point {
        second: (sample.start - facts.start).as_secs_f64(),
        latency_ms: sample.latency.as_secs_f64() * 1000.0,
        coverage: sample.answered as f64 / sample.asked.max(1) as f64,
        rank: facts.streams[sample.stream].rank,
    }
}

/// Returns the requests and the length of the settled part.
fn settled<'a>(facts: &'a Facts<'_>) -> (impl Iterator<Item = &'a Sample>, Duration) {
    let [_, (from, _), (to, _)] = facts.works else { unreachable!("work is read three times") };
    (facts.samples.iter().filter(move |sample| sample.start >= *from), *to - *from)
}

/// Returns the work without a merged result as a share of the work with one.
fn extra_load(facts: &Facts<'_>) -> f64 {
    let (samples, _) = settled(facts);
    let merged: u64 = samples.map(|sample| sample.answered).sum();
    let ran = facts.works[2].1.ran - facts.works[1].1.ran;
    ran as f64 / merged.max(1) as f64 - 1.0
}

/// Returns the slot time of merged results as a share of all slot time.
fn useful_work(facts: &Facts<'_>, bench: &Bench) -> f64 {
    let target = facts.scenario.useful_work_of.as_deref();
    let (samples, length) = settled(facts);
    let of_target = |sample: &&Sample| {
        target.is_none_or(|target| facts.streams[sample.stream].target == target)
    };
    let answered: u64 = samples.filter(of_target).map(|sample| sample.answered).sum();
    let replicas = bench.replicas.iter().filter(|replica| replica.group != CANARY);
    let slots: u64 = replicas
        .filter(|replica| target.is_none_or(|t| replica.group == t || replica.service == t))
        .map(|replica| u64::from(replica.slots))
        .sum();
    let (first, last) = (facts.works[1].1, facts.works[2].1);
    let slot_time =
        last.busy.saturating_sub(first.busy).as_secs_f64() / (last.ran - first.ran).max(1) as f64;
    answered as f64 * slot_time / (slots as f64 * length.as_secs_f64())
}

/// Returns how long the state took to be as it should be, and stayed so to the end.
fn recovery(facts: &Facts<'_>, bench: &Bench) -> Option<Duration> {
    let mark = facts.fault_start + Duration::from_secs_f64(facts.scenario.recovery_from_s);
    let end = facts.works[2].0;
    let last_wrong = match facts.scenario.recovery {
        Recovery::None => return None,
        Recovery::Coverage => {
            let wrong = facts.samples.iter().filter(|sample| sample.outcome != Outcome::Complete);
            wrong.map(|sample| sample.start + sample.latency).max()
        }
        Recovery::Config => return agreement(facts, bench, mark),
        Recovery::Drain => facts.works[2].1.last_drained_arrival,
    };
    let last_wrong = last_wrong.unwrap_or(mark);
    (last_wrong + END_MARGIN < end).then(|| last_wrong.saturating_duration_since(mark))
}

/// Returns when the last daemon began to route by the change that the platform holds.
fn agreement(facts: &Facts<'_>, bench: &Bench, mark: Instant) -> Option<Duration> {
    let stored = canary::stored_change(bench);
    if stored == 0 {
        return None;
    }
    let mut latest = Duration::ZERO;
    for (daemon, _) in bench.callers() {
        let seen = by_daemon(facts.observations, daemon);
        let first = seen.iter().rev().take_while(|seen| seen.change == stored).last()?;
        latest = latest.max(first.at.saturating_duration_since(mark));
    }
    Some(latest)
}

/// Returns the key and the body of every execution, from the replicas' own record.
fn executions(bench: &Bench) -> Vec<(String, String)> {
    let ledgers = bench.replicas.iter().flat_map(|replica| replica.upstream.ledger().entries());
    ledgers.map(|entry| (entry.key, entry.body)).collect()
}

/// Checks what callers of non-idempotent requests were told against what ran.
fn charge_violations(charges: &[Charge], executions: &[(String, String)]) -> Violations {
    let ran = |key: &&String| executions.iter().any(|(executed, _)| executed == *key);
    let bodies = executions.iter().map(|(_, body)| body.clone()).collect();
    let unfounded = |charge: &&Charge| {
        charge.crossed
            || (charge.executed && !executions.iter().any(|(_, body)| *body == charge.body))
    };
    let not_run = charges.iter().flat_map(|charge| &charge.not_run);
    Violations {
        ran_twice: count_duplicate_runs(bodies),
        false_not_run: not_run.filter(ran).count() as u64,
        crossed_answer: charges.iter().filter(unfounded).count() as u64,
        ..Violations::default()
    }
}

/// Returns the number, the version and the text of each accepted change.
fn accepted(edits: &[Edit]) -> impl Iterator<Item = (u64, (u64, String))> {
    edits.iter().filter_map(|edit| match edit {
        Edit::Accepted { change, version, text } => Some((*change, (*version, text.clone()))),
        Edit::Unknown => None,
    })
}

/// Counts accepted changes that the platform never stored or that a later one did not build on.
fn lost_edits(edits: &[Edit], bench: &Bench) -> u64 {
    let mut changes: Vec<u64> = accepted(edits).map(|(change, _)| change).collect();
    let stored: Vec<(u64, String)> = accepted(edits).map(|(_, stored)| stored).collect();
    let newest = canary::stored_change(bench);
    changes.sort_unstable();
    // Every change raises the number by one, so two with the same number hide each other.
    let hidden = changes.windows(2).filter(|pair| pair[0] == pair[1]).count();
    let gone = changes.iter().filter(|change| **change > newest).count();
    count_lost_changes(&stored, &canary::history(bench)) + (hidden + gone) as u64
}

fn violations(facts: &Facts<'_>, bench: &Bench) -> Violations {
    let mut all = charge_violations(facts.charges, &executions(bench));
    facts.samples.iter().for_each(|sample| all += sample.violations);
    let refused = facts.samples.iter().filter(|s| s.outcome == Outcome::Refused(Verdict::NotRun));
    let mut ran: Vec<u64> =
        bench.replicas.iter().flat_map(|r| r.upstream.started_lookups()).collect();
    ran.sort_unstable();
    all.false_not_run += count_false_not_run(refused.map(|sample| sample.lookup), &ran);
    all.work_after_drain += facts.works[2].1.after_drain;
    let cut = |sample: &&Sample| {
        let ended = sample.start + sample.latency;
        let stopped = |(entry, at): &(usize, Instant)| *entry == sample.entry && ended >= *at;
        sample.outcome == Outcome::Failed && facts.stops.iter().any(stopped)
    };
    all.cut_by_stop += facts.samples.iter().filter(cut).count() as u64;
    for daemon in 0..bench.entries.len() {
        let seen = by_daemon(facts.observations, daemon);
        all.reverted_config +=
            count_reverted_revisions(&seen.iter().map(|s| s.change).collect::<Vec<_>>());
    }
    all.lost_accepted_change += lost_edits(facts.edits, bench);
    all
}

/// Returns the report for people.
pub(crate) fn table(report: &Report) -> String {
    let mut table = Table::new();
    table.set_header([
        "part", "rank", "sent", "complete", "partial", "refused", "failed", "p50 ms", "p99 ms",
        "p99.9 ms", "coverage",
    ]);
    for (part, ranks) in [("baseline", &report.baseline), ("faults", &report.ranks)] {
        for rank in ranks {
            table.add_row([
                part.to_owned(),
                rank.rank.to_string(),
                rank.sent.to_string(),
                rank.complete.to_string(),
                rank.partial.to_string(),
                rank.refused.to_string(),
                rank.failed.to_string(),
                format!("{:.1}", rank.p50_ms),
                format!("{:.1}", rank.p99_ms),
                format!("{:.1}", rank.p999_ms),
                format!("{:.4}", rank.coverage),
            ]);
        }
    }
    let recovery = report.recovery_ms.map_or("none".to_owned(), |time| format!("{time:.0} ms"));
    let control = report.control;
    let refusal =
        |(rank, reason, count): &(Rank, String, usize)| format!("{rank} {reason} {count}");
    let refusals: Vec<String> = report.refusals.iter().map(refusal).collect();
    format!(
        "{}, seed {}\n{table}\nrefusals: {}\nedits: {} of {} accepted; charges: {} sent, {} told to have run, {} ran\nextra load {:.2}%, useful work {:.1}%, recovery {recovery}\n\
         control: {:.2}% of a core and {:.0} bytes/s a daemon, {:.1} platform calls/s in all\n\
         memory of the whole process: {:.0} MB\n{:?}",
        report.experiment,
        report.seed,
        refusals.join(", "),
        report.edits[1],
        report.edits[0],
        report.charges[0],
        report.charges[1],
        report.charges[2],
        report.extra_load * 100.0,
        report.useful_work * 100.0,
        control.cpu_share * 100.0,
        control.bytes_per_s,
        control.platform_calls_per_s,
        report.memory_mb,
        report.violations,
    )
}
