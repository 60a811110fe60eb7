//! An open-loop load of charges: non-idempotent requests that callers resend under the same
//! idempotency key.

use crate::load::Balancer;
use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use berylpin_wire::caller::RefusalBody;
use berylpin_wire::execute::{ExecuteBody, ExecutedBody, KeyList, KeysBody};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use reqwest::{Client, StatusCode};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum number of sends of a request under one key; a doubled send counts once.
const MAX_SENDS: usize = 6;

/// Wait after a reply that leaves the outcome unknown.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Fraction of sends that are doubled: two requests at once, to independently picked daemons.
const DUPLICATE_SEND_FRACTION: f64 = 0.3;

/// Deadline of a request, from its send.
const DEADLINE: Duration = Duration::from_secs(1);

/// How long after the deadline a caller waits for the reply.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// The outcome of a charge, as the replies to its caller state it.
#[derive(Clone, Debug)]
pub struct Charge {
    /// Request body, unique to the charge.
    pub body: String,
    /// Idempotency keys that were refused as not run.
    pub not_run: Vec<String>,
    /// Whether a result was returned.
    pub executed: bool,
    /// Whether the returned result is that of another request.
    pub crossed: bool,
}

/// The reply to one send of a charge.
enum Reply {
    Result(String),
    Refused(Verdict),
    /// No reply, or a malformed one.
    Unknown,
}

/// Sends charges to a service until `end` and returns their outcomes.
///
/// Charges start as a Poisson process of `rate` per second.
pub async fn drive_charges(
    (balancer, client): (Balancer, Client),
    (service, rate): (String, f64),
    end: Instant,
    seed: u64,
) -> Vec<Charge> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut callers = JoinSet::new();
    let mut at = Instant::now();
    for number in 0.. {
        let gap: f64 = Exp1.sample(&mut rng);
        at += Duration::from_secs_f64(gap / rate);
        if at >= end {
            break;
        }
        sleep_until(at).await;
        let caller = Caller {
            balancer: balancer.clone(),
            client: client.clone(),
            service: service.clone(),
            rng: SmallRng::seed_from_u64(rng.random()),
        };
        callers.spawn(caller.run(format!("charge-{number}")));
    }
    callers.join_all().await
}

struct Caller {
    balancer: Balancer,
    client: Client,
    service: String,
    rng: SmallRng,
}

impl Caller {
    /// Sends a charge; after one "not run" refusal, sends it again under a new key.
    async fn run(mut self, body: String) -> Charge {
        let mut charge =
            Charge { body: body.clone(), not_run: Vec::new(), executed: false, crossed: false };
        for _ in 0..2 {
            let Some(key) = self.allocate_key().await else { continue };
            match self.execute_with_key(&key, &body).await {
                Reply::Result(result) => {
                    charge.executed = true;
                    charge.crossed = !result.ends_with(&body);
                    break;
                }
                Reply::Refused(Verdict::NotRun) => charge.not_run.push(key),
                // The charge may have run, so a new key could run it a second time.
                _ => break,
            }
        }
        charge
    }

    /// Sends a request until it returns a result or is refused as not run, at most [`MAX_SENDS`]
    /// times.
    async fn execute_with_key(&mut self, key: &str, body: &str) -> Reply {
        for _ in 0..MAX_SENDS {
            let reply = if self.rng.random_bool(DUPLICATE_SEND_FRACTION) {
                let (first, second) = (self.send(key, body), self.send(key, body));
                match tokio::join!(first, second) {
                    (Reply::Result(result), _) | (_, Reply::Result(result)) => {
                        Reply::Result(result)
                    }
                    (reply, _) => reply,
                }
            } else {
                self.send(key, body).await
            };
            match reply {
                Reply::Refused(Verdict::MayHaveRun | Verdict::Ran) | Reply::Unknown => {}
                reply => return reply,
            }
            sleep(RESEND_INTERVAL).await;
        }
        Reply::Unknown
    }

    async fn allocate_key(&mut self) -> Option<String> {
        let (_, entry) = self.balancer.pick_entry(&mut self.rng)?;
        let request = self.client.post(format!("http://{entry}/v1/keys")).timeout(DEADLINE);
        let response = request.json(&KeysBody { count: 1 }).send().await.ok()?;
        response.json::<KeyList>().await.ok()?.keys.pop()
    }

    /// Sends a request to a daemon that is picked before the future is polled.
    fn send(&mut self, key: &str, body: &str) -> impl Future<Output = Reply> + use<> {
        let body = ExecuteBody {
            key: key.to_owned(),
            service: self.service.clone(),
            shard: None,
            rank: Rank::Urgent,
            deadline_ms: Some(DEADLINE.as_millis() as u64),
            request: body.to_owned(),
        };
        let entry = self.balancer.pick_entry(&mut self.rng);
        let client = self.client.clone();
        async move {
            let Some((_, entry)) = entry else { return Reply::Unknown };
            let request = client.post(format!("http://{entry}/v1/execute"));
            let request = request.timeout(DEADLINE + CALLER_TIMEOUT_MARGIN).json(&body);
            let Ok(response) = request.send().await else { return Reply::Unknown };
            if response.status() == StatusCode::OK {
                let body = response.json::<ExecutedBody>().await;
                return body.map_or(Reply::Unknown, |body| Reply::Result(body.result));
            }
            let body = response.json::<RefusalBody>().await;
            body.map_or(Reply::Unknown, |body| Reply::Refused(body.verdict))
        }
    }
}
