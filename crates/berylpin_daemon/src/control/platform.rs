//! The client of the platform.

use berylpin_wire::platform::{ObjectList, SERVICE_PREFIX, Vm};
use reqwest::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call to the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// The client of the platform.
#[derive(Clone)]
pub(super) struct Platform {
    client: Client,
    base: String,
}

impl Platform {
    pub(super) fn new(address: SocketAddr) -> Self {
        let client = Client::builder().http1_only().tcp_nodelay(true).build().unwrap_or_default();
        Self { client, base: format!("http://{address}/v1") }
    }

    /// Waits until service documents changed after a revision, or nothing changed for a while.
    pub(super) async fn watch_documents(&self, after: u64) -> Result<ObjectList, reqwest::Error> {
        let wait_ms = WATCH_WAIT.as_millis();
        let url =
            format!("{}/watch?prefix={SERVICE_PREFIX}&after={after}&wait_ms={wait_ms}", self.base);
        self.get(url, WATCH_WAIT + CALL_TIMEOUT).await
    }

    pub(super) async fn vms(&self) -> Result<Vec<Vm>, reqwest::Error> {
        self.get(format!("{}/vms", self.base), CALL_TIMEOUT).await
    }

    async fn get<T>(&self, url: String, timeout: Duration) -> Result<T, reqwest::Error>
    where
        T: serde::de::DeserializeOwned,
    {
        let response = self.client.get(url).timeout(timeout).send().await?;
        response.error_for_status()?.json().await
    }
}
