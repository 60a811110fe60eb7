//! The executions of non-idempotent requests at an upstream.

use crate::upstream::{Shared, header};
use berylpin_wire::upstream::{ExecuteReply, IDEMPOTENCY_KEY, NOT_RUN, REQUEST_ID};
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json, Path, RemoteAddr};
use poem::{Endpoint, EndpointExt, IntoResponse, Response, handler, post};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::sleep;

/// One completed execution.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LedgerEntry {
    /// The idempotency key.
    pub key: String,
    /// The request id of the attempt.
    pub request: String,
    /// The request body.
    pub body: String,
}

/// The executions of an upstream and its execution faults; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: Vec<LedgerEntry>,
    lose_replies: bool,
    refuse: bool,
}

impl Ledger {
    /// Returns all executions in order of completion.
    pub fn entries(&self) -> Vec<LedgerEntry> {
        self.inner().entries.clone()
    }

    /// Returns the number of executions with a key.
    pub fn runs(&self, key: &str) -> usize {
        self.inner().entries.iter().filter(|entry| entry.key == key).count()
    }

    /// Sets whether completed executions are answered with an error status.
    pub fn set_lose_replies(&self, lose_replies: bool) {
        self.inner().lose_replies = lose_replies;
    }

    /// Sets whether executions are refused as not run, as by an overloaded upstream.
    pub fn set_refuse(&self, refuse: bool) {
        self.inner().refuse = refuse;
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the endpoint that runs executions and records them in a ledger.
pub(crate) fn execute_route(ledger: Ledger) -> impl Endpoint {
    post(execute).data(ledger)
}

#[handler]
async fn execute(
    state: Data<&Arc<Shared>>,
    ledger: Data<&Ledger>,
    Path((_service, shard)): Path<(String, String)>,
    peer: &RemoteAddr,
    headers: &HeaderMap,
    body: String,
) -> Response {
    let request = header(headers, REQUEST_ID).to_owned();
    let key = header(headers, IDEMPOTENCY_KEY).to_owned();
    sleep(state.spec.network_delay + state.connection_delay(&peer.0)).await;
    if let Some(response) = state.check_execution_admission() {
        return response;
    }
    if ledger.inner().refuse {
        return StatusCode::SERVICE_UNAVAILABLE.with_header(NOT_RUN, 1).into_response();
    }
    let entry = LedgerEntry { key, request: request.clone(), body: body.clone() };
    let (upstream, executions) = (state.clone(), ledger.clone());
    // Runs in its own task, so that an execution completes even if its client disconnects.
    let run = tokio::spawn(async move {
        let ran = upstream.run(&entry.request, &entry.body).await;
        if ran {
            executions.inner().entries.push(entry);
        }
        ran
    });
    let ran = run.await.unwrap_or(false);
    sleep(state.spec.network_delay).await;
    if !ran || ledger.inner().lose_replies {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let result = format!("executed: {body}");
    Json(ExecuteReply { request, shard, result }).into_response()
}
