//! The configuration changes: the weight of one part of a split becomes 0, as when a canary is taken
//! back.

use super::{ARCHIVE, LEDGER, Site, configuration};
use crate::record::Record;
use crate::replica::Run;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The service whose weight becomes 0.
const CANARY: &str = "canary";

/// The weights of the two versions.
const SPLIT: [&str; 3] = ["0.4", "0.4", "0.2"];
const WITHOUT_CANARY: [&str; 3] = ["0.5", "0.5", "0"];

/// The time after which a version must be in force (`config_apply_ms`).
const APPLY: Duration = Duration::from_millis(3000);

/// How long after the acknowledgement of a version charges are sent.
const CALM: Duration = Duration::from_secs(5);

/// The rounds of charges under each version, and the pause after each.
const ROUNDS_BEFORE: usize = 2;
const ROUNDS_AFTER: usize = 10;
const PAUSE: Duration = Duration::from_millis(50);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let site = Site::start("non_idempotent", 6, record)?;
    let _canary = site.start_replica("i-3c01", CANARY, None)?;
    put_weights(&site, 7, SPLIT);
    sleep(CALM);
    site.send_rounds(ROUNDS_BEFORE, PAUSE);
    let weights = if trouble { WITHOUT_CANARY } else { SPLIT };
    let acknowledged = put_weights(&site, 11, weights);
    sleep(CALM);
    site.send_rounds(ROUNDS_AFTER, PAUSE);
    let runs = site.runs.all();
    let excluded = |run: &&Run| run.service == CANARY && weights == WITHOUT_CANARY;
    let late = runs.iter().filter(excluded).filter(|run| run.arrived > acknowledged + APPLY);
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = run.arrived.duration_since(acknowledged).as_millis();
        record
            .line(&format!("`{CANARY}` ran {} {after} ms after the acknowledgement", run.request));
    }
    record.line(&format!("{} charges were run by the part with weight 0", late.len()));
    Ok(!late.is_empty())
}

/// Puts a version that splits the route between three services; returns when it is acknowledged.
fn put_weights(site: &Site, version: u32, weights: [&str; 3]) -> Instant {
    let services = [LEDGER, ARCHIVE, CANARY];
    let parts = services
        .iter()
        .zip(weights)
        .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"));
    let parts: Vec<String> = parts.collect();
    let route = format!(
        "{{\"name\":\"r-split\",\"host\":\"shop.example\",\"path_prefix\":\"/ledger/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":10000,\"target_latency_ms\":500,\
         \"priority\":1,\"traffic_split\":[{}],\"max_attempts\":2}}",
        parts.join(",")
    );
    site.record.line(&format!("the operator puts version {version} with the weights {weights:?}"));
    site.store.put("config", b"main", configuration(version, &[route], &services).as_bytes())
}
