//! HTTP client of a daemon's administration API.

use crate::args::CommandError;
use berylpin_wire::admin::{Accepted, Conflict, EDITOR, NotStored, Problem, Rejected};
use berylpin_wire::url::encode_segment;
use pico_args::Arguments;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// The environment variable with the administration address of a daemon.
const ADMIN_ADDRESS_ENV: &str = "BERYLPIN_ADMIN";

/// The environment variable with the token of the administration API.
const ADMIN_TOKEN_ENV: &str = "BERYLPIN_ADMIN_TOKEN";

/// Timeout of one HTTP request, from connect to the end of the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Expands to the help text of the options that all commands of the administration API share.
macro_rules! admin_options {
    () => {
        "  --admin ADDRESS  administration address of a daemon, or BERYLPIN_ADMIN
  --token TOKEN    its token, or BERYLPIN_ADMIN_TOKEN, which process lists do not show
  --json           print the answer as JSON
"
    };
}
pub(crate) use admin_options;

/// The condition on the stored document under which a change is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Precondition {
    /// The document does not exist.
    Absent,
    /// The stored document has this version.
    Version(u64),
}

/// A client of one daemon's administration API.
pub(crate) struct AdminClient {
    client: Client,
    base_url: String,
    token: String,
}

impl AdminClient {
    /// Creates a client from the arguments, with the environment as fallback.
    pub(crate) fn from_args(args: &mut Arguments) -> Result<Self, CommandError> {
        let address: SocketAddr = match args.opt_value_from_str("--admin")? {
            Some(address) => address,
            None => env_var(ADMIN_ADDRESS_ENV, "--admin ADDRESS")?
                .parse()
                .map_err(|e| CommandError::Usage(format!("{ADMIN_ADDRESS_ENV}: {e}")))?,
        };
        let token = match args.opt_value_from_str("--token")? {
            Some(token) => token,
            None => env_var(ADMIN_TOKEN_ENV, "--token TOKEN")?,
        };
        Self::new(address, token)
    }

    /// Creates a client of the daemon with this administration address.
    pub(crate) fn new(address: SocketAddr, token: String) -> Result<Self, CommandError> {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).build();
        let client = client.map_err(|e| CommandError::Failed(e.to_string()))?;
        Ok(Self { client, base_url: format!("http://{address}"), token })
    }

    /// Sends a `GET` request and decodes the JSON response.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let response = self.send(self.request(Method::GET, path)).await?;
        read_json(check_status(response).await?).await
    }

    /// Stores a document if the precondition holds.
    pub(crate) async fn put_document(
        &self,
        name: &str,
        text: String,
        precondition: Precondition,
    ) -> Result<Accepted, CommandError> {
        let request = self.request(Method::PUT, &document_path(name)).body(text);
        self.send_change(with_precondition(request, precondition)).await
    }

    /// Deletes a document if the precondition holds.
    pub(crate) async fn delete_document(
        &self,
        name: &str,
        precondition: Precondition,
    ) -> Result<Accepted, CommandError> {
        let request = self.request(Method::DELETE, &document_path(name));
        self.send_change(with_precondition(request, precondition)).await
    }

    /// Sends a `PUT` request with a JSON body and ignores the response body.
    pub(crate) async fn put_json<T>(&self, path: &str, body: &T) -> Result<(), CommandError>
    where
        T: serde::Serialize,
    {
        let response = self.send(self.request(Method::PUT, path).json(body)).await?;
        check_status(response).await.map(drop)
    }

    /// Sends a change as a `POST` request with a JSON body.
    pub(crate) async fn post_change<T>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Accepted, CommandError>
    where
        T: serde::Serialize,
    {
        self.send_change(self.request(Method::POST, path).json(body)).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.request(method, format!("{}{path}", self.base_url)).bearer_auth(&self.token)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, CommandError> {
        request.send().await.map_err(|e| {
            let problem = if e.is_connect() { "cannot be reached" } else { "did not answer" };
            CommandError::Failed(format!("the daemon at {} {problem}: {e}", self.base_url))
        })
    }

    /// Sends a request that changes a document, with the current user as its editor.
    async fn send_change(&self, request: RequestBuilder) -> Result<Accepted, CommandError> {
        let editor = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
        let response = self.send(request.header(EDITOR, editor)).await?;
        match response.status() {
            StatusCode::PRECONDITION_FAILED => Err(conflicting_version(read_json(response).await?)),
            StatusCode::UNPROCESSABLE_ENTITY => Err(invalid_document(&read_json(response).await?)),
            StatusCode::SERVICE_UNAVAILABLE => {
                let NotStored { message, .. } = read_json(response).await?;
                Err(CommandError::NotConfirmed(message))
            }
            _ => read_json(check_status(response).await?).await,
        }
    }
}

/// Runs a command's future to completion on a new single-threaded runtime.
pub(crate) fn block_on<F>(future: F) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), CommandError>>,
{
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CommandError::Failed(e.to_string()))?
        .block_on(future)
}

/// Prints a body as indented JSON.
pub(crate) fn print_json<T>(body: &T)
where
    T: serde::Serialize,
{
    match serde_json::to_string_pretty(body) {
        Ok(text) => println!("{text}"),
        Err(e) => eprintln!("berylpin: {e}"),
    }
}

/// Returns the URL path of a document.
pub(crate) fn document_path(name: &str) -> String {
    format!("/v1/documents/{}", encode_segment(name))
}

/// Returns an error with the problems of a rejected document, one per line.
pub(crate) fn invalid_document(body: &Rejected) -> CommandError {
    let lines = body.problems.iter().map(|p| {
        let place = p.line.map_or_else(String::new, |line| format!("line {line}: "));
        let key = if p.key.is_empty() { String::new() } else { format!("{}: ", p.key) };
        format!("\n  {place}{key}{}", p.problem)
    });
    CommandError::Invalid(format!("the document is not valid:{}", lines.collect::<String>()))
}

fn conflicting_version(body: Conflict) -> CommandError {
    CommandError::Conflict(match body.current {
        None => "the document does not exist; use `apply --create`".to_owned(),
        Some(current) => format!(
            "{} changed `{}` first, to version {}; see `berylpin diff`, then apply again with \
             `--base {}`",
            current.editor, current.name, current.version, current.version
        ),
    })
}

fn env_var(variable: &str, option: &str) -> Result<String, CommandError> {
    std::env::var(variable)
        .map_err(|_| CommandError::Usage(format!("give {option} or set {variable}")))
}

fn with_precondition(request: RequestBuilder, precondition: Precondition) -> RequestBuilder {
    match precondition {
        Precondition::Absent => request.header("if-none-match", "*"),
        Precondition::Version(version) => request.header("if-match", version.to_string()),
    }
}

async fn check_status(response: Response) -> Result<Response, CommandError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let message = match response.json::<Problem>().await {
        Ok(problem) => problem.message,
        Err(_) => format!("the daemon responded with status {status}"),
    };
    Err(CommandError::Failed(message))
}

/// Decodes a JSON response body.
pub(crate) async fn read_json<T>(response: Response) -> Result<T, CommandError>
where
    T: DeserializeOwned,
{
    response.json().await.map_err(|e| CommandError::Failed(format!("malformed response: {e}")))
}

#[cfg(test)]
mod tests;
