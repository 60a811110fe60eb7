//! Runs a scenario: starts the testbed, drives the load and injects faults on schedule.

use super::canary::{self, Observation, Observations};
use super::faults::{FaultRecord, set_fault, split_shard};
use super::report::{Report, RunData};
use super::scenario::{Action, Charges, Scenario};
use super::usage::{control_cpu_s, memory_mb};
use crate::testbed::{Testbed, TestbedError, TotalWork};
use berylpin_daemon::Log;
use berylpin_standin::charges::{Charge, drive_charges};
use berylpin_standin::checker::Layout;
use berylpin_standin::load::{QueryStream, Sample, caller_client, drive_queries};
use berylpin_standin::sites::{Document, LATENCY_TARGETS, Site};
use serde::Serialize;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Time that the daemons run before the first measurement.
const WARM_UP_PERIOD: Duration = Duration::from_secs(1);

/// Duration of the measurement of the control cost, without load.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

/// Cost of the daemons' control without load.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ControlCost {
    /// Processor time of the control thread as a share of a core, mean over daemons.
    pub(crate) cpu_share: f64,
    /// Bytes between daemons and to and from the platform, per second and daemon.
    pub(crate) bytes_per_s: f64,
    /// Calls to the platform per second, sum over daemons.
    pub(crate) platform_calls_per_s: f64,
}

/// Runs a scenario and returns its report.
pub(crate) async fn run(
    mut scenario: Scenario,
    seed: u64,
    log: Log,
) -> Result<Report, TestbedError> {
    scenario.choose_faults(seed);
    let site = scenario_site(&scenario);
    let extra_load = scenario.extra_load;
    let customize = |document: &mut Document| {
        document.extra_load = extra_load;
    };
    let mut testbed = Testbed::start(&site, scenario.daemons, (seed, log), customize).await?;
    testbed.wait_ready().await?;
    sleep(WARM_UP_PERIOD).await;
    let control = measure_control(&testbed).await;

    let start = Instant::now();
    let fault_start = start + Duration::from_secs_f64(scenario.baseline_s);
    let end = fault_start + Duration::from_secs_f64(scenario.fault_s);
    let streams = load_streams(&testbed, &scenario, &site);
    let drivers = start_load(&testbed, &scenario, &streams, seed, (fault_start, end));
    let charges = start_charges(&testbed, &scenario, seed, end);
    let observations = Observations::default();
    let mut pollers = spawn_pollers(&testbed, &observations);

    let mut fault_record = FaultRecord::default();
    let mut work_readings = vec![(start, testbed.total_work())];
    for event in timeline(&scenario, fault_start) {
        sleep_until(event.at).await;
        let Some(fault) = event.fault else {
            work_readings.push((event.at, testbed.total_work()));
            continue;
        };
        let (index, active) = fault;
        set_fault(&mut testbed, &scenario.fault[index], active, &mut fault_record).await?;
        // The fault may have started or stopped a daemon.
        pollers.abort_all();
        pollers = spawn_pollers(&testbed, &observations);
    }
    let samples = drivers.join_all().await.concat();
    work_readings.push((end, testbed.total_work()));
    let charges = charges.join_all().await.concat();
    fault_record.wait_for_shutdowns().await;
    let mut edits = Vec::new();
    for edit in fault_record.edits.drain(..) {
        edits.push(edit.await.unwrap_or(canary::EditOutcome::Unknown));
    }
    pollers.shutdown().await;
    let observations = observations.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let memory_mb = memory_mb();
    let data = RunData {
        scenario: &scenario,
        seed,
        streams: &streams,
        samples: &samples,
        charges: &charges,
        observations: &observations,
        work_readings: &work_readings,
        stops: &fault_record.stops,
        edits: &edits,
        start,
        fault_start,
        control,
        memory_mb,
    };
    let report = Report::new(&data, &testbed);
    testbed.stop().await;
    Ok(report)
}

/// Returns the scenario's site with the canary's group and the scenario's service time.
fn scenario_site(scenario: &Scenario) -> Site {
    let mut site = Site::by_name(&scenario.site).expect("`Scenario::load` validates the site");
    site.groups.push(canary::group());
    if let Some(time) = scenario.service_time_ms {
        for group in &mut site.groups {
            group.upstream.service_time = Duration::from_millis(time);
        }
    }
    site
}

async fn measure_control(testbed: &Testbed) -> ControlCost {
    let read = || (control_cpu_s(), testbed.net.control_bytes(), testbed.platform.calls());
    let before = read();
    sleep(IDLE_PERIOD).await;
    let after = read();
    let seconds = IDLE_PERIOD.as_secs_f64();
    let daemons = testbed.hosts.len() as f64;
    ControlCost {
        cpu_share: (after.0 - before.0) / seconds / daemons,
        bytes_per_s: (after.1 - before.1) as f64 / seconds / daemons,
        platform_calls_per_s: (after.2 - before.2) as f64 / seconds,
    }
}

/// Returns the query streams, in the order of the scenario's loads.
fn load_streams(testbed: &Testbed, scenario: &Scenario, site: &Site) -> Vec<QueryStream> {
    let stream = |load: &super::scenario::Load| QueryStream {
        rank: load.rank,
        target: load.target.clone(),
        rate: load.rate,
        deadline: LATENCY_TARGETS[load.rank.index()],
        client_delay: site.client_delay,
        layouts: target_layouts(testbed, scenario, &load.target),
    };
    scenario.load.iter().map(stream).collect()
}

/// Returns the shards of a target at the start and after each repartition.
fn target_layouts(testbed: &Testbed, scenario: &Scenario, target: &str) -> Arc<[Layout]> {
    let mut documents = testbed.documents.clone();
    let mut layouts = vec![crate::testbed::layout(&documents, target)];
    for fault in &scenario.fault {
        if let Action::Repartition { service } = &fault.action {
            split_shard(&mut documents, service);
            layouts.push(crate::testbed::layout(&documents, target));
        }
    }
    layouts.into()
}

fn start_load(
    testbed: &Testbed,
    scenario: &Scenario,
    streams: &[QueryStream],
    seed: u64,
    (fault_start, end): (Instant, Instant),
) -> JoinSet<Vec<Sample>> {
    let client = caller_client();
    let mut drivers = JoinSet::new();
    for (index, stream) in streams.iter().enumerate() {
        let (scenario, load) = (scenario.clone(), scenario.load[index].clone());
        let factor = move |at: Instant| {
            // A negative time stands for the baseline phase, in which no fault applies.
            let second = at.checked_duration_since(fault_start).map_or(-1.0, |d| d.as_secs_f64());
            scenario.load_factor(&load, second)
        };
        let caller = (testbed.balancer.clone(), client.clone());
        let seed = seed * 100 + index as u64;
        drivers.spawn(drive_queries(caller, (index, stream.clone()), end, seed, factor));
    }
    drivers
}

fn start_charges(
    testbed: &Testbed,
    scenario: &Scenario,
    seed: u64,
    end: Instant,
) -> JoinSet<Vec<Charge>> {
    let mut drivers = JoinSet::new();
    for Charges { service, rate } in scenario.charges.iter().cloned() {
        let caller = (testbed.balancer.clone(), caller_client());
        drivers.spawn(drive_charges(caller, (service, rate), end, seed));
    }
    drivers
}

fn spawn_pollers(testbed: &Testbed, observations: &Observations) -> JoinSet<()> {
    let client = caller_client();
    let mut pollers = JoinSet::new();
    for (daemon, address) in testbed.caller_addresses() {
        pollers.spawn(canary::poll_daemon(client.clone(), daemon, address, observations.clone()));
    }
    pollers
}

/// A scheduled event of a run.
struct TimelineEvent {
    at: Instant,
    /// The index of a fault and whether it becomes active; `None` to read the total work.
    fault: Option<(usize, bool)>,
}

/// Returns the start and the end of each fault and the second reading of work, ordered by time.
fn timeline(scenario: &Scenario, fault_start: Instant) -> Vec<TimelineEvent> {
    let at = |seconds: f64| fault_start + Duration::from_secs_f64(seconds);
    let mut events = vec![TimelineEvent { at: at(scenario.settle_s), fault: None }];
    for (index, fault) in scenario.fault.iter().enumerate() {
        events.push(TimelineEvent { at: at(fault.at_s), fault: Some((index, true)) });
        let end = fault.for_s.map(|duration| at(fault.at_s + duration));
        events.extend(end.map(|at| TimelineEvent { at, fault: Some((index, false)) }));
    }
    events.sort_by_key(|event| event.at);
    events
}

/// The total work of all upstreams at one point in time.
pub(super) type WorkReading = (Instant, TotalWork);

/// Returns the observations of one daemon, in order of time.
pub(super) fn observations_of(observations: &[Observation], daemon: usize) -> Vec<Observation> {
    observations.iter().copied().filter(|observation| observation.daemon == daemon).collect()
}
