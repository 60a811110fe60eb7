//! The HTTP server for callers.

use super::body::{BodyError, ReservedMemory, discard_body, read_body};
use super::connections::{CallerConnections, OpenCaller};
use super::delivery::CallerBody;
use super::disconnect::DisconnectGuard;
use super::process::Shared;
use super::traffic::{Payload, Traffic};
use crate::sockets::ACCEPT_BACKOFF;
use berylpin_core::direct::{Answer, ClientLimits, RefusalReason, Reply};
use berylpin_core::verdict::Verdict;
use berylpin_platform::{merged_headers, read_request_head, refusal_headers, relayed_headers};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use socket2::SockRef;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The minimum read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;

/// The part of an answer that the kernel keeps for a caller, in bytes. A round trip of 50 ms thus
/// allows some 5 MB/s.
const SEND_BUFFER_BYTES: usize = 256 << 10;

/// The limits on callers before a configuration is in force; the platform's default values.
const DEFAULT_CLIENT_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 * 1024,
    body_bytes: 256 * 1024,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// The share of the process's memory, as a divisor, for the connections of callers.
const CALLER_MEMORY_DIVISOR: usize = 3;

/// The maximum memory of a caller's connection without the body of its request, in bytes.
const CALLER_BYTES: usize = 56 << 10;

/// Returns the number of callers for which a process has memory.
pub(super) fn max_callers(memory_limit: usize) -> usize {
    (memory_limit / CALLER_MEMORY_DIVISOR / CALLER_BYTES).max(1)
}

/// Accepts callers until `stop_accepting` is set, and then waits until all of them are answered.
///
/// Beyond `max_callers` the caller that is idle longest is closed for a new one. If all of them wait
/// for answers, the new one is closed before anything is read from it, so that it can try another
/// daemon.
pub(super) async fn accept_callers(
    listener: TcpListener,
    traffic: Rc<Traffic>,
    shared: Shared,
    max_callers: usize,
) {
    let mut stop = shared.stop_accepting.clone();
    let open = CallerConnections::new(max_callers, shared.log.clone(), shared.clock.clone());
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            _ = stop.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => if let Some(caller) = open.admit().await {
                    let stop = shared.stop_accepting.clone();
                    tasks.spawn_local(serve_connection(stream, traffic.clone(), caller, stop));
                }
                Err(e) => {
                    warn!(shared.log, "caller: connection not accepted"; "cause" => %e);
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

/// Serves one connection; after `stop` is set, only until the request in flight is answered.
async fn serve_connection(
    stream: TcpStream,
    traffic: Rc<Traffic>,
    caller: Rc<OpenCaller>,
    mut stop: watch::Receiver<bool>,
) {
    // Nagle's algorithm would delay a small answer until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    // More of a long answer in the kernel's buffer would hide that the caller does not take it. An
    // error leaves the default size.
    let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    let limits = traffic.view().map_or(DEFAULT_CLIENT_LIMITS, |view| view.limits);
    let serving = caller.clone();
    let service = service_fn(move |request| {
        let (traffic, caller) = (traffic.clone(), serving.clone());
        async move { Ok::<_, Infallible>(handle_request(request, traffic, caller).await) }
    });
    let mut connection = pin!(
        Builder::new()
            .timer(TokioTimer::new())
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            // hyper counts the idle time before a request as part of reading its head.
            .header_read_timeout(limits.idle_timeout)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service)
    );
    // Errors of a connection affect only its caller, so they are ignored.
    tokio::select! {
        // Checked first: an answer that is to be cut off must not end before and let another begin.
        biased;
        () = caller.connection.cut_off() => return,
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        () = caller.connection.cut_off() => {}
        _ = connection => {}
    }
}

async fn handle_request(
    request: Request<Incoming>,
    traffic: Rc<Traffic>,
    caller: Rc<OpenCaller>,
) -> Response<CallerBody> {
    let arrived = traffic.now();
    let limits = traffic.view().map_or(DEFAULT_CLIENT_LIMITS, |view| view.limits);
    let (parts, body) = request.into_parts();
    let head = read_request_head(&parts.headers);
    if head.request_id.is_empty() {
        return empty_response(StatusCode::BAD_REQUEST, HeaderMap::new());
    }
    let memory = traffic.request_memory().reserve();
    let reclaim = async |bytes| caller.reclaim_bodies(bytes, traffic.request_memory()).await;
    let body = read_request_body(body, limits.body_bytes, memory, reclaim);
    caller.record_head(arrived);
    let body = tokio::time::timeout(limits.header_timeout, body).await;
    if !matches!(body, Ok(Ok(_))) {
        caller.record_body_failure();
    }
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLong)) => {
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE, HeaderMap::new());
        }
        Ok(Err(BodyError::NoMemory)) => {
            return encode_answer(traffic.refuse(&head.request_id, RefusalReason::NoMemory));
        }
        Ok(Err(BodyError::Broken)) => {
            return empty_response(StatusCode::BAD_REQUEST, HeaderMap::new());
        }
        Err(_) => return empty_response(StatusCode::REQUEST_TIMEOUT, HeaderMap::new()),
    };
    let payload = Payload { method: parts.method, uri: parts.uri, head, body };
    let time_left = payload.head.time_left.unwrap_or(limits.idle_timeout);
    answer_request(payload, (arrived, time_left), traffic, caller).await
}

/// Answers a request that arrived at a time and whose caller waits for `time_left` from then on.
async fn answer_request(
    payload: Payload,
    (arrived, time_left): (Instant, Duration),
    traffic: Rc<Traffic>,
    caller: Rc<OpenCaller>,
) -> Response<CallerBody> {
    let request_id = payload.head.request_id.clone();
    let connection = caller.connection.clone();
    let awaited = caller.await_answer();
    let (ticket, reply) = traffic.start_request(payload);
    let mut guard = DisconnectGuard::new(traffic.clone(), ticket);
    let answer = reply.await;
    guard.mark_answered();
    let mut response = match answer {
        Ok(Answer::Relayed(reply)) => {
            let now = traffic.now();
            let time_left = time_left.saturating_sub(now.saturating_duration_since(arrived));
            relay(reply, |body| {
                let delivery = (traffic.deliveries.clone(), connection);
                CallerBody::relayed(body, (request_id, time_left), delivery, now)
            })
        }
        Ok(answer) => encode_answer(answer),
        // The request was dropped without an answer.
        Err(_) => empty_response(StatusCode::BAD_GATEWAY, HeaderMap::new()),
    };
    response.body_mut().set_awaited(awaited);
    response
}

/// Reads the body of a request; a body for which there is no memory is read to its end and dropped.
///
/// `reclaim` may make memory available.
async fn read_request_body<F>(
    mut body: Incoming,
    limit: usize,
    memory: ReservedMemory,
    reclaim: F,
) -> Result<Bytes, BodyError>
where
    F: AsyncFn(usize),
{
    let read = read_body(&mut body, limit, memory, reclaim).await;
    if read == Err(BodyError::NoMemory) {
        discard_body(&mut body, limit).await?;
    }
    read
}

/// Encodes a replica's answer, with the body that `make_body` returns.
fn relay<F>(reply: Reply<HeaderMap>, make_body: F) -> Response<CallerBody>
where
    F: FnOnce(Bytes) -> CallerBody,
{
    // No other status may bear the replica's signature.
    let Ok(status) = StatusCode::from_u16(reply.status) else {
        return empty_response(StatusCode::BAD_GATEWAY, HeaderMap::new());
    };
    let mut response = Response::new(make_body(reply.body));
    *response.status_mut() = status;
    *response.headers_mut() = relayed_headers(&reply.headers);
    response
}

fn encode_answer(answer: Answer<HeaderMap>) -> Response<CallerBody> {
    match answer {
        Answer::Relayed(reply) => relay(reply, CallerBody::whole),
        Answer::Merged { signatures, missing, records } => {
            let Some(headers) = merged_headers(signatures.iter().map(|s| &**s), missing) else {
                return empty_response(StatusCode::BAD_GATEWAY, HeaderMap::new());
            };
            let mut response = Response::new(CallerBody::whole(records));
            *response.headers_mut() = headers;
            response
        }
        Answer::Refused { reason, verdict, retry_after } => {
            empty_response(refusal_status(reason, verdict), refusal_headers(retry_after))
        }
    }
}

/// Returns the status of a refusal; 503 and 404 guarantee that the request did not run.
fn refusal_status(reason: RefusalReason, verdict: Verdict) -> StatusCode {
    match (reason, verdict) {
        (RefusalReason::NoRoute, _) => StatusCode::NOT_FOUND,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::Timeout | RefusalReason::Stopping, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn empty_response(status: StatusCode, headers: HeaderMap) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
