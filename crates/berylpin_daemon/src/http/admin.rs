//! The front end of operators and the balancer.

use super::reply::json;
use crate::metrics::metrics_page;
use berylpin_core::control::View;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{EndpointExt, IntoEndpoint, Response, Route, get, handler};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;

/// What the front end needs.
#[derive(Clone)]
pub(crate) struct AdminState {
    pub(crate) name: Arc<str>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) stopping: Arc<AtomicBool>,
}

/// Body of `GET /v1/status`.
#[derive(Serialize)]
struct StatusBody {
    name: Arc<str>,
    epoch: u64,
    ready: bool,
    live_members: usize,
    services: usize,
    owned_replicas: usize,
}

/// Returns the routes of operators and the balancer.
pub(crate) fn admin_routes(state: AdminState) -> impl IntoEndpoint {
    Route::new()
        .at("/live", get(live))
        .at("/ready", get(ready))
        .at("/metrics", get(metrics))
        .at("/v1/status", get(status))
        .data(state)
}

impl AdminState {
    /// A daemon without any configuration is not ready, nor is one that stops.
    fn is_ready(&self) -> bool {
        let configured = !self.view.borrow().topology.services.is_empty();
        configured && !self.stopping.load(Ordering::Relaxed)
    }
}

#[handler]
fn live() -> Response {
    Response::builder().status(StatusCode::OK).body("live\n")
}

#[handler]
fn ready(state: Data<&AdminState>) -> Response {
    if state.is_ready() {
        return Response::builder().status(StatusCode::OK).body("ready\n");
    }
    Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n")
}

#[handler]
fn metrics() -> Response {
    Response::builder().content_type("text/plain; version=0.0.4").body(metrics_page())
}

#[handler]
fn status(state: Data<&AdminState>) -> Response {
    let view = state.view.borrow().clone();
    let services = view.topology.services.iter().filter(|(_, s)| !s.shards.is_empty());
    let body = StatusBody {
        name: state.name.clone(),
        epoch: view.epoch,
        ready: state.is_ready(),
        live_members: view.members.iter().filter(|(_, member)| member.live).count(),
        services: services.count(),
        owned_replicas: view.owners.iter().filter(|(_, owner)| **owner == Some(view.own)).count(),
    };
    json(StatusCode::OK, &body)
}
