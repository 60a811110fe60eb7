//! The incoming links of other daemons.

use super::link::MEMBER_HEADER;
use super::mailbox::Mailboxes;
use berylpin_core::control::View;
use berylpin_core::ids::{MemberId, MemberTag};
use berylpin_wire::frame::{Decoder, Frame};
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use slog::{Logger, info};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The window of a stream and of a connection, in bytes.
const WINDOW: u32 = 4 * 1024 * 1024;

/// Accepts links from other daemons until the task is dropped.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    view: watch::Receiver<Arc<View>>,
    mailboxes: Mailboxes,
    log: Logger,
) {
    loop {
        let Ok((tcp, address)) = listener.accept().await else { continue };
        let (view, mailboxes, log) = (view.clone(), mailboxes.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(e) = serve_connection(tcp, view, mailboxes).await {
                info!(log, "link: incoming connection ended"; "peer" => %address, "error" => %e);
            }
        });
    }
}

async fn serve_connection(
    tcp: TcpStream,
    view: watch::Receiver<Arc<View>>,
    mailboxes: Mailboxes,
) -> Result<(), h2::Error> {
    tcp.set_nodelay(true).map_err(|_| h2::Reason::INTERNAL_ERROR)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, Bytes>(tcp)
        .await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let (view, mailboxes) = (view.clone(), mailboxes.clone());
        tokio::spawn(serve_stream(request, respond, view, mailboxes));
    }
    Ok(())
}

async fn serve_stream(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    mut view: watch::Receiver<Arc<View>>,
    mailboxes: Mailboxes,
) {
    let Some(from) = sender(&request, &mut view) else {
        // The peer tries again later; by then this daemon may know it.
        let mut refusal = Response::new(());
        *refusal.status_mut() = StatusCode::FORBIDDEN;
        let _ = respond.send_response(refusal, true);
        return;
    };
    let mut body = request.into_body();
    let mut decoder = Decoder::default();
    while let Some(Ok(bytes)) = body.data().await {
        let _ = body.flow_control().release_capacity(bytes.len());
        decoder.extend(&bytes);
        loop {
            match decoder.next_frame() {
                Ok(Some(Frame::Query(message))) => mailboxes.deliver(from, message),
                Ok(Some(Frame::Execute(message))) => mailboxes.deliver_execute(from, message),
                Ok(None) => break,
                Err(_) => return respond.send_reset(h2::Reason::PROTOCOL_ERROR),
            }
        }
    }
}

fn sender(
    request: &Request<RecvStream>,
    view: &mut watch::Receiver<Arc<View>>,
) -> Option<MemberId> {
    let text = request.headers().get(MEMBER_HEADER)?.to_str().ok()?;
    let tag = u64::from_str_radix(text, 16).ok()?;
    view.borrow_and_update().member(MemberTag(tag))
}
