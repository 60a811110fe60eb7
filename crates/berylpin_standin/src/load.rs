//! An open-loop load of queries: requests start on schedule, independently of earlier responses.

use crate::checker::{Layout, Violations, check_answer};
use crate::upstream::lookup_text;
use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use berylpin_wire::caller::{AnswerBody, QueryBody, RefusalBody};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use reqwest::{Client, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// How long after the deadline a caller waits for the response.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Minimum rate of a stream, in queries per second; keeps the intervals finite.
const MIN_RATE: f64 = 0.01;

/// Maximum number of idle connections that callers keep open to each entry.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The platform's load balancer: the entries that receive callers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Caller address of each daemon, by index; `None` while the daemon receives no callers.
    entries: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl Balancer {
    /// Sets the caller address of a daemon; `None` removes the daemon from the balancer.
    pub fn set_entry(&self, index: usize, address: Option<SocketAddr>) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() <= index {
            entries.resize(index + 1, None);
        }
        entries[index] = address;
    }

    /// Picks an entry at random and returns its index and address.
    pub(crate) fn pick_entry(&self, rng: &mut SmallRng) -> Option<(usize, SocketAddr)> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let ready =
            entries.iter().enumerate().filter_map(|(index, entry)| Some((index, (*entry)?)));
        let ready: Vec<(usize, SocketAddr)> = ready.collect();
        (!ready.is_empty()).then(|| ready[rng.random_range(0..ready.len())])
    }
}

/// A stream of queries of one rank to one target.
#[derive(Clone, Debug)]
pub struct QueryStream {
    /// Rank of the queries.
    pub rank: Rank,
    /// The queried service or group.
    pub target: String,
    /// Mean number of queries per second.
    pub rate: f64,
    /// Deadline of each query.
    pub deadline: Duration,
    /// One-way latency between callers and daemons.
    pub client_delay: Duration,
    /// Layouts of which an answer must match one; several if a shard of the target is split.
    pub layouts: Arc<[Layout]>,
}

/// The outcome of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer that states full coverage.
    Complete,
    /// An answer that states missing shards.
    Partial,
    /// A refusal, with its verdict.
    Refused(Verdict),
    /// No response before the caller's timeout.
    TimedOut,
    /// A connection error or a malformed response.
    Failed,
}

/// The measurement of one query by its caller.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the stream in the load.
    pub stream: usize,
    /// Index of the daemon that received the query.
    pub entry: usize,
    /// Number of the lookup, see [`lookup_text`].
    pub lookup: u64,
    /// Scheduled start.
    pub start: Instant,
    /// Time from the scheduled start to the response.
    pub latency: Duration,
    /// Outcome of the query.
    pub outcome: Outcome,
    /// Shards of the target as stated by the answer; 0 without an answer.
    pub asked: u64,
    /// Rows of the answer, one for each covered shard.
    pub answered: u64,
    /// Reason of a refusal; empty for other outcomes.
    pub reason: String,
    /// Violations found in the answer.
    pub violations: Violations,
}

/// Statistics of the queries of one rank.
#[derive(Clone, Debug)]
pub struct RankStats {
    /// Queries sent.
    pub sent: u64,
    /// Answers that state full coverage.
    pub complete: u64,
    /// Answers that state missing shards.
    pub partial: u64,
    /// Refusals.
    pub refused: u64,
    /// Queries without a well-formed response before the caller's timeout.
    pub failed: u64,
    /// Sum of the targets' shards over all answers.
    pub asked: u64,
    /// Sum of the covered shards over all answers.
    pub answered: u64,
    /// Latency of answers from the scheduled start, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for RankStats {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, 120_000_000, 3);
        Self {
            sent: 0,
            complete: 0,
            partial: 0,
            refused: 0,
            failed: 0,
            asked: 0,
            answered: 0,
            latency: latency.expect("the bounds are valid"),
        }
    }
}

impl RankStats {
    /// Adds one query.
    pub fn record(&mut self, sample: &Sample) {
        self.sent += 1;
        let counter = match sample.outcome {
            Outcome::Complete => &mut self.complete,
            Outcome::Partial => &mut self.partial,
            Outcome::Refused(_) => &mut self.refused,
            Outcome::TimedOut | Outcome::Failed => &mut self.failed,
        };
        *counter += 1;
        if matches!(sample.outcome, Outcome::Complete | Outcome::Partial) {
            self.asked += sample.asked;
            self.answered += sample.answered;
            self.latency.saturating_record(sample.latency.as_micros() as u64);
        }
    }

    /// Returns a quantile of the latency of answers, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the fraction of shards that answers cover; 1 without answers.
    pub fn coverage(&self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.answered as f64 / self.asked as f64 }
    }
}

/// Returns an HTTP client configured as that of callers, with connection reuse.
pub fn caller_client() -> Client {
    let client = Client::builder().http1_only().tcp_nodelay(true);
    client.pool_max_idle_per_host(MAX_IDLE_CONNECTIONS).build().unwrap_or_default()
}

/// Sends the queries of a stream until `end` and returns a sample of each.
///
/// Queries start as a Poisson process whose rate is multiplied by `rate_factor` of the time; while
/// the balancer has no entry they are skipped. Their lookups are numbered upwards from `seed` times
/// 2^32.
pub async fn drive_queries<F>(
    (balancer, client): (Balancer, Client),
    (index, stream): (usize, QueryStream),
    end: Instant,
    seed: u64,
    rate_factor: F,
) -> Vec<Sample>
where
    F: Fn(Instant) -> f64,
{
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut samples = Vec::new();
    let mut number = seed << 32;
    let mut at = Instant::now();
    let mut callers = JoinSet::new();
    loop {
        let gap: f64 = Exp1.sample(&mut rng);
        at += Duration::from_secs_f64(gap / (stream.rate * rate_factor(at)).max(MIN_RATE));
        if at >= end {
            break;
        }
        sleep_until(at).await;
        number += 1;
        let Some((entry, address)) = balancer.pick_entry(&mut rng) else { continue };
        let sample = Sample {
            stream: index,
            entry,
            lookup: number,
            start: at,
            latency: Duration::ZERO,
            outcome: Outcome::Failed,
            asked: 0,
            answered: 0,
            reason: String::new(),
            violations: Violations::default(),
        };
        callers.spawn(send_query(client.clone(), address, stream.clone(), sample));
        while let Some(Ok(sample)) = callers.try_join_next() {
            samples.push(sample);
        }
    }
    while let Some(Ok(sample)) = callers.join_next().await {
        samples.push(sample);
    }
    samples
}

async fn send_query(
    client: Client,
    address: SocketAddr,
    stream: QueryStream,
    mut sample: Sample,
) -> Sample {
    let lookup = lookup_text(sample.lookup);
    let body = QueryBody {
        target: stream.target.clone(),
        rank: stream.rank,
        deadline_ms: Some(stream.deadline.as_millis() as u64),
        limit: None,
        lookup: lookup.clone(),
    };
    sleep(stream.client_delay).await;
    let request = client
        .post(format!("http://{address}/v1/query"))
        .timeout(stream.deadline + CALLER_TIMEOUT_MARGIN)
        .json(&body)
        .send();
    match request.await {
        Ok(response) if response.status() == StatusCode::OK => {
            if let Ok(answer) = response.json::<AnswerBody>().await {
                sample.outcome = if answer.complete { Outcome::Complete } else { Outcome::Partial };
                sample.asked = answer.coverage.asked.into();
                sample.answered = answer.rows.len() as u64;
                sample.violations = check_answer(&lookup, &stream.layouts, &answer);
            }
        }
        Ok(response) => {
            if let Ok(refusal) = response.json::<RefusalBody>().await {
                sample.outcome = Outcome::Refused(refusal.verdict);
                sample.reason = refusal.reason;
            }
        }
        Err(e) if e.is_timeout() => sample.outcome = Outcome::TimedOut,
        Err(_) => {}
    }
    sleep(stream.client_delay).await;
    sample.latency = sample.start.elapsed();
    sample
}
