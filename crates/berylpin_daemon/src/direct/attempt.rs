//! Attempts: a request is sent to one replica and its answer is read.

use super::pool::Connection;
use super::traffic::{Payload, Traffic};
use berylpin_core::direct::{AttemptKey, Failure, Outcome, Replica, Reply};
use berylpin_core::verdict::Verdict;
use berylpin_platform::{ReplyHead, attempt_headers, read_reply_head};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// The timeout for opening a connection. A round trip between regions takes less than 50 ms, and a
/// lost SYN is retransmitted only after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The timeout for a connection to become ready for its next request after an answer. It is not
/// ready at once if the replica answered before it read all of a long body.
const REUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt to carry out.
pub(super) struct AttemptTask {
    pub(super) key: AttemptKey,
    pub(super) replica: Arc<Replica>,
    pub(super) time_left: Duration,
    pub(super) idempotent: bool,
    pub(super) payload: Rc<Payload>,
}

impl AttemptTask {
    /// Carries out the attempt, reports its outcome, and pools the connection if it can be reused.
    pub(super) async fn run(self, traffic: Rc<Traffic>) {
        let connection = match self.connect(&traffic).await {
            Ok(connection) => connection,
            Err(outcome) => return traffic.handle_attempt_end(self.key, outcome),
        };
        let (outcome, reusable) = self.exchange(connection).await;
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
        let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
        let Ok((sender, driver)) = handshake else {
            return Err(Outcome::Unreachable(Failure::ClosedBefore));
        };
        let driver = tokio::task::spawn_local(async move {
            // Errors are reported to the request in flight.
            let _ = driver.await;
        });
        Ok(Connection::new(sender, driver.abort_handle()))
    }

    /// Sends the request and reads its answer; returns the outcome and, if the connection can be
    /// reused, the connection with the replica's keep-alive time.
    async fn exchange(
        &self,
        mut connection: Connection,
    ) -> (Outcome<HeaderMap>, Option<(Connection, Option<Duration>)>) {
        let response = match connection.sender.try_send_request(self.build_request()).await {
            Ok(response) => response,
            Err(e) => {
                // hyper returns the request with the error only if it sent none of it.
                let sent = e.message().is_none();
                let outcome = if sent {
                    Outcome::Broken(Verdict::MayHaveRun, Failure::NoAnswer)
                } else {
                    Outcome::Broken(Verdict::NotRun, Failure::ClosedBefore)
                };
                return (outcome, None);
            }
        };
        let (outcome, keep_alive) = self.read_answer(response).await;
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
    ) -> (Outcome<HeaderMap>, Option<Duration>) {
        let (parts, body) = response.into_parts();
        let id = self.payload.head.request_id.as_bytes();
        let head = read_reply_head(parts.status, &parts.headers, id);
        let ReplyHead { matches_request, signature, verdict, wrong_replica, encoded, keep_alive } =
            head;
        let Ok(body) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
            return (Outcome::Broken(Verdict::MayHaveRun, Failure::Truncated), keep_alive);
        };
        let outcome = if wrong_replica {
            Outcome::WrongReplica
        } else if !matches_request {
            Outcome::Broken(Verdict::MayHaveRun, Failure::ForeignAnswer)
        } else if encoded {
            Outcome::Broken(Verdict::MayHaveRun, Failure::Encoded)
        } else if verdict == Verdict::NotRun {
            Outcome::Refused
        } else {
            Outcome::Answered(Reply {
                status: parts.status.as_u16(),
                signature: signature.map(String::into_boxed_str),
                body: body.to_bytes(),
                headers: parts.headers,
            })
        };
        (outcome, keep_alive)
    }
}
