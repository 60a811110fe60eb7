//! The front end of non-idempotent requests.

use super::caller::CallerState;
use super::caller_guard::CallerGuard;
use super::reply::{json, refuse};
use super::request::{DEADLINE_LIMIT, check_deadline, read_body};
use crate::traffic::{ExecuteMail, Mail};
use berylpin_core::execute::{Answer, KEY_VALIDITY, Refusal, RefusalReason, Request};
use berylpin_core::query::Ticket;
use berylpin_core::verdict::Verdict;
use berylpin_wire::execute::{ExecuteBody, ExecutedBody, KeyList, KeysBody};
use bytes::Bytes;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Response, handler};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;

/// Keys in one answer.
const KEYS_LIMIT: u32 = 1000;

/// Issues keys.
#[handler]
pub(super) async fn issue_keys(state: Data<&CallerState>, body: Body) -> Response {
    let count = match read_body::<KeysBody>(body).await {
        Ok(KeysBody { count }) if (1..=KEYS_LIMIT).contains(&count) => count,
        Ok(_) => return bad_request(format!("count: use a number from 1 to {KEYS_LIMIT}")),
        Err(problem) => return bad_request(problem),
    };
    let (reply, keys) = oneshot::channel();
    let sent =
        state.mailbox.try_send(Mail::Execute(ExecuteMail::Issue { count: count as usize, reply }));
    match keys.await {
        Ok(keys) if sent => {
            let keys = keys.iter().map(ToString::to_string).collect();
            json(StatusCode::OK, &KeyList { keys, valid_ms: KEY_VALIDITY.as_millis() as u64 })
        }
        _ => {
            let message = "the daemon has more work than it can hold or stops".to_owned();
            let (status, reason) = (StatusCode::SERVICE_UNAVAILABLE, RefusalReason::Overloaded);
            refuse(status, Verdict::NotRun, reason.name(), message)
        }
    }
}

/// Runs a non-idempotent request.
#[handler]
pub(super) async fn execute(state: Data<&CallerState>, body: Body) -> Response {
    let request = match read_request(body, &state).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let (reply, answer) = oneshot::channel();
    let ticket = Ticket(state.tickets.fetch_add(1, Ordering::Relaxed));
    let mail = Mail::Execute(ExecuteMail::Request { ticket, request, reply });
    if !state.mailbox.try_send(mail) {
        return refusal_response(without_holder(RefusalReason::Overloaded));
    }
    let guard = CallerGuard::new(
        state.mailbox.clone(),
        Mail::Execute(ExecuteMail::CallerDisconnected(ticket)),
    );
    let result: Result<Answer, _> = answer.await;
    guard.answered();
    match result {
        Ok(Ok(execution)) => {
            let body = ExecutedBody {
                verdict: Verdict::Ran,
                result: execution.result,
                shard: execution.shard,
                replica: execution.replica.to_string(),
            };
            json(StatusCode::OK, &body)
        }
        Ok(Err(refusal)) => refusal_response(refusal),
        Err(_) => refusal_response(without_holder(RefusalReason::Stopping)),
    }
}

async fn read_request(body: Body, state: &CallerState) -> Result<Request, Response> {
    let body: ExecuteBody = read_body(body).await.map_err(bad_request)?;
    let key = body.key.parse().map_err(|e| bad_request(format!("key: {e}")))?;
    // The holder refuses an unknown service: only it knows whether the key ran.
    let view = state.view.borrow();
    let target = view
        .topology
        .service(&body.service)
        .map(|service| service.settings.target_latencies[body.rank.index()]);
    let time_left = body.deadline_ms.map(Duration::from_millis).or(target);
    let time_left = time_left.unwrap_or(DEADLINE_LIMIT);
    let time_left = check_deadline(time_left).map_err(bad_request)?;
    Ok(Request {
        key,
        service: body.service,
        shard: body.shard,
        rank: body.rank,
        time_left,
        body: Bytes::from(body.request),
    })
}

/// Refuses a request that is not understood.
///
/// An earlier request with the same key may have been, so nothing is known of the key.
fn bad_request(message: String) -> Response {
    refuse(StatusCode::BAD_REQUEST, Verdict::MayHaveRun, "bad_request", message)
}

/// Only the holder of a key knows that it did not run.
fn without_holder(reason: RefusalReason) -> Refusal {
    Refusal { verdict: Verdict::MayHaveRun, reason }
}

fn refusal_response(refusal: Refusal) -> Response {
    let (status, problem) = match refusal.reason {
        RefusalReason::InvalidKey => (StatusCode::BAD_REQUEST, "no daemon issued the key"),
        RefusalReason::KeyExpired => (StatusCode::GONE, "the key is not valid any more"),
        RefusalReason::KeyClosed => (StatusCode::GONE, "the key was refused or closed before"),
        RefusalReason::Conflict => {
            (StatusCode::CONFLICT, "the key was sent before with another request")
        }
        RefusalReason::HolderGone => (StatusCode::GONE, "the process that issued the key is gone"),
        RefusalReason::HolderUnreachable => {
            (StatusCode::SERVICE_UNAVAILABLE, "the daemon that issued the key is unreachable")
        }
        RefusalReason::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "the daemon stops"),
        RefusalReason::Overloaded => {
            (StatusCode::SERVICE_UNAVAILABLE, "the daemon has more work than it can hold")
        }
        RefusalReason::UnknownTarget => {
            (StatusCode::NOT_FOUND, "no service with one shard or the named shard has the name")
        }
        RefusalReason::Deadline => {
            (StatusCode::GATEWAY_TIMEOUT, "there was no result before the deadline")
        }
        RefusalReason::Replica(_) if refusal.verdict == Verdict::NotRun => {
            (StatusCode::SERVICE_UNAVAILABLE, "no replica took the request")
        }
        RefusalReason::Replica(_) => (StatusCode::BAD_GATEWAY, "the replica gave no result"),
    };
    let message = format!("{problem}; {}", advice(refusal));
    refuse(status, refusal.verdict, refusal.reason.name(), message)
}

/// Says what to do next.
fn advice(refusal: Refusal) -> &'static str {
    match (refusal.verdict, refusal.reason) {
        (Verdict::NotRun, _) => "the key never runs, send the request with a new one",
        (Verdict::Ran, _) => "send the first request again to get its result",
        (Verdict::MayHaveRun, RefusalReason::HolderGone | RefusalReason::KeyExpired) => {
            "look at the upstream's record before you send the request with a new key"
        }
        (Verdict::MayHaveRun, _) => "send the same request with the same key again",
    }
}
