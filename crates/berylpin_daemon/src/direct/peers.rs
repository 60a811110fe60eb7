//! Requests for parts from other daemons.

use super::traffic::{GoneGuard, Payload, Traffic};
use crate::logging::Log;
use berylpin_core::direct::PartsRequest;
use berylpin_platform::RequestHead;
use berylpin_wire::frame::{Decoder, encode_value};
use berylpin_wire::parts::{DelegatedReply, DelegatedRequest};
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use slog::debug;
use std::future::poll_fn;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};

/// The longest request of another daemon, in bytes: a caller's head and body at their usual limits.
const REQUEST_LIMIT: usize = 1 << 20;

#[derive(Debug, Error)]
enum PeerError {
    #[error("protocol error: {0}")]
    Protocol(#[from] h2::Error),
    #[error("request over {REQUEST_LIMIT} bytes")]
    TooLong,
    #[error("malformed request")]
    Malformed,
}

/// Accepts connections of other daemons until the task is dropped.
pub(super) async fn accept_peers(listener: TcpListener, traffic: Rc<Traffic>, log: Log) {
    loop {
        let Ok((tcp, address)) = listener.accept().await else { continue };
        let (traffic, log) = (traffic.clone(), log.clone());
        tokio::task::spawn_local(async move {
            if let Err(e) = serve_peer(tcp, &traffic, &log).await {
                debug!(log, "link: connection of a peer ended"; "peer" => %address, "cause" => %e);
            }
        });
    }
}

async fn serve_peer(tcp: TcpStream, traffic: &Rc<Traffic>, log: &Log) -> Result<(), PeerError> {
    // Without it a small reply waits for the acknowledgement of the one before.
    let _ = tcp.set_nodelay(true);
    let mut connection = h2::server::handshake(tcp).await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let (traffic, log) = (traffic.clone(), log.clone());
        tokio::task::spawn_local(async move {
            if let Err(e) = serve_parts(request.into_body(), respond, traffic).await {
                debug!(log, "link: request of a peer ended"; "cause" => %e);
            }
        });
    }
    Ok(())
}

async fn serve_parts(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    traffic: Rc<Traffic>,
) -> Result<(), PeerError> {
    let (payload, parts) = read_request(body).await?;
    let (ticket, mut replies) = traffic.parts_request(payload, parts);
    let mut guard = GoneGuard::new(traffic, ticket);
    let mut stream = respond.send_response(Response::new(()), false)?;
    loop {
        let reply = tokio::select! {
            reply = replies.recv() => reply,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return Ok(()),
        };
        let Some(reply) = reply else { return Ok(()) };
        send(&mut stream, &reply)?;
        if reply.last {
            guard.answered();
            return Ok(());
        }
    }
}

fn send(stream: &mut SendStream<Bytes>, reply: &DelegatedReply) -> Result<(), PeerError> {
    let mut buf = BytesMut::new();
    encode_value(reply, &mut buf);
    // The library keeps what the window does not allow yet; a reply is a few KB.
    stream.send_data(buf.freeze(), reply.last)?;
    Ok(())
}

async fn read_request(mut body: RecvStream) -> Result<(Payload, PartsRequest), PeerError> {
    let mut decoder = Decoder::default();
    let mut read = 0;
    while let Some(bytes) = body.data().await {
        let bytes = bytes?;
        let _ = body.flow_control().release_capacity(bytes.len());
        read += bytes.len();
        if read > REQUEST_LIMIT {
            return Err(PeerError::TooLong);
        }
        decoder.extend(&bytes);
    }
    let request = decoder.next_value::<DelegatedRequest>().ok().flatten();
    request.and_then(decode).ok_or(PeerError::Malformed)
}

fn decode(request: DelegatedRequest) -> Option<(Payload, PartsRequest)> {
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
    Some((Payload { method, uri: uri.parse().ok()?, head, body }, parts))
}
