//! One replica: slots, connection set-up cost, snapshots, shedding, drain and a record of its work.

use crate::ledger::{Ledger, execute_route};
use crate::service::HttpService;
use berylpin_core::ids::Snapshot;
use berylpin_core::message::{Row, SnapshotRange};
use berylpin_wire::upstream::{DRAINING, LookupReply, NOT_RUN, REQUEST_ID, SNAPSHOT};
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json, Path, RemoteAddr};
use poem::{Addr, EndpointExt, IntoResponse, Response, Route, delete, get, handler, post};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// Spread of service times: the standard deviation of their logarithm.
const SERVICE_SIGMA: f64 = 0.3;

/// Requests that may wait at a replica, as a multiple of its slots.
const QUEUE_PER_SLOT: usize = 4;

/// The size and speed of a replica.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamShape {
    /// Requests that run at once.
    pub slots: u16,
    /// What the first request on a connection costs.
    pub connect_cost: Duration,
    /// The median service time.
    pub service_time: Duration,
    /// Time on the network from an entry VM, one way.
    pub network_delay: Duration,
}

/// What goes wrong at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamFaults {
    /// Service times are this many times longer.
    pub slowdown: f64,
    /// Every request fails at once.
    pub dead: bool,
    /// New work is refused as documented.
    pub draining: bool,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self { slowdown: 1.0, dead: false, draining: false }
    }
}

/// What a replica did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Requests that ran to their end.
    pub ran: u64,
    /// Requests that were cancelled while they ran.
    pub cancelled: u64,
    /// Requests refused before execution.
    pub refused: u64,
}

/// A replica's stand-in.
#[derive(Debug)]
pub struct Upstream {
    service: HttpService,
    state: Arc<Shared>,
    ledger: Ledger,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) shape: UpstreamShape,
    slots: Semaphore,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    serves: SnapshotRange,
    faults: UpstreamFaults,
    work: Work,
    waiting: usize,
    /// Peers whose connection is set up.
    connections: HashSet<SocketAddr>,
    /// Requests in progress that were cancelled.
    cancelled: HashSet<String>,
    rng: SmallRng,
}

impl Upstream {
    /// Starts a replica; `seed` drives its service times.
    ///
    /// # Errors
    ///
    /// Returns why it cannot listen.
    pub async fn start(shape: UpstreamShape, serves: SnapshotRange, seed: u64) -> io::Result<Self> {
        let inner = Inner {
            serves,
            faults: UpstreamFaults::default(),
            work: Work::default(),
            waiting: 0,
            connections: HashSet::new(),
            cancelled: HashSet::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let slots = Semaphore::new(shape.slots.into());
        let state = Arc::new(Shared { shape, slots, inner: Mutex::new(inner) });
        let ledger = Ledger::default();
        let routes = Route::new()
            .at("/v1/:service/:shard/lookup", post(lookup))
            .at("/v1/:service/:shard/execute", execute_route(ledger.clone()))
            .at("/v1/:service/:shard/snapshots", get(snapshots))
            .at("/v1/requests/:id", delete(cancel))
            .data(state.clone());
        Ok(Self { service: HttpService::start(routes).await?, state, ledger })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.service.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.state.inner().faults = faults;
    }

    /// Replaces the snapshots that it serves.
    pub fn set_snapshots(&self, serves: SnapshotRange) {
        self.state.inner().serves = serves;
    }

    /// Returns the record of its executions.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns what it did.
    pub fn work(&self) -> Work {
        self.state.inner().work
    }
}

impl Shared {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns why an execution is refused, if it is.
    pub(crate) fn execution_refusal(&self) -> Option<Response> {
        let newest = self.inner().serves.newest;
        self.refusal(newest)
    }

    /// Returns why a lookup is refused, if it is.
    fn refusal(&self, snapshot: Snapshot) -> Option<Response> {
        let mut inner = self.inner();
        if inner.faults.dead {
            return Some(StatusCode::INTERNAL_SERVER_ERROR.into_response());
        }
        let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
        response.headers_mut().insert(NOT_RUN, 1.into());
        if inner.faults.draining {
            response.headers_mut().insert(DRAINING, 1.into());
        } else if !inner.serves.contains(snapshot) {
            response.set_status(StatusCode::GONE);
        } else if inner.waiting < QUEUE_PER_SLOT * usize::from(self.shape.slots) {
            return None;
        }
        inner.work.refused += 1;
        Some(response)
    }

    /// Returns what the first request on a connection has to wait for it.
    pub(crate) fn connection_cost(&self, peer: &Addr) -> Duration {
        let new = peer.as_socket_addr().is_some_and(|peer| self.inner().connections.insert(*peer));
        if new { self.shape.connect_cost } else { Duration::ZERO }
    }

    fn service_time(&self) -> Duration {
        let mut inner = self.inner();
        let median = self.shape.service_time.as_secs_f64() * inner.faults.slowdown;
        let seconds = LogNormal::new(median.ln(), SERVICE_SIGMA)
            .map_or(median, |distribution| distribution.sample(&mut inner.rng));
        Duration::from_secs_f64(seconds)
    }

    /// Holds a slot for the service time and returns whether the request ran to its end.
    pub(crate) async fn run(&self, request: &str) -> bool {
        self.inner().waiting += 1;
        let permit = self.slots.acquire().await;
        let service_time = self.service_time();
        let mut left = service_time;
        // Cancellation takes effect between steps of the work.
        let step = service_time / 8;
        while !left.is_zero() && !self.inner().cancelled.contains(request) {
            sleep(step.min(left)).await;
            left = left.saturating_sub(step);
        }
        drop(permit);
        let mut inner = self.inner();
        inner.waiting -= 1;
        let cancelled = inner.cancelled.remove(request);
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

/// Rows of a shard: the same for the same question and snapshot.
fn rows(service: &str, shard: &str, snapshot: Snapshot, question: &str) -> Vec<Row> {
    let key = format!("{question}/{service}/{shard}");
    vec![Row { key, value: format!("balance at {snapshot}") }]
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
    sleep(state.shape.network_delay + state.connection_cost(&peer.0)).await;
    if let Some(response) = state.refusal(snapshot) {
        return response;
    }
    let ran = state.run(&request).await;
    sleep(state.shape.network_delay).await;
    if !ran {
        return StatusCode::CONFLICT.into_response();
    }
    let rows = rows(&service, &shard, snapshot, &body);
    let serves = state.inner().serves;
    Json(LookupReply { request, shard, snapshot, serves, rows }).into_response()
}

#[handler]
async fn snapshots(state: Data<&Arc<Shared>>) -> Response {
    sleep(state.shape.network_delay * 2).await;
    Json(state.inner().serves).into_response()
}

#[handler]
async fn cancel(state: Data<&Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    sleep(state.shape.network_delay).await;
    let mut inner = state.inner();
    if inner.waiting > 0 {
        inner.cancelled.insert(id);
    }
    StatusCode::NO_CONTENT
}
