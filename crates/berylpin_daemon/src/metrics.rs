//! Metrics and their page for Prometheus.
//!
//! Labels are ranks, targets, causes and reasons, so the number of series is bounded by the
//! number of documents.

use berylpin_core::control::View;
use berylpin_core::decision::Decision;
use berylpin_core::query::{Answer, Refusal};
use berylpin_core::rank::Rank;
use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;
use std::time::Duration;

const LATENCY: &str = "berylpin_query_duration_seconds";
const ANSWERS: &str = "berylpin_queries_total";
const COVERAGE: &str = "berylpin_query_coverage_ratio";
const ATTEMPTS: &str = "berylpin_attempts_total";
const STARTS: &str = "berylpin_upstream_calls_total";
const REFUSALS: &str = "berylpin_sub_query_refusals_total";
const STALLS: &str = "berylpin_stalled_calls_total";
const CHANGES: &str = "berylpin_replica_changes_total";
const RESTARTS: &str = "berylpin_query_restarts_total";
const EXECUTION_ATTEMPTS: &str = "berylpin_execution_attempts_total";
const EXECUTION_REFUSALS: &str = "berylpin_execution_refusals_total";
const SHED_CHANGES: &str = "berylpin_shed_level_changes_total";
const QUEUE_DELAY: &str = "berylpin_queue_delay_seconds";
const PLATFORM_CALLS: &str = "berylpin_platform_calls_total";
const REVISION: &str = "berylpin_revision_in_force";
const EPOCH: &str = "berylpin_view_epoch";
const MEMBERS: &str = "berylpin_members_live";
const OWNED: &str = "berylpin_replicas_owned";

/// Requests on the users' platform; the others of that path are named where they are counted.
pub(crate) const REQUEST_DURATION: &str = "berylpin_request_duration_seconds";

/// Upper bounds of latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Upper bounds of coverage buckets.
const COVERAGE_BUCKETS: [f64; 6] = [0.0, 0.5, 0.9, 0.95, 0.99, 1.0];

/// The page of the process; the `metrics` library has one recorder a process as well.
static PAGE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of the process; call it once, before a daemon starts.
///
/// # Errors
///
/// Returns why there is no recorder; one that is installed already is an error, too.
pub fn install_metrics() -> Result<(), BuildError> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(full(LATENCY), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(full(REQUEST_DURATION), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(full(QUEUE_DELAY), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(full(COVERAGE), &COVERAGE_BUCKETS)?
        .build_recorder();
    let page = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(BuildError::FailedToSetGlobalRecorder)?;
    describe();
    // The recorder was set just now, so there was no page before.
    let _ = PAGE.set(page);
    Ok(())
}

/// Sums up what was recorded; without it samples would pile up between two visits of the page.
pub(crate) fn sum_up_metrics() {
    if let Some(page) = PAGE.get() {
        page.run_upkeep();
    }
}

/// Returns the page for Prometheus; empty without a recorder.
pub(crate) fn metrics_page() -> String {
    PAGE.get().map_or_else(String::new, |page| {
        page.run_upkeep();
        page.render()
    })
}

/// Records what a caller got, and how long after the request arrived.
pub(crate) fn record_answer(
    rank: Rank,
    target: &str,
    elapsed: Duration,
    result: &Result<Answer, Refusal>,
) {
    let rank = rank.name();
    let outcome = match result {
        Ok(answer) if answer.coverage.missing.is_empty() => "complete",
        Ok(_) => "partial",
        Err(refusal) => refusal.reason.name(),
    };
    counter!(ANSWERS, "rank" => rank, "target" => target.to_owned(), "outcome" => outcome)
        .increment(1);
    if let Ok(answer) = result {
        let coverage = &answer.coverage;
        let ratio = f64::from(coverage.answered) / f64::from(coverage.asked.max(1));
        histogram!(LATENCY, "rank" => rank, "target" => target.to_owned()).record(elapsed);
        histogram!(COVERAGE, "rank" => rank, "target" => target.to_owned()).record(ratio);
    }
}

/// Counts a decision.
pub(crate) fn count_decision(decision: &Decision) {
    match decision {
        Decision::Routed { cause, .. } => {
            counter!(ATTEMPTS, "cause" => cause.name()).increment(1);
        }
        Decision::Started { .. } => counter!(STARTS).increment(1),
        Decision::Refused { reason, .. } => {
            counter!(REFUSALS, "reason" => reason.name()).increment(1);
        }
        Decision::Stalled { .. } => counter!(STALLS).increment(1),
        Decision::Ejected { .. } => counter!(CHANGES, "change" => "ejected").increment(1),
        Decision::Returned { .. } => counter!(CHANGES, "change" => "returned").increment(1),
        Decision::Drained { .. } => counter!(CHANGES, "change" => "drained").increment(1),
        Decision::Restarted { .. } => counter!(RESTARTS).increment(1),
        Decision::ExecutionRouted { .. } => counter!(EXECUTION_ATTEMPTS).increment(1),
        Decision::ExecutionRefused { verdict, reason, .. } => {
            let labels = [("verdict", verdict.name()), ("reason", reason.name())];
            counter!(EXECUTION_REFUSALS, &labels).increment(1);
        }
        Decision::ShedLevel { rank, .. } => {
            counter!(SHED_CHANGES, "rank" => rank.name()).increment(1);
        }
        Decision::InForce { revision } => gauge!(REVISION).set(*revision as f64),
        // Rejected queries are counted with the answers.
        Decision::Pinned { .. }
        | Decision::Rejected { .. }
        | Decision::KeyRouted { .. }
        | Decision::ExecutionStarted { .. }
        | Decision::Member { .. }
        | Decision::Placed { .. }
        | Decision::Watching { .. }
        | Decision::Resumed { .. } => {}
    }
}

/// Records how long a new sub-query would wait at a replica that just replied.
pub(crate) fn record_queue_delay(delay: Duration) {
    histogram!(QUEUE_DELAY).record(delay);
}

/// Counts a call to the platform; a waiting watch is one call.
pub(crate) fn count_platform_call(succeeded: bool) {
    let outcome = if succeeded { "succeeded" } else { "failed" };
    counter!(PLATFORM_CALLS, "outcome" => outcome).increment(1);
}

/// Records the view in force.
pub(crate) fn record_view(view: &View) {
    let live = view.members.iter().filter(|(_, member)| member.live).count();
    let owned = view.owners.iter().filter(|(_, owner)| **owner == Some(view.own)).count();
    gauge!(EPOCH).set(view.epoch as f64);
    gauge!(MEMBERS).set(live as f64);
    gauge!(OWNED).set(owned as f64);
}

fn full(name: &str) -> metrics_exporter_prometheus::Matcher {
    metrics_exporter_prometheus::Matcher::Full(name.to_owned())
}

fn describe() {
    describe_histogram!(REQUEST_DURATION, "Time from a request's arrival to its end");
    describe_histogram!(LATENCY, "Time from request to answer, by rank and target");
    describe_counter!(ANSWERS, "Queries by rank, target and outcome");
    describe_histogram!(COVERAGE, "Share of shards that answers cover, by rank and target");
    describe_counter!(ATTEMPTS, "Attempts at shards by cause: first, retry, hedge or reroute");
    describe_counter!(STARTS, "Calls to upstreams");
    describe_counter!(REFUSALS, "Sub-queries refused by their owner, by reason");
    describe_counter!(STALLS, "Calls that made no progress, with their connection replaced");
    describe_counter!(CHANGES, "Replicas that were ejected, drained or returned, by change");
    describe_counter!(RESTARTS, "Queries that started again on a newer snapshot");
    describe_counter!(EXECUTION_ATTEMPTS, "Attempts at non-idempotent requests");
    describe_counter!(EXECUTION_REFUSALS, "Refusals by holders of keys, by verdict and reason");
    describe_counter!(SHED_CHANGES, "Changes of a replica's shed level, by rank");
    describe_histogram!(QUEUE_DELAY, "Time that a new sub-query would wait at a replica");
    describe_counter!(PLATFORM_CALLS, "Calls to the platform, by outcome");
    describe_gauge!(REVISION, "Revision of the documents in force");
    describe_gauge!(EPOCH, "Epoch of the view in force");
    describe_gauge!(MEMBERS, "Daemons that take part in placement");
    describe_gauge!(OWNED, "Replicas that this daemon owns");
}
