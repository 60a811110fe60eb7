//! Requests and replies between daemons: HTTP/2 streams that carry framed values.

use berylpin_wire::frame::{Decoder, FrameError, encode_value};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use http::{Method, Request, Uri};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The URI of requests for parts.
pub(super) const PARTS_URI: &str = "http://peer/v1/parts";

/// The URI of requests for state deltas.
pub(super) const STATE_DELTA_URI: &str = "http://peer/v1/news";

/// The timeout for connecting to a peer and for a ping; covers three round trips between regions.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why an exchange with a peer failed.
#[derive(Debug, Error)]
pub(super) enum StreamError {
    #[error("timed out")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("protocol error: {0}")]
    Protocol(#[from] h2::Error),
    #[error("message exceeds {0} bytes")]
    TooLong(usize),
    #[error(transparent)]
    Malformed(#[from] FrameError),
    /// The stream ended before a complete message, a request could not be decoded, or the control
    /// thread did not serve a request for a state delta, for example because its queue was full.
    #[error("incomplete message")]
    Incomplete,
}

/// The request sender of a new connection, and the connection, which must be polled.
pub(super) type Handshake =
    (h2::client::SendRequest<Bytes>, h2::client::Connection<TcpStream, Bytes>);

/// Connects to a peer.
pub(super) async fn connect(address: SocketAddr) -> Result<Handshake, StreamError> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    // Nagle's algorithm would delay a small request until the previous one is acknowledged.
    tcp.set_nodelay(true)?;
    Ok(h2::client::handshake(tcp).await?)
}

/// Returns the head of a request to a peer.
pub(super) fn post_request(uri: &'static str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(uri);
    request
}

/// Encodes a value as the frame that forms the body of a request, or one reply.
pub(super) fn encode_frame<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    let mut buf = BytesMut::new();
    encode_value(value, &mut buf);
    buf.freeze()
}

/// Reads a body that holds one value in at most `limit` bytes.
pub(super) async fn read_value<T>(body: RecvStream, limit: usize) -> Result<T, StreamError>
where
    T: DeserializeOwned,
{
    read_frames(body, limit).await?.next_value()?.ok_or(StreamError::Incomplete)
}

/// Reads a body of at most `limit` bytes.
pub(super) async fn read_frames(
    mut body: RecvStream,
    limit: usize,
) -> Result<Decoder, StreamError> {
    let mut decoder = Decoder::default();
    let mut read = 0;
    while let Some(bytes) = body.data().await {
        let bytes = bytes?;
        // An error means that the stream has ended, which the next read reports.
        let _ = body.flow_control().release_capacity(bytes.len());
        read += bytes.len();
        if read > limit {
            return Err(StreamError::TooLong(limit));
        }
        decoder.extend(&bytes);
    }
    Ok(decoder)
}
