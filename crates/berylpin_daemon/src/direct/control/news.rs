//! News of the store between daemons, for those that cannot reach it.

use super::super::streams::{
    CONNECT_TIMEOUT, NEWS_PATH, StreamError, connect, framed, post, read_value,
};
use super::Control;
use berylpin_core::direct::{StateDelta, StateRevisions};
use berylpin_wire::frame::MAX_FRAME_BYTES;
use rand::Rng;
use rand::seq::IndexedRandom;
use slog::{debug, info};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// How long the store may be away before other daemons are asked; a single lost call is made again sooner.
const ASK_AFTER: Duration = Duration::from_secs(1);

/// The pause between two questions, up to doubled at random.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// How long an answer may take; all replicas of a large fleet are under a megabyte.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A question of another daemon.
pub(in super::super) struct NewsRequest {
    /// How far the other daemon's knowledge goes.
    pub(in super::super) progress: StateRevisions,
    pub(in super::super) reply: oneshot::Sender<StateDelta>,
}

impl Control {
    /// Answers other daemons.
    pub(super) async fn answer_peers(&self, mut requests: mpsc::Receiver<NewsRequest>) {
        while let Some(NewsRequest { progress, reply }) = requests.recv().await {
            let news = self.catalogue.borrow().delta_since(progress);
            // An error means that the other daemon went away just now.
            let _ = reply.send(news);
        }
    }

    /// Asks other daemons, one at a time, while the store cannot be reached.
    pub(super) async fn ask_peers(&self) {
        loop {
            let pause = ASK_PAUSE.mul_f64(rand::rng().random_range(1.0..2.0));
            tokio::time::sleep(pause).await;
            let lost = self
                .lost_since
                .get()
                .is_some_and(|at| self.now().saturating_duration_since(at) >= ASK_AFTER);
            if !lost {
                continue;
            }
            let Some(peer) = self.any_peer() else { continue };
            let progress = self.catalogue.borrow().revisions();
            match fetch_news(peer, progress).await {
                Ok(news) => self.take_news(peer, news),
                Err(e) => {
                    debug!(self.shared.log, "control: no news of a peer"; "peer" => %peer,
                        "cause" => %e);
                }
            }
        }
    }

    /// Returns another daemon, of those that the settings name if no entry is known.
    fn any_peer(&self) -> Option<SocketAddr> {
        let mut peers = self.catalogue.borrow().peer_addresses();
        if peers.is_empty() {
            peers.clone_from(&self.settings.borrow().seeds);
        }
        peers.choose(&mut rand::rng()).copied()
    }

    fn take_news(&self, peer: SocketAddr, news: StateDelta) {
        if self.catalogue.borrow_mut().apply_delta(news, self.now()) {
            let progress = self.catalogue.borrow().revisions();
            info!(self.shared.log, "control: news of a peer taken"; "peer" => %peer,
                "version" => progress.version, "replicas_at" => progress.replicas,
                "daemons_at" => progress.daemons);
            self.publish();
        }
    }
}

/// Asks another daemon for what it knows beyond `progress`.
async fn fetch_news(peer: SocketAddr, progress: StateRevisions) -> Result<StateDelta, StreamError> {
    let (requests, connection) = connect(peer).await?;
    let exchange = async {
        let mut requests = timeout(CONNECT_TIMEOUT, requests.ready()).await??;
        let (response, mut stream) = requests.send_request(post(NEWS_PATH), false)?;
        stream.send_data(framed(&progress), true)?;
        let body = timeout(ANSWER_TIMEOUT, response).await??.into_body();
        timeout(ANSWER_TIMEOUT, read_value(body, MAX_FRAME_BYTES)).await?
    };
    tokio::select! {
        news = exchange => news,
        ended = connection => {
            ended?;
            Err(StreamError::Incomplete)
        }
    }
}
