//! The open connections to the store go silent, and new ones work. The entry of a replica that
//! leaves is removed meanwhile.

use super::{LEDGER, Site, send};
use crate::record::Record;
use crate::replica::Replica;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// After this time without disruption a machine is in touch again (`settle_window_ms`).
const SETTLE: Duration = Duration::from_millis(4000);

/// The time after which a replica that is gone must get nothing more (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(3000);

/// How long after the silence the entry is removed.
const REMOVAL_DELAY: Duration = Duration::from_millis(200);

/// The time from the end of both to the first charge, so that the bounds are passed for certain.
const SEND_DELAY: Duration = Duration::from_millis(50);

/// How long charges are sent.
const SEND_TIME: Duration = Duration::from_millis(600);

/// The rounds; in each the silence begins at another point of the daemons' watches.
const ROUNDS: u32 = 5;
const PHASE: Duration = Duration::from_millis(130);

/// The calm before each round.
const CALM: Duration = Duration::from_secs(6);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let mut site = Site::start("non_idempotent", 6, record)?;
    let mut late = 0;
    for round in 0..ROUNDS {
        sleep(CALM + PHASE * round);
        let leaving = site.replicas.remove(0);
        late += run_round(&site, &leaving, trouble);
        leaving.end();
        site.replicas.push(site.start_replica(&format!("i-1b0{round}"), LEDGER, None)?);
    }
    record.line(&format!("{late} charges reached a replica too late"));
    Ok(late > 0)
}

/// Removes the entry of a replica after a silence; returns how many charges reach it too late.
fn run_round(site: &Site, leaving: &Replica, trouble: bool) -> usize {
    let record = &site.record;
    let silent_at = Instant::now();
    if trouble {
        record.line("the open connections to the store go silent");
        site.proxy.silence();
    }
    sleep(REMOVAL_DELAY);
    leaving.set_leaving();
    let acknowledged = site.store.remove("servers", leaving.id().as_bytes());
    record.line(&format!("the store acknowledges that the entry of {} is removed", leaving.id()));
    // No charges come meanwhile, so no answer of the replica tells the daemons that it leaves.
    let due = (silent_at + SETTLE).max(acknowledged + DRAIN) + SEND_DELAY;
    sleep(due.saturating_duration_since(Instant::now()));
    let clients: Vec<_> = site
        .fleet
        .addresses()
        .into_iter()
        .map(|daemon| {
            let record = record.clone();
            std::thread::spawn(move || {
                while Instant::now() < due + SEND_TIME {
                    send(daemon, &record);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let runs = site.runs.all();
    let late = runs.iter().filter(|run| run.replica == leaving.id() && run.arrived > due);
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = run.arrived.duration_since(acknowledged).as_millis();
        let settled = run.arrived.duration_since(silent_at).as_millis();
        record.line(&format!(
            "{} reached {} {after} ms after the acknowledgement, {settled} ms after the silence",
            run.request, run.replica
        ));
    }
    late.len()
}
