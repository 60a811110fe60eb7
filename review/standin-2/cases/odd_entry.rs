//! An entry of another writer has a byte in its name that cannot be read. Otherwise it is a copy of
//! a replica's entry. The replica crashes for good, and its address goes to another service.

use super::{ARCHIVE, LEDGER, Site, ZONES, wait_for_replies};
use crate::record::Record;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// How long the entry lies in the store before the replica crashes.
const ENTRY_TIME: Duration = Duration::from_secs(2);

/// After this time an address may go to another service (`addr_reuse_s`).
const ADDRESS_REUSE: Duration = Duration::from_secs(2);

/// The time after which an entry without heartbeats is removed: three of 1.2 s.
const EXPIRY: Duration = Duration::from_millis(3600);

/// The time from the removal to the first charge; longer than `drain_ms` and `settle_window_ms`.
const CALM: Duration = Duration::from_secs(5);

/// The rounds of charges, and the run time of a charge at the sound replica. A round is more than it
/// has slots and queue for, so that the daemons look for another one.
const ROUNDS: usize = 6;
const WORK: Duration = Duration::from_millis(600);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let site = Site::start("non_idempotent", 6, record)?;
    let first = &site.replicas[0];
    if trouble {
        record.line(
            "another writer puts an entry named i-1a01 and a byte 0x01, a copy of that of i-1a01",
        );
        // The name as JSON text has it.
        site.store.put("servers", br"i-1a01\u0001", first.entry(ZONES[0], "ready").as_bytes());
    }
    sleep(ENTRY_TIME);
    first.end();
    sleep(ADDRESS_REUSE);
    let _heir = site.start_replica("i-2b02", ARCHIVE, Some(first.address()))?;
    sleep(EXPIRY.saturating_sub(ADDRESS_REUSE));
    site.store.remove("servers", first.id().as_bytes());
    sleep(CALM);

    site.replicas[1].set_work(WORK);
    let mut replies = Vec::new();
    for _ in 0..ROUNDS {
        replies.extend(wait_for_replies(site.send_at_once()));
    }
    let foreign = replies
        .iter()
        .filter(|reply| reply.is_success() && !reply.signature.starts_with(LEDGER))
        .count();
    let is_charge = |id: &String| replies.iter().any(|reply| reply.request == *id);
    let runs = site.runs.all();
    let wrong = runs.iter().filter(|run| run.service != LEDGER && is_charge(&run.request)).count();
    record.line(&format!(
        "{wrong} of {} charges were run by the service `{ARCHIVE}`; {foreign} clients got its answer",
        replies.len()
    ));
    site.fleet.daemons.iter().for_each(|daemon| daemon.record_log("entry ignored"));
    Ok(wrong > 0)
}
