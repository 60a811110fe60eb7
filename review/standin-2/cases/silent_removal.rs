//! The open connections to the store go silent, and new ones work. The entry of a replica that
//! leaves is removed meanwhile, and the replica ends some time later.

use super::{LEDGER, Site, sleep_until, wait_for_replies};
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

/// The time from the end of both to the first charge, and from then to the end of the replica.
const SEND_DELAY: Duration = Duration::from_millis(50);
const EXTRA_TIME: Duration = Duration::from_millis(500);

/// The run time of a charge.
const WORK: Duration = Duration::from_millis(600);

/// The rounds; in each the silence begins at another point of the daemons' watches.
const ROUNDS: u32 = 4;
const PHASE: Duration = Duration::from_millis(130);

/// The calm before each round.
const CALM: Duration = Duration::from_secs(6);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let mut site = Site::start("non_idempotent", 6, record)?;
    let mut late = 0;
    for round in 0..ROUNDS {
        sleep(CALM + PHASE * round);
        site.replicas.iter().for_each(|replica| replica.set_work(WORK));
        let leaving = site.replicas.remove(0);
        late += run_round(&site, &leaving, trouble);
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
    let due = (silent_at + SETTLE).max(acknowledged + DRAIN);
    sleep_until(due + SEND_DELAY);
    let clients = site.send_at_once();
    sleep_until(due + SEND_DELAY + EXTRA_TIME);
    leaving.end();
    let replies = wait_for_replies(clients);
    sleep(WORK);
    site.count_late_runs(leaving, (acknowledged, due), &replies)
}
