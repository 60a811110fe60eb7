//! HTTP endpoints for the readiness of the daemon and its metrics.

use super::process::Shared;
use crate::daemon::StartError;
use crate::logging::Log;
use crate::metrics::{render_metrics, run_metrics_upkeep};
use crate::sockets::{BackoffAcceptor, Socket};
use berylpin_platform::{PlatformSettings, READY_PATH};
use poem::http::StatusCode;
use poem::{Endpoint, IntoEndpoint, Route, Server, get};
use slog::warn;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// The port of the metrics endpoint; also set in `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;

/// The interval at which samples are aggregated; those of one second take a few KB.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The sockets of the endpoints and the state that they report.
pub(super) struct StatusContext {
    ready: Socket,
    /// `None` if the port is in use; the daemon then runs without the endpoint.
    metrics: Option<Socket>,
    shared: Shared,
}

impl StatusContext {
    pub(super) fn bind(settings: &PlatformSettings, shared: &Shared) -> Result<Self, StartError> {
        let ready = Socket::bind("ready_address", settings.ready_address)?;
        let metrics = bind_metrics(settings);
        Ok(Self { ready, metrics: optional(metrics, shared), shared: shared.clone() })
    }

    /// Starts to listen; must be called within the runtime that serves the endpoints.
    pub(super) fn listen(self) -> Result<StatusListeners, StartError> {
        let metrics = self.metrics.and_then(|socket| optional(socket.listen(), &self.shared));
        Ok(StatusListeners { ready: self.ready.listen()?, metrics, shared: self.shared })
    }
}

/// Binds the address of the metrics endpoint, unless it is another address of this daemon, which
/// would then share its callers with the endpoint.
fn bind_metrics(settings: &PlatformSettings) -> Result<Socket, StartError> {
    let address = SocketAddr::new(settings.ip, METRICS_PORT);
    let peer_address = (settings.ip, settings.peer_ports.0).into();
    if [settings.caller_address, settings.ready_address, peer_address].contains(&address) {
        let source = io::ErrorKind::AddrInUse.into();
        return Err(StartError::Listen { name: "metrics", address, source });
    }
    Socket::bind("metrics", address)
}

/// Logs why the metrics endpoint is not served; the daemon runs without it.
fn optional<T>(metrics: Result<T, StartError>, shared: &Shared) -> Option<T> {
    let log_failure = |e: &StartError| {
        warn!(shared.log, "daemon: metrics not served"; "cause" => %e);
    };
    metrics.inspect_err(log_failure).ok()
}

/// The listeners of the endpoints and the state that they report.
pub(super) struct StatusListeners {
    ready: TcpListener,
    metrics: Option<TcpListener>,
    shared: Shared,
}

/// Serves readiness and metrics until the task is dropped.
pub(super) async fn serve_status(cx: StatusListeners) {
    let shared = cx.shared.clone();
    let ready = poem::endpoint::make_sync(move |_| {
        if shared.stop.borrow().is_none() && shared.view.borrow().is_some() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    });
    let ready = Route::new().at(READY_PATH, get(ready));
    let metrics = poem::endpoint::make_sync(|_| render_metrics());
    let metrics = Route::new().at("/metrics", get(metrics));
    let log = &cx.shared.log;
    let metrics = async {
        if let Some(listener) = cx.metrics {
            serve(listener, metrics, log).await;
        }
    };
    let upkeep = async {
        loop {
            tokio::time::sleep(METRICS_UPKEEP_INTERVAL).await;
            run_metrics_upkeep();
        }
    };
    tokio::join!(serve(cx.ready, ready, log), metrics, upkeep);
}

async fn serve<E>(listener: TcpListener, routes: E, log: &Log)
where
    E: IntoEndpoint,
    E::Endpoint: Endpoint + 'static,
{
    let served = async {
        let acceptor = BackoffAcceptor::new(listener)?;
        Server::new_with_acceptor(acceptor).run(routes).await?;
        Ok::<_, io::Error>(())
    };
    if let Err(e) = served.await {
        warn!(log, "daemon: status endpoint failed"; "cause" => %e);
    }
}
