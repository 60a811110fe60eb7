//! News of the store between daemons, for those that cannot reach it.

use super::super::streams::{
    CONNECT_TIMEOUT, STATE_DELTA_PATH, StreamError, connect, encode_frame, post_request, read_value,
};
use super::Control;
use berylpin_core::direct::{StateDelta, StateRevisions};
use berylpin_wire::frame::FRAME_LIMIT;
use rand::Rng;
use rand::seq::IndexedRandom;
use slog::{debug, info};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// How long the store may be away before other daemons are asked; a single lost call is made again sooner.
const FETCH_DELAY: Duration = Duration::from_secs(1);

/// The pause between two questions, up to doubled at random.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// How long an answer may take; all replicas of a large fleet are under a megabyte.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A question of another daemon.
pub(in super::super) struct StateDeltaRequest {
    /// How far the other daemon's knowledge goes.
    pub(in super::super) known: StateRevisions,
    pub(in super::super) reply: oneshot::Sender<StateDelta>,
}

impl Control {
    /// Answers other daemons.
    pub(super) async fn serve_state_deltas(&self, mut requests: mpsc::Receiver<StateDeltaRequest>) {
        while let Some(StateDeltaRequest { known, reply }) = requests.recv().await {
            let delta = self.catalogue.borrow().delta_since(known);
            // An error means that the other daemon went away just now.
            let _ = reply.send(delta);
        }
    }

    /// Asks other daemons, one at a time, while the store cannot be reached.
    pub(super) async fn fetch_from_peers(&self) {
        loop {
            let delay = FETCH_INTERVAL.mul_f64(rand::rng().random_range(1.0..2.0));
            tokio::time::sleep(delay).await;
            let unreachable = self
                .unreachable_since
                .get()
                .is_some_and(|at| self.now().saturating_duration_since(at) >= FETCH_DELAY);
            if !unreachable {
                continue;
            }
            let Some(peer) = self.choose_peer() else { continue };
            let known = self.catalogue.borrow().revisions();
            match fetch_state_delta(peer, known).await {
                Ok(delta) => self.apply_state_delta(peer, delta),
                Err(e) => {
                    debug!(self.shared.log, "control: no news of a peer"; "peer" => %peer,
                        "cause" => %e);
                }
            }
        }
    }

    /// Returns another daemon, of those that the settings name if no entry is known.
    fn choose_peer(&self) -> Option<SocketAddr> {
        let mut peers = self.catalogue.borrow().peer_addresses();
        if peers.is_empty() {
            peers.clone_from(&self.settings.borrow().seeds);
        }
        peers.choose(&mut rand::rng()).copied()
    }

    fn apply_state_delta(&self, peer: SocketAddr, delta: StateDelta) {
        if self.catalogue.borrow_mut().apply_delta(delta, self.now()) {
            let revisions = self.catalogue.borrow().revisions();
            info!(self.shared.log, "control: news of a peer taken"; "peer" => %peer,
                "version" => revisions.version, "replicas_at" => revisions.replicas,
                "daemons_at" => revisions.daemons);
            self.publish_view();
        }
    }
}

/// Asks another daemon for what it knows beyond `progress`.
async fn fetch_state_delta(
    peer: SocketAddr,
    known: StateRevisions,
) -> Result<StateDelta, StreamError> {
    let (requests, connection) = connect(peer).await?;
    let exchange = async {
        let mut requests = timeout(CONNECT_TIMEOUT, requests.ready()).await??;
        let (response, mut stream) =
            requests.send_request(post_request(STATE_DELTA_PATH), false)?;
        stream.send_data(encode_frame(&known), true)?;
        let body = timeout(ANSWER_TIMEOUT, response).await??.into_body();
        timeout(ANSWER_TIMEOUT, read_value(body, FRAME_LIMIT)).await?
    };
    tokio::select! {
        delta = exchange => delta,
        ended = connection => {
            ended?;
            Err(StreamError::Incomplete)
        }
    }
}
