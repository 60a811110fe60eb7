//! The front end for operators and the load balancer.

mod change;
mod documents;
mod members;

use super::reply::json;
use crate::control::ControlMailbox;
use crate::logging::Log;
use crate::metrics::render_metrics;
use crate::platform::Platform;
use crate::settings::{DaemonSettings, Secret};
use berylpin_core::control::View;
use berylpin_wire::admin::{LogLevelBody, LogSampleBody, Problem};
use poem::http::StatusCode;
use poem::http::header::AUTHORIZATION;
use poem::web::{Data, Json};
use poem::{
    Endpoint, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler,
    post, put,
};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::watch;

/// State of the administration front end.
#[derive(Clone)]
pub(crate) struct AdminState {
    name: Arc<str>,
    token: Secret,
    view: watch::Receiver<Arc<View>>,
    /// Set once the view contains the other daemons, or after the join timeout; never cleared.
    joined: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    control: ControlMailbox,
    platform: Platform,
    log: Log,
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

impl AdminState {
    pub(crate) fn new(
        settings: &DaemonSettings,
        view: watch::Receiver<Arc<View>>,
        (joined, stopping): (Arc<AtomicBool>, Arc<AtomicBool>),
        control: ControlMailbox,
        log: Log,
    ) -> Self {
        Self {
            name: settings.name.as_str().into(),
            token: settings.admin_token.clone(),
            view,
            joined,
            stopping,
            control,
            platform: Platform::new(settings.platform, settings.peer_listen_address.ip()),
            log,
        }
    }

    /// Returns whether the daemon has a configuration, knows the other daemons and is not stopping.
    fn is_ready(&self) -> bool {
        let configured = !self.view.borrow().topology.services.is_empty();
        configured && self.joined.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }
}

/// Returns the routes for operators and the load balancer.
pub(crate) fn admin_routes(state: AdminState) -> impl IntoEndpoint {
    let token = state.token.clone();
    let operator_routes = Route::new()
        .at("/status", get(get_status))
        .at("/documents", get(documents::list_documents))
        .at(
            "/documents/:name",
            get(documents::get_document)
                .put(documents::put_document)
                .delete(documents::delete_document),
        )
        .at("/check", post(documents::check_document))
        .at("/drain", post(documents::drain_replica))
        .at("/revision/:revision", get(members::get_revision))
        .at("/members", get(members::list_members))
        .at("/routing/:target", get(members::get_routing))
        .at("/log", put(put_log_level))
        .at("/log/sample", put(put_log_sample))
        .around(move |routes, request| authenticate(token.clone(), routes, request));
    Route::new()
        .at("/live", get(get_live))
        .at("/ready", get(get_ready))
        .at("/metrics", get(get_metrics))
        .nest("/v1", operator_routes)
        .data(state)
}

/// Rejects requests without the operators' token.
async fn authenticate<E>(token: Secret, routes: Arc<E>, request: Request) -> poem::Result<Response>
where
    E: Endpoint,
{
    let bearer = request.header(AUTHORIZATION).and_then(|text| text.strip_prefix("Bearer "));
    if bearer.is_some_and(|bearer| token.matches(bearer.as_bytes())) {
        return routes.call(request).await.map(IntoResponse::into_response);
    }
    let message = "send `Authorization: Bearer TOKEN` with the daemon's admin_token";
    Ok(problem_response(StatusCode::UNAUTHORIZED, message))
}

/// Builds an error response that carries only a message.
fn problem_response<S>(status: StatusCode, message: S) -> Response
where
    S: Into<String>,
{
    json(status, &Problem { message: message.into() })
}

/// Builds an error response that a handler returns with `?`.
fn problem_error<S>(status: StatusCode, message: S) -> poem::Error
where
    S: Into<String>,
{
    poem::Error::from_response(problem_response(status, message))
}

/// Builds the response of a daemon whose control thread has ended.
fn stopping_response() -> Response {
    problem_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "the daemon is stopping; send the request to another daemon",
    )
}

#[handler]
fn get_live() -> Response {
    Response::builder().status(StatusCode::OK).body("live\n")
}

#[handler]
fn get_ready(state: Data<&AdminState>) -> Response {
    if state.is_ready() {
        return Response::builder().status(StatusCode::OK).body("ready\n");
    }
    Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).body("not ready\n")
}

#[handler]
fn get_metrics() -> Response {
    Response::builder().content_type("text/plain; version=0.0.4").body(render_metrics())
}

#[handler]
fn get_status(state: Data<&AdminState>) -> Response {
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

#[handler]
fn put_log_level(state: Data<&AdminState>, Json(body): Json<LogLevelBody>) -> Response {
    match state.log.levels().set(&body.part, &body.level) {
        Ok(()) => Response::builder().status(StatusCode::OK).finish(),
        Err(e) => problem_response(StatusCode::UNPROCESSABLE_ENTITY, e.to_string()),
    }
}

#[handler]
fn put_log_sample(state: Data<&AdminState>, Json(body): Json<LogSampleBody>) -> Response {
    state.log.levels().set_sample_divisor(body.queries);
    Response::builder().status(StatusCode::OK).finish()
}
