//! Exchange of the configuration and of the entries of replicas and daemons between daemons while
//! some of them cannot reach the store.

use super::super::peer_versions::PeerVersion;
use super::super::streams::{
    CONNECT_TIMEOUT, STATE_DELTA_URI, StreamError, connect, post_request, read_frames,
};
use super::Control;
use berylpin_core::direct::{StateDelta, StateRevisions};
use berylpin_wire::frame::MAX_FRAME_BYTES;
use berylpin_wire::state_delta::{decode_delta, encode_revisions};
use bytes::BytesMut;
use rand::Rng;
use rand::seq::IndexedRandom;
use slog::{debug, info};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// How long the store must be unreachable before peers are asked; a single failed call is retried
/// sooner.
const FETCH_DELAY: Duration = Duration::from_secs(1);

/// The minimum interval between two requests to peers; jitter lengthens it up to twofold.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// How long after a peer reports a newer version it is fetched; this daemon's own watch usually
/// returns it sooner.
const OWN_WATCH_TIME: Duration = Duration::from_millis(500);

/// The timeout for the head and for the body of an answer; the entries of all replicas of a large
/// fleet take less than 1 MB.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A peer's request for the configuration and entries that are newer than its revisions.
pub(in super::super) struct StateDeltaRequest {
    /// The revisions of the peer's state.
    pub(in super::super) known: StateRevisions,
    pub(in super::super) reply: oneshot::Sender<StateDelta>,
}

impl Control {
    /// Answers the requests of peers until their channel closes.
    pub(super) async fn serve_state_deltas(&self, mut requests: mpsc::Receiver<StateDeltaRequest>) {
        while let Some(StateDeltaRequest { known, reply }) = requests.recv().await {
            self.observe_peer_era(known.era);
            let delta = self.catalogue.borrow().delta_since(known);
            // An error means that the peer disconnected in the meantime.
            let _ = reply.send(delta);
        }
    }

    /// Fetches state from random peers while the store is unreachable; does not return.
    pub(super) async fn fetch_from_peers(&self) {
        loop {
            let delay = FETCH_INTERVAL.mul_f64(rand::rng().random_range(1.0..2.0));
            tokio::time::sleep(delay).await;
            if self.confirmation.get().unreachable_for(self.now()) < FETCH_DELAY {
                continue;
            }
            let Some(peer) = self.choose_peer() else { continue };
            let known = self.catalogue.borrow().revisions();
            match fetch_state_delta(peer, known).await {
                Ok(delta) => self.apply_state_delta(peer, delta),
                Err(e) => self.log_failed_fetch(peer, &e),
            }
        }
    }

    /// Takes the confirmations that peers report, and fetches newer versions of the configuration,
    /// because this daemon's watch may be on a connection that went silent; does not return.
    pub(super) async fn follow_peer_versions(&self, mut reports: mpsc::Receiver<PeerVersion>) {
        while let Some(report) = reports.recv().await {
            let PeerVersion { version, peer, .. } = report;
            self.record_peer_confirmation(&report);
            if !self.catalogue.borrow().is_older_than(version) {
                continue;
            }
            tokio::time::sleep(OWN_WATCH_TIME).await;
            let known = self.catalogue.borrow().revisions();
            if !self.catalogue.borrow().is_older_than(version) {
                continue;
            }
            let unconfirmed = self.confirmation.get().age(self.now());
            info!(self.shared.log, "control: peer has a newer configuration"; "peer" => %peer,
                "version" => version, "in_force" => known.version,
                "unconfirmed_ms" => unconfirmed.as_millis() as u64);
            match fetch_state_delta(peer, known.with_newest_entries()).await {
                Ok(delta) => self.apply_state_delta(peer, delta),
                Err(e) => self.log_failed_fetch(peer, &e),
            }
        }
        // The traffic thread has ended, and the process with it.
        std::future::pending::<()>().await;
    }

    /// Takes the confirmation of a peer that has the same configuration, and of its replicas if this
    /// daemon's are as new.
    fn record_peer_confirmation(&self, report: &PeerVersion) {
        let PeerVersion { version, replicas_position, confirmed_at, .. } = *report;
        let known = self.catalogue.borrow().revisions();
        let Some(at) = confirmed_at.filter(|_| known.version == Some(version)) else { return };
        if let Some(newest) = replicas_position {
            self.update_replicas_confirmation(|c| c.record_position(at, newest, known.replicas));
        }
        self.update_confirmation(|confirmation| confirmation.record_peer(at));
    }

    fn log_failed_fetch(&self, peer: SocketAddr, cause: &StreamError) {
        debug!(self.shared.log, "control: configuration and entries not fetched from peer";
            "peer" => %peer, "cause" => %cause);
    }

    /// Returns a random peer, or a random seed of the settings if no peer has an entry.
    fn choose_peer(&self) -> Option<SocketAddr> {
        let mut peers = self.catalogue.borrow().peer_addresses();
        if peers.is_empty() {
            peers.clone_from(&self.settings.borrow().seeds);
        }
        peers.choose(&mut rand::rng()).copied()
    }

    fn apply_state_delta(&self, peer: SocketAddr, delta: StateDelta) {
        self.observe_peer_era(delta.era);
        if self.catalogue.borrow_mut().apply_delta(delta, self.now()) {
            let revisions = self.catalogue.borrow().revisions();
            let (replicas, daemons) = (revisions.replicas, revisions.daemons);
            info!(self.shared.log, "control: newer configuration or entries of peer applied";
                "peer" => %peer, "version" => revisions.version,
                "replicas_at" => replicas.map(|at| at.revision),
                "daemons_at" => daemons.map(|at| at.revision), "era" => revisions.era.0);
            self.configuration_applied.notify_waiters();
            self.publish_view();
        }
    }
}

/// Fetches the state of a peer that is newer than the `known` revisions.
async fn fetch_state_delta(
    peer: SocketAddr,
    known: StateRevisions,
) -> Result<StateDelta, StreamError> {
    let (send_request, connection) = connect(peer).await?;
    let exchange = async {
        let mut send_request = timeout(CONNECT_TIMEOUT, send_request.ready()).await??;
        let (response, mut stream) =
            send_request.send_request(post_request(STATE_DELTA_URI), false)?;
        let mut buf = BytesMut::new();
        encode_revisions(&known, &mut buf);
        stream.send_data(buf.freeze(), true)?;
        let body = timeout(ANSWER_TIMEOUT, response).await??.into_body();
        let mut frames = timeout(ANSWER_TIMEOUT, read_frames(body, MAX_FRAME_BYTES)).await??;
        decode_delta(&mut frames)?.ok_or(StreamError::Incomplete)
    };
    tokio::select! {
        delta = exchange => delta,
        ended = connection => {
            ended?;
            Err(StreamError::Incomplete)
        }
    }
}
