//! The HTTP/2 server for peers.

use super::body::ReservedMemory;
use super::control::StateDeltaRequest;
use super::disconnect::DisconnectGuard;
use super::streams::{STATE_DELTA_URI, StreamError, encode_frame, read_frames, read_value};
use super::traffic::{Payload, Traffic};
use crate::logging::Log;
use crate::sockets::ACCEPT_BACKOFF;
use berylpin_core::direct::{PartsReply, PartsRequest};
use berylpin_platform::RequestHead;
use berylpin_wire::parts::{DelegatedReply, DelegatedRequest};
use berylpin_wire::state_delta::{decode_revisions, encode_delta};
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use slog::{debug, warn};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The maximum size of a peer's request; a caller's head and body at their usual limits fit.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// How long a connection is kept without a request; a peer's VM may fail without closing it.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The context in which the requests of peers are served.
#[derive(Clone)]
pub(super) struct PeerContext {
    pub(super) traffic: Rc<Traffic>,
    /// The queue of requests for state to the control thread.
    pub(super) state_requests: mpsc::Sender<StateDeltaRequest>,
    pub(super) log: Log,
}

/// Accepts connections of peers until the task is dropped.
pub(super) async fn accept_peers(listener: TcpListener, cx: PeerContext) {
    loop {
        let (tcp, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                warn!(cx.log, "link: connection not accepted"; "cause" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let cx = cx.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = serve_peer(tcp, &cx).await {
                debug!(cx.log, "link: incoming connection ended";
                    "peer" => %address, "cause" => %e);
            }
        });
    }
}

async fn serve_peer(tcp: TcpStream, cx: &PeerContext) -> Result<(), StreamError> {
    // Nagle's algorithm would delay a small reply until the previous one is acknowledged.
    let _ = tcp.set_nodelay(true);
    let mut connection = h2::server::handshake(tcp).await?;
    while let Some(accepted) = timeout(IDLE_TIMEOUT, connection.accept()).await? {
        let (request, respond) = accepted?;
        let cx = cx.clone();
        tokio::task::spawn_local(async move {
            let (head, body) = request.into_parts();
            cx.traffic.read_version(&head.headers, None);
            let served = if head.uri == STATE_DELTA_URI {
                serve_state_delta(body, respond, &cx.state_requests).await
            } else {
                serve_parts(body, respond, cx.traffic).await
            };
            if let Err(e) = served {
                debug!(cx.log, "link: request of peer failed"; "cause" => %e);
            }
        });
    }
    Ok(())
}

/// Sends a peer the state that it lacks.
async fn serve_state_delta(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    state_requests: &mpsc::Sender<StateDeltaRequest>,
) -> Result<(), StreamError> {
    let mut frames = read_frames(body, MAX_REQUEST_BYTES).await?;
    let known = decode_revisions(&mut frames)?.ok_or(StreamError::Incomplete)?;
    let (reply, delta) = oneshot::channel();
    let queued = state_requests.try_send(StateDeltaRequest { known, reply });
    // An error drops the stream, so that the peer asks another daemon.
    queued.map_err(|_| StreamError::Incomplete)?;
    let delta = delta.await.map_err(|_| StreamError::Incomplete)?;
    let mut stream = respond.send_response(Response::new(()), false)?;
    let mut buf = BytesMut::new();
    encode_delta(delta, &mut buf);
    stream.send_data(buf.freeze(), true)?;
    Ok(())
}

async fn serve_parts(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    traffic: Rc<Traffic>,
) -> Result<(), StreamError> {
    let request: DelegatedRequest = read_value(body, MAX_REQUEST_BYTES).await?;
    let mut memory = traffic.request_memory().reserve();
    let has_memory = memory.try_extend(request.body.len());
    let (payload, parts) = decode(request, memory).ok_or(StreamError::Incomplete)?;
    let mut response = Response::new(());
    traffic.write_version(response.headers_mut());
    let mut stream = respond.send_response(response, false)?;
    if !has_memory {
        // The entry sends the attempts itself.
        let reply = PartsReply::not_run(parts.services.len());
        return send(&mut stream, &DelegatedReply { reply, last: true });
    }
    let (ticket, mut replies) = traffic.start_parts_request(payload, parts);
    let mut guard = DisconnectGuard::new(traffic, ticket);
    loop {
        let reply = tokio::select! {
            reply = replies.recv() => reply,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        let Some(reply) = reply else { return Ok(()) };
        send(&mut stream, &reply)?;
        if reply.last {
            guard.mark_answered();
            return Ok(());
        }
    }
}

fn send(stream: &mut SendStream<Bytes>, reply: &DelegatedReply) -> Result<(), StreamError> {
    // h2 buffers data that exceeds the flow-control window; a reply is a few KB.
    stream.send_data(encode_frame(reply), reply.last)?;
    Ok(())
}

fn decode(request: DelegatedRequest, memory: ReservedMemory) -> Option<(Payload, PartsRequest)> {
    let DelegatedRequest { request_id, method, uri, headers, body, parts } = request;
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        forwarded.append(name, HeaderValue::from_maybe_shared(value).ok()?);
    }
    let head = RequestHead {
        request_id,
        host: parts.host.clone(),
        time_left: Some(parts.time_left),
        forwarded,
    };
    let method = method.parse().ok()?;
    let payload = Payload { method, uri: uri.parse().ok()?, head, body: memory.hold(body) };
    Some((payload, parts))
}
