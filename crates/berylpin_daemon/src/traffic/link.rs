//! The outgoing link to one daemon: an HTTP/2 stream that carries frames in one direction.

use super::authentication::{
    CHALLENGE_HEADER, Handshake, MEMBER_HEADER, PROOF_HEADER, Side, format_challenge,
    read_challenge, read_proof,
};
use super::mailbox::Mailboxes;
use crate::control::{ControlMail, ControlMailbox};
use crate::settings::{DaemonSettings, Secret};
use berylpin_core::control::ControlMessage;
use berylpin_core::execute::{AttemptId, ExecuteMessage};
use berylpin_core::ids::MemberTag;
use berylpin_core::message::QueryMessage;
use berylpin_wire::frame::{self, Frame};
use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{PingPong, SendStream};
use http::{Request, StatusCode};
use rand::Rng;
use slog::{Logger, info};
use std::future::poll_fn;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between the reply to a ping and the next ping; a link without writes is not pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// How long the reply to a ping may take before the link is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause between the failure of a link and the next connection attempt.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(200);

/// Size from which no further frame is added to a write, in bytes.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// A message to be sent over a link.
#[derive(Debug)]
pub(crate) enum LinkFrame {
    /// A message about queries.
    Query(QueryMessage),
    /// A message about non-idempotent requests.
    Execute(ExecuteMessage),
    /// A message between control threads.
    Control(Box<ControlMessage>),
}

impl LinkFrame {
    /// Returns the attempt of an [`ExecuteMessage::Run`].
    pub(super) fn run_attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Query(_) | Self::Control(_) => None,
            Self::Execute(message) => message.run_attempt(),
        }
    }
}

/// The settings and handles of an outgoing link.
pub(crate) struct LinkContext {
    /// The tag of this daemon.
    member: MemberTag,
    /// The address of the peer.
    address: SocketAddr,
    /// The source address of the connection.
    local: IpAddr,
    key: Secret,
    mailboxes: Mailboxes,
    control: ControlMailbox,
    log: Logger,
}

impl LinkContext {
    pub(crate) fn new(
        settings: &DaemonSettings,
        address: SocketAddr,
        mailboxes: Mailboxes,
        control: ControlMailbox,
        log: Logger,
    ) -> Self {
        Self {
            member: MemberTag::of([settings.name.as_str()]),
            address,
            local: settings.peer_listen_address.ip(),
            key: settings.fleet_key.clone(),
            mailboxes,
            control,
            log,
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
    #[error("the peer refused the link with status {0}")]
    Refused(StatusCode),
    #[error("the peer sent no valid proof of the fleet key")]
    InvalidProof,
    #[error("no reply to a ping within {PING_TIMEOUT:?}")]
    PingTimeout,
}

/// Sends frames to one daemon until all senders are dropped; reconnects when a frame is queued.
pub(crate) async fn run_link(cx: LinkContext, mut rx: mpsc::Receiver<LinkFrame>) {
    while let Some(first) = rx.recv().await {
        let mut first = Some(first);
        let Err(e) = run_connection(&cx, &mut first, &mut rx).await else { return };
        info!(cx.log, "link: connection failed"; "peer" => %cx.address, "error" => %e);
        // Queued and written frames may be lost; the entry retries their sub-queries. A written
        // frame is never sent again, since an attempt to execute a request must not run twice.
        // Queued attempts were certainly not sent, so the holder may start others for their keys.
        let queued = std::iter::from_fn(|| rx.try_recv().ok());
        for attempt in first.into_iter().chain(queued).filter_map(|frame| frame.run_attempt()) {
            cx.mailboxes.report_undelivered(attempt);
        }
        cx.control.try_send(ControlMail::LinkDown(cx.address));
        sleep(RECONNECT_BACKOFF).await;
    }
}

/// Connects and sends frames until the connection fails or all senders are dropped.
///
/// Leaves `first` in place if the connection fails before any frame is sent.
async fn run_connection(
    cx: &LinkContext,
    first: &mut Option<LinkFrame>,
    rx: &mut mpsc::Receiver<LinkFrame>,
) -> Result<(), LinkError> {
    let tcp = timeout(CONNECT_TIMEOUT, connect(cx.local, cx.address))
        .await
        .map_err(|_| LinkError::ConnectTimeout)??;
    tcp.set_nodelay(true)?;
    let (client, mut connection) = h2::client::handshake(tcp).await?;
    let ping = connection.ping_pong();
    let driver = tokio::spawn(connection);
    let written = Notify::new();
    let result = tokio::select! {
        result = send_frames(cx, client, &written, first, rx) => result,
        e = ping_after_writes(ping, &written) => Err(e),
    };
    driver.abort();
    result
}

/// Connects with the source address `local`, by which peers know this daemon.
async fn connect(local: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(local, 0))?;
    socket.connect(address).await
}

/// Sends `first` and the frames of `rx` until all senders are dropped.
async fn send_frames(
    cx: &LinkContext,
    client: SendRequest<Bytes>,
    written: &Notify,
    first: &mut Option<LinkFrame>,
    rx: &mut mpsc::Receiver<LinkFrame>,
) -> Result<(), LinkError> {
    // Pings also detect a failure during the handshake.
    written.notify_one();
    let mut stream = open_stream(cx, client).await?;
    let mut buf = BytesMut::new();
    let mut next = first.take();
    while let Some(frame) = next {
        append_frame(frame, &mut buf);
        while buf.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = rx.try_recv() else { break };
            append_frame(frame, &mut buf);
        }
        written.notify_one();
        write_all(&mut stream, buf.split().freeze()).await?;
        next = rx.recv().await;
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Opens the stream of frames after both ends have proved that they know the fleet key.
async fn open_stream(
    cx: &LinkContext,
    client: SendRequest<Bytes>,
) -> Result<SendStream<Bytes>, LinkError> {
    let client_challenge = rand::rng().random();
    let request = Request::get(format!("http://{}/v1/link", cx.address))
        .header(MEMBER_HEADER, cx.member.to_string())
        .header(CHALLENGE_HEADER, format_challenge(client_challenge))
        .body(())
        .unwrap_or_default();
    let mut client = client.ready().await?;
    let (response, _) = client.send_request(request, true)?;
    let response = response.await?;
    let headers = response.headers();
    let server_challenge = read_challenge(headers).ok_or(LinkError::InvalidProof)?;
    let handshake =
        Handshake { member: cx.member, address: cx.address, client_challenge, server_challenge };
    if !read_proof(headers).is_some_and(|proof| handshake.verify(&cx.key, Side::Server, proof)) {
        return Err(LinkError::InvalidProof);
    }
    let request = Request::post(format!("http://{}/v1/link", cx.address))
        .header(PROOF_HEADER, handshake.sign(&cx.key, Side::Client))
        .body(())
        .unwrap_or_default();
    let mut client = client.ready().await?;
    let (response, stream) = client.send_request(request, false)?;
    let status = response.await?.status();
    if status.is_success() { Ok(stream) } else { Err(LinkError::Refused(status)) }
}

fn append_frame(frame: LinkFrame, buf: &mut BytesMut) {
    let frame = match frame {
        LinkFrame::Query(message) => Frame::Query(message),
        LinkFrame::Control(message) => Frame::Control(message),
        LinkFrame::Execute(message) => Frame::Execute(message),
    };
    frame::encode(&frame, buf);
}

async fn write_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or(LinkError::Closed)??;
        stream.send_data(bytes.split_to(capacity.min(bytes.len())), false)?;
    }
    Ok(())
}

/// Pings the peer after writes until a ping fails; an idle link is not pinged.
async fn ping_after_writes(ping: Option<PingPong>, written: &Notify) -> LinkError {
    let Some(mut ping) = ping else { return LinkError::Closed };
    loop {
        written.notified().await;
        match timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => sleep(PING_INTERVAL).await,
            Ok(Err(e)) => return LinkError::Protocol(e),
            Err(_) => return LinkError::PingTimeout,
        }
    }
}
