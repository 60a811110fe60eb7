//! Runs a scenario.

use super::canary::{self, Observation, Observations};
use super::faults::{FaultLog, carry_out, split};
use super::report::{Facts, Report};
use super::scenario::{Action, Charges, Scenario};
use super::usage::{control_cpu_s, memory_mb};
use crate::bench::{Bench, BenchError, TotalWork};
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

/// How long the system runs before anything is measured.
const WARM_UP: Duration = Duration::from_secs(1);

/// How long the system is left without load to measure what control costs.
const IDLE: Duration = Duration::from_secs(2);

/// What control costs a daemon while there is no load.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct ControlCost {
    /// Share of a core.
    pub(crate) cpu_share: f64,
    pub(crate) bytes_per_s: f64,
    /// Of all daemons together.
    pub(crate) platform_calls_per_s: f64,
}

/// Runs a scenario to its end.
pub(crate) async fn run(mut scenario: Scenario, seed: u64, log: Log) -> Result<Report, BenchError> {
    scenario.choose_faults(seed);
    let site = site_of(&scenario);
    let extra_load = scenario.extra_load;
    let edit = |document: &mut Document| {
        document.extra_load = extra_load;
    };
    let mut bench = Bench::start(&site, scenario.daemons, (seed, log), edit).await?;
    bench.wait_ready().await?;
    sleep(WARM_UP).await;
    let control = measure_control(&bench).await;

    let start = Instant::now();
    let fault_start = start + Duration::from_secs_f64(scenario.baseline_s);
    let end = fault_start + Duration::from_secs_f64(scenario.fault_s);
    let streams = streams(&bench, &scenario, &site);
    let drivers = start_load(&bench, &scenario, &streams, seed, (fault_start, end));
    let charges = start_charges(&bench, &scenario, seed, end);
    let observed = Observations::default();
    let mut watchers = watch_canary(&bench, &observed);

    let mut faults = FaultLog::default();
    let mut works = vec![(start, bench.work())];
    for event in timeline(&scenario, fault_start) {
        sleep_until(event.at).await;
        let Some(step) = event.step else {
            works.push((event.at, bench.work()));
            continue;
        };
        let (index, apply) = step;
        carry_out(&mut bench, &scenario.fault[index], apply, &mut faults).await?;
        watchers.abort_all();
        watchers = watch_canary(&bench, &observed);
    }
    let samples = drivers.join_all().await.concat();
    works.push((end, bench.work()));
    let charges = charges.join_all().await.concat();
    faults.settle().await;
    let mut edits = Vec::new();
    for edit in faults.edits.drain(..) {
        edits.push(edit.await.unwrap_or(canary::Edit::Unknown));
    }
    watchers.shutdown().await;
    let observations = observed.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let memory_mb = memory_mb();
    let facts = Facts {
        scenario: &scenario,
        seed,
        streams: &streams,
        samples: &samples,
        charges: &charges,
        observations: &observations,
        works: &works,
        stops: &faults.stops,
        edits: &edits,
        start,
        fault_start,
        control,
        memory_mb,
    };
    let report = Report::new(&facts, &bench);
    bench.stop().await;
    Ok(report)
}

fn site_of(scenario: &Scenario) -> Site {
    // The scenario was checked to name a site.
    let mut site = Site::by_name(&scenario.site).expect("the site exists");
    site.groups.push(canary::shape());
    if let Some(time) = scenario.service_time_ms {
        for group in &mut site.groups {
            group.upstream.service_time = Duration::from_millis(time);
        }
    }
    site
}

async fn measure_control(bench: &Bench) -> ControlCost {
    let read = || (control_cpu_s(), bench.net.control_bytes(), bench.platform.calls());
    let before = read();
    sleep(IDLE).await;
    let after = read();
    let seconds = IDLE.as_secs_f64();
    let daemons = bench.entries.len() as f64;
    ControlCost {
        cpu_share: (after.0 - before.0) / seconds / daemons,
        bytes_per_s: (after.1 - before.1) as f64 / seconds / daemons,
        platform_calls_per_s: (after.2 - before.2) as f64 / seconds,
    }
}

/// Returns the streams of the load, in the order of the file.
fn streams(bench: &Bench, scenario: &Scenario, site: &Site) -> Vec<QueryStream> {
    let make = |load: &super::scenario::Load| QueryStream {
        rank: load.rank,
        target: load.target.clone(),
        rate: load.rate,
        deadline: LATENCY_TARGETS[load.rank.index()],
        client_delay: site.client_delay,
        layouts: layouts(bench, scenario, &load.target),
    };
    scenario.load.iter().map(make).collect()
}

/// Returns the shards of a target before and after every repartition.
fn layouts(bench: &Bench, scenario: &Scenario, target: &str) -> Arc<[Layout]> {
    let mut documents = bench.documents.clone();
    let mut layouts = vec![crate::bench::layout(&documents, target)];
    for fault in &scenario.fault {
        if let Action::Repartition { service } = &fault.what {
            split(&mut documents, service);
            layouts.push(crate::bench::layout(&documents, target));
        }
    }
    layouts.into()
}

fn start_load(
    bench: &Bench,
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
            let second = at.checked_duration_since(fault_start).map_or(-1.0, |d| d.as_secs_f64());
            scenario.load_factor(&load, second)
        };
        let caller = (bench.balancer.clone(), client.clone());
        let seed = seed * 100 + index as u64;
        drivers.spawn(drive_queries(caller, (index, stream.clone()), end, seed, factor));
    }
    drivers
}

fn start_charges(
    bench: &Bench,
    scenario: &Scenario,
    seed: u64,
    end: Instant,
) -> JoinSet<Vec<Charge>> {
    let mut drivers = JoinSet::new();
    for Charges { service, rate } in scenario.charges.iter().cloned() {
        let caller = (bench.balancer.clone(), caller_client());
        drivers.spawn(drive_charges(caller, (service, rate), end, seed));
    }
    drivers
}

fn watch_canary(bench: &Bench, seen: &Observations) -> JoinSet<()> {
    let client = caller_client();
    let mut watchers = JoinSet::new();
    for (daemon, entry) in bench.callers() {
        watchers.spawn(canary::watch(client.clone(), daemon, entry, seen.clone()));
    }
    watchers
}

/// A moment of a run.
struct Event {
    at: Instant,
    /// A fault by its index and whether it is applied or healed; `None` to read the work done.
    step: Option<(usize, bool)>,
}

fn timeline(scenario: &Scenario, fault_start: Instant) -> Vec<Event> {
    let at = |seconds: f64| fault_start + Duration::from_secs_f64(seconds);
    let mut events = vec![Event { at: at(scenario.settle_s), step: None }];
    for (index, fault) in scenario.fault.iter().enumerate() {
        events.push(Event { at: at(fault.at_s), step: Some((index, true)) });
        let heals = fault.for_s.map(|length| at(fault.at_s + length));
        events.extend(heals.map(|at| Event { at, step: Some((index, false)) }));
    }
    events.sort_by_key(|event| event.at);
    events
}

/// The work of all upstreams at a moment.
pub(super) type WorkAt = (Instant, TotalWork);

/// The changes by which each daemon was seen to route, in order of time.
pub(super) fn by_daemon(observations: &[Observation], daemon: usize) -> Vec<Observation> {
    observations.iter().copied().filter(|seen| seen.daemon == daemon).collect()
}
