//! An entry of another writer has a byte that no JSON text may hold. The processes are killed and
//! start again.

use super::Site;
use crate::record::Record;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// How long the entry lies in the store before the processes are killed, and how long they are down.
const ENTRY_TIME: Duration = Duration::from_secs(5);
const DOWN_TIME: Duration = Duration::from_millis(1200);

/// The time after which a quarter must be served again (`recovery_s`).
const RECOVERY: Duration = Duration::from_secs(12);

/// The rounds of requests before and after the fault, and the pause after each.
const ROUNDS: usize = 20;
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let mut site = Site::start("idempotent", 6, record)?;
    let count_served = |site: &Site| {
        let replies = site.send_rounds(ROUNDS, PAUSE);
        replies.iter().filter(|reply| reply.is_success()).count()
    };
    let before = count_served(&site);
    if trouble {
        record.line("another writer puts the entry `i-9c77`, with a byte 0x01 in its `version`");
        let spec = b"{\"service\":\"ledger\",\"zone\":\"zone-a\",\"version\":\"v\x01\"}";
        site.store.put("servers", b"i-9c77", spec);
    }
    sleep(ENTRY_TIME);
    let beside = count_served(&site);
    for daemon in &mut site.fleet.daemons {
        daemon.kill();
    }
    sleep(DOWN_TIME);
    for daemon in &mut site.fleet.daemons {
        daemon.start().map_err(|e| e.to_string())?;
    }
    sleep(RECOVERY);
    let after = count_served(&site);
    let sent = ROUNDS * site.fleet.daemons.len();
    record.line(&format!(
        "served of {sent}: {before} before the entry, {beside} beside it, {after} later than \
         {} s after the processes were back",
        RECOVERY.as_secs()
    ));
    site.fleet.daemons.iter().for_each(|daemon| daemon.record_log("control: store call failed"));
    if before * 4 < sent {
        return Err("less than a quarter was served before the fault".to_owned());
    }
    Ok(after * 4 < sent)
}
