//! Carries out the faults of a scenario.

use super::canary::{self, Edit};
use super::scenario::{Action, Fault, Pick, PlatformAction, UpstreamAction};
use crate::bench::{Bench, BenchError, wait_for_ends};
use berylpin_standin::net::Zone;
use berylpin_standin::platform::PlatformFaults;
use berylpin_standin::sites::Document;
use berylpin_standin::upstream::UpstreamFaults;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time between two replicas that publish a snapshot.
const PUBLISH_GAP: Duration = Duration::from_millis(20);

/// How long the balancer goes on sending callers to a daemon that stops or is gone.
const BALANCER_LAG: Duration = Duration::from_millis(150);

/// What faults leave behind for the report.
#[derive(Default)]
pub(super) struct FaultLog {
    /// Daemons that were stopped gracefully, and when.
    pub(super) stops: Vec<(usize, Instant)>,
    pub(super) edits: Vec<JoinHandle<Edit>>,
    endings: Vec<JoinHandle<()>>,
}

impl FaultLog {
    /// Waits until all daemons that were told to end have ended.
    pub(super) async fn settle(&mut self) {
        wait_for_ends(std::mem::take(&mut self.endings)).await;
    }
}

/// Applies a fault, or heals it.
pub(super) async fn carry_out(
    bench: &mut Bench,
    fault: &Fault,
    apply: bool,
    log: &mut FaultLog,
) -> Result<(), BenchError> {
    match &fault.what {
        Action::Upstream(action) => set_upstreams(bench, action, apply),
        Action::LoseReplies(pick) => {
            for replica in bench.replicas.iter().filter(|r| pick.names(&r.service, r.number)) {
                replica.upstream.ledger().set_lose_replies(apply);
            }
        }
        Action::DrainByDocument(pick) => drain_by_document(bench, pick, apply),
        Action::Platform(action) => bench.platform.set_faults(platform_faults(action, apply)),
        Action::Cut { between: [a, b] } => bench.net.set_cut(Zone(*a), Zone(*b), apply),
        // The driver reads the factor from the timeline.
        Action::Load { .. } => {}
        _ if !apply => {}
        Action::Version { group } => publish(bench, group),
        Action::Repartition { service } => {
            if let Some(at) = split(&mut bench.documents, service) {
                bench.store(at);
            }
        }
        Action::Stop { daemon } => end(bench, *daemon, true, log),
        Action::Kill { daemon } => end(bench, *daemon, false, log),
        Action::Pause { daemon } => {
            let length = Duration::from_secs_f64(fault.for_s.unwrap_or(1.0));
            if let Some(daemon) = &bench.entries[*daemon].daemon {
                daemon.pause(length);
            }
        }
        Action::Replace { daemon } => {
            bench.add_daemon(*daemon).await?;
            bench.wait_ready().await?;
            end(bench, *daemon, true, log);
        }
        Action::Silence {} => bench.net.silence_connections(),
        Action::Config { editors } => {
            for number in 0..*editors {
                log.edits.push(tokio::spawn(canary::edit(bench.admins(), number)));
            }
        }
    }
    Ok(())
}

fn set_upstreams(bench: &Bench, action: &UpstreamAction, apply: bool) {
    let faults = UpstreamFaults {
        slowdown: action.slowdown.unwrap_or(1.0),
        dead: action.dead,
        lying: action.lying,
        draining: action.draining,
        cold_start: Duration::from_millis(action.cold_start_ms),
        payload: action.payload,
    };
    let faults = if apply { faults } else { UpstreamFaults::default() };
    for replica in &bench.replicas {
        if action.pick.names(&replica.service, replica.number) {
            replica.upstream.set_faults(faults);
            if action.draining {
                replica.upstream.mark_drain(apply);
            }
        }
    }
}

fn drain_by_document(bench: &mut Bench, pick: &Pick, apply: bool) {
    for at in 0..bench.documents.len() {
        let service = bench.documents[at].service.clone();
        if !service.starts_with(&pick.service) {
            continue;
        }
        for replica in bench.replicas.iter().filter(|r| r.service == service) {
            if pick.names(&service, replica.number) {
                replica.upstream.mark_drain(apply);
                bench.documents[at].replicas[replica.number].drain = apply;
            }
        }
        bench.store(at);
    }
}

fn platform_faults(action: &PlatformAction, apply: bool) -> PlatformFaults {
    if !apply {
        return PlatformFaults::default();
    }
    PlatformFaults {
        down: action.down,
        delay: Duration::from_millis(action.delay_ms),
        lose_answers: action.lose_answers,
        stale: action.stale,
    }
}

/// Publishes a snapshot at the replicas of a group, one after the other.
fn publish(bench: &Bench, group: &str) {
    let replicas = bench.replicas.iter().filter(|replica| replica.group == group);
    let upstreams: Vec<_> = replicas.map(|replica| Arc::clone(&replica.upstream)).collect();
    tokio::spawn(async move {
        for upstream in upstreams {
            upstream.publish_snapshot();
            sleep(PUBLISH_GAP).await;
        }
    });
}

/// Splits the shard of a service in two and returns the position of its document.
pub(super) fn split(documents: &mut [Document], service: &str) -> Option<usize> {
    let at = documents.iter().position(|document| document.service == service)?;
    documents[at].shards = ["low", "high"].map(str::to_owned).to_vec();
    Some(at)
}

fn end(bench: &mut Bench, index: usize, graceful: bool, log: &mut FaultLog) {
    if graceful {
        log.stops.push((index, Instant::now()));
    }
    log.endings.extend(bench.end_daemon(index, graceful));
    let balancer = bench.balancer.clone();
    tokio::spawn(async move {
        sleep(BALANCER_LAG).await;
        balancer.set_entry(index, None);
    });
}
