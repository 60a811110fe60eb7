//! A service that shows by which version of its document each daemon routes.
//!
//! Its only shard is named after the change that named it, and replicas echo that name in their
//! rows, so the version comes from a stand-in and not from the daemon's word.

use crate::bench::{Bench, CANARY};
use berylpin_core::rank::Rank;
use berylpin_standin::checker::Origin;
use berylpin_standin::sites::{FIRST_SHARD, GroupShape, group};
use berylpin_wire::caller::{AnswerBody, QueryBody};
use berylpin_wire::platform::{Object, SERVICE_PREFIX};
use reqwest::{Client, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often each daemon is asked.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How long an answer may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an editor tries.
const EDIT_LIMIT: Duration = Duration::from_secs(10);

/// Returns the shape of the service: a replica in each data centre.
pub(super) fn shape() -> GroupShape {
    group(CANARY, 1, 3, 2)
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
    /// The change is stored with this number.
    Accepted(u64),
    /// The change may be stored.
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
pub(super) async fn edit(platform: SocketAddr, number: usize) -> Edit {
    let client = Client::new();
    let start = Instant::now();
    let url = format!("http://{platform}/v1/objects/{SERVICE_PREFIX}{CANARY}");
    while start.elapsed() < EDIT_LIMIT {
        if let Some(result) = try_edit(&client, &url).await {
            return result;
        }
        sleep(Duration::from_millis(20 + 7 * number as u64)).await;
    }
    Edit::Unknown
}

async fn try_edit(client: &Client, url: &str) -> Option<Edit> {
    let object: Object = client.get(url).send().await.ok()?.json().await.ok()?;
    let (text, change) = next_text(&object.value)?;
    let put = client.put(url).header("if-match", object.version).body(text);
    match put.send().await.ok()?.status() {
        StatusCode::OK => Some(Edit::Accepted(change)),
        StatusCode::PRECONDITION_FAILED => None,
        _ => Some(Edit::Unknown),
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

/// Returns the number of the change that the platform holds.
pub(super) fn stored_change(bench: &Bench) -> u64 {
    let objects = bench.platform.objects(&format!("{SERVICE_PREFIX}{CANARY}")).objects;
    let next = objects.first().and_then(|object| next_text(&object.value));
    next.map_or(0, |(_, change)| change - 1)
}
