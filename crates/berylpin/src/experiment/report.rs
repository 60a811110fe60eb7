//! Evaluates the data of a run and renders its report.

use super::canary::{self, EditOutcome, Observation};
use super::run::{ControlCost, WorkReading, observations_of};
use super::scenario::{Recovery, Scenario};
use crate::testbed::{CANARY, Testbed};
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

/// Minimum time between the last deviation from the state of [`Recovery`] and the end of the run;
/// with less time, the state counts as not recovered.
const MIN_STABLE_PERIOD: Duration = Duration::from_millis(700);

/// The raw data of a run.
pub(super) struct RunData<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) seed: u64,
    pub(super) streams: &'a [QueryStream],
    pub(super) samples: &'a [Sample],
    pub(super) charges: &'a [Charge],
    pub(super) observations: &'a [Observation],
    /// Three readings: at the start of the baseline phase, `settle_s` after the start of the fault
    /// phase, and at the end.
    pub(super) work_readings: &'a [WorkReading],
    /// Index of each daemon that was stopped gracefully, and when its shutdown began.
    pub(super) stops: &'a [(usize, Instant)],
    pub(super) edits: &'a [EditOutcome],
    pub(super) start: Instant,
    pub(super) fault_start: Instant,
    pub(super) control: ControlCost,
    pub(super) memory_mb: f64,
}

/// Results of one rank's queries, as their callers saw them.
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

/// One query in the plot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlotPoint {
    /// Start of the query, in seconds after the start of the load.
    pub(crate) second: f64,
    pub(crate) latency_ms: f64,
    pub(crate) coverage: f64,
    pub(crate) rank: Rank,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) experiment: String,
    pub(crate) seed: u64,
    /// Queries of the fault phase.
    pub(crate) ranks: Vec<RankReport>,
    /// Queries of the baseline phase.
    pub(crate) baseline: Vec<RankReport>,
    /// Sub-queries that upstreams did not refuse and whose rows are in no answer, as a fraction of
    /// those whose rows are in one.
    ///
    /// Measured, unlike the setting `extra_load` of a service document, which limits hedges and
    /// retries.
    pub(crate) extra_load: f64,
    /// Share of the available slot time that was spent on sub-queries whose rows are in an answer.
    pub(crate) useful_work: f64,
    /// Time from `recovery_from_s` until the last deviation from the state that the scenario's
    /// `recovery` names; `None` if the state did not recover, or if no recovery is measured.
    pub(crate) recovery_ms: Option<f64>,
    pub(crate) control: ControlCost,
    pub(crate) memory_mb: f64,
    pub(crate) violations: Violations,
    /// Number of refusals by rank and reason.
    #[serde(skip)]
    pub(crate) refusals: Vec<(Rank, String, usize)>,
    /// Number of editors, and of accepted changes.
    #[serde(skip)]
    pub(crate) edits: [usize; 2],
    /// Number of non-idempotent requests: sent, reported to the caller as run, and run according to
    /// the replicas' ledgers.
    #[serde(skip)]
    pub(crate) charges: [usize; 3],
    #[serde(skip)]
    pub(crate) points: Vec<PlotPoint>,
    /// Start of the fault phase, in seconds after the start of the load.
    #[serde(skip)]
    pub(crate) fault_second: f64,
}

impl Report {
    /// Evaluates the data of a run while its testbed still exists.
    pub(super) fn new(data: &RunData<'_>, testbed: &Testbed) -> Self {
        let (before, after): (Vec<&Sample>, Vec<&Sample>) =
            data.samples.iter().partition(|sample| sample.start < data.fault_start);
        Self {
            experiment: data.scenario.name.clone(),
            seed: data.seed,
            ranks: rank_reports(data, &after),
            baseline: rank_reports(data, &before),
            extra_load: extra_load(data),
            useful_work: useful_work(data, testbed),
            recovery_ms: recovery_time(data, testbed).map(|time| time.as_secs_f64() * 1000.0),
            control: data.control,
            memory_mb: data.memory_mb,
            violations: violations(data, testbed),
            refusals: refusal_counts(data),
            edits: [data.edits.len(), accepted(data.edits).count()],
            charges: [
                data.charges.len(),
                data.charges.iter().filter(|charge| charge.executed).count(),
                executions(testbed).len(),
            ],
            points: data.samples.iter().map(|sample| plot_point(data, sample)).collect(),
            fault_second: (data.fault_start - data.start).as_secs_f64(),
        }
    }
}

fn rank_reports(data: &RunData<'_>, samples: &[&Sample]) -> Vec<RankReport> {
    let report = |rank: Rank| {
        let mut tally = RankStats::default();
        let of_rank = samples.iter().filter(|sample| data.streams[sample.stream].rank == rank);
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

fn refusal_counts(data: &RunData<'_>) -> Vec<(Rank, String, usize)> {
    let refused = data.samples.iter().filter(|sample| !sample.reason.is_empty());
    let mut reasons: Vec<(Rank, &str)> =
        refused.map(|sample| (data.streams[sample.stream].rank, sample.reason.as_str())).collect();
    reasons.sort_unstable();
    let groups = reasons.chunk_by(|a, b| a == b);
    groups.map(|group| (group[0].0, group[0].1.to_owned(), group.len())).collect()
}

fn plot_point(data: &RunData<'_>, sample: &Sample) -> PlotPoint {
    PlotPoint {
        second: (sample.start - data.start).as_secs_f64(),
        latency_ms: sample.latency.as_secs_f64() * 1000.0,
        coverage: sample.answered as f64 / sample.asked.max(1) as f64,
        rank: data.streams[sample.stream].rank,
    }
}

/// Returns the queries that start at least `settle_s` after the start of the fault phase, and the
/// duration of that period.
fn settled_samples<'a>(data: &'a RunData<'_>) -> (impl Iterator<Item = &'a Sample>, Duration) {
    let [_, (from, _), (to, _)] = data.work_readings else {
        unreachable!("a run takes three readings of work")
    };
    (data.samples.iter().filter(move |sample| sample.start >= *from), *to - *from)
}

/// Returns the value of [`Report::extra_load`].
fn extra_load(data: &RunData<'_>) -> f64 {
    let (samples, _) = settled_samples(data);
    let merged: u64 = samples.map(|sample| sample.answered).sum();
    let ran = data.work_readings[2].1.ran - data.work_readings[1].1.ran;
    ran as f64 / merged.max(1) as f64 - 1.0
}

/// Returns the value of [`Report::useful_work`].
fn useful_work(data: &RunData<'_>, testbed: &Testbed) -> f64 {
    let target = data.scenario.useful_work_of.as_deref();
    let (samples, duration) = settled_samples(data);
    let of_target =
        |sample: &&Sample| target.is_none_or(|target| data.streams[sample.stream].target == target);
    let answered: u64 = samples.filter(of_target).map(|sample| sample.answered).sum();
    let replicas = testbed.replicas.iter().filter(|replica| replica.group != CANARY);
    let slots: u64 = replicas
        .filter(|replica| target.is_none_or(|t| replica.group == t || replica.service == t))
        .map(|replica| u64::from(replica.slots))
        .sum();
    let (first, last) = (data.work_readings[1].1, data.work_readings[2].1);
    let slot_time =
        last.busy.saturating_sub(first.busy).as_secs_f64() / (last.ran - first.ran).max(1) as f64;
    answered as f64 * slot_time / (slots as f64 * duration.as_secs_f64())
}

/// Returns the time from `recovery_from_s` until the last deviation from the state of [`Recovery`]:
/// the last query without a complete answer, or the last request to a draining upstream.
///
/// `None` if the state did not recover, or if no recovery is measured. For [`Recovery::Config`],
/// returns the result of [`convergence_time`].
fn recovery_time(data: &RunData<'_>, testbed: &Testbed) -> Option<Duration> {
    let measured_from = data.fault_start + Duration::from_secs_f64(data.scenario.recovery_from_s);
    let end = data.work_readings[2].0;
    let last_deviation = match data.scenario.recovery {
        Recovery::None => return None,
        Recovery::Coverage => {
            let incomplete =
                data.samples.iter().filter(|sample| sample.outcome != Outcome::Complete);
            incomplete.map(|sample| sample.start + sample.latency).max()
        }
        Recovery::Config => return convergence_time(data, testbed, measured_from),
        Recovery::Drain => data.work_readings[2].1.last_drained_arrival,
    };
    let last_deviation = last_deviation.unwrap_or(measured_from);
    (last_deviation + MIN_STABLE_PERIOD < end)
        .then(|| last_deviation.saturating_duration_since(measured_from))
}

/// Returns the time until the last daemon routed by the newest stored change.
///
/// `None` if the document was not changed, or if a daemon did not route by the newest change.
fn convergence_time(
    data: &RunData<'_>,
    testbed: &Testbed,
    measured_from: Instant,
) -> Option<Duration> {
    let stored = canary::newest_stored_change(testbed);
    if stored == 0 {
        return None;
    }
    let mut latest = Duration::ZERO;
    for (daemon, _) in testbed.caller_addresses() {
        let observations = observations_of(data.observations, daemon);
        let first = observations
            .iter()
            .rev()
            .take_while(|observation| observation.change == stored)
            .last()?;
        latest = latest.max(first.at.saturating_duration_since(measured_from));
    }
    Some(latest)
}

/// Returns the key and the body of every execution, from the replicas' ledgers.
fn executions(testbed: &Testbed) -> Vec<(String, String)> {
    let entries = testbed.replicas.iter().flat_map(|replica| replica.upstream.ledger().entries());
    entries.map(|entry| (entry.key, entry.body)).collect()
}

/// Compares the results that callers of non-idempotent requests received with the executions.
fn charge_violations(charges: &[Charge], executions: &[(String, String)]) -> Violations {
    let ran = |key: &&String| executions.iter().any(|(executed, _)| executed == *key);
    // Counted by body, which is unique to a charge, as a charge may have run under two keys.
    let bodies = executions.iter().map(|(_, body)| body.clone()).collect();
    let crossed = |charge: &&Charge| {
        charge.crossed
            || (charge.executed && !executions.iter().any(|(_, body)| *body == charge.body))
    };
    let not_run = charges.iter().flat_map(|charge| &charge.not_run);
    Violations {
        ran_twice: count_duplicate_runs(bodies),
        false_not_run: not_run.filter(ran).count() as u64,
        crossed_answer: charges.iter().filter(crossed).count() as u64,
        ..Violations::default()
    }
}

/// Returns the number of each accepted change, with the version and the text of the document.
fn accepted(edits: &[EditOutcome]) -> impl Iterator<Item = (u64, (u64, String))> {
    edits.iter().filter_map(|edit| match edit {
        EditOutcome::Accepted { change, version, text } => {
            Some((*change, (*version, text.clone())))
        }
        EditOutcome::Unknown => None,
    })
}

/// Counts accepted changes that the platform did not store, or that a later change overwrote.
fn lost_edits(edits: &[EditOutcome], testbed: &Testbed) -> u64 {
    let mut changes: Vec<u64> = accepted(edits).map(|(change, _)| change).collect();
    let stored: Vec<(u64, String)> = accepted(edits).map(|(_, stored)| stored).collect();
    let newest = canary::newest_stored_change(testbed);
    changes.sort_unstable();
    // Every change increments the number, so of two changes with equal numbers one was overwritten.
    let overwritten = changes.windows(2).filter(|pair| pair[0] == pair[1]).count();
    let not_stored = changes.iter().filter(|change| **change > newest).count();
    count_lost_changes(&stored, &canary::stored_versions(testbed))
        + (overwritten + not_stored) as u64
}

/// Counts the violations of all guarantees, from the records of callers and stand-ins.
fn violations(data: &RunData<'_>, testbed: &Testbed) -> Violations {
    let mut all = charge_violations(data.charges, &executions(testbed));
    data.samples.iter().for_each(|sample| all += sample.violations);
    let refused = data.samples.iter().filter(|s| s.outcome == Outcome::Refused(Verdict::NotRun));
    let mut ran: Vec<u64> =
        testbed.replicas.iter().flat_map(|r| r.upstream.started_lookups()).collect();
    ran.sort_unstable();
    all.false_not_run += count_false_not_run(refused.map(|sample| sample.lookup), &ran);
    all.work_after_drain += data.work_readings[2].1.after_drain;
    let cut_by_stop = |sample: &&Sample| {
        let ended = sample.start + sample.latency;
        let stopped = |(daemon, at): &(usize, Instant)| *daemon == sample.entry && ended >= *at;
        sample.outcome == Outcome::Failed && data.stops.iter().any(stopped)
    };
    all.cut_by_stop += data.samples.iter().filter(cut_by_stop).count() as u64;
    for daemon in 0..testbed.hosts.len() {
        let observations = observations_of(data.observations, daemon);
        all.reverted_config += count_reverted_revisions(
            &observations.iter().map(|observation| observation.change).collect::<Vec<_>>(),
        );
    }
    all.lost_accepted_change += lost_edits(data.edits, testbed);
    all
}

/// Renders the report as text for a terminal.
pub(crate) fn render_table(report: &Report) -> String {
    let mut table = Table::new();
    table.set_header([
        "part", "rank", "sent", "complete", "partial", "refused", "failed", "p50 ms", "p99 ms",
        "p99.9 ms", "coverage",
    ]);
    for (phase, ranks) in [("baseline", &report.baseline), ("faults", &report.ranks)] {
        for rank in ranks {
            table.add_row([
                phase.to_owned(),
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
        "{}, seed {}\n{table}\nrefusals: {}\nedits: {} of {} accepted; charges: {} sent, {} reported as run, {} ran\nextra load {:.2}%, useful work {:.1}%, recovery {recovery}\n\
         control: {:.2}% of a core and {:.0} bytes/s per daemon, {:.1} platform calls/s in all\n\
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
