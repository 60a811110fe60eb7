//! The stand-in of one upstream: slots, connection set-up, snapshots, shedding, drain and counters.

use crate::checker::Origin;
use crate::http_server::HttpServer;
use crate::ledger::{Ledger, execute_route};
use berylpin_core::ids::{QueryTag, Snapshot};
use berylpin_core::message::SnapshotRange;
use berylpin_wire::upstream::{DRAINING, LookupReply, NOT_RUN, REQUEST_ID, SNAPSHOT};
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json, Path, RemoteAddr};
use poem::{Addr, EndpointExt, IntoResponse, Response, Route, delete, get, handler, post};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use serde::Deserialize;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

/// Standard deviation of the logarithm of service times.
const SERVICE_TIME_SIGMA: f64 = 0.3;

/// Maximum number of requests that run or wait for a slot, per slot.
const MAX_PENDING_PER_SLOT: usize = 4;

/// Factor on service times during a cold start.
const COLD_START_SLOWDOWN: f64 = 5.0;

/// How long after the start of a drain requests may still arrive.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(3);

/// The capacity and latency of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    /// Requests that run concurrently.
    pub slots: u16,
    /// Extra latency of the first request on a connection.
    pub connect_delay: Duration,
    /// Median service time.
    pub service_time: Duration,
    /// One-way network latency from a daemon.
    pub network_delay: Duration,
}

/// Faults injected into an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamFaults {
    /// Factor on service times.
    pub slowdown: f64,
    /// Lookups and executions fail immediately with status 500, as do the health and snapshot paths
    /// unless `lying`.
    pub dead: bool,
    /// The health and snapshot paths succeed even if `dead`, and the load path reports no load.
    pub lying: bool,
    /// New requests are refused with the headers of a draining upstream.
    pub draining: bool,
    /// Duration of a cold start, which begins when the faults are set.
    pub cold_start: Duration,
    /// The body of successful lookups.
    pub payload: Payload,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            dead: false,
            lying: false,
            draining: false,
            cold_start: Duration::ZERO,
            payload: Payload::Good,
        }
    }
}

/// The body that a successful lookup returns: correct, or corrupted in one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// The requested rows.
    #[default]
    Good,
    /// Truncated JSON.
    Malformed,
    /// The rows and the id of another request.
    CrossedRequest,
    /// The rows and the name of another shard.
    CrossedShard,
    /// The rows of another snapshot.
    WrongSnapshot,
}

/// Counters of the requests that an upstream handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Requests that ran to completion.
    pub ran: u64,
    /// Requests cancelled before completion.
    pub cancelled: u64,
    /// Requests that failed because the upstream was dead.
    pub failed: u64,
    /// Requests refused before execution.
    pub refused: u64,
    /// Total time that slots were held.
    pub busy: Duration,
    /// Requests that arrived more than the grace period after the start of a drain.
    pub after_drain: u64,
    /// When the last request arrived during a drain.
    pub last_drained_arrival: Option<Instant>,
}

/// A stand-in of an upstream; its HTTP server stops when it is dropped.
#[derive(Debug)]
pub struct Upstream {
    server: HttpServer,
    state: Arc<Shared>,
    ledger: Ledger,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) spec: UpstreamSpec,
    slots: Semaphore,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    serves: SnapshotRange,
    faults: UpstreamFaults,
    faults_since: Instant,
    /// When a drain began, by fault or by document.
    drain_since: Option<Instant>,
    work: WorkCounters,
    /// Numbers of the lookups that started, see [`lookup_number`].
    started_lookups: Vec<u64>,
    /// Requests that run or wait for a slot.
    pending: usize,
    /// Addresses of clients whose connection is set up.
    connections: HashSet<SocketAddr>,
    /// Ids of cancelled requests, until the requests end.
    cancelled: HashSet<String>,
    rng: SmallRng,
}

impl Upstream {
    /// Starts an upstream on a free loopback port; `seed` determines its service times.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listener.
    pub async fn start(spec: UpstreamSpec, serves: SnapshotRange, seed: u64) -> io::Result<Self> {
        let inner = Inner {
            serves,
            faults: UpstreamFaults::default(),
            faults_since: Instant::now(),
            drain_since: None,
            work: WorkCounters::default(),
            started_lookups: Vec::new(),
            pending: 0,
            connections: HashSet::new(),
            cancelled: HashSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let slots = Semaphore::new(spec.slots.into());
        let state = Arc::new(Shared { spec, slots, inner: Mutex::new(inner) });
        let ledger = Ledger::default();
        let routes = Route::new()
            .at("/v1/:service/:shard/lookup", post(lookup))
            .at("/v1/:service/:shard/execute", execute_route(ledger.clone()))
            .at("/v1/:service/:shard/snapshots", get(snapshots))
            .at("/v1/requests/:id", delete(cancel))
            .at("/v1/health", get(health))
            .at("/v1/load", get(load))
            .data(state.clone());
        Ok(Self { server: HttpServer::start(routes).await?, state, ledger })
    }

    /// Returns the address of the upstream's listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults and restarts the cold-start period.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        let mut inner = self.state.inner();
        inner.faults = faults;
        inner.faults_since = Instant::now();
    }

    /// Marks the start or end of a drain for the counters; only the `draining` fault refuses work.
    pub fn mark_drain(&self, draining: bool) {
        self.state.inner().drain_since = draining.then(Instant::now);
    }

    /// Replaces the range of served snapshots.
    pub fn set_snapshots(&self, serves: SnapshotRange) {
        self.state.inner().serves = serves;
    }

    /// Publishes the next snapshot and evicts the oldest.
    pub fn publish_snapshot(&self) {
        let serves = &mut self.state.inner().serves;
        serves.oldest.0 += 1;
        serves.newest.0 += 1;
    }

    /// Returns the record of executions.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the request counters.
    pub fn work(&self) -> WorkCounters {
        self.state.inner().work
    }

    /// Returns the numbers of the lookups that started, in the order of their starts.
    pub fn started_lookups(&self) -> Vec<u64> {
        self.state.inner().started_lookups.clone()
    }
}

impl Shared {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the refusal of an execution; `None` admits it.
    pub(crate) fn check_execution_admission(&self) -> Option<Response> {
        let newest = self.inner().serves.newest;
        self.check_admission(newest)
    }

    /// Returns the refusal of a request for a snapshot, `None` if it is admitted, and updates the
    /// work counters.
    fn check_admission(&self, snapshot: Snapshot) -> Option<Response> {
        let mut inner = self.inner();
        if let Some(since) = inner.drain_since {
            inner.work.last_drained_arrival = Some(Instant::now());
            inner.work.after_drain += u64::from(since.elapsed() > DRAIN_GRACE_PERIOD);
        }
        if inner.faults.dead {
            inner.work.failed += 1;
            return Some(StatusCode::INTERNAL_SERVER_ERROR.into_response());
        }
        let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
        response.headers_mut().insert(NOT_RUN, 1.into());
        if inner.faults.draining {
            response.headers_mut().insert(DRAINING, 1.into());
        } else if !inner.serves.contains(snapshot) {
            response.set_status(StatusCode::GONE);
        } else if inner.pending < MAX_PENDING_PER_SLOT * usize::from(self.spec.slots) {
            return None;
        }
        inner.work.refused += 1;
        Some(response)
    }

    /// Returns the set-up latency of a connection: zero except for its first request.
    pub(crate) fn connection_delay(&self, peer: &Addr) -> Duration {
        let new = peer.as_socket_addr().is_some_and(|peer| self.inner().connections.insert(*peer));
        if new { self.spec.connect_delay } else { Duration::ZERO }
    }

    fn service_time(&self) -> Duration {
        let mut inner = self.inner();
        let cold = inner.faults_since.elapsed() < inner.faults.cold_start;
        let slowdown = inner.faults.slowdown * if cold { COLD_START_SLOWDOWN } else { 1.0 };
        let median = self.spec.service_time.as_secs_f64() * slowdown;
        let seconds = LogNormal::new(median.ln(), SERVICE_TIME_SIGMA)
            .map_or(median, |distribution| distribution.sample(&mut inner.rng));
        Duration::from_secs_f64(seconds)
    }

    /// Holds a slot for the service time; returns `false` if the request was cancelled.
    pub(crate) async fn run(&self, request_id: &str, body: &str) -> bool {
        self.inner().pending += 1;
        let permit = self.slots.acquire().await;
        let start = Instant::now();
        if !self.inner().cancelled.contains(request_id) {
            self.inner().started_lookups.extend(lookup_number(body));
        }
        let service_time = self.service_time();
        let mut remaining = service_time;
        // Cancellation is checked between steps.
        let step = service_time / 8;
        while !remaining.is_zero() && !self.inner().cancelled.contains(request_id) {
            sleep(step.min(remaining)).await;
            remaining = remaining.saturating_sub(step);
        }
        drop(permit);
        let mut inner = self.inner();
        inner.pending -= 1;
        inner.work.busy += start.elapsed();
        let cancelled = inner.cancelled.remove(request_id);
        if cancelled {
            inner.work.cancelled += 1;
        } else {
            inner.work.ran += 1;
        }
        !cancelled
    }
}

pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Returns the text of the lookup with a number.
pub fn lookup_text(number: u64) -> String {
    format!("account-{number}")
}

/// Returns the number of a lookup; `None` for a text not made by [`lookup_text`].
pub fn lookup_number(text: &str) -> Option<u64> {
    text.strip_prefix("account-")?.parse().ok()
}

/// Builds the response to a lookup, corrupted according to `payload`.
fn reply(
    payload: Payload,
    mut request: String,
    serves: SnapshotRange,
    mut origin: Origin,
) -> Response {
    match payload {
        Payload::Good => {}
        Payload::Malformed => return "{\"request\": \"".into_response(),
        Payload::CrossedRequest => {
            request = QueryTag(0).to_string();
            origin.lookup = lookup_text(0);
        }
        Payload::CrossedShard => origin.shard.1.push_str("-other"),
        Payload::WrongSnapshot => origin.snapshot.0 -= 1,
    }
    let (shard, snapshot) = (origin.shard.1.clone(), origin.snapshot);
    Json(LookupReply { request, shard, snapshot, serves, rows: vec![origin.row()] }).into_response()
}

#[handler]
async fn lookup(
    state: Data<&Arc<Shared>>,
    Path((service, shard)): Path<(String, String)>,
    peer: &RemoteAddr,
    headers: &HeaderMap,
    body: String,
) -> Response {
    let request = header(headers, REQUEST_ID).to_owned();
    let Ok(snapshot) = header(headers, SNAPSHOT).parse().map(Snapshot) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    sleep(state.spec.network_delay + state.connection_delay(&peer.0)).await;
    if let Some(response) = state.check_admission(snapshot) {
        return response;
    }
    let ran = state.run(&request, &body).await;
    sleep(state.spec.network_delay).await;
    if !ran {
        return StatusCode::CONFLICT.into_response();
    }
    let origin = Origin { lookup: body, shard: (service, shard), snapshot };
    let (payload, serves) = {
        let inner = state.inner();
        (inner.faults.payload, inner.serves)
    };
    reply(payload, request, serves, origin)
}

/// Returns the error of the health and snapshot paths if the upstream is dead and not lying.
fn reported_error(state: &Shared) -> Option<Response> {
    let faults = state.inner().faults;
    (faults.dead && !faults.lying).then(|| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

#[handler]
async fn snapshots(state: Data<&Arc<Shared>>) -> Response {
    sleep(state.spec.network_delay * 2).await;
    reported_error(&state).unwrap_or_else(|| Json(state.inner().serves).into_response())
}

#[handler]
fn health(state: Data<&Arc<Shared>>) -> Response {
    reported_error(&state).unwrap_or_else(|| StatusCode::OK.into_response())
}

#[handler]
fn load(state: Data<&Arc<Shared>>) -> Response {
    let inner = state.inner();
    let pending = if inner.faults.lying { 0 } else { inner.pending };
    Json(pending).into_response()
}

#[handler]
async fn cancel(state: Data<&Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    sleep(state.spec.network_delay).await;
    let mut inner = state.inner();
    if inner.pending > 0 {
        inner.cancelled.insert(id);
    }
    StatusCode::NO_CONTENT
}

#[cfg(test)]
mod tests;
