//! The settings change while a daemon runs: the grace time after SIGTERM becomes shorter. Later the
//! daemon is stopped as planned, while requests wait in it.

use super::{Site, ZONES, send};
use crate::client::Reply;
use crate::record::Record;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// The grace time before and after the change, in s (`grace_s`).
const GRACE_BEFORE: u32 = 6;
const GRACE_AFTER: u32 = 3;

/// Longer than the daemons take to read their settings, with or without a signal, and than
/// `settle_window_ms` and `config_apply_ms`.
const RELOAD_TIME: Duration = Duration::from_secs(8);

/// The clients; each sends one charge after the other, with a pause after each.
const CLIENTS: usize = 120;
const PAUSE: Duration = Duration::from_millis(100);

/// The run time of a charge.
const WORK: Duration = Duration::from_millis(300);

/// How long the clients send before the daemon is stopped.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// How long after its last byte a request that was not passed on must be answered
/// (`loss_slack_ms`).
const SLACK: Duration = Duration::from_millis(200);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let grace_s = if trouble { GRACE_BEFORE } else { GRACE_AFTER };
    let mut site = Site::start("non_idempotent", grace_s, record)?;
    if trouble {
        for daemon in &mut site.fleet.daemons {
            daemon.settings.grace_s = GRACE_AFTER;
            daemon.write_settings().map_err(|e| e.to_string())?;
            daemon.signal("-HUP");
        }
    }
    sleep(RELOAD_TIME);
    // The same load all the time: more clients than the replicas have room for.
    site.replicas.iter().for_each(|replica| replica.set_work(WORK));
    let has_stopped = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (record, has_stopped) = (record.clone(), has_stopped.clone());
        let address = site.fleet.daemons[number % ZONES.len()].front();
        clients.push(std::thread::spawn(move || {
            let mut replies = Vec::new();
            while !has_stopped.load(Ordering::SeqCst) {
                replies.push(send(address, &record));
                sleep(PAUSE);
            }
            replies
        }));
    }
    sleep(LOAD_TIME);
    let stopped = &mut site.fleet.daemons[0];
    stopped.signal("-TERM");
    if !stopped.wait_for_end(Duration::from_secs(GRACE_AFTER.into())) {
        record.line("the grace time is over");
        stopped.kill();
    }
    has_stopped.store(true, Ordering::SeqCst);
    let replies: Vec<_> =
        clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    let runs = site.runs.all();
    let was_run = |reply: &Reply| runs.iter().any(|run| run.request == reply.request);
    // A request that a replica still ran is excused.
    let cut: Vec<_> = replies
        .iter()
        .filter(|reply| reply.status == 0 && reply.waited > SLACK && !was_run(reply))
        .collect();
    for reply in &cut {
        let waited = reply.waited.as_millis();
        record.line(&format!("{} was cut after {waited} ms and ran nowhere", reply.request));
    }
    record.line(&format!("{} of {} charges were read and cut", cut.len(), replies.len()));
    site.fleet.daemons[0].record_log("daemon: s");
    Ok(!cut.is_empty())
}
