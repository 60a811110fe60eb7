//! Calls to upstreams over HTTP.

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

/// How long a probe or a cancellation may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call may go on past its deadline; the core gives it up long before.
const CALL_GRACE: Duration = Duration::from_secs(5);

/// The largest reply that is read, in bytes.
const REPLY_LIMIT: usize = 16 * 1024 * 1024;

/// The upstreams of the replicas that one thread owns.
pub(super) struct Upstreams {
    own: Mailbox,
    connections: Connections,
    /// Sorted by key; holds the calls in progress.
    calls: Vec<(CallKey, oneshot::Sender<()>)>,
}

impl Upstreams {
    pub(super) fn new(own: Mailbox) -> Self {
        Self { own, connections: Connections::new(), calls: Vec::new() }
    }

    /// Closes the connections to replicas that are not owned here any more.
    pub(super) fn retain(&mut self, view: &View) {
        self.collect();
        self.connections.apply_view(view);
    }

    /// Starts a call; its result comes as mail.
    pub(super) fn call(&mut self, view: &View, call: Call) {
        self.collect();
        let key = call.key;
        let checkout = self.connections.check_out(view, call.replica, Purpose::Call(key));
        let (stop, stopped) = oneshot::channel();
        if checkout.is_some() {
            let at = self.calls.partition_point(|(other, _)| *other < key);
            self.calls.insert(at, (key, stop));
        }
        let url = url(view, call.replica, "lookup");
        let own = self.own.clone();
        tokio::spawn(async move {
            let result = match checkout {
                Some(checkout) => run_call(checkout, url, call, stopped).await,
                None => failed(Verdict::NotRun, FailReason::Overloaded),
            };
            own.send(Mail::CallEnded(key, result)).await;
        });
    }

    /// Closes the idle connections of a replica, and ends a call with its connection.
    pub(super) fn reconnect(&mut self, replica: ReplicaId, call: Option<CallKey>) {
        self.collect();
        self.connections.close_idle(replica);
        let Some(call) = call else { return };
        if let Ok(at) = self.calls.binary_search_by_key(&call, |(key, _)| *key) {
            // An error means that the call has just ended by itself.
            let _ = self.calls.remove(at).1.send(());
        }
    }

    /// Tells an upstream that the result of a request is not needed.
    pub(super) fn abort(&mut self, view: &View, replica: ReplicaId, request: QueryTag) {
        self.collect();
        let Some(checkout) = self.connections.check_out(view, replica, Purpose::Other) else {
            metrics::counter!("berylpin_aborts_skipped_total").increment(1);
            return;
        };
        let address = view.topology.replicas[replica].settings.address;
        let url = format!("http://{address}/v1/requests/{request}");
        // A cancellation that is lost costs only the work it would have saved.
        tokio::spawn(async move {
            let Some(client) = checkout.client() else { return };
            let sent = client.delete(url).timeout(PROBE_TIMEOUT).send().await;
            if let Ok(response) = sent
                && read_body(response).await.is_some()
            {
                checkout.release();
            }
        });
    }

    /// Starts a probe; its result comes as mail.
    pub(super) fn probe(&mut self, view: &View, probe: Probe) {
        self.collect();
        let checkout = self.connections.check_out(view, probe.replica, Purpose::Other);
        let url = url(view, probe.replica, "snapshots");
        let own = self.own.clone();
        tokio::spawn(async move {
            let result = match checkout {
                Some(checkout) => run_probe(checkout, url).await.unwrap_or(ProbeResult::Failed),
                None => ProbeResult::Failed,
            };
            own.send(Mail::ProbeEnded(probe.replica, result)).await;
        });
    }

    fn collect(&mut self) {
        let calls = &mut self.calls;
        self.connections.collect_returned(|ended| {
            if let Ok(at) = calls.binary_search_by_key(&ended, |(key, _)| *key) {
                calls.remove(at);
            }
        });
    }
}

fn url(view: &View, replica: ReplicaId, action: &str) -> String {
    let replica = &view.topology.replicas[replica];
    let shard = &view.topology.shards[replica.shard];
    let service = &view.topology.services[shard.service].settings.name;
    format!("http://{}/v1/{service}/{}/{action}", replica.settings.address, shard.name)
}

async fn run_call(
    checkout: Checkout,
    url: String,
    call: Call,
    stopped: oneshot::Receiver<()>,
) -> CallResult {
    let Some(request) = checkout.client().map(|client| lookup(client, url, call)) else {
        return failed(Verdict::NotRun, FailReason::Connection);
    };
    // The drop of an unfinished request closes its connection.
    let response = tokio::select! {
        response = exchange(request) => response,
        _ = stopped => return failed(Verdict::MayHaveRun, FailReason::Connection),
    };
    if response.whole {
        checkout.release();
    }
    response.result
}

fn lookup(client: &Client, url: String, call: Call) -> RequestBuilder {
    client
        .post(url)
        .timeout(call.time_left + CALL_GRACE)
        .header(REQUEST_ID, call.request.to_string())
        .header(SNAPSHOT, call.snapshot.0)
        .header(RANK, call.rank.name())
        .header(DEADLINE_MS, call.time_left.as_millis() as u64)
        .body(call.body)
}

/// What came back on a connection.
struct Exchange {
    result: CallResult,
    /// Whether the reply was read to its end.
    whole: bool,
}

async fn exchange(request: RequestBuilder) -> Exchange {
    let response = match request.send().await {
        Ok(response) => response,
        Err(e) => return Exchange { result: failed_request(&e), whole: false },
    };
    let status = response.status();
    let not_run = response.headers().contains_key(NOT_RUN);
    let draining = response.headers().contains_key(DRAINING);
    let body = read_body(response).await;
    let whole = body.is_some();
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
    Exchange { result, whole }
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

/// Reads a body to its end; returns `None` if that fails or if it is too large.
async fn read_body(mut response: Response) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if body.len() + chunk.len() > REPLY_LIMIT {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body)
}

/// Tells whether a request without a response may have run.
///
/// Only a connection that was never made proves that no byte was written. A pooled connection that
/// breaks once the request is on it proves nothing.
fn failed_request(e: &reqwest::Error) -> CallResult {
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
