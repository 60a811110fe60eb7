//! Connections to peers and the calls for parts on them.

use super::streams::{
    CONNECT_TIMEOUT, PARTS_URI, StreamError, connect, encode_frame, post_request,
};
use super::traffic::{Payload, Traffic};
use crate::logging::Log;
use berylpin_core::direct::{CallKey, PartsRequest, Peer};
use berylpin_core::ids::PeerId;
use berylpin_core::verdict::Verdict;
use berylpin_wire::frame::Decoder;
use berylpin_wire::parts::{DelegatedReply, DelegatedRequest};
use bytes::Bytes;
use h2::client::SendRequest;
use slog::info;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The minimum interval between two attempts to connect to a peer.
const MIN_CONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of pings on a new connection. The shortest one measures the round trip even if one of
/// the daemons has to wait for its processor, as when a fleet starts.
const CONNECT_PINGS: usize = 3;

/// The sender of requests on a connection to a peer; dropping the last clone closes the connection.
#[derive(Clone)]
pub(super) struct PeerSender {
    send_request: SendRequest<Bytes>,
    driver: Rc<DriverGuard>,
}

/// Aborts the task that drives a connection when dropped.
struct DriverGuard(AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The connection to one peer; `sender` is `None` while it is not open.
struct Link {
    peer: PeerId,
    sender: Option<PeerSender>,
    next_connect_at: Instant,
}

/// The connections to all peers.
#[derive(Default)]
pub(super) struct PeerLinks {
    /// Sorted by peer.
    links: Vec<Link>,
}

impl PeerLinks {
    /// Returns whether to start a connection attempt now; delays the next one if so.
    pub(super) fn try_begin_connect(&mut self, peer: PeerId, now: Instant) -> bool {
        match self.links.binary_search_by_key(&peer, |link| link.peer) {
            Ok(index) => {
                let link = &mut self.links[index];
                let may_connect = link.sender.is_none() && link.next_connect_at <= now;
                if may_connect {
                    link.next_connect_at = now + MIN_CONNECT_INTERVAL;
                }
                may_connect
            }
            Err(index) => {
                let next_connect_at = now + MIN_CONNECT_INTERVAL;
                self.links.insert(index, Link { peer, sender: None, next_connect_at });
                true
            }
        }
    }

    /// Sets the connection to a peer, or closes it if `sender` is `None`.
    pub(super) fn set_sender(&mut self, peer: PeerId, sender: Option<PeerSender>) {
        if let Ok(index) = self.links.binary_search_by_key(&peer, |link| link.peer) {
            self.links[index].sender = sender;
        }
    }

    /// Closes the connections to peers for which `keep` returns false.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(PeerId) -> bool,
    {
        self.links.retain(|link| keep(link.peer));
    }

    pub(super) fn sender(&self, peer: PeerId) -> Option<PeerSender> {
        let index = self.links.binary_search_by_key(&peer, |link| link.peer).ok()?;
        self.links[index].sender.clone()
    }
}

/// Connects to a peer and reports the connection once the peer has answered its pings.
pub(super) async fn connect_peer(peer: Arc<Peer>, traffic: Rc<Traffic>, log: Log) {
    match open_link(&peer, &traffic).await {
        Ok((sender, round_trip)) => {
            info!(log, "link: connected"; "peer" => %peer.address,
                "round_trip_us" => round_trip.as_micros() as u64);
            traffic.record_peer_round_trip(peer.id, round_trip);
            traffic.handle_peer_connection(peer.id, Some(sender));
        }
        Err(e) => info!(log, "link: connection failed"; "peer" => %peer.address, "cause" => %e),
    }
}

/// Opens a connection; returns its sender and the shortest round trip of a few pings.
async fn open_link(
    peer: &Peer,
    traffic: &Rc<Traffic>,
) -> Result<(PeerSender, Duration), StreamError> {
    let (send_request, mut connection) = connect(peer.address).await?;
    let mut ping = connection.ping_pong().ok_or(StreamError::Incomplete)?;
    let (id, observer) = (peer.id, traffic.clone());
    let driver = tokio::task::spawn_local(async move {
        // Errors are reported to the calls in flight.
        let _ = connection.await;
        observer.handle_peer_connection(id, None);
    });
    let sender = PeerSender { send_request, driver: Rc::new(DriverGuard(driver.abort_handle())) };
    let mut round_trip = CONNECT_TIMEOUT;
    for _ in 0..CONNECT_PINGS {
        let started = traffic.now();
        timeout(CONNECT_TIMEOUT, ping.ping(h2::Ping::opaque())).await??;
        round_trip = round_trip.min(traffic.now().saturating_duration_since(started));
    }
    Ok((sender, round_trip))
}

/// A call that requests parts from a peer.
pub(super) struct DelegatedCall {
    pub(super) key: CallKey,
    pub(super) payload: Rc<Payload>,
    pub(super) request: PartsRequest,
}

/// The verdict of a call that failed before its last reply.
struct CallFailure(Verdict);

impl DelegatedCall {
    /// Sends the request and reports each reply, or the failure of the call.
    pub(super) async fn run(self, sender: Option<PeerSender>, traffic: Rc<Traffic>) {
        let key = self.key;
        if let Err(CallFailure(verdict)) = self.exchange(sender, &traffic).await {
            traffic.handle_call_failure(key, verdict);
        }
    }

    async fn exchange(
        self,
        sender: Option<PeerSender>,
        traffic: &Rc<Traffic>,
    ) -> Result<(), CallFailure> {
        let not_run = || CallFailure(Verdict::NotRun);
        let may_have_run = |_| CallFailure(Verdict::MayHaveRun);
        let sender = sender.ok_or_else(not_run)?;
        // Keeps the connection open until the call ends.
        let _driver = sender.driver.clone();
        let key = self.key;
        let body = self.encode();
        let mut send_request = sender.send_request.ready().await.map_err(|_| not_run())?;
        let (mut request, asked_at) = (post_request(PARTS_URI), traffic.now());
        traffic.write_version(request.headers_mut());
        let (response, mut stream) =
            send_request.send_request(request, false).map_err(|_| not_run())?;
        stream.send_data(body, true).map_err(may_have_run)?;
        let response = response.await.map_err(may_have_run)?;
        traffic.read_version(response.headers(), Some(asked_at));
        let mut body = response.into_body();
        let mut decoder = Decoder::default();
        while let Some(bytes) = body.data().await {
            let bytes = bytes.map_err(may_have_run)?;
            let _ = body.flow_control().release_capacity(bytes.len());
            decoder.extend(&bytes);
            loop {
                match decoder.next_value::<DelegatedReply>() {
                    Ok(Some(reply)) => {
                        let last = reply.last;
                        traffic.handle_parts_reply(key, reply);
                        if last {
                            return Ok(());
                        }
                    }
                    Ok(None) => break,
                    Err(_) => return Err(CallFailure(Verdict::MayHaveRun)),
                }
            }
        }
        Err(CallFailure(Verdict::MayHaveRun))
    }

    fn encode(self) -> Bytes {
        let Payload { method, uri, head, body, .. } = &*self.payload;
        let headers = head.forwarded.iter();
        let headers = headers.map(|(name, value)| {
            (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
        });
        let request = DelegatedRequest {
            request_id: head.request_id.clone(),
            method: method.as_str().to_owned(),
            uri: uri.to_string(),
            headers: headers.collect(),
            body: body.clone(),
            parts: self.request,
        };
        encode_frame(&request)
    }
}
