//! The outgoing link to one daemon: one HTTP/2 stream that carries frames one way.

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

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a link rests between two pings; one that nothing is written to is not pinged.
const PING_INTERVAL: Duration = Duration::from_millis(250);

/// How long a ping may go unanswered before the link is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(700);

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
    /// A message between control threads.
    Control(Box<ControlMessage>),
}

impl LinkFrame {
    /// Returns the attempt at an execution that the frame asks for.
    pub(super) fn run_attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Query(_) | Self::Control(_) => None,
            Self::Execute(message) => message.run_attempt(),
        }
    }
}

/// What an outgoing link is made of.
pub(crate) struct LinkContext {
    own: MemberTag,
    address: SocketAddr,
    /// The address that the connection leaves from.
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
            own: MemberTag::of([settings.name.as_str()]),
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
    #[error("the peer does not know the fleet's key")]
    Unproven,
    #[error("no answer to a ping within {PING_TIMEOUT:?}")]
    Silent,
}

/// Carries frames to one daemon until all senders are gone; reconnects when there is work.
pub(crate) async fn run_link(cx: LinkContext, mut rx: mpsc::Receiver<LinkFrame>) {
    while let Some(first) = rx.recv().await {
        let mut first = Some(first);
        let Err(e) = carry(&cx, &mut first, &mut rx).await else { return };
        info!(cx.log, "link: broken"; "peer" => %cx.address, "error" => %e);
        // What was queued or written may be lost; the entries of this daemon retry it.
        // A frame that is written is never sent again: an attempt at an execution must not repeat.
        let queued = std::iter::from_fn(|| rx.try_recv().ok());
        for attempt in first.into_iter().chain(queued).filter_map(|frame| frame.run_attempt()) {
            cx.mailboxes.report_undelivered(attempt);
        }
        cx.control.try_send(ControlMail::LinkDown(cx.address));
        sleep(RETRY_PAUSE).await;
    }
}

/// Carries frames until the link breaks; takes `first` only once it can be written.
async fn carry(
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
        result = pump(cx, client, &written, first, rx) => result,
        e = watch_pings(ping, &written) => Err(e),
    };
    driver.abort();
    result
}

/// Connects from the address that this daemon is known by.
async fn connect(local: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(local, 0))?;
    socket.connect(address).await
}

async fn pump(
    cx: &LinkContext,
    client: SendRequest<Bytes>,
    written: &Notify,
    first: &mut Option<LinkFrame>,
    rx: &mut mpsc::Receiver<LinkFrame>,
) -> Result<(), LinkError> {
    // The handshake is watched as well.
    written.notify_one();
    let mut stream = open(cx, client).await?;
    let mut buf = BytesMut::new();
    let mut next = first.take();
    while let Some(frame) = next {
        append(frame, &mut buf);
        while buf.len() < WRITE_SIZE {
            let Ok(frame) = rx.try_recv() else { break };
            append(frame, &mut buf);
        }
        written.notify_one();
        write(&mut stream, buf.split().freeze()).await?;
        next = rx.recv().await;
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Opens the stream of frames once both ends have proved that they know the fleet's key.
async fn open(
    cx: &LinkContext,
    client: SendRequest<Bytes>,
) -> Result<SendStream<Bytes>, LinkError> {
    let client_challenge = rand::rng().random();
    let request = Request::get(format!("http://{}/v1/link", cx.address))
        .header(MEMBER_HEADER, cx.own.to_string())
        .header(CHALLENGE_HEADER, format_challenge(client_challenge))
        .body(())
        .unwrap_or_default();
    let mut client = client.ready().await?;
    let (response, _) = client.send_request(request, true)?;
    let response = response.await?;
    let headers = response.headers();
    let server_challenge = read_challenge(headers).ok_or(LinkError::Unproven)?;
    let handshake =
        Handshake { member: cx.own, address: cx.address, client_challenge, server_challenge };
    if !read_proof(headers).is_some_and(|proof| handshake.verify(&cx.key, Side::Server, proof)) {
        return Err(LinkError::Unproven);
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

fn append(frame: LinkFrame, buf: &mut BytesMut) {
    let frame = match frame {
        LinkFrame::Query(message) => Frame::Query(message),
        LinkFrame::Control(message) => Frame::Control(message),
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

/// Pings after each write, so that idle links cost nothing, until one goes unanswered.
async fn watch_pings(ping: Option<PingPong>, written: &Notify) -> LinkError {
    let Some(mut ping) = ping else { return LinkError::Closed };
    loop {
        written.notified().await;
        match timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => sleep(PING_INTERVAL).await,
            Ok(Err(e)) => return LinkError::Protocol(e),
            Err(_) => return LinkError::Silent,
        }
    }
}
