//! A caller of one daemon.

use crate::args::CommandError;
use crate::client::{print_json, read_json};
use berylpin_wire::caller::RefusalBody;
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// A caller of one daemon.
pub(crate) struct CallerClient {
    client: Client,
    to: SocketAddr,
    /// Whether refusals are printed as JSON as well.
    json: bool,
}

impl CallerClient {
    /// Makes a caller of the daemon at `to`.
    pub(crate) fn new(to: SocketAddr, json: bool) -> Self {
        Self { client: Client::new(), to, json }
    }

    /// Sends a body and reads the answer; a refusal is an error with its verdict.
    pub(crate) async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, CommandError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let url = format!("http://{}{path}", self.to);
        let response = self.client.post(url).json(body).send().await.map_err(|e| {
            CommandError::Failed(format!("the daemon at {} did not answer: {e}", self.to))
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
