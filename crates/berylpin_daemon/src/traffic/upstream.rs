//! Calls, cancellations and probes to upstreams over HTTP.

use super::connections::{Checkout, Connections, Purpose};
use super::mailbox::{Mail, Mailbox};
use berylpin_core::control::View;
use berylpin_core::ids::{QueryTag, ReplicaId};
use berylpin_core::message::FailReason;
use berylpin_core::replica::{Call, CallKey, CallResult, Probe, ProbeResult};
use berylpin_core::verdict::Verdict;
use berylpin_wire::upstream::{
    DEADLINE_MS, DRAINING, LookupReply, NOT_RUN, RANK, REQUEST_ID, SNAPSHOT,
};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use std::time::Duration;
use tokio::sync::oneshot;

/// Timeout of a probe or a cancellation.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call may run past its deadline before it times out; the core aborts the call much
/// earlier.
const CALL_GRACE: Duration = Duration::from_secs(5);

/// The maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// The requests in flight to the replicas that one thread owns.
pub(super) struct Upstreams {
    /// Receives the results.
    mailbox: Mailbox,
    connections: Connections,
    /// The calls in flight, sorted by key; each sender cancels its call.
    calls: Vec<(CallKey, oneshot::Sender<()>)>,
}

impl Upstreams {
    pub(super) fn new(mailbox: Mailbox) -> Self {
        Self { mailbox, connections: Connections::new(), calls: Vec::new() }
    }

    /// Closes the idle connections to replicas that this daemon does not own in the view.
    pub(super) fn apply_view(&mut self, view: &View) {
        self.collect_returned();
        self.connections.apply_view(view);
    }

    /// Starts a call; its result is sent to the mailbox.
    pub(super) fn call(&mut self, view: &View, call: Call) {
        self.collect_returned();
        let key = call.key;
        let checkout = self.connections.check_out(view, call.replica, Purpose::Call(key));
        let (cancel_tx, cancel_rx) = oneshot::channel();
        if checkout.is_some() {
            let index = self.calls.partition_point(|(other, _)| *other < key);
            self.calls.insert(index, (key, cancel_tx));
        }
        let url = replica_url(view, call.replica, "lookup");
        let mailbox = self.mailbox.clone();
        tokio::spawn(async move {
            let result = match checkout {
                Some(checkout) => run_call(checkout, url, call, cancel_rx).await,
                None => failed(Verdict::NotRun, FailReason::Overloaded),
            };
            mailbox.send(Mail::CallEnded(key, result)).await;
        });
    }

    /// Closes the idle connections of a replica; also cancels `call`, if given, and closes its
    /// connection.
    pub(super) fn reconnect(&mut self, replica: ReplicaId, call: Option<CallKey>) {
        self.collect_returned();
        self.connections.close_idle(replica);
        let Some(call) = call else { return };
        if let Ok(index) = self.calls.binary_search_by_key(&call, |(key, _)| *key) {
            // An error means that the call has already ended.
            let _ = self.calls.remove(index).1.send(());
        }
    }

    /// Cancels a request at the upstream; skipped if no connection is available.
    pub(super) fn abort(&mut self, view: &View, replica: ReplicaId, request: QueryTag) {
        self.collect_returned();
        let Some(checkout) =
            self.connections.check_out(view, replica, Purpose::ProbeOrCancellation)
        else {
            metrics::counter!("berylpin_aborts_skipped_total").increment(1);
            return;
        };
        let address = view.topology.replicas[replica].settings.address;
        let url = format!("http://{address}/v1/requests/{request}");
        // Not retried: a lost cancellation costs only the work that it would have saved.
        tokio::spawn(async move {
            let Some(client) = checkout.client() else { return };
            let result = client.delete(url).timeout(PROBE_TIMEOUT).send().await;
            if let Ok(response) = result
                && read_body(response).await.is_some()
            {
                checkout.release();
            }
        });
    }

    /// Starts a probe; its result is sent to the mailbox.
    pub(super) fn probe(&mut self, view: &View, probe: Probe) {
        self.collect_returned();
        let checkout =
            self.connections.check_out(view, probe.replica, Purpose::ProbeOrCancellation);
        let url = replica_url(view, probe.replica, "snapshots");
        let mailbox = self.mailbox.clone();
        tokio::spawn(async move {
            let result = match checkout {
                Some(checkout) => run_probe(checkout, url).await.unwrap_or(ProbeResult::Failed),
                None => ProbeResult::Failed,
            };
            mailbox.send(Mail::ProbeEnded(probe.replica, result)).await;
        });
    }

    /// Returns unused connections to their pools and removes the calls that have ended.
    fn collect_returned(&mut self) {
        let calls = &mut self.calls;
        self.connections.collect_returned(|ended| {
            if let Ok(index) = calls.binary_search_by_key(&ended, |(key, _)| *key) {
                calls.remove(index);
            }
        });
    }
}

fn replica_url(view: &View, replica: ReplicaId, action: &str) -> String {
    let replica = &view.topology.replicas[replica];
    let shard = &view.topology.shards[replica.shard];
    let service = &view.topology.services[shard.service].settings.name;
    format!("http://{}/v1/{service}/{}/{action}", replica.settings.address, shard.name)
}

async fn run_call(
    checkout: Checkout,
    url: String,
    call: Call,
    cancel_rx: oneshot::Receiver<()>,
) -> CallResult {
    let Some(request) = checkout.client().map(|client| lookup_request(client, url, call)) else {
        return failed(Verdict::NotRun, FailReason::Connection);
    };
    // Dropping an unfinished exchange closes its connection.
    let exchange = tokio::select! {
        exchange = send_lookup(request) => exchange,
        _ = cancel_rx => return failed(Verdict::MayHaveRun, FailReason::Connection),
    };
    if exchange.is_complete {
        checkout.release();
    }
    exchange.result
}

fn lookup_request(client: &Client, url: String, call: Call) -> RequestBuilder {
    client
        .post(url)
        .timeout(call.time_left + CALL_GRACE)
        .header(REQUEST_ID, call.request.to_string())
        .header(SNAPSHOT, call.snapshot.0)
        .header(RANK, call.rank.name())
        .header(DEADLINE_MS, call.time_left.as_millis() as u64)
        .body(call.body)
}

/// The outcome of one request on a connection.
struct Exchange {
    result: CallResult,
    /// Whether the reply was read to its end.
    is_complete: bool,
}

async fn send_lookup(request: RequestBuilder) -> Exchange {
    let response = match request.send().await {
        Ok(response) => response,
        Err(e) => return Exchange { result: request_failure(&e), is_complete: false },
    };
    let status = response.status();
    let not_run = response.headers().contains_key(NOT_RUN);
    let draining = response.headers().contains_key(DRAINING);
    let body = read_body(response).await;
    let is_complete = body.is_some();
    let result = match status {
        StatusCode::OK => body.map_or_else(
            || failed(Verdict::MayHaveRun, FailReason::Connection),
            |body| parse_reply(&body),
        ),
        StatusCode::GONE => failed(Verdict::NotRun, FailReason::SnapshotGone),
        StatusCode::SERVICE_UNAVAILABLE if not_run && draining => {
            failed(Verdict::NotRun, FailReason::Draining)
        }
        StatusCode::SERVICE_UNAVAILABLE if not_run => {
            failed(Verdict::NotRun, FailReason::Overloaded)
        }
        _ => failed(Verdict::MayHaveRun, FailReason::UpstreamError),
    };
    Exchange { result, is_complete }
}

fn parse_reply(body: &[u8]) -> CallResult {
    let reply = serde_json::from_slice::<LookupReply>(body).ok();
    let request = reply.as_ref().and_then(|r| u64::from_str_radix(&r.request, 16).ok());
    match (reply, request) {
        (Some(LookupReply { shard, snapshot, serves, rows, .. }), Some(request)) => {
            CallResult::Rows { request: QueryTag(request), shard, snapshot, serves, rows }
        }
        _ => failed(Verdict::MayHaveRun, FailReason::BadReply),
    }
}

/// Reads a body to its end; returns `None` if the connection fails or the body is too large.
async fn read_body(mut response: Response) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if body.len() + chunk.len() > MAX_REPLY_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body)
}

/// Returns the result of a request without a response.
///
/// Only a failed connection attempt proves that no byte of the request was sent. If a pooled
/// connection fails during a request, the upstream may have run it.
fn request_failure(e: &reqwest::Error) -> CallResult {
    let verdict = if e.is_connect() { Verdict::NotRun } else { Verdict::MayHaveRun };
    failed(verdict, FailReason::Connection)
}

fn failed(verdict: Verdict, reason: FailReason) -> CallResult {
    CallResult::Failed { verdict, reason }
}

async fn run_probe(checkout: Checkout, url: String) -> Option<ProbeResult> {
    let request = checkout.client()?.get(url).timeout(PROBE_TIMEOUT);
    let response = request.send().await.ok()?;
    let draining = response.headers().contains_key(DRAINING);
    let status = response.status();
    let body = read_body(response).await?;
    checkout.release();
    if draining {
        return Some(ProbeResult::Draining);
    }
    let range = serde_json::from_slice(&body).ok().filter(|_| status == StatusCode::OK)?;
    Some(ProbeResult::Serves(range))
}

#[cfg(test)]
mod tests;
