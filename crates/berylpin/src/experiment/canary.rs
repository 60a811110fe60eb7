//! A service that shows by which version of its document each daemon routes.
//!
//! Each change renames the service's only shard after the number of the change, and replicas echo
//! the shard's name in their rows. The version is thus observed at a stand-in and does not depend
//! on what the daemon reports.

use crate::args::CommandError;
use crate::client::{AdminClient, Precondition, document_path};
use crate::testbed::{ADMIN_TOKEN, CANARY, Testbed};
use berylpin_core::rank::Rank;
use berylpin_standin::checker::Origin;
use berylpin_standin::sites::{FIRST_SHARD, GroupSpec, group_spec};
use berylpin_wire::admin::{Accepted, Document};
use berylpin_wire::caller::{AnswerBody, QueryBody};
use berylpin_wire::platform::{SERVICE_PREFIX, StoredDocument};
use reqwest::Client;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two queries to the same daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Deadline and HTTP timeout of a query.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two attempts of the first editor.
const EDIT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Additional time between two attempts, multiplied by the index of the editor.
const EDIT_RETRY_STAGGER: Duration = Duration::from_millis(7);

/// How long an editor retries.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the canary's group: one service with a replica in each of the 3 data centres.
pub(super) fn group() -> GroupSpec {
    group_spec(CANARY, 1, 3, 2)
}

/// The change by which a daemon routed at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) daemon: usize,
    pub(super) at: Instant,
    /// The number of the change, counted from 0.
    pub(super) change: u64,
}

/// How the change of one editor ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EditOutcome {
    /// The daemon accepted the change.
    Accepted {
        /// The number of the change, counted from 0.
        change: u64,
        version: u64,
        text: String,
    },
    /// The outcome of the change is unknown, or no attempt succeeded within [`EDIT_TIMEOUT`].
    Unknown,
}

/// All observations of a run, shared by the tasks that poll daemons.
pub(super) type Observations = Arc<Mutex<Vec<Observation>>>;

/// Queries a daemon periodically and records the observed changes, until the task is aborted.
pub(super) async fn poll_daemon(
    client: Client,
    daemon: usize,
    caller_address: SocketAddr,
    observations: Observations,
) {
    loop {
        if let Some(change) = query_change(&client, caller_address).await {
            let observation = Observation { daemon, at: Instant::now(), change };
            observations.lock().unwrap_or_else(PoisonError::into_inner).push(observation);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the change by which a daemon routes one query; `None` without a well-formed row.
async fn query_change(client: &Client, caller_address: SocketAddr) -> Option<u64> {
    let body = QueryBody {
        target: CANARY.to_owned(),
        rank: Rank::Urgent,
        deadline_ms: Some(POLL_TIMEOUT.as_millis() as u64),
        limit: None,
        lookup: CANARY.to_owned(),
    };
    let request = client.post(format!("http://{caller_address}/v1/query")).timeout(POLL_TIMEOUT);
    let response = request.json(&body).send().await.ok()?;
    let answer: AnswerBody = response.json().await.ok()?;
    parse_change(&Origin::of(answer.rows.first()?)?.shard.1)
}

/// Parses the number of a change from the name of the shard.
fn parse_change(shard: &str) -> Option<u64> {
    if shard == FIRST_SHARD { Some(0) } else { shard.strip_prefix('r')?.parse().ok() }
}

/// Increments the document's change number; retries while concurrent editors cause conflicts.
pub(super) async fn run_editor(admin_addresses: Vec<SocketAddr>, editor: usize) -> EditOutcome {
    let start = Instant::now();
    // Editors start at different daemons, and each attempt is made at the next one.
    for attempt in editor.. {
        if start.elapsed() > EDIT_TIMEOUT {
            break;
        }
        let address = admin_addresses[attempt % admin_addresses.len()];
        let Ok(client) = AdminClient::new(address, ADMIN_TOKEN.to_owned()) else { break };
        if let Some(result) = try_edit(&client).await {
            return result;
        }
        sleep(EDIT_RETRY_DELAY + EDIT_RETRY_STAGGER * editor as u32).await;
    }
    EditOutcome::Unknown
}

/// Attempts one change; `None` if the caller may retry.
async fn try_edit(client: &AdminClient) -> Option<EditOutcome> {
    let document: Document = client.get(&document_path(CANARY)).await.ok()?;
    let (text, change) = next_text(&document.text)?;
    match client.put_document(CANARY, text.clone(), Precondition::Version(document.version)).await {
        Ok(Accepted { version, .. }) => Some(EditOutcome::Accepted { change, version, text }),
        // If an unconfirmed change was stored, the next attempt reads it and builds on it.
        Err(CommandError::Conflict(_) | CommandError::NotConfirmed(_)) => None,
        Err(_) => Some(EditOutcome::Unknown),
    }
}

/// Returns the document's text after the next change, and the number of that change.
fn next_text(text: &str) -> Option<(String, u64)> {
    let (_, rest) = text.split_once("name = \"")?;
    let (name, _) = rest.split_once('"')?;
    let change = parse_change(name)? + 1;
    let line = |name: &str| format!("name = \"{name}\"");
    Some((text.replacen(&line(name), &line(&format!("r{change}")), 1), change))
}

/// Returns each version of the canary's document that the platform stored, with its text.
pub(super) fn stored_versions(testbed: &Testbed) -> Vec<(u64, String)> {
    let history = testbed.platform.history(&format!("{SERVICE_PREFIX}{CANARY}"));
    history
        .into_iter()
        .map(|(version, value)| (version, StoredDocument::read(&value).text))
        .collect()
}

/// Returns the number of the newest change that the platform stored.
pub(super) fn newest_stored_change(testbed: &Testbed) -> u64 {
    let newest = stored_versions(testbed).pop().and_then(|(_, text)| next_text(&text));
    newest.map_or(0, |(_, change)| change - 1)
}
