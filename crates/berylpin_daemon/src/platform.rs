//! The client of the platform's store and VM list, see [`berylpin_wire::platform`].

use crate::metrics::count_platform_call;
use berylpin_wire::platform::{ObjectList, SERVICE_PREFIX, Stored, Vm};
use berylpin_wire::url::encode_segment;
use reqwest::{Client, RequestBuilder, StatusCode};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;

/// Timeout of a call to the platform other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time that the platform waits for a change before it answers a watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time beyond [`WATCH_WAIT`] after which the connection of a watch counts as unresponsive.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    /// The connection failed and nothing was sent.
    #[error("the platform is unreachable: {0}")]
    NotSent(reqwest::Error),
    /// The reply was lost; the call may have taken effect.
    #[error("the platform did not answer: {0}")]
    ReplyLost(reqwest::Error),
    /// The platform answered with a status other than success.
    #[error("the platform answered with status {0}")]
    Status(StatusCode),
    /// The response exceeds [`MAX_RESPONSE_BYTES`].
    #[error("the platform's response is longer than {MAX_RESPONSE_BYTES} bytes")]
    ResponseTooLong,
    /// The response cannot be decoded.
    #[error("the platform's response is malformed: {0}")]
    Malformed(serde_json::Error),
}

/// The precondition of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Condition {
    /// The object does not exist.
    New,
    /// The object has this version.
    Version(u64),
}

/// The client of the platform.
#[derive(Clone)]
pub(crate) struct Platform {
    client: Client,
    address: SocketAddr,
    /// The source address of connections.
    local_address: IpAddr,
}

impl Platform {
    pub(crate) fn new(address: SocketAddr, local_address: IpAddr) -> Self {
        Self { client: new_client(local_address), address, local_address }
    }

    /// Discards all connections, because one may have stopped responding.
    pub(crate) fn reconnect(&mut self) {
        self.client = new_client(self.local_address);
    }

    /// Returns the service documents once they change after revision `after`, or unchanged after
    /// [`WATCH_WAIT`].
    pub(crate) async fn watch_documents(&self, after: u64) -> Result<ObjectList, PlatformError> {
        let wait_ms = WATCH_WAIT.as_millis();
        let path = format!("watch?prefix={SERVICE_PREFIX}&after={after}&wait_ms={wait_ms}");
        self.get(&path, WATCH_WAIT + WATCH_GRACE).await
    }

    /// Returns the documents whose names start with `prefix`, without waiting.
    pub(crate) async fn list_documents(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let path = format!("objects?prefix={}", encode_segment(prefix));
        self.get(&path, CALL_TIMEOUT).await
    }

    /// Returns the VM list.
    pub(crate) async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.get("vms", CALL_TIMEOUT).await
    }

    /// Stores an object if the condition holds.
    pub(crate) async fn put(
        &self,
        name: &str,
        condition: Condition,
        value: String,
    ) -> Result<Stored, PlatformError> {
        let request = self.client.put(self.object_url(name)).body(value);
        send(with_condition(request, condition).timeout(CALL_TIMEOUT)).await
    }

    /// Deletes an object if the condition holds.
    pub(crate) async fn delete(
        &self,
        name: &str,
        condition: Condition,
    ) -> Result<Stored, PlatformError> {
        let request = self.client.delete(self.object_url(name));
        send(with_condition(request, condition).timeout(CALL_TIMEOUT)).await
    }

    async fn get<T>(&self, path: &str, timeout: Duration) -> Result<T, PlatformError>
    where
        T: serde::de::DeserializeOwned,
    {
        send(self.client.get(self.url(path)).timeout(timeout)).await
    }

    fn object_url(&self, name: &str) -> String {
        // All names have a prefix that ends with a slash; the rest is one segment.
        let (prefix, rest) = name.split_at(name.find('/').map_or(0, |slash| slash + 1));
        self.url(&format!("objects/{prefix}{}", encode_segment(rest)))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }
}

fn new_client(local_address: IpAddr) -> Client {
    let builder = Client::builder().http1_only().tcp_nodelay(true).local_address(local_address);
    builder.build().unwrap_or_default()
}

fn with_condition(request: RequestBuilder, condition: Condition) -> RequestBuilder {
    match condition {
        Condition::New => request.header("if-none-match", "*"),
        Condition::Version(version) => request.header("if-match", version),
    }
}

/// Sends a call and counts it.
async fn send<T>(request: RequestBuilder) -> Result<T, PlatformError>
where
    T: serde::de::DeserializeOwned,
{
    let result = try_send(request).await;
    count_platform_call(result.is_ok());
    result
}

async fn try_send<T>(request: RequestBuilder) -> Result<T, PlatformError>
where
    T: serde::de::DeserializeOwned,
{
    let result = request.send().await;
    let mut response = result.map_err(|e| {
        if e.is_connect() { PlatformError::NotSent(e) } else { PlatformError::ReplyLost(e) }
    })?;
    if !response.status().is_success() {
        return Err(PlatformError::Status(response.status()));
    }
    let mut body = Vec::new();
    while let Some(bytes) = response.chunk().await.map_err(PlatformError::ReplyLost)? {
        if body.len() + bytes.len() > MAX_RESPONSE_BYTES {
            return Err(PlatformError::ResponseTooLong);
        }
        body.extend_from_slice(&bytes);
    }
    serde_json::from_slice(&body).map_err(PlatformError::Malformed)
}

#[cfg(test)]
mod tests;
