//! The replicas of a service fail a part of the requests that they run, with status 503 and without
//! the header that says that a request did not run.

use super::Site;
use crate::record::Record;
use crate::replica::Fault;
use std::sync::Arc;
use std::time::Duration;

/// Of so many requests each replica fails one.
const FAILED_ONE_OF: u64 = 3;

/// The rounds of charges, and the pause after each.
const ROUNDS: usize = 80;
const PAUSE: Duration = Duration::from_millis(200);

/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let site = Site::start("non_idempotent", 6, record)?;
    if trouble {
        for replica in &site.replicas {
            replica.set_fault(Fault::Unavailable, FAILED_ONE_OF);
        }
    }
    let replies = site.send_rounds(ROUNDS, PAUSE);
    let runs = site.runs.all();
    let broken = replies.iter().filter(|reply| {
        let has_run = runs.iter().any(|run| run.request == reply.request);
        PROMISES.contains(&reply.status) && has_run
    });
    let broken: Vec<_> = broken.collect();
    for reply in &broken {
        record.line(&format!("{} has run and was answered {}", reply.request, reply.status));
    }
    record.line(&format!(
        "{} of {} charges have run and were answered with the promise that they have not",
        broken.len(),
        replies.len()
    ));
    site.fleet.daemons.iter().for_each(|daemon| daemon.record_log("error_status"));
    Ok(!broken.is_empty())
}
