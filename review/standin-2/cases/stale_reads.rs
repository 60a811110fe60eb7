//! Calls with `stale_ok` return data that is some seconds old. A replica drains meanwhile.

use super::{Site, ZONES, sleep_until, wait_for_replies};
use crate::record::Record;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// How old the data is.
const STALENESS: Duration = Duration::from_secs(4);

/// How long calls are stale before the replica drains.
const STALE_TIME: Duration = Duration::from_secs(8);

/// The time after which a draining replica must get nothing more (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(3000);

/// How long after `DRAIN` the charges are sent, and the replica ends.
const SEND_DELAY: Duration = Duration::from_millis(200);
const EXTRA_TIME: Duration = Duration::from_millis(600);

/// The run time of a charge.
const WORK: Duration = Duration::from_millis(600);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let site = Site::start("non_idempotent", 6, record)?;
    if trouble {
        record.line(&format!("calls with stale_ok are {} s behind", STALENESS.as_secs()));
        site.store.set_staleness(STALENESS);
    }
    sleep(STALE_TIME);
    site.replicas.iter().for_each(|replica| replica.set_work(WORK));
    let leaving = &site.replicas[0];
    leaving.set_leaving();
    let entry = leaving.entry(ZONES[0], "draining");
    let acknowledged = site.store.put("servers", leaving.id().as_bytes(), entry.as_bytes());
    record.line("the store acknowledges that i-1a01 drains");
    // No charges come meanwhile, so no answer of the replica tells the daemons that it leaves.
    let due = acknowledged + DRAIN;
    sleep_until(due + SEND_DELAY);
    let clients = site.send_at_once();
    sleep_until(due + EXTRA_TIME);
    leaving.end();
    let replies = wait_for_replies(clients);
    sleep(WORK);
    let late = site.count_late_runs(leaving, (acknowledged, due), &replies);
    record.line(&format!("{late} charges reached the replica too late"));
    Ok(late > 0)
}
