//! HTTP client of a daemon's caller API.

use crate::args::CommandError;
use crate::client::{print_json, read_json};
use berylpin_wire::caller::RefusalBody;
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// A client of one daemon's caller API.
pub(crate) struct CallerClient {
    client: Client,
    caller_address: SocketAddr,
    /// Whether a refusal is also printed to standard output as JSON.
    json: bool,
}

impl CallerClient {
    /// Creates a client of the daemon with this caller address.
    pub(crate) fn new(caller_address: SocketAddr, json: bool) -> Self {
        Self { client: Client::new(), caller_address, json }
    }

    /// Sends a `POST` request and decodes the JSON response; a refusal becomes an error.
    pub(crate) async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, CommandError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let url = format!("http://{}{path}", self.caller_address);
        let response = self.client.post(url).json(body).send().await.map_err(|e| {
            CommandError::Failed(format!(
                "the daemon at {} did not answer: {e}",
                self.caller_address
            ))
        })?;
        if response.status().is_success() {
            return read_json(response).await;
        }
        let refusal: RefusalBody = read_json(response).await?;
        if self.json {
            print_json(&refusal);
        }
        let RefusalBody { verdict, message, .. } = refusal;
        Err(CommandError::Incomplete(format!("{message} (verdict: {verdict})")))
    }
}
