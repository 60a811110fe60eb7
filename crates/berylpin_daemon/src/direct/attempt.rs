//! One try at a request on one replica.

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

/// How long a connection may take; a round trip between regions takes under 50 ms, and a lost opening
/// packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 8 << 20;

/// How long a connection may take to get ready for its next request after an answer, as when a
/// replica answers before it has read a long body.
const REUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// What an attempt is made with.
pub(super) struct AttemptTask {
    pub(super) key: AttemptKey,
    pub(super) replica: Arc<Replica>,
    pub(super) time_left: Duration,
    pub(super) idempotent: bool,
    pub(super) payload: Rc<Payload>,
}

impl AttemptTask {
    /// Makes the attempt, reports how it ended, and keeps the connection if it can be used again.
    pub(super) async fn run(self, traffic: Rc<Traffic>) {
        let connection = match self.connect(&traffic).await {
            Ok(connection) => connection,
            Err(outcome) => return traffic.attempt_ended(self.key, outcome),
        };
        let (outcome, reusable) = self.exchange(connection).await;
        traffic.attempt_ended(self.key, outcome);
        // One that would wait for the next request of its kind in vain still counts at the replica.
        if let Some((mut connection, keep_alive)) = reusable.filter(|_| self.idempotent) {
            let ready = tokio::time::timeout(REUSE_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                traffic.keep_connection(self.replica.id, connection, keep_alive);
            }
        }
    }

    /// Takes an idle connection or opens a new one.
    ///
    /// Nobody can tell whether a request ran that was sent on a connection as the replica closed
    /// it, so a request that may not run twice gets a new one.
    async fn connect(&self, traffic: &Rc<Traffic>) -> Result<Connection, Outcome<HeaderMap>> {
        while let Some(mut connection) = traffic.idle_connection(self.replica.id) {
            if !self.idempotent {
                // Its place at the replica is taken by the new one.
                drop(connection);
                break;
            }
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let started = traffic.now();
        let open = TcpStream::connect(self.replica.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, open).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(Outcome::Unreachable(Failure::ConnectError)),
            Err(_) => return Err(Outcome::Unreachable(Failure::ConnectTimeout)),
        };
        traffic.connected(self.replica.id, started);
        // Without it small requests wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let handshake = Builder::new().handshake(TokioIo::new(stream)).await;
        let Ok((sender, driver)) = handshake else {
            return Err(Outcome::Unreachable(Failure::ClosedBefore));
        };
        let driver = tokio::task::spawn_local(async move {
            // Its errors reach the request that is under way.
            let _ = driver.await;
        });
        Ok(Connection::new(sender, driver.abort_handle()))
    }

    async fn exchange(
        &self,
        mut connection: Connection,
    ) -> (Outcome<HeaderMap>, Option<(Connection, Option<Duration>)>) {
        let response = match connection.sender.try_send_request(self.request()).await {
            Ok(response) => response,
            Err(e) => {
                let sent = e.message().is_none();
                let broken = if sent {
                    Outcome::Broken(Verdict::MayHaveRun, Failure::NoAnswer)
                } else {
                    Outcome::Broken(Verdict::NotRun, Failure::ClosedBefore)
                };
                return (broken, None);
            }
        };
        let (outcome, keep_alive) = self.read(response).await;
        let broken = matches!(outcome, Outcome::Broken(..) | Outcome::WrongReplica);
        let closes = keep_alive.is_some_and(|time| time.is_zero());
        (outcome, (!broken && !closes).then_some((connection, keep_alive)))
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let payload = &*self.payload;
        let mut request = Request::new(Full::new(payload.body.clone()));
        *request.method_mut() = payload.method.clone();
        *request.uri_mut() = payload.uri.clone();
        *request.headers_mut() = attempt_headers(&payload.head, self.time_left, &self.replica.name);
        request
    }

    /// Reads an answer to its end.
    async fn read(&self, response: Response<Incoming>) -> (Outcome<HeaderMap>, Option<Duration>) {
        let (parts, body) = response.into_parts();
        let id = self.payload.head.request_id.as_bytes();
        let head = read_reply_head(parts.status, &parts.headers, id);
        let ReplyHead { matches_request, signature, verdict, wrong_replica, encoded, keep_alive } =
            head;
        let Ok(body) = Limited::new(body, ANSWER_LIMIT).collect().await else {
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
