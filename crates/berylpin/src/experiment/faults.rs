//! Carries out the faults of a scenario.

use super::canary::{self, EditOutcome};
use super::scenario::{Action, Fault, PlatformAction, ReplicaSelector, UpstreamAction};
use crate::testbed::{Testbed, TestbedError, wait_for_shutdowns};
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
    pub(super) edits: Vec<JoinHandle<EditOutcome>>,
    endings: Vec<JoinHandle<()>>,
}

impl FaultLog {
    /// Waits until all daemons that were told to end have ended.
    pub(super) async fn settle(&mut self) {
        wait_for_shutdowns(std::mem::take(&mut self.endings)).await;
    }
}

/// Applies a fault, or heals it.
pub(super) async fn carry_out(
    testbed: &mut Testbed,
    fault: &Fault,
    apply: bool,
    log: &mut FaultLog,
) -> Result<(), TestbedError> {
    match &fault.action {
        Action::Upstream(action) => set_upstreams(testbed, action, apply),
        Action::LoseReplies(selector) => {
            for replica in
                testbed.replicas.iter().filter(|r| selector.matches(&r.service, r.number))
            {
                replica.upstream.ledger().set_lose_replies(apply);
            }
        }
        Action::DrainByDocument(selector) => drain_by_document(testbed, selector, apply),
        Action::Platform(action) => testbed.platform.set_faults(platform_faults(action, apply)),
        Action::Cut { between: [a, b] } => testbed.net.set_cut(Zone(*a), Zone(*b), apply),
        // The driver reads the factor from the timeline.
        Action::Load { .. } => {}
        _ if !apply => {}
        Action::Version { group } => publish(testbed, group),
        Action::Repartition { service } => {
            if let Some(at) = split(&mut testbed.documents, service) {
                testbed.store_document(at);
            }
        }
        Action::Stop { daemon } => end(testbed, *daemon, true, log),
        Action::Kill { daemon } => end(testbed, *daemon, false, log),
        Action::Pause { daemon } => {
            let length = Duration::from_secs_f64(fault.for_s.unwrap_or(1.0));
            if let Some(daemon) = &testbed.hosts[*daemon].daemon {
                daemon.pause(length);
            }
        }
        Action::Replace { daemon } => {
            testbed.add_daemon(*daemon).await?;
            testbed.wait_ready().await?;
            end(testbed, *daemon, true, log);
        }
        Action::Silence {} => testbed.net.silence(),
        Action::Config { editors } => {
            for number in 0..*editors {
                log.edits.push(tokio::spawn(canary::run_editor(testbed.admin_addresses(), number)));
            }
        }
    }
    Ok(())
}

fn set_upstreams(testbed: &Testbed, action: &UpstreamAction, apply: bool) {
    let faults = UpstreamFaults {
        slowdown: action.slowdown.unwrap_or(1.0),
        dead: action.dead,
        lying: action.lying,
        draining: action.draining,
        cold_start: Duration::from_millis(action.cold_start_ms),
        payload: action.payload,
    };
    let faults = if apply { faults } else { UpstreamFaults::default() };
    for replica in &testbed.replicas {
        if action.selector.matches(&replica.service, replica.number) {
            replica.upstream.set_faults(faults);
            if action.draining {
                replica.upstream.mark_drain(apply);
            }
        }
    }
}

fn drain_by_document(testbed: &mut Testbed, selector: &ReplicaSelector, apply: bool) {
    for at in 0..testbed.documents.len() {
        let service = testbed.documents[at].service.clone();
        if !service.starts_with(&selector.service) {
            continue;
        }
        for replica in testbed.replicas.iter().filter(|r| r.service == service) {
            if selector.matches(&service, replica.number) {
                replica.upstream.mark_drain(apply);
                testbed.documents[at].replicas[replica.number].drain = apply;
            }
        }
        testbed.store_document(at);
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
fn publish(testbed: &Testbed, group: &str) {
    let replicas = testbed.replicas.iter().filter(|replica| replica.group == group);
    let upstreams: Vec<_> = replicas.map(|replica| Arc::clone(&replica.upstream)).collect();
    tokio::spawn(async move {
        for upstream in upstreams {
            upstream.advance();
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

fn end(testbed: &mut Testbed, index: usize, graceful: bool, log: &mut FaultLog) {
    if graceful {
        log.stops.push((index, Instant::now()));
    }
    log.endings.extend(testbed.stop_daemon(index, graceful));
    let balancer = testbed.balancer.clone();
    tokio::spawn(async move {
        sleep(BALANCER_LAG).await;
        balancer.set(index, None);
    });
}
