//! Requests and replies between daemons: h2 streams that carry encode_frame values.

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

/// The path of requests for parts.
pub(super) const PARTS_PATH: &str = "http://peer/v1/parts";

/// The path of requests for news of the store.
pub(super) const STATE_DELTA_PATH: &str = "http://peer/v1/news";

/// How long a connection to another daemon may take, and a ping on it; three round trips between regions.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why there is no connection to another daemon or no answer from it.
#[derive(Debug, Error)]
pub(super) enum StreamError {
    #[error("no answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("protocol error: {0}")]
    Protocol(#[from] h2::Error),
    #[error("message over {0} bytes")]
    TooLong(usize),
    #[error(transparent)]
    Malformed(#[from] FrameError),
    #[error("message ends early")]
    Incomplete,
}

/// Both ends of a new connection: one sends requests, the other has to be polled.
pub(super) type Handshake =
    (h2::client::SendRequest<Bytes>, h2::client::Connection<TcpStream, Bytes>);

/// Connects to another daemon.
pub(super) async fn connect(address: SocketAddr) -> Result<Handshake, StreamError> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    // Without it a small request waits for the acknowledgement of the one before.
    tcp.set_nodelay(true)?;
    Ok(h2::client::handshake(tcp).await?)
}

/// Returns the head of a request to another daemon.
pub(super) fn post_request(path: &'static str) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

/// Encodes a value as the body of a request or reply.
pub(super) fn encode_frame<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    let mut buf = BytesMut::new();
    encode_value(value, &mut buf);
    buf.freeze()
}

/// Reads a body of one value and at most `limit` bytes.
pub(super) async fn read_value<T>(mut body: RecvStream, limit: usize) -> Result<T, StreamError>
where
    T: DeserializeOwned,
{
    let mut decoder = Decoder::default();
    let mut read = 0;
    while let Some(bytes) = body.data().await {
        let bytes = bytes?;
        // An error means that the stream is over, which the next read tells.
        let _ = body.flow_control().release_capacity(bytes.len());
        read += bytes.len();
        if read > limit {
            return Err(StreamError::TooLong(limit));
        }
        decoder.extend(&bytes);
    }
    decoder.next_value()?.ok_or(StreamError::Incomplete)
}
