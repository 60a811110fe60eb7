//! The client of a daemon's administration API.

use crate::args::CommandError;
use berylpin_wire::admin::{Accepted, Conflict, EDITOR, NotStored, Problem, Rejected};
use pico_args::Arguments;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// The environment variable with the administration address.
const ADMIN_VARIABLE: &str = "BERYLPIN_ADMIN";

/// The environment variable with the token.
const TOKEN_VARIABLE: &str = "BERYLPIN_ADMIN_TOKEN";

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Options of every command that talks to a daemon; part of its help.
macro_rules! admin_options {
    () => {
        "  --admin ADDRESS  administration address of a daemon, or BERYLPIN_ADMIN
  --token TOKEN    its token; better in BERYLPIN_ADMIN_TOKEN
  --json           print the answer as JSON
"
    };
}
pub(crate) use admin_options;

/// What a conditional change is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Base {
    /// The document does not exist yet.
    New,
    /// The document has this version.
    Version(u64),
}

/// The client of a daemon's administration API.
pub(crate) struct AdminClient {
    client: Client,
    base: String,
    token: String,
}

impl AdminClient {
    /// Takes the address and the token from the arguments or the environment.
    pub(crate) fn from_args(args: &mut Arguments) -> Result<Self, CommandError> {
        let address: SocketAddr = match args.opt_value_from_str("--admin")? {
            Some(address) => address,
            None => from_environment(ADMIN_VARIABLE, "--admin ADDRESS")?
                .parse()
                .map_err(|e| CommandError::Usage(format!("{ADMIN_VARIABLE}: {e}")))?,
        };
        let token = match args.opt_value_from_str("--token")? {
            Some(token) => token,
            None => from_environment(TOKEN_VARIABLE, "--token TOKEN")?,
        };
        Self::new(address, token)
    }

    /// Returns a client of the daemon with this administration address.
    pub(crate) fn new(address: SocketAddr, token: String) -> Result<Self, CommandError> {
        let client = Client::builder().timeout(CALL_TIMEOUT).build();
        let client = client.map_err(|e| CommandError::Failed(e.to_string()))?;
        Ok(Self { client, base: format!("http://{address}"), token })
    }

    /// Reads a JSON body.
    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let response = self.send(self.request(Method::GET, path)).await?;
        read(expect_ok(response).await?).await
    }

    /// Stores a document.
    pub(crate) async fn put(
        &self,
        name: &str,
        text: String,
        base: Base,
    ) -> Result<Accepted, CommandError> {
        let request = self.request(Method::PUT, &document_path(name)).body(text);
        self.change(conditional(request, base)).await
    }

    /// Deletes a document.
    pub(crate) async fn delete(&self, name: &str, base: Base) -> Result<Accepted, CommandError> {
        let request = self.request(Method::DELETE, &document_path(name));
        self.change(conditional(request, base)).await
    }

    /// Sends a JSON body whose answer has no body.
    pub(crate) async fn put_json<T>(&self, path: &str, body: &T) -> Result<(), CommandError>
    where
        T: serde::Serialize,
    {
        let response = self.send(self.request(Method::PUT, path).json(body)).await?;
        expect_ok(response).await.map(drop)
    }

    /// Sends a change in a JSON body.
    pub(crate) async fn post_change<T>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Accepted, CommandError>
    where
        T: serde::Serialize,
    {
        self.change(self.request(Method::POST, path).json(body)).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.request(method, format!("{}{path}", self.base)).bearer_auth(&self.token)
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, CommandError> {
        request.send().await.map_err(|e| {
            let problem = if e.is_connect() { "cannot be reached" } else { "did not answer" };
            CommandError::Failed(format!("the daemon at {} {problem}: {e}", self.base))
        })
    }

    async fn change(&self, request: RequestBuilder) -> Result<Accepted, CommandError> {
        let editor = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
        let response = self.send(request.header(EDITOR, editor)).await?;
        match response.status() {
            StatusCode::PRECONDITION_FAILED => Err(conflict(read(response).await?)),
            StatusCode::UNPROCESSABLE_ENTITY => Err(rejected(&read(response).await?)),
            StatusCode::SERVICE_UNAVAILABLE => {
                let NotStored { message, .. } = read(response).await?;
                Err(CommandError::NotConfirmed(message))
            }
            _ => read(expect_ok(response).await?).await,
        }
    }
}

/// Runs a command's work on a runtime of its own.
pub(crate) fn block_on<F>(work: F) -> Result<(), CommandError>
where
    F: Future<Output = Result<(), CommandError>>,
{
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| CommandError::Failed(e.to_string()))?
        .block_on(work)
}

/// Prints a body as JSON.
pub(crate) fn print_json<T>(body: &T)
where
    T: serde::Serialize,
{
    match serde_json::to_string_pretty(body) {
        Ok(text) => println!("{text}"),
        Err(e) => eprintln!("berylpin: {e}"),
    }
}

/// Returns the path of a document.
pub(crate) fn document_path(name: &str) -> String {
    format!("/v1/documents/{name}")
}

/// Lists the problems of a document, one a line.
pub(crate) fn rejected(body: &Rejected) -> CommandError {
    let lines = body.problems.iter().map(|p| {
        let place = p.line.map_or_else(String::new, |line| format!("line {line}: "));
        let key = if p.key.is_empty() { String::new() } else { format!("{}: ", p.key) };
        format!("\n  {place}{key}{}", p.problem)
    });
    CommandError::Invalid(format!("the document is not valid:{}", lines.collect::<String>()))
}

fn conflict(body: Conflict) -> CommandError {
    CommandError::Conflict(match body.current {
        None => "the document does not exist; use `apply --create`".to_owned(),
        Some(current) => format!(
            "{} changed `{}` first, to version {}; see `berylpin diff`, then apply again with \
             `--base {}`",
            current.editor, current.name, current.version, current.version
        ),
    })
}

fn from_environment(variable: &str, option: &str) -> Result<String, CommandError> {
    std::env::var(variable)
        .map_err(|_| CommandError::Usage(format!("give {option} or set {variable}")))
}

fn conditional(request: RequestBuilder, base: Base) -> RequestBuilder {
    match base {
        Base::New => request.header("if-none-match", "*"),
        Base::Version(version) => request.header("if-match", version.to_string()),
    }
}

async fn expect_ok(response: Response) -> Result<Response, CommandError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let message = match response.json::<Problem>().await {
        Ok(problem) => problem.message,
        Err(_) => format!("the daemon answered with status {status}"),
    };
    Err(CommandError::Failed(message))
}

/// Reads a JSON answer.
pub(crate) async fn read<T>(response: Response) -> Result<T, CommandError>
where
    T: DeserializeOwned,
{
    response.json().await.map_err(|e| CommandError::Failed(format!("malformed answer: {e}")))
}
