//! Calls with `stale_ok` return data that is some seconds old. A replica drains meanwhile.

use super::{Site, ZONES, send};
use crate::record::Record;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How old the data is.
const STALENESS: Duration = Duration::from_secs(4);

/// How long calls are stale before the replica drains.
const STALE_TIME: Duration = Duration::from_secs(8);

/// The time after which a draining replica must get nothing more (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(3000);

/// How long after `DRAIN` the charges are sent, and the replica ends.
const SEND_DELAY: Duration = Duration::from_millis(200);
const EXTRA_TIME: Duration = Duration::from_millis(600);

/// The charges for each daemon, and the pause after each.
const CHARGES: usize = 4;
const PAUSE: Duration = Duration::from_millis(10);

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
    sleep((acknowledged + DRAIN + SEND_DELAY).saturating_duration_since(Instant::now()));
    let mut clients = Vec::new();
    for daemon in site.fleet.addresses() {
        for _ in 0..CHARGES {
            let record = record.clone();
            clients.push(std::thread::spawn(move || send(daemon, &record)));
            sleep(PAUSE);
        }
    }
    sleep((acknowledged + DRAIN + EXTRA_TIME).saturating_duration_since(Instant::now()));
    leaving.end();
    let replies: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    // Until the replica's threads have noticed its end.
    sleep(WORK * 2);

    let runs = site.runs.all();
    let late =
        runs.iter().filter(|run| run.replica == leaving.id() && run.arrived > acknowledged + DRAIN);
    let late: Vec<_> = late.collect();
    for run in &late {
        let after = run.arrived.duration_since(acknowledged).as_millis();
        record
            .line(&format!("{} reached i-1a01 {after} ms after the acknowledgement", run.request));
    }
    let failed = |id: &String| replies.iter().any(|r| r.request == *id && !r.is_success());
    let lost = late.iter().filter(|run| run.cut && failed(&run.request)).count();
    record.line(&format!(
        "{} of {} charges reached the draining replica too late; {lost} of them were cut at its end \
         and failed",
        late.len(),
        replies.len()
    ));
    Ok(!late.is_empty())
}
