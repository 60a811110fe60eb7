//! Calls to upstreams for non-idempotent requests, each sent at most once.

use super::ExecuteMail;
use crate::traffic::mailbox::{Mail, Mailbox};
use berylpin_core::control::View;
use berylpin_core::execute::{Call, CallResult};
use berylpin_core::ids::QueryTag;
use berylpin_core::message::FailReason;
use berylpin_core::verdict::Verdict;
use berylpin_wire::upstream::{
    DEADLINE_MS, DRAINING, ExecuteReply, IDEMPOTENCY_KEY, NOT_RUN, RANK, REQUEST_ID,
};
use reqwest::{Client, RequestBuilder, Response, StatusCode, redirect, retry};
use std::time::Duration;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a call may run past its deadline, so that a late result is still recorded.
const CALL_GRACE: Duration = Duration::from_secs(5);

/// The maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// The HTTP client of executions.
///
/// Each call opens a new connection. A pooled connection may be dead or closed by the upstream, and
/// a failure on it would leave open whether the call ran.
pub(super) struct ExecutionClient {
    /// Receives the results.
    mailbox: Mailbox,
    /// If the client could not be created, all calls fail as not run.
    client: Result<Client, reqwest::Error>,
}

impl ExecutionClient {
    pub(super) fn new(mailbox: Mailbox) -> Self {
        let client = Client::builder()
            .http1_only()
            .tcp_nodelay(true)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .retry(retry::never())
            .redirect(redirect::Policy::none())
            .no_proxy()
            .build();
        Self { mailbox, client }
    }

    /// Starts a call; its result is sent to the mailbox.
    pub(super) fn call(&self, view: &View, call: Call) {
        let key = call.key;
        let Ok(client) = &self.client else {
            // Without a client, no byte was sent.
            let result = failed(Verdict::NotRun, FailReason::Connection);
            self.mailbox.try_send(Mail::Execute(ExecuteMail::CallEnded(key, result)));
            return;
        };
        let replica = &view.topology.replicas[call.replica];
        let shard = &view.topology.shards[replica.shard];
        let service = &view.topology.services[shard.service].settings.name;
        let address = replica.settings.address;
        let request = client
            .post(format!("http://{address}/v1/{service}/{}/execute", shard.name))
            .timeout(call.time_left + CALL_GRACE)
            .header(REQUEST_ID, call.request.to_string())
            .header(IDEMPOTENCY_KEY, call.idempotency_key.to_string())
            .header(RANK, call.rank.name())
            .header(DEADLINE_MS, call.time_left.as_millis() as u64)
            .body(call.body);
        let mailbox = self.mailbox.clone();
        tokio::spawn(async move {
            let result = run_call(request).await;
            mailbox.send(Mail::Execute(ExecuteMail::CallEnded(key, result))).await;
        });
    }
}

async fn run_call(request: RequestBuilder) -> CallResult {
    let mut response = match request.send().await {
        Ok(response) => response,
        Err(e) if e.is_connect() => return failed(Verdict::NotRun, FailReason::Connection),
        Err(e) => {
            let reason = if e.is_timeout() { FailReason::Deadline } else { FailReason::Connection };
            return failed(Verdict::MayHaveRun, reason);
        }
    };
    if response.status() != StatusCode::OK {
        return refusal_result(&response);
    }
    let mut body = Vec::new();
    while let Ok(Some(bytes)) = response.chunk().await {
        body.extend_from_slice(&bytes);
        if body.len() > MAX_REPLY_BYTES {
            break;
        }
    }
    let reply = serde_json::from_slice::<ExecuteReply>(&body).ok();
    let request = reply.as_ref().and_then(|r| u64::from_str_radix(&r.request, 16).ok());
    match (reply, request) {
        (Some(ExecuteReply { shard, result, .. }), Some(request)) => {
            CallResult::Replied { request: QueryTag(request), shard, result }
        }
        _ => failed(Verdict::MayHaveRun, FailReason::BadReply),
    }
}

/// Returns the result of a response with an error status.
///
/// Only the documented status together with the header [`NOT_RUN`] proves that the upstream did not
/// run the call.
fn refusal_result(response: &Response) -> CallResult {
    let headers = response.headers();
    let unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if !unavailable || !headers.contains_key(NOT_RUN) {
        return failed(Verdict::MayHaveRun, FailReason::UpstreamError);
    }
    if headers.contains_key(DRAINING) {
        return failed(Verdict::NotRun, FailReason::Draining);
    }
    failed(Verdict::NotRun, FailReason::Overloaded)
}

fn failed(verdict: Verdict, reason: FailReason) -> CallResult {
    CallResult::Failed { verdict, reason }
}

#[cfg(test)]
mod tests;
