//! Readiness for the platform and metrics for its people.

use super::process::Shared;
use crate::metrics::metrics_page;
use berylpin_platform::{PlatformSettings, READY_PATH};
use poem::http::StatusCode;
use poem::listener::TcpListener;
use poem::{Endpoint, IntoEndpoint, Route, Server, get};
use slog::{info, warn};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

/// Where metrics are served; `deploy/system.toml` names it, too.
const METRICS_PORT: u16 = 9464;

/// What the status pages need.
pub(super) struct StatusContext {
    ready_address: SocketAddr,
    metrics_address: SocketAddr,
    shared: Shared,
}

impl StatusContext {
    pub(super) fn new(settings: &PlatformSettings, shared: &Shared) -> Self {
        Self {
            ready_address: settings.ready_address,
            metrics_address: SocketAddr::new(settings.ip, METRICS_PORT),
            shared: shared.clone(),
        }
    }
}

/// Serves readiness and metrics until the process ends.
pub(super) async fn serve_status(cx: StatusContext) {
    let shared = cx.shared.clone();
    let ready = poem::endpoint::make_sync(move |_| {
        let leaving = shared.leaving.load(Ordering::Relaxed);
        if !leaving && shared.view.borrow().is_some() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    });
    let ready = Route::new().at(READY_PATH, get(ready));
    let metrics = poem::endpoint::make_sync(|_| metrics_page());
    let metrics = Route::new().at("/metrics", get(metrics));
    tokio::join!(
        serve(cx.ready_address, ready, &cx.shared),
        serve(cx.metrics_address, metrics, &cx.shared)
    );
}

async fn serve<E>(address: SocketAddr, pages: E, shared: &Shared)
where
    E: IntoEndpoint,
    E::Endpoint: Endpoint + 'static,
{
    info!(shared.log, "daemon: serving status"; "address" => %address);
    if let Err(e) = Server::new(TcpListener::bind(address)).run(pages).await {
        warn!(shared.log, "daemon: status not served"; "address" => %address, "cause" => %e);
    }
}
