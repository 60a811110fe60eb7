//! The outgoing link to one daemon: one HTTP/2 stream that carries frames one way.

use super::mailbox::{Mail, Mailboxes};
use berylpin_core::execute::{AttemptId, ExecuteMessage};
use berylpin_core::ids::{MemberId, MemberTag};
use berylpin_core::message::QueryMessage;
use berylpin_wire::frame::{self, Frame};
use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{PingPong, SendStream};
use http::Request;
use slog::{Logger, info};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// The header that names the daemon at the other end.
pub(super) const MEMBER_HEADER: &str = "x-berylpin-member";

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a link is pinged.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How long a ping may go unanswered before the link is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a broken link rests before the next attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Bytes gathered into one write.
const WRITE_SIZE: usize = 64 * 1024;

/// What a link carries.
#[derive(Debug)]
pub(crate) enum LinkFrame {
    /// A message about queries.
    Query(QueryMessage),
    /// A message about non-idempotent requests.
    Execute(ExecuteMessage),
}

impl LinkFrame {
    /// Returns the attempt at an execution that the frame asks for.
    pub(super) fn run_attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Query(_) => None,
            Self::Execute(message) => message.run_attempt(),
        }
    }
}

#[derive(Debug, Error)]
enum LinkError {
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("protocol error: {0}")]
    Protocol(#[from] h2::Error),
    #[error("the peer closed the stream")]
    Closed,
    #[error("no answer to a ping within {PING_TIMEOUT:?}")]
    Silent,
}

/// Carries frames to one daemon until all senders are gone; reconnects when there is work.
pub(crate) async fn run_link(
    own: MemberTag,
    to: MemberId,
    address: SocketAddr,
    mailboxes: Mailboxes,
    log: Logger,
    mut rx: mpsc::Receiver<LinkFrame>,
) {
    while let Some(first) = rx.recv().await {
        let mut first = Some(first);
        let Err(e) = carry(own, address, &mut first, &mut rx).await else { return };
        info!(log, "link: broken"; "peer" => %address, "error" => %e);
        // What was queued or written may be lost; the entries of this daemon retry it.
        // A frame that is written is never sent again: an attempt at an execution must not repeat.
        let queued = std::iter::from_fn(|| rx.try_recv().ok());
        for attempt in first.into_iter().chain(queued).filter_map(|frame| frame.run_attempt()) {
            mailboxes.undelivered(attempt);
        }
        for mailbox in mailboxes.iter() {
            mailbox.send(Mail::LinkDown(to));
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Carries frames until the link breaks; takes `first` only once it can be written.
async fn carry(
    own: MemberTag,
    address: SocketAddr,
    first: &mut Option<LinkFrame>,
    rx: &mut mpsc::Receiver<LinkFrame>,
) -> Result<(), LinkError> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::ConnectTimeout)??;
    tcp.set_nodelay(true)?;
    let (client, mut connection) = h2::client::handshake(tcp).await?;
    let ping = connection.ping_pong();
    let driver = tokio::spawn(connection);
    let result = tokio::select! {
        result = pump(own, address, client, first, rx) => result,
        e = watch_pings(ping) => Err(e),
    };
    driver.abort();
    result
}

async fn pump(
    own: MemberTag,
    address: SocketAddr,
    client: SendRequest<Bytes>,
    first: &mut Option<LinkFrame>,
    rx: &mut mpsc::Receiver<LinkFrame>,
) -> Result<(), LinkError> {
    let request = Request::post(format!("http://{address}/v1/link"))
        .header(MEMBER_HEADER, own.to_string())
        .body(())
        .unwrap_or_default();
    let mut client = client.ready().await?;
    let (_response, mut stream) = client.send_request(request, false)?;
    let mut buf = BytesMut::new();
    let mut next = first.take();
    while let Some(frame) = next {
        append(frame, &mut buf);
        while buf.len() < WRITE_SIZE {
            let Ok(frame) = rx.try_recv() else { break };
            append(frame, &mut buf);
        }
        write(&mut stream, buf.split().freeze()).await?;
        next = rx.recv().await;
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

fn append(frame: LinkFrame, buf: &mut BytesMut) {
    let frame = match frame {
        LinkFrame::Query(message) => Frame::Query(message),
        LinkFrame::Execute(message) => Frame::Execute(message),
    };
    frame::encode(&frame, buf);
}

async fn write(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or(LinkError::Closed)??;
        stream.send_data(bytes.split_to(capacity.min(bytes.len())), false)?;
    }
    Ok(())
}

async fn watch_pings(ping: Option<PingPong>) -> LinkError {
    let Some(mut ping) = ping else { return LinkError::Closed };
    loop {
        match timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => sleep(PING_INTERVAL).await,
            Ok(Err(e)) => return LinkError::Protocol(e),
            Err(_) => return LinkError::Silent,
        }
    }
}
