//! Metrics and their export to Prometheus.
//!
//! Labels are targets and names from fixed sets, such as ranks and causes, so the number of series
//! is bounded by the number of documents.

use berylpin_core::control::View;
use berylpin_core::decision::Decision;
use berylpin_core::query::{Answer, Refusal};
use berylpin_core::rank::Rank;
use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;
use std::time::Duration;

const QUERY_DURATION: &str = "berylpin_query_duration_seconds";
const QUERIES: &str = "berylpin_queries_total";
const QUERY_COVERAGE: &str = "berylpin_query_coverage_ratio";
const ATTEMPTS: &str = "berylpin_attempts_total";
const UPSTREAM_CALLS: &str = "berylpin_upstream_calls_total";
const SUB_QUERY_REFUSALS: &str = "berylpin_sub_query_refusals_total";
const STALLED_CALLS: &str = "berylpin_stalled_calls_total";
const REPLICA_CHANGES: &str = "berylpin_replica_changes_total";
const QUERY_RESTARTS: &str = "berylpin_query_restarts_total";
const EXECUTION_ATTEMPTS: &str = "berylpin_execution_attempts_total";
const EXECUTION_REFUSALS: &str = "berylpin_execution_refusals_total";
const SHED_LEVEL_CHANGES: &str = "berylpin_shed_level_changes_total";
const QUEUE_DELAY: &str = "berylpin_queue_delay_seconds";
const PLATFORM_CALLS: &str = "berylpin_platform_calls_total";
const REVISION_IN_FORCE: &str = "berylpin_revision_in_force";
const VIEW_EPOCH: &str = "berylpin_view_epoch";
const LIVE_MEMBERS: &str = "berylpin_members_live";
const OWNED_REPLICAS: &str = "berylpin_replicas_owned";

/// Duration of requests on the users' platform; the other metrics of direct routing are named where
/// they are recorded.
pub(crate) const CALLERS_CLOSED: &str = "berylpin_callers_closed_total";
pub(crate) const REQUEST_DURATION: &str = "berylpin_request_duration_seconds";

/// The time between two confirmations of the configuration by the store.
pub(crate) const CONFIGURATION_UNCONFIRMED: &str = "berylpin_configuration_unconfirmed_seconds";

/// The name of the counter of restores of the users' store from a copy.
pub(crate) const STORE_RESTORES: &str = "berylpin_store_restores_total";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Upper bounds of the coverage buckets, as shares of the shards.
const COVERAGE_BUCKETS: [f64; 6] = [0.0, 0.5, 0.9, 0.95, 0.99, 1.0];

/// The handle of the recorder; static, because `metrics` allows one recorder per process.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of the process; call this once, before a daemon starts.
///
/// # Errors
///
/// Returns the cause if a bucket list is invalid or a recorder is already installed.
pub fn install_metrics() -> Result<(), BuildError> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(full_name(QUERY_DURATION), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(full_name(REQUEST_DURATION), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(full_name(QUEUE_DELAY), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(full_name(CONFIGURATION_UNCONFIRMED), &LATENCY_BUCKETS)?
        .set_buckets_for_metric(full_name(QUERY_COVERAGE), &COVERAGE_BUCKETS)?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).map_err(BuildError::FailedToSetGlobalRecorder)?;
    describe_metrics();
    // Cannot fail, because a second recorder is refused above.
    let _ = RECORDER.set(handle);
    Ok(())
}

/// Aggregates the recorded samples, which otherwise accumulate until the next scrape.
pub(crate) fn run_metrics_upkeep() {
    if let Some(recorder) = RECORDER.get() {
        recorder.run_upkeep();
    }
}

/// Renders the metrics in the text format of Prometheus; empty if no recorder is installed.
pub(crate) fn render_metrics() -> String {
    RECORDER.get().map_or_else(String::new, |recorder| {
        recorder.run_upkeep();
        recorder.render()
    })
}

/// Records the outcome of a query and the time since its arrival.
pub(crate) fn record_query(
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
    counter!(QUERIES, "rank" => rank, "target" => target.to_owned(), "outcome" => outcome)
        .increment(1);
    if let Ok(answer) = result {
        let coverage = &answer.coverage;
        let ratio = f64::from(coverage.answered) / f64::from(coverage.asked.max(1));
        histogram!(QUERY_DURATION, "rank" => rank, "target" => target.to_owned()).record(elapsed);
        histogram!(QUERY_COVERAGE, "rank" => rank, "target" => target.to_owned()).record(ratio);
    }
}

/// Records a decision in its counter or gauge.
pub(crate) fn count_decision(decision: &Decision) {
    match decision {
        Decision::Routed { cause, .. } => {
            counter!(ATTEMPTS, "cause" => cause.name()).increment(1);
        }
        Decision::Started { .. } => counter!(UPSTREAM_CALLS).increment(1),
        Decision::Refused { reason, .. } => {
            counter!(SUB_QUERY_REFUSALS, "reason" => reason.name()).increment(1);
        }
        Decision::Stalled { .. } => counter!(STALLED_CALLS).increment(1),
        Decision::Ejected { .. } => counter!(REPLICA_CHANGES, "change" => "ejected").increment(1),
        Decision::Returned { .. } => counter!(REPLICA_CHANGES, "change" => "returned").increment(1),
        Decision::Drained { .. } => counter!(REPLICA_CHANGES, "change" => "drained").increment(1),
        Decision::Restarted { .. } => counter!(QUERY_RESTARTS).increment(1),
        Decision::ExecutionRouted { .. } => counter!(EXECUTION_ATTEMPTS).increment(1),
        Decision::ExecutionRefused { verdict, reason, .. } => {
            let labels = [("verdict", verdict.name()), ("reason", reason.name())];
            counter!(EXECUTION_REFUSALS, &labels).increment(1);
        }
        Decision::ShedLevel { rank, .. } => {
            counter!(SHED_LEVEL_CHANGES, "rank" => rank.name()).increment(1);
        }
        Decision::InForce { revision } => gauge!(REVISION_IN_FORCE).set(*revision as f64),
        // Rejected queries are counted by `record_query`.
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

/// Records the time that a new sub-query would wait at a replica that just replied.
pub(crate) fn record_queue_delay(delay: Duration) {
    histogram!(QUEUE_DELAY).record(delay);
}

/// Counts a call to the platform; a watch counts as one call, however long it waits.
pub(crate) fn count_platform_call(succeeded: bool) {
    let outcome = if succeeded { "succeeded" } else { "failed" };
    counter!(PLATFORM_CALLS, "outcome" => outcome).increment(1);
}

/// Records the epoch, live members and owned replicas of the view in force.
pub(crate) fn record_view(view: &View) {
    let live = view.members.iter().filter(|(_, member)| member.live).count();
    let owned = view.owners.iter().filter(|(_, owner)| **owner == Some(view.own)).count();
    gauge!(VIEW_EPOCH).set(view.epoch as f64);
    gauge!(LIVE_MEMBERS).set(live as f64);
    gauge!(OWNED_REPLICAS).set(owned as f64);
}

fn full_name(name: &str) -> metrics_exporter_prometheus::Matcher {
    metrics_exporter_prometheus::Matcher::Full(name.to_owned())
}

fn describe_metrics() {
    describe_counter!(
        CALLERS_CLOSED,
        "Connections of callers closed for lack of memory, by reason"
    );
    describe_histogram!(REQUEST_DURATION, "Time from a request's arrival to its end");
    describe_histogram!(QUERY_DURATION, "Time from request to answer, by rank and target");
    describe_counter!(QUERIES, "Queries by rank, target and outcome");
    describe_histogram!(QUERY_COVERAGE, "Share of shards that answers cover, by rank and target");
    describe_counter!(ATTEMPTS, "Attempts at shards by cause: first, retry, hedge or reroute");
    describe_counter!(UPSTREAM_CALLS, "Calls to upstreams");
    describe_counter!(SUB_QUERY_REFUSALS, "Sub-queries refused by their owner, by reason");
    describe_counter!(STALLED_CALLS, "Calls that made no progress, with their connection replaced");
    describe_counter!(
        REPLICA_CHANGES,
        "Replicas that were ejected, drained or returned, by change"
    );
    describe_counter!(QUERY_RESTARTS, "Queries that started again on a newer snapshot");
    describe_counter!(EXECUTION_ATTEMPTS, "Attempts at non-idempotent requests");
    describe_counter!(EXECUTION_REFUSALS, "Refusals by holders of keys, by verdict and reason");
    describe_counter!(SHED_LEVEL_CHANGES, "Changes of a replica's shed level, by rank");
    describe_histogram!(QUEUE_DELAY, "Time that a new sub-query would wait at a replica");
    describe_counter!(STORE_RESTORES, "Restores of the store from a copy that were noticed");
    describe_counter!(PLATFORM_CALLS, "Calls to the platform, by outcome");
    describe_gauge!(REVISION_IN_FORCE, "Revision of the documents in force");
    describe_gauge!(VIEW_EPOCH, "Epoch of the view in force");
    describe_gauge!(LIVE_MEMBERS, "Daemons that take part in placement");
    describe_gauge!(OWNED_REPLICAS, "Replicas that this daemon owns");
}
