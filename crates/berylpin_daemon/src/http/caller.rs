//! The front end for callers.

use super::caller_guard::CallerGuard;
use super::execute::{execute, issue_keys};
use super::reply::{json, refuse};
use super::request::{check_deadline, read_body};
use crate::metrics::record_query;
use crate::traffic::{Mail, Mailbox};
use berylpin_core::clock::Clock;
use berylpin_core::control::View;
use berylpin_core::query::{Answer, Refusal, RefusalReason, Request, Ticket};
use berylpin_core::verdict::Verdict;
use berylpin_wire::caller::{AnswerBody, CoverageBody, MissingBody, QueryBody};
use bytes::Bytes;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, EndpointExt, IntoEndpoint, Response, Route, handler, post};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Maximum number of rows in an answer if the request sets no limit.
const DEFAULT_ROW_LIMIT: u32 = 100;

/// State of the caller front end of one traffic thread.
#[derive(Clone)]
pub(crate) struct CallerState {
    pub(crate) mailbox: Mailbox,
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Number of the next ticket.
    pub(crate) next_ticket: Arc<AtomicU64>,
    pub(crate) clock: Arc<dyn Clock>,
}

/// Returns the routes for callers.
pub(crate) fn caller_routes(state: CallerState) -> impl IntoEndpoint {
    Route::new()
        .at("/v1/query", post(run_query))
        .at("/v1/keys", post(issue_keys))
        .at("/v1/execute", post(execute))
        .data(state)
}

#[handler]
async fn run_query(state: Data<&CallerState>, body: Body) -> Response {
    let request = match read_request(body, &state).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let (target, rank, start) = (request.target.clone(), request.rank, state.clock.now());
    let (reply, answer) = oneshot::channel();
    let ticket = Ticket(state.next_ticket.fetch_add(1, Ordering::Relaxed));
    if !state.mailbox.try_send(Mail::Request { ticket, request, reply }) {
        let message = "the daemon is overloaded".to_owned();
        let (status, reason) = (StatusCode::SERVICE_UNAVAILABLE, RefusalReason::Overloaded);
        return refuse(status, Verdict::NotRun, reason.name(), message);
    }
    let guard = CallerGuard::new(state.mailbox.clone(), Mail::CallerDisconnected(ticket));
    let result = answer.await;
    guard.disarm();
    if let Ok(result) = &result {
        record_query(rank, &target, state.clock.now().duration_since(start), result);
    }
    match result {
        Ok(Ok(answer)) => json(StatusCode::OK, &answer_body(answer, &state.view.borrow())),
        Ok(Err(refusal)) => refusal_response(refusal, &target),
        Err(_) => {
            let message = "the daemon stopped before it answered".to_owned();
            let (status, reason) = (StatusCode::SERVICE_UNAVAILABLE, RefusalReason::NotReady);
            refuse(status, Verdict::MayHaveRun, reason.name(), message)
        }
    }
}

async fn read_request(body: Body, state: &CallerState) -> Result<Request, Response> {
    let bad_request =
        |message| refuse(StatusCode::BAD_REQUEST, Verdict::NotRun, "bad_request", message);
    let body: QueryBody = read_body(body).await.map_err(bad_request)?;
    let view = state.view.borrow();
    let Some((_, shards)) = view.topology.target(&body.target) else {
        let message = format!("no service or group is named `{}`", body.target);
        let reason = RefusalReason::UnknownTarget.name();
        return Err(refuse(StatusCode::NOT_FOUND, Verdict::NotRun, reason, message));
    };
    let service = &view.topology.services[view.topology.shards[shards[0]].service];
    let target_latency = service.settings.target_latencies[body.rank.index()];
    let time_left = body.deadline_ms.map_or(target_latency, Duration::from_millis);
    let time_left = check_deadline(time_left).map_err(bad_request)?;
    Ok(Request {
        target: body.target,
        rank: body.rank,
        time_left,
        limit: body.limit.unwrap_or(DEFAULT_ROW_LIMIT) as usize,
        body: Bytes::from(body.lookup),
    })
}

fn answer_body(answer: Answer, view: &View) -> AnswerBody {
    let coverage = answer.coverage;
    let missing = coverage.missing.iter().map(|missing| {
        let shard = &view.topology.shards[missing.shard];
        let service = view.topology.services[shard.service].settings.name.clone();
        MissingBody { service, shard: shard.name.clone(), reason: missing.reason }
    });
    AnswerBody {
        complete: coverage.missing.is_empty(),
        snapshot: answer.snapshot,
        rows: answer.rows,
        coverage: CoverageBody {
            asked: coverage.asked,
            answered: coverage.answered,
            missing: missing.collect(),
        },
    }
}

fn refusal_response(refusal: Refusal, target: &str) -> Response {
    let (status, message) = match refusal.reason {
        RefusalReason::UnknownTarget => {
            (StatusCode::NOT_FOUND, format!("no service or group is named `{target}`"))
        }
        RefusalReason::Overloaded => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the load of this rank is too high to answer in time".to_owned(),
        ),
        RefusalReason::Deadline => {
            (StatusCode::GATEWAY_TIMEOUT, "too few shards answered before the deadline".to_owned())
        }
        RefusalReason::NoSnapshot => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no snapshot is known to be served by any shard".to_owned(),
        ),
        RefusalReason::Coverage => (
            StatusCode::GATEWAY_TIMEOUT,
            "fewer shards answered than the minimum coverage requires".to_owned(),
        ),
        RefusalReason::NotReady => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the daemon has no configuration or is stopping".to_owned(),
        ),
    };
    let mut response = refuse(status, refusal.verdict, refusal.reason.name(), message);
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs_f64().ceil() as u64;
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}
