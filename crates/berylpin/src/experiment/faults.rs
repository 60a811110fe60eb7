//! Injects the faults of a scenario.

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

/// Time between the publications of a snapshot at two successive replicas.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// How long the balancer still routes callers to a daemon that was stopped or killed.
const BALANCER_LAG: Duration = Duration::from_millis(150);

/// Records of the injected faults that the report evaluates.
#[derive(Default)]
pub(super) struct FaultRecord {
    /// Index of each daemon that was stopped gracefully, and when its shutdown began.
    pub(super) stops: Vec<(usize, Instant)>,
    pub(super) edits: Vec<JoinHandle<EditOutcome>>,
    shutdowns: Vec<JoinHandle<()>>,
}

impl FaultRecord {
    /// Waits until all stopped and killed daemons have shut down.
    pub(super) async fn wait_for_shutdowns(&mut self) {
        wait_for_shutdowns(std::mem::take(&mut self.shutdowns)).await;
    }
}

/// Activates a fault, or deactivates it.
///
/// Faults that cannot be undone, such as a stopped daemon, ignore the deactivation.
pub(super) async fn set_fault(
    testbed: &mut Testbed,
    fault: &Fault,
    active: bool,
    record: &mut FaultRecord,
) -> Result<(), TestbedError> {
    match &fault.action {
        Action::Upstream(action) => set_upstreams(testbed, action, active),
        Action::LoseReplies(selector) => {
            for replica in
                testbed.replicas.iter().filter(|r| selector.matches(&r.service, r.number))
            {
                replica.upstream.ledger().set_lose_replies(active);
            }
        }
        Action::DrainByDocument(selector) => drain_by_document(testbed, selector, active),
        Action::Platform(action) => testbed.platform.set_faults(platform_faults(action, active)),
        Action::Cut { between: [a, b] } => testbed.net.set_cut(Zone(*a), Zone(*b), active),
        // The load drivers read the factor by `Scenario::load_factor`.
        Action::Load { .. } => {}
        _ if !active => {}
        Action::Version { group } => publish_snapshot(testbed, group),
        Action::Repartition { service } => {
            if let Some(index) = split_shard(&mut testbed.documents, service) {
                testbed.store_document(index);
            }
        }
        Action::Stop { daemon } => stop_daemon(testbed, *daemon, true, record),
        Action::Kill { daemon } => stop_daemon(testbed, *daemon, false, record),
        Action::Pause { daemon } => {
            let duration = Duration::from_secs_f64(fault.for_s.unwrap_or(1.0));
            if let Some(daemon) = &testbed.hosts[*daemon].daemon {
                daemon.pause(duration);
            }
        }
        Action::Replace { daemon } => {
            testbed.add_daemon(*daemon).await?;
            testbed.wait_ready().await?;
            stop_daemon(testbed, *daemon, true, record);
        }
        Action::Silence {} => testbed.net.silence_connections(),
        Action::Config { editors } => {
            for editor in 0..*editors {
                record
                    .edits
                    .push(tokio::spawn(canary::run_editor(testbed.admin_addresses(), editor)));
            }
        }
    }
    Ok(())
}

fn set_upstreams(testbed: &Testbed, action: &UpstreamAction, active: bool) {
    let faults = UpstreamFaults {
        slowdown: action.slowdown.unwrap_or(1.0),
        dead: action.dead,
        lying: action.lying,
        draining: action.draining,
        cold_start: Duration::from_millis(action.cold_start_ms),
        payload: action.payload,
    };
    let faults = if active { faults } else { UpstreamFaults::default() };
    for replica in &testbed.replicas {
        if action.selector.matches(&replica.service, replica.number) {
            replica.upstream.set_faults(faults);
            if action.draining {
                replica.upstream.mark_drain(active);
            }
        }
    }
}

fn drain_by_document(testbed: &mut Testbed, selector: &ReplicaSelector, active: bool) {
    for index in 0..testbed.documents.len() {
        let service = testbed.documents[index].service.clone();
        if !service.starts_with(&selector.service) {
            continue;
        }
        for replica in testbed.replicas.iter().filter(|r| r.service == service) {
            if selector.matches(&service, replica.number) {
                replica.upstream.mark_drain(active);
                testbed.documents[index].replicas[replica.number].drain = active;
            }
        }
        testbed.store_document(index);
    }
}

fn platform_faults(action: &PlatformAction, active: bool) -> PlatformFaults {
    if !active {
        return PlatformFaults::default();
    }
    PlatformFaults {
        down: action.down,
        delay: Duration::from_millis(action.delay_ms),
        lose_answers: action.lose_answers,
        stale: action.stale,
    }
}

/// Publishes a new snapshot at the replicas of a group, one after the other.
fn publish_snapshot(testbed: &Testbed, group: &str) {
    let replicas = testbed.replicas.iter().filter(|replica| replica.group == group);
    let upstreams: Vec<_> = replicas.map(|replica| Arc::clone(&replica.upstream)).collect();
    tokio::spawn(async move {
        for upstream in upstreams {
            upstream.publish_snapshot();
            sleep(PUBLISH_INTERVAL).await;
        }
    });
}

/// Splits the only shard of a service in two; returns the index of the service's document.
pub(super) fn split_shard(documents: &mut [Document], service: &str) -> Option<usize> {
    let index = documents.iter().position(|document| document.service == service)?;
    documents[index].shards = ["low", "high"].map(str::to_owned).to_vec();
    Some(index)
}

/// Stops or kills a daemon; the balancer removes it after [`BALANCER_LAG`].
fn stop_daemon(testbed: &mut Testbed, index: usize, graceful: bool, record: &mut FaultRecord) {
    if graceful {
        record.stops.push((index, Instant::now()));
    }
    record.shutdowns.extend(testbed.stop_daemon(index, graceful));
    let balancer = testbed.balancer.clone();
    tokio::spawn(async move {
        sleep(BALANCER_LAG).await;
        balancer.set_entry(index, None);
    });
}
