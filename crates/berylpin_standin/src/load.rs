//! An open-loop load: requests start on schedule, whatever became of earlier ones.

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

/// Time that a caller gives an answer beyond the deadline that it states.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// The lowest rate of a stream, in queries a second.
const MIN_RATE: f64 = 0.01;

/// Connections that callers keep open to each entry.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The daemons that the platform's balancer sends callers to.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    /// Where callers connect; `None` while the daemon gets no callers.
    entries: Arc<Mutex<Vec<Option<SocketAddr>>>>,
}

impl Balancer {
    /// Sends callers to a daemon, or to it no more.
    pub fn set_entry(&self, index: usize, address: Option<SocketAddr>) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() <= index {
            entries.resize(index + 1, None);
        }
        entries[index] = address;
    }

    /// Picks one of the daemons.
    pub(crate) fn pick_entry(&self, rng: &mut SmallRng) -> Option<(usize, SocketAddr)> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let ready = entries.iter().enumerate().filter_map(|(at, entry)| Some((at, (*entry)?)));
        let ready: Vec<(usize, SocketAddr)> = ready.collect();
        (!ready.is_empty()).then(|| ready[rng.random_range(0..ready.len())])
    }
}

/// One stream of queries.
#[derive(Clone, Debug)]
pub struct QueryStream {
    /// The rank of its queries.
    pub rank: Rank,
    /// The service or group asked.
    pub target: String,
    /// Queries a second, on average.
    pub rate: f64,
    /// The deadline of its queries.
    pub deadline: Duration,
    /// One way between callers and daemons.
    pub client_delay: Duration,
    /// The shards that an answer may be about.
    pub layouts: Arc<[Layout]>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer that says that it covers every shard.
    Complete,
    /// An answer that says that it does not.
    Partial,
    /// A refusal.
    Refused(Verdict),
    /// The caller gave up.
    TimedOut,
    /// No well-formed answer.
    Failed,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The stream, by its position in the load.
    pub stream: usize,
    /// The daemon that was asked.
    pub entry: usize,
    /// The number of its lookup.
    pub lookup: u64,
    /// The intended start.
    pub start: Instant,
    /// From the intended start to the end.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// Shards of the target; 0 without an answer.
    pub asked: u64,
    /// Shards that the answer covers.
    pub answered: u64,
    /// Why it was refused; empty if it was not.
    pub reason: String,
    /// What is wrong with the answer.
    pub violations: Violations,
}

/// What callers of one rank saw.
#[derive(Clone, Debug)]
pub struct RankStats {
    /// Queries sent.
    pub sent: u64,
    /// Answers that cover every shard.
    pub complete: u64,
    /// Answers that say that they do not.
    pub partial: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests without a well-formed answer.
    pub failed: u64,
    /// Shards of all answers.
    pub asked: u64,
    /// Shards that those answers cover.
    pub answered: u64,
    /// Latency of answers from the intended start, in microseconds.
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
    /// Adds one request.
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

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the share of shards that answers cover.
    pub fn coverage(&self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.answered as f64 / self.asked as f64 }
    }
}

/// Returns a client that keeps connections as callers do.
pub fn caller_client() -> Client {
    let client = Client::builder().http1_only().tcp_nodelay(true);
    client.pool_max_idle_per_host(MAX_IDLE_CONNECTIONS).build().unwrap_or_default()
}

/// Sends a stream until the end and returns what its callers saw.
///
/// `rate_factor` multiplies the rate at any time; lookups are numbered from `seed` times 2^32.
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
    entry: SocketAddr,
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
        .post(format!("http://{entry}/v1/query"))
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
