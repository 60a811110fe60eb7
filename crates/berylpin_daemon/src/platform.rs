//! The client of the platform.

use crate::metrics::count_platform_call;
use berylpin_wire::platform::{ObjectList, SERVICE_PREFIX, Stored, Vm};
use reqwest::{Client, RequestBuilder, StatusCode};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;

/// How long a call to the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long a watch may go on beyond its wait before its connection counts as silent.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// The longest list read, in bytes.
const LIST_LIMIT: usize = 256 * 1024 * 1024;

/// Why a call to the platform has no result.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    /// No byte was sent.
    #[error("the platform cannot be reached: {0}")]
    NotSent(reqwest::Error),
    /// The call may have taken effect.
    #[error("the platform did not answer: {0}")]
    Lost(reqwest::Error),
    /// The platform refused or failed.
    #[error("the platform answered with status {0}")]
    Status(StatusCode),
    /// The answer is over the limit.
    #[error("the platform's answer is over {LIST_LIMIT} bytes")]
    TooLong,
    /// The answer does not decode.
    #[error("the platform's answer is malformed: {0}")]
    Malformed(serde_json::Error),
}

/// What a change is conditional on.
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
    /// The address that connections leave from.
    local: IpAddr,
}

impl Platform {
    pub(crate) fn new(address: SocketAddr, local: IpAddr) -> Self {
        Self { client: new_client(local), address, local }
    }

    /// Gives up all connections, since one may have gone silent.
    pub(crate) fn reconnect(&mut self) {
        self.client = new_client(self.local);
    }

    /// Waits until service documents changed after a revision, or nothing changed for a while.
    pub(crate) async fn watch_documents(&self, after: u64) -> Result<ObjectList, PlatformError> {
        let wait_ms = WATCH_WAIT.as_millis();
        let query = format!("watch?prefix={SERVICE_PREFIX}&after={after}&wait_ms={wait_ms}");
        self.get(&query, WATCH_WAIT + WATCH_GRACE).await
    }

    /// Reads the documents at once.
    pub(crate) async fn list_documents(&self, prefix: &str) -> Result<ObjectList, PlatformError> {
        let url = format!("objects?prefix={prefix}");
        self.get(&url, CALL_TIMEOUT).await
    }

    pub(crate) async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.get("vms", CALL_TIMEOUT).await
    }

    /// Stores an object on a condition.
    pub(crate) async fn put(
        &self,
        name: &str,
        condition: Condition,
        value: String,
    ) -> Result<Stored, PlatformError> {
        let request = self.client.put(self.url(&format!("objects/{name}"))).body(value);
        read(conditional(request, condition).timeout(CALL_TIMEOUT)).await
    }

    /// Deletes an object on a condition.
    pub(crate) async fn delete(
        &self,
        name: &str,
        condition: Condition,
    ) -> Result<Stored, PlatformError> {
        let request = self.client.delete(self.url(&format!("objects/{name}")));
        read(conditional(request, condition).timeout(CALL_TIMEOUT)).await
    }

    async fn get<T>(&self, path: &str, timeout: Duration) -> Result<T, PlatformError>
    where
        T: serde::de::DeserializeOwned,
    {
        read(self.client.get(self.url(path)).timeout(timeout)).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/v1/{path}", self.address)
    }
}

fn new_client(local: IpAddr) -> Client {
    let builder = Client::builder().http1_only().tcp_nodelay(true).local_address(local);
    builder.build().unwrap_or_default()
}

fn conditional(request: RequestBuilder, condition: Condition) -> RequestBuilder {
    match condition {
        Condition::New => request.header("if-none-match", "*"),
        Condition::Version(version) => request.header("if-match", version),
    }
}

async fn read<T>(request: RequestBuilder) -> Result<T, PlatformError>
where
    T: serde::de::DeserializeOwned,
{
    let result = try_read(request).await;
    count_platform_call(result.is_ok());
    result
}

async fn try_read<T>(request: RequestBuilder) -> Result<T, PlatformError>
where
    T: serde::de::DeserializeOwned,
{
    let sent = request.send().await;
    let mut response = sent.map_err(|e| {
        if e.is_connect() { PlatformError::NotSent(e) } else { PlatformError::Lost(e) }
    })?;
    if !response.status().is_success() {
        return Err(PlatformError::Status(response.status()));
    }
    let mut body = Vec::new();
    while let Some(bytes) = response.chunk().await.map_err(PlatformError::Lost)? {
        if body.len() + bytes.len() > LIST_LIMIT {
            return Err(PlatformError::TooLong);
        }
        body.extend_from_slice(&bytes);
    }
    serde_json::from_slice(&body).map_err(PlatformError::Malformed)
}
