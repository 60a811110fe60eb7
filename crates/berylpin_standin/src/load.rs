//! An open-loop load: requests start on schedule, whatever became of earlier ones.

use berylpin_core::rank::Rank;
use berylpin_wire::caller::{AnswerBody, QueryBody, RefusalBody};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use reqwest::{Client, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Time that a caller gives an answer beyond the deadline that it states.
const CALLER_GRACE: Duration = Duration::from_millis(500);

/// One stream of queries.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The rank of its queries.
    pub rank: Rank,
    /// The service or group asked.
    pub target: String,
    /// Queries a second, on average.
    pub rate: f64,
    /// The deadline of its queries.
    pub deadline: Duration,
}

/// What callers of one rank saw.
#[derive(Clone, Debug)]
pub struct Tally {
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

impl Default for Tally {
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

impl Tally {
    /// Adds what other callers saw.
    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.complete += other.complete;
        self.partial += other.partial;
        self.refused += other.refused;
        self.failed += other.failed;
        self.asked += other.asked;
        self.answered += other.answered;
        self.latency += &other.latency;
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

enum Seen {
    Answer(AnswerBody),
    Refusal,
    Nothing,
}

/// Sends a stream for a while and returns what its callers saw.
pub async fn drive(
    client: Client,
    entries: Vec<SocketAddr>,
    stream: Stream,
    run_time: Duration,
    seed: u64,
) -> Tally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut tally = Tally::default();
    let Ok(gaps) = Exp::new(stream.rate) else { return tally };
    let start = Instant::now();
    let mut at = Duration::from_secs_f64(gaps.sample(&mut rng));
    let mut callers = JoinSet::new();
    while at < run_time {
        sleep_until(start + at).await;
        let entry = entries[rng.random_range(0..entries.len())];
        let body = QueryBody {
            target: stream.target.clone(),
            rank: stream.rank,
            deadline_ms: Some(stream.deadline.as_millis() as u64),
            limit: None,
            lookup: format!("account-{}", rng.random_range(0..10_000)),
        };
        callers.spawn(call(client.clone(), entry, body, stream.deadline, start + at));
        tally.sent += 1;
        at += Duration::from_secs_f64(gaps.sample(&mut rng));
        while let Some(Ok((seen, latency))) = callers.try_join_next() {
            record(&mut tally, &seen, latency);
        }
    }
    while let Some(Ok((seen, latency))) = callers.join_next().await {
        record(&mut tally, &seen, latency);
    }
    tally
}

async fn call(
    client: Client,
    entry: SocketAddr,
    body: QueryBody,
    deadline: Duration,
    intended: Instant,
) -> (Seen, Duration) {
    let request = client
        .post(format!("http://{entry}/v1/query"))
        .timeout(deadline + CALLER_GRACE)
        .json(&body)
        .send();
    let seen = match request.await {
        Ok(response) if response.status() == StatusCode::OK => {
            response.json().await.map_or(Seen::Nothing, Seen::Answer)
        }
        Ok(response) => {
            response.json::<RefusalBody>().await.map_or(Seen::Nothing, |_| Seen::Refusal)
        }
        Err(_) => Seen::Nothing,
    };
    (seen, intended.elapsed())
}

fn record(tally: &mut Tally, seen: &Seen, latency: Duration) {
    match seen {
        Seen::Answer(answer) => {
            let counter = if answer.complete { &mut tally.complete } else { &mut tally.partial };
            *counter += 1;
            tally.asked += u64::from(answer.coverage.asked);
            tally.answered += u64::from(answer.coverage.answered);
            tally.latency.saturating_record(latency.as_micros() as u64);
        }
        Seen::Refusal => tally.refused += 1,
        Seen::Nothing => tally.failed += 1,
    }
}
