//! Calls to upstreams over HTTP.

use super::mailbox::{Mail, Mailbox};
use berylpin_core::arena::Arena;
use berylpin_core::control::View;
use berylpin_core::ids::{QueryTag, ReplicaId};
use berylpin_core::message::{FailReason, SnapshotRange};
use berylpin_core::replica::{Call, CallResult, Probe};
use berylpin_core::verdict::Verdict;
use berylpin_wire::upstream::{
    DEADLINE_MS, DRAINING, LookupReply, NOT_RUN, RANK, REQUEST_ID, SNAPSHOT,
};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use std::time::Duration;

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call may go on past its deadline before its connection is given up.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// The HTTP clients of the replicas that one thread owns.
pub(super) struct Upstreams {
    own: Mailbox,
    /// Indexed by replica; `None` for those that were never called.
    clients: Arena<ReplicaId, Option<Client>>,
}

impl Upstreams {
    pub(super) fn new(own: Mailbox) -> Self {
        Self { own, clients: Arena::default() }
    }

    /// Closes the connections to replicas that no document names.
    pub(super) fn retain(&mut self, view: &View) {
        self.clients.grow(view.topology.replicas.len(), || None);
        for (id, client) in self.clients.iter_mut() {
            if !view.topology.replicas[id].listed {
                *client = None;
            }
        }
    }

    /// Starts a call; its result comes as mail.
    pub(super) fn call(&mut self, view: &View, call: Call) {
        let key = call.key;
        let request = self
            .client(view, call.replica)
            .post(url(view, call.replica, "lookup"))
            .timeout(call.time_left + DEADLINE_GRACE)
            .header(REQUEST_ID, call.request.to_string())
            .header(SNAPSHOT, call.snapshot.0)
            .header(RANK, call.rank.name())
            .header(DEADLINE_MS, call.time_left.as_millis() as u64)
            .body(call.body);
        let own = self.own.clone();
        tokio::spawn(async move {
            let result = run_call(request).await;
            own.send(Mail::Called(key, result));
        });
    }

    /// Tells an upstream that the result of a request is not needed.
    pub(super) fn abort(&mut self, view: &View, replica: ReplicaId, request: QueryTag) {
        let address = view.topology.replicas[replica].settings.address;
        let request = self
            .client(view, replica)
            .delete(format!("http://{address}/v1/requests/{request}"))
            .timeout(PROBE_TIMEOUT);
        // A cancellation that is lost costs only the work it would have saved.
        tokio::spawn(async move { request.send().await.map(drop) });
    }

    /// Starts a probe; its result comes as mail.
    pub(super) fn probe(&mut self, view: &View, probe: Probe) {
        let request = self
            .client(view, probe.replica)
            .get(url(view, probe.replica, "snapshots"))
            .timeout(PROBE_TIMEOUT);
        let own = self.own.clone();
        tokio::spawn(async move {
            let result = run_probe(request).await.ok();
            own.send(Mail::Probed(probe.replica, result));
        });
    }

    fn client(&mut self, view: &View, replica: ReplicaId) -> Client {
        self.clients.grow(view.topology.replicas.len(), || None);
        let connections = view.topology.replicas[replica].settings.connections;
        let make = || {
            Client::builder()
                .http1_only()
                .tcp_nodelay(true)
                .pool_max_idle_per_host(connections.into())
                .build()
                .unwrap_or_default()
        };
        self.clients[replica].get_or_insert_with(make).clone()
    }
}

fn url(view: &View, replica: ReplicaId, action: &str) -> String {
    let replica = &view.topology.replicas[replica];
    let shard = &view.topology.shards[replica.shard];
    let service = &view.topology.services[shard.service].settings.name;
    format!("http://{}/v1/{service}/{}/{action}", replica.settings.address, shard.name)
}

async fn run_call(request: RequestBuilder) -> CallResult {
    let response = match request.send().await {
        Ok(response) => response,
        Err(e) => return failed(error_verdict(&e), error_reason(&e)),
    };
    match response.status() {
        StatusCode::OK => {}
        StatusCode::GONE => return failed(Verdict::NotRun, FailReason::SnapshotGone),
        _ => return refused(&response),
    }
    let Ok(body) = response.bytes().await else {
        return failed(Verdict::MayHaveRun, FailReason::Connection);
    };
    let reply = serde_json::from_slice::<LookupReply>(&body).ok();
    let request = reply.as_ref().and_then(|r| u64::from_str_radix(&r.request, 16).ok());
    match (reply, request) {
        (Some(LookupReply { shard, snapshot, serves, rows, .. }), Some(request)) => {
            CallResult::Rows { request: QueryTag(request), shard, snapshot, serves, rows }
        }
        _ => failed(Verdict::MayHaveRun, FailReason::BadReply),
    }
}

fn refused(response: &Response) -> CallResult {
    let headers = response.headers();
    if !headers.contains_key(NOT_RUN) {
        return failed(Verdict::MayHaveRun, FailReason::UpstreamError);
    }
    if headers.contains_key(DRAINING) {
        return failed(Verdict::NotRun, FailReason::Draining);
    }
    failed(Verdict::NotRun, FailReason::Overloaded)
}

/// Only a connection that was never made proves that no byte was written.
fn error_verdict(e: &reqwest::Error) -> Verdict {
    if e.is_connect() { Verdict::NotRun } else { Verdict::MayHaveRun }
}

fn error_reason(e: &reqwest::Error) -> FailReason {
    if e.is_timeout() { FailReason::Deadline } else { FailReason::Connection }
}

fn failed(verdict: Verdict, reason: FailReason) -> CallResult {
    CallResult::Failed { verdict, reason }
}

async fn run_probe(request: RequestBuilder) -> Result<SnapshotRange, reqwest::Error> {
    request.send().await?.error_for_status()?.json().await
}
