//! Incoming links from other daemons.

use super::authentication::{
    CHALLENGE_HEADER, Handshake, PROOF_HEADER, Side, format_challenge, read_challenge, read_member,
    read_proof,
};
use super::mailbox::Mailboxes;
use crate::control::{ControlMail, ControlMailbox};
use crate::settings::{DaemonSettings, Secret};
use crate::sockets::ACCEPT_BACKOFF;
use berylpin_core::control::View;
use berylpin_core::ids::{MemberId, MemberTag};
use berylpin_wire::frame::{Decoder, Frame};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use rand::Rng;
use slog::{Logger, info};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Flow-control window of a stream and of a connection, in bytes.
const FLOW_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// How long a message about a request waits for a view that contains its sender; the message is
/// discarded afterwards.
const UNKNOWN_SENDER_TIMEOUT: Duration = Duration::from_secs(1);

/// The settings and handles of incoming links.
#[derive(Clone)]
pub(crate) struct PeerContext {
    /// The address that peers connect to.
    own_address: SocketAddr,
    key: Secret,
    view: watch::Receiver<Arc<View>>,
    mailboxes: Mailboxes,
    control: ControlMailbox,
    log: Logger,
}

impl PeerContext {
    pub(crate) fn new(
        settings: &DaemonSettings,
        view: watch::Receiver<Arc<View>>,
        mailboxes: Mailboxes,
        control: ControlMailbox,
        log: Logger,
    ) -> Self {
        let (own_address, key) = (settings.peer_address, settings.fleet_key.clone());
        Self { own_address, key, view, mailboxes, control, log }
    }
}

/// Accepts links from other daemons until the task is dropped.
pub(crate) async fn serve_peers(listener: TcpListener, cx: PeerContext) {
    loop {
        let Ok((tcp, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let cx = cx.clone();
        tokio::spawn(async move {
            let log = cx.log.clone();
            if let Err(e) = serve_connection(tcp, cx).await {
                info!(log, "link: incoming connection failed"; "peer" => %address, "error" => %e);
            }
        });
    }
}

async fn serve_connection(tcp: TcpStream, cx: PeerContext) -> Result<(), h2::Error> {
    tcp.set_nodelay(true).map_err(|_| h2::Reason::INTERNAL_ERROR)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(FLOW_WINDOW_BYTES)
        .initial_connection_window_size(FLOW_WINDOW_BYTES)
        .handshake::<_, Bytes>(tcp)
        .await?;
    // The latest handshake of this connection, which authenticates one link.
    let mut handshake = None;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        if request.method() == Method::GET {
            handshake = handle_challenge(&cx, request.headers(), respond)?;
        } else {
            accept_link(&cx, handshake.take(), request, respond)?;
        }
    }
    Ok(())
}

/// Answers the challenge of a connecting daemon with a proof and a challenge of this daemon.
fn handle_challenge(
    cx: &PeerContext,
    headers: &HeaderMap,
    mut respond: SendResponse<Bytes>,
) -> Result<Option<Handshake>, h2::Error> {
    let mut response = Response::new(());
    let (Some(member), Some(client_challenge)) = (read_member(headers), read_challenge(headers))
    else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
        respond.send_response(response, true)?;
        return Ok(None);
    };
    let server_challenge = rand::rng().random();
    let address = cx.own_address;
    let handshake = Handshake { member, address, client_challenge, server_challenge };
    let proof = handshake.sign(&cx.key, Side::Server);
    let values = [(CHALLENGE_HEADER, format_challenge(server_challenge)), (PROOF_HEADER, proof)];
    for (name, value) in values {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    respond.send_response(response, true)?;
    Ok(Some(handshake))
}

/// Accepts a link if its sender proves that it knows the fleet key; otherwise responds with 403.
fn accept_link(
    cx: &PeerContext,
    handshake: Option<Handshake>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), h2::Error> {
    let proof = read_proof(request.headers());
    let verified = handshake
        .zip(proof)
        .filter(|(handshake, proof)| handshake.verify(&cx.key, Side::Client, proof));
    let mut response = Response::new(());
    if let Some((handshake, _)) = verified {
        let reply = respond.send_response(response, false)?;
        let link = IncomingLink { cx: cx.clone(), from: handshake.member };
        tokio::spawn(link.run(request.into_body(), reply));
    } else {
        *response.status_mut() = StatusCode::FORBIDDEN;
        respond.send_response(response, true)?;
    }
    Ok(())
}

struct IncomingLink {
    cx: PeerContext,
    from: MemberTag,
}

impl IncomingLink {
    async fn run(mut self, mut body: RecvStream, mut reply: SendStream<Bytes>) {
        let mut decoder = Decoder::default();
        while let Some(Ok(bytes)) = body.data().await {
            let _ = body.flow_control().release_capacity(bytes.len());
            decoder.extend(&bytes);
            loop {
                match decoder.next_frame() {
                    Ok(Some(frame)) => self.deliver(frame).await,
                    Ok(None) => break,
                    Err(_) => return reply.send_reset(h2::Reason::PROTOCOL_ERROR),
                }
            }
        }
    }

    async fn deliver(&mut self, frame: Frame) {
        match frame {
            Frame::Control(message) => {
                self.cx.control.try_send(ControlMail::PeerMessage(self.from, message));
            }
            Frame::Query(message) => {
                if let Some(from) = self.wait_for_sender().await {
                    self.cx.mailboxes.deliver(from, message);
                }
            }
            Frame::Execute(message) => {
                if let Some(from) = self.wait_for_sender().await {
                    self.cx.mailboxes.deliver_execute(from, message);
                }
            }
        }
    }

    /// Returns the id of the sender; `None` if no view contains the sender within
    /// [`UNKNOWN_SENDER_TIMEOUT`].
    ///
    /// A daemon that has just started may send before a view contains it.
    async fn wait_for_sender(&mut self) -> Option<MemberId> {
        let from = self.from;
        let known = self.cx.view.borrow().member(from);
        if known.is_some() {
            return known;
        }
        let view = self.cx.view.wait_for(|view| view.member(from).is_some());
        let view = timeout(UNKNOWN_SENDER_TIMEOUT, view).await.ok()?.ok()?;
        view.member(from)
    }
}
