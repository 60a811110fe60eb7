//! The front end for non-idempotent requests.

use super::caller::CallerState;
use super::caller_guard::CallerGuard;
use super::reply::{json, refuse};
use super::request::{MAX_DEADLINE, check_deadline, read_body};
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

/// Maximum number of keys issued per request.
const MAX_KEYS: u32 = 1000;

/// Handles `POST /v1/keys`.
#[handler]
pub(super) async fn issue_keys(state: Data<&CallerState>, body: Body) -> Response {
    let count = match read_body::<KeysBody>(body).await {
        Ok(KeysBody { count }) if (1..=MAX_KEYS).contains(&count) => count,
        Ok(_) => return bad_request(format!("count: use a number from 1 to {MAX_KEYS}")),
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
            let message = "the daemon is overloaded or stopping".to_owned();
            let (status, reason) = (StatusCode::SERVICE_UNAVAILABLE, RefusalReason::Overloaded);
            refuse(status, Verdict::NotRun, reason.name(), message)
        }
    }
}

/// Handles `POST /v1/execute`.
#[handler]
pub(super) async fn execute(state: Data<&CallerState>, body: Body) -> Response {
    let request = match read_request(body, &state).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let (reply, answer) = oneshot::channel();
    let ticket = Ticket(state.next_ticket.fetch_add(1, Ordering::Relaxed));
    let mail = Mail::Execute(ExecuteMail::Request { ticket, request, reply });
    if !state.mailbox.try_send(mail) {
        return refusal_response(refusal_without_holder(RefusalReason::Overloaded));
    }
    let guard = CallerGuard::new(
        state.mailbox.clone(),
        Mail::Execute(ExecuteMail::CallerDisconnected(ticket)),
    );
    let result: Result<Answer, _> = answer.await;
    guard.disarm();
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
        Err(_) => refusal_response(refusal_without_holder(RefusalReason::Stopping)),
    }
}

async fn read_request(body: Body, state: &CallerState) -> Result<Request, Response> {
    let body: ExecuteBody = read_body(body).await.map_err(bad_request)?;
    let key = body.key.parse().map_err(|e| bad_request(format!("key: {e}")))?;
    // An unknown service is refused by the holder, since only the holder knows whether the key ran.
    let view = state.view.borrow();
    let target_latency = view
        .topology
        .service(&body.service)
        .map(|service| service.settings.target_latencies[body.rank.index()]);
    let time_left = body.deadline_ms.map(Duration::from_millis).or(target_latency);
    let time_left = time_left.unwrap_or(MAX_DEADLINE);
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

/// Refuses a malformed request.
///
/// An earlier request with the same key may have run, so the verdict is `may have run`.
fn bad_request(message: String) -> Response {
    refuse(StatusCode::BAD_REQUEST, Verdict::MayHaveRun, "bad_request", message)
}

/// Returns a refusal that the holder did not confirm.
///
/// Only the holder knows that a key did not run, so the verdict is `may have run`.
fn refusal_without_holder(reason: RefusalReason) -> Refusal {
    Refusal { verdict: Verdict::MayHaveRun, reason }
}

fn refusal_response(refusal: Refusal) -> Response {
    let (status, problem) = match refusal.reason {
        RefusalReason::InvalidKey => {
            (StatusCode::BAD_REQUEST, "the key was not issued by the daemon that it names")
        }
        RefusalReason::KeyExpired => (StatusCode::GONE, "the key has expired"),
        RefusalReason::KeyClosed => (
            StatusCode::GONE,
            "the key is closed: it was refused before, or the daemon that issued it had no space \
             for further keys",
        ),
        RefusalReason::Conflict => {
            (StatusCode::CONFLICT, "the key was already used with a different request")
        }
        RefusalReason::HolderGone => {
            (StatusCode::GONE, "the process that issued the key no longer runs")
        }
        RefusalReason::HolderUnreachable => {
            (StatusCode::SERVICE_UNAVAILABLE, "the daemon that issued the key is unreachable")
        }
        RefusalReason::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping"),
        RefusalReason::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "the daemon is overloaded"),
        RefusalReason::UnknownTarget => (
            StatusCode::NOT_FOUND,
            "the service or shard is unknown, or the service has several shards and none is named",
        ),
        RefusalReason::Deadline => {
            (StatusCode::GATEWAY_TIMEOUT, "the deadline passed before a result arrived")
        }
        RefusalReason::Replica(_) if refusal.verdict == Verdict::NotRun => {
            (StatusCode::SERVICE_UNAVAILABLE, "no replica accepted the request")
        }
        RefusalReason::Replica(_) => (StatusCode::BAD_GATEWAY, "the replica returned no result"),
    };
    let message = format!("{problem}; {}", advice(refusal));
    refuse(status, refusal.verdict, refusal.reason.name(), message)
}

/// Returns the next step for the caller.
fn advice(refusal: Refusal) -> &'static str {
    match (refusal.verdict, refusal.reason) {
        (Verdict::NotRun, _) => {
            "the request did not run and never will with this key; send it with a new one"
        }
        (Verdict::Ran, _) => {
            "an earlier request with this key ran; send that request with this key again to get \
             its result"
        }
        (Verdict::MayHaveRun, RefusalReason::HolderGone | RefusalReason::KeyExpired) => {
            "check whether the upstream ran the request before sending it with a new key"
        }
        (Verdict::MayHaveRun, _) => "send the same request with the same key again",
    }
}
