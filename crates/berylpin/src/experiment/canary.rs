//! A service that shows by which version of its document each daemon routes.
//!
//! Its only shard is named after the change that named it, and replicas echo that name in their
//! rows, so the version comes from a stand-in and not from the daemon's word.

use crate::args::CommandError;
use crate::bench::{ADMIN_TOKEN, Bench, CANARY};
use crate::client::{AdminClient, Base, document_path};
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

/// How often each daemon is asked.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long an answer may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two tries of an editor, and how much more each further editor takes.
const EDIT_PAUSE: Duration = Duration::from_millis(20);
const EDIT_STAGGER: Duration = Duration::from_millis(7);

/// How long an editor tries.
const EDIT_LIMIT: Duration = Duration::from_secs(10);

/// Returns the shape of the service: a replica in each data centre.
pub(super) fn shape() -> GroupSpec {
    group_spec(CANARY, 1, 3, 2)
}

/// By which change a daemon routed at a moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) daemon: usize,
    pub(super) at: Instant,
    /// Counts the changes of the document from 0.
    pub(super) change: u64,
}

/// What one editor was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Edit {
    /// The text is stored under a version.
    Accepted {
        /// Counts the changes of the document from 0.
        change: u64,
        version: u64,
        text: String,
    },
    /// The change may be stored, or nothing came of it in time.
    Unknown,
}

/// The observations of a run.
pub(super) type Observations = Arc<Mutex<Vec<Observation>>>;

/// Asks a daemon over and over until the task is dropped.
pub(super) async fn watch(client: Client, daemon: usize, entry: SocketAddr, seen: Observations) {
    loop {
        if let Some(change) = ask(&client, entry).await {
            let observation = Observation { daemon, at: Instant::now(), change };
            seen.lock().unwrap_or_else(PoisonError::into_inner).push(observation);
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn ask(client: &Client, entry: SocketAddr) -> Option<u64> {
    let body = QueryBody {
        target: CANARY.to_owned(),
        rank: Rank::Urgent,
        deadline_ms: Some(POLL_TIMEOUT.as_millis() as u64),
        limit: None,
        lookup: CANARY.to_owned(),
    };
    let request = client.post(format!("http://{entry}/v1/query")).timeout(POLL_TIMEOUT);
    let response = request.json(&body).send().await.ok()?;
    let answer: AnswerBody = response.json().await.ok()?;
    change_of(&Origin::of(answer.rows.first()?)?.shard.1)
}

/// Returns the number of the change that named a shard.
fn change_of(shard: &str) -> Option<u64> {
    if shard == FIRST_SHARD { Some(0) } else { shard.strip_prefix('r')?.parse().ok() }
}

/// Raises the number of the document by one, whoever else does the same.
pub(super) async fn edit(admins: Vec<SocketAddr>, number: usize) -> Edit {
    let start = Instant::now();
    for attempt in number.. {
        if start.elapsed() > EDIT_LIMIT {
            break;
        }
        let address = admins[attempt % admins.len()];
        let Ok(client) = AdminClient::new(address, ADMIN_TOKEN.to_owned()) else { break };
        if let Some(result) = try_edit(&client).await {
            return result;
        }
        sleep(EDIT_PAUSE + EDIT_STAGGER * number as u32).await;
    }
    Edit::Unknown
}

/// Edits once; returns `None` if nothing was stored and another try may succeed.
async fn try_edit(client: &AdminClient) -> Option<Edit> {
    let document: Document = client.get(&document_path(CANARY)).await.ok()?;
    let (text, change) = next_text(&document.text)?;
    match client.put(CANARY, text.clone(), Base::Version(document.version)).await {
        Ok(Accepted { version, .. }) => Some(Edit::Accepted { change, version, text }),
        // What may be stored all the same is built upon by the next try.
        Err(CommandError::Conflict(_) | CommandError::NotConfirmed(_)) => None,
        Err(_) => Some(Edit::Unknown),
    }
}

/// Returns the text of the next change and its number.
fn next_text(text: &str) -> Option<(String, u64)> {
    let (_, rest) = text.split_once("name = \"")?;
    let (name, _) = rest.split_once('"')?;
    let change = change_of(name)? + 1;
    let line = |name: &str| format!("name = \"{name}\"");
    Some((text.replacen(&line(name), &line(&format!("r{change}")), 1), change))
}

/// Returns every version of the document that the platform ever stored, with its text.
pub(super) fn history(bench: &Bench) -> Vec<(u64, String)> {
    let history = bench.platform.history(&format!("{SERVICE_PREFIX}{CANARY}"));
    history.into_iter().map(|(at, value)| (at, StoredDocument::read(&value).text)).collect()
}

/// Returns the number of the change that the platform holds.
pub(super) fn stored_change(bench: &Bench) -> u64 {
    let newest = history(bench).pop().and_then(|(_, text)| next_text(&text));
    newest.map_or(0, |(_, change)| change - 1)
}
