//! Attempts: a request is sent to one replica and its answer is read.

use super::body::{BodyError, read_body};
use super::bounded_stream::{Allowance, BoundedStream, MAX_HEAD_BYTES};
use super::pool::Connection;
use super::traffic::{Payload, Traffic};
use berylpin_core::direct::{AttemptKey, BodyLimits, Failure, Outcome, Replica, Reply};
use berylpin_core::verdict::Verdict;
use berylpin_platform::{ReplyDefect, attempt_headers, read_reply_head};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The timeout for opening a connection. A round trip between regions takes less than 50 ms, and a
/// lost SYN is retransmitted only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout for a connection to become ready for its next request after an answer. It is not
/// ready at once if the replica answered before it read all of a long body.
const REUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt to carry out.
pub(super) struct AttemptTask {
    pub(super) key: AttemptKey,
    pub(super) replica: Arc<Replica>,
    pub(super) time_left: Duration,
    pub(super) idempotent: bool,
    pub(super) body_limits: BodyLimits,
    pub(super) payload: Rc<Payload>,
}

impl AttemptTask {
    /// Carries out the attempt, reports its outcome, and pools the connection if it can be reused.
    pub(super) async fn run(self, traffic: Rc<Traffic>) {
        let connection = match self.connect(&traffic).await {
            Ok(connection) => connection,
            Err(outcome) => return traffic.handle_attempt_end(self.key, outcome),
        };
        let (outcome, reusable) = self.exchange(connection, &traffic).await;
        traffic.handle_attempt_end(self.key, outcome);
        // Non-idempotent requests never reuse a connection, and an idle one would still count
        // against the replica's limit.
        if let Some((mut connection, keep_alive)) = reusable.filter(|_| self.idempotent) {
            let ready = tokio::time::timeout(REUSE_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                traffic.keep_idle_connection(self.replica.id, connection, keep_alive);
            }
        }
    }

    /// Takes an idle connection from the pool or opens a new one.
    ///
    /// If a request is sent while the replica closes the connection, it is unknown whether the
    /// request ran, so a request that must not run twice gets a new connection.
    async fn connect(&self, traffic: &Rc<Traffic>) -> Result<Connection, Outcome<HeaderMap>> {
        while let Some(mut connection) = traffic.take_idle_connection(self.replica.id) {
            if !self.idempotent {
                // Closed to free a connection at the replica for the new one.
                drop(connection);
                break;
            }
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let started = traffic.now();
        let connecting = TcpStream::connect(self.replica.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(Outcome::Unreachable(Failure::ConnectError)),
            Err(_) => return Err(Outcome::Unreachable(Failure::ConnectTimeout)),
        };
        traffic.record_connect_time(self.replica.id, started);
        // Nagle's algorithm would delay a small request until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        let allowance = Allowance::default();
        allowance.start_head();
        let stream = BoundedStream::new(stream, allowance.clone());
        let handshake =
            Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let Ok((sender, driver)) = handshake else {
            return Err(Outcome::Unreachable(Failure::ClosedBefore));
        };
        let driver = tokio::task::spawn_local(async move {
            // Errors are reported to the request in flight.
            let _ = driver.await;
        });
        Ok(Connection::new(sender, allowance, driver.abort_handle()))
    }

    /// Sends the request and reads its answer; returns the outcome and, if the connection can be
    /// reused, the connection with the replica's keep-alive time.
    async fn exchange(
        &self,
        mut connection: Connection,
        traffic: &Rc<Traffic>,
    ) -> (Outcome<HeaderMap>, Option<(Connection, Option<Duration>)>) {
        connection.allowance.start_head();
        let response = match connection.sender.try_send_request(self.build_request()).await {
            Ok(response) => response,
            Err(e) => {
                // hyper returns the request with the error only if it sent none of it.
                let sent = e.message().is_none();
                let too_long = connection.allowance.is_exceeded() || e.error().is_parse_too_large();
                let outcome = if too_long {
                    Outcome::Broken(Verdict::MayHaveRun, Failure::TooLong)
                } else if sent {
                    Outcome::Broken(Verdict::MayHaveRun, Failure::NoAnswer)
                } else {
                    Outcome::Broken(Verdict::NotRun, Failure::ClosedBefore)
                };
                return (outcome, None);
            }
        };
        let (outcome, keep_alive) =
            self.read_answer(response, &connection.allowance, traffic).await;
        connection.allowance.end_answer();
        let unusable = matches!(outcome, Outcome::Broken(..) | Outcome::WrongReplica);
        let closes = keep_alive.is_some_and(|time| time.is_zero());
        (outcome, (!unusable && !closes).then_some((connection, keep_alive)))
    }

    fn build_request(&self) -> Request<Full<Bytes>> {
        let payload = &*self.payload;
        let mut request = Request::new(Full::new(payload.body.clone()));
        *request.method_mut() = payload.method.clone();
        *request.uri_mut() = payload.uri.clone();
        *request.headers_mut() = attempt_headers(&payload.head, self.time_left, &self.replica.name);
        request
    }

    /// Reads and classifies an answer; returns its outcome and the replica's keep-alive time.
    async fn read_answer(
        &self,
        response: Response<Incoming>,
        allowance: &Allowance,
        traffic: &Rc<Traffic>,
    ) -> (Outcome<HeaderMap>, Option<Duration>) {
        let (parts, body) = response.into_parts();
        let id = self.payload.head.request_id.as_bytes();
        let head = read_reply_head(parts.status, &parts.headers, id);
        let keep_alive = head.keep_alive;
        if head.leaving {
            traffic.handle_leaving_replica(&self.replica);
        }
        if let Some(pause) = head.pause.filter(|_| head.verdict != Verdict::NotRun) {
            traffic.record_pause(&self.replica, pause);
        }
        let body = match self.read_body(body, allowance, traffic).await {
            Ok(body) => body,
            Err(failure) => {
                return (Outcome::Broken(Verdict::MayHaveRun, failure), keep_alive);
            }
        };
        let broken = |failure| Outcome::Broken(Verdict::MayHaveRun, failure);
        let outcome = match head.defect {
            Some(ReplyDefect::InvalidStatus) => broken(Failure::InvalidStatus),
            Some(ReplyDefect::WrongReplica) => Outcome::WrongReplica,
            Some(ReplyDefect::Contradictory) => broken(Failure::Contradictory),
            Some(ReplyDefect::UnprovenRefusal) => broken(Failure::UnprovenRefusal),
            Some(ReplyDefect::OtherRequest) => broken(Failure::ForeignAnswer),
            Some(ReplyDefect::Encoded) => broken(Failure::Encoded),
            None if head.verdict == Verdict::NotRun => Outcome::Refused(head.pause),
            None => Outcome::Answered(Reply {
                status: parts.status.as_u16(),
                signature: head.signature.map(String::into_boxed_str),
                body,
                headers: parts.headers,
            }),
        };
        (outcome, keep_alive)
    }

    /// Reads a body up to its limit.
    async fn read_body(
        &self,
        mut body: Incoming,
        allowance: &Allowance,
        traffic: &Rc<Traffic>,
    ) -> Result<Bytes, Failure> {
        let declared = body.size_hint().exact();
        let limit = match declared {
            Some(_) => self.body_limits.declared,
            None => self.body_limits.undeclared,
        };
        if declared.is_some_and(|len| len > limit as u64) {
            return Err(Failure::TooLong);
        }
        allowance.start_body(limit);
        let memory = traffic.answer_memory().reserve();
        let reclaim = async |bytes| traffic.deliveries.reclaim(bytes, traffic.now()).await;
        read_body(&mut body, limit, memory, reclaim).await.map_err(|e| match e {
            BodyError::TooLong => Failure::TooLong,
            BodyError::NoMemory => Failure::NoMemory,
            BodyError::Broken if allowance.is_exceeded() => Failure::TooLong,
            BodyError::Broken => Failure::Truncated,
        })
    }
}
