//! The format of scenario files.

use berylpin_core::rank::Rank;
use berylpin_standin::sites::Site;
use berylpin_standin::upstream::Payload;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Maximum duration of a run's load, without start and shutdown.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(32);

/// Why a scenario file is rejected.
#[derive(Debug, Error)]
pub(crate) enum ScenarioError {
    #[error("{}: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", path.display())]
    Syntax { path: PathBuf, source: toml::de::Error },
    #[error("{}: {key}: {problem}", path.display())]
    Value { path: PathBuf, key: &'static str, problem: String },
}

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// The name of the experiment.
    pub(crate) name: String,
    /// The customer's site that stand-ins simulate: `rizzo` or `kalipsan`.
    pub(crate) site: String,
    /// Number of daemons, from 1 to 20.
    #[serde(default = "default_daemons")]
    pub(crate) daemons: usize,
    /// Duration of the baseline phase, which has no faults, in seconds.
    pub(crate) baseline_s: f64,
    /// Duration of the fault phase, which follows the baseline phase, in seconds.
    pub(crate) fault_s: f64,
    /// Extra load and useful work are measured from this many seconds after the start of the fault
    /// phase.
    #[serde(default)]
    pub(crate) settle_s: f64,
    /// Median service time of lookups, in milliseconds; the site's if absent.
    pub(crate) service_time_ms: Option<u64>,
    /// Allowed hedges and retries as a fraction of sub-queries, in all service documents; the
    /// daemon's default if absent.
    pub(crate) extra_load: Option<f64>,
    /// The service or group whose useful work is reported; all if absent.
    pub(crate) useful_work_of: Option<String>,
    /// The state whose recovery time is measured.
    pub(crate) recovery: Recovery,
    /// Start of the recovery time, in seconds after the start of the fault phase.
    #[serde(default)]
    pub(crate) recovery_from_s: f64,
    /// Number of faults to inject, selected at random by the seed; all if absent.
    pub(crate) choose: Option<usize>,
    /// The streams of queries.
    pub(crate) load: Vec<Load>,
    /// The stream of non-idempotent requests; none if absent.
    pub(crate) charges: Option<Charges>,
    #[serde(default)]
    pub(crate) fault: Vec<Fault>,
}

fn default_daemons() -> usize {
    9
}

/// The state whose recovery time is measured: the time until the last deviation from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Recovery {
    /// No recovery time is measured.
    None,
    /// Every query receives a complete answer.
    Coverage,
    /// Every daemon routes by the newest version of the canary's document.
    Config,
    /// Draining upstreams receive no lookups.
    Drain,
}

/// A stream of queries.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Load {
    pub(crate) target: String,
    pub(crate) rank: Rank,
    /// Queries per second.
    pub(crate) rate: f64,
}

/// A stream of non-idempotent requests that callers resend while their outcome is unknown.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Charges {
    pub(crate) service: String,
    /// Requests per second.
    pub(crate) rate: f64,
}

/// One fault on the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fault {
    /// Start of the fault, in seconds after the start of the fault phase.
    pub(crate) at_s: f64,
    /// Duration of the fault, in seconds; until the end of the run if absent.
    pub(crate) for_s: Option<f64>,
    #[serde(rename = "what")]
    pub(crate) action: Action,
}

/// The effect of a fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Action {
    /// Faults are set at the matching replicas.
    Upstream(UpstreamAction),
    /// Replicas execute non-idempotent requests and respond with an error status.
    LoseReplies(ReplicaSelector),
    /// Replicas are drained by a change of their service's document.
    DrainByDocument(ReplicaSelector),
    /// The rates of the matching streams are multiplied by a factor.
    Load { target: Option<String>, rank: Option<Rank>, factor: f64 },
    /// The replicas of a group publish their next snapshot and evict the oldest, one replica after
    /// the other.
    Version { group: String },
    /// The only shard of a service is split in two.
    Repartition { service: String },
    /// A daemon is stopped gracefully.
    Stop { daemon: usize },
    /// A daemon is killed.
    Kill { daemon: usize },
    /// All threads of a daemon are paused for the duration of the fault, 1 s if absent.
    Pause { daemon: usize },
    /// A daemon is stopped gracefully once a new one in its data centre is ready.
    Replace { daemon: usize },
    /// Faults are set at the platform.
    Platform(PlatformAction),
    /// The network between two zones is cut; zone 9 is the platform.
    Cut { between: [u8; 2] },
    /// Connections that are open when the fault starts transfer nothing from then on but are not
    /// closed; later connections work.
    Silence {},
    /// Concurrent editors change the canary's document.
    Config { editors: usize },
}

/// Selects replicas by service and position.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ReplicaSelector {
    /// A prefix of the service's name.
    pub(crate) service: String,
    /// The replica's position within its service, from 0; all if absent.
    pub(crate) replica: Option<usize>,
}

/// Faults of replicas; the fields are those of `UpstreamFaults`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamAction {
    #[serde(rename = "pick")]
    pub(crate) selector: ReplicaSelector,
    /// Factor on service times; 1 if absent.
    pub(crate) slowdown: Option<f64>,
    /// Requests fail immediately with status 500, and health checks fail unless `lying`.
    #[serde(default)]
    pub(crate) dead: bool,
    /// Health checks succeed even if `dead`, and the reported load is zero.
    #[serde(default)]
    pub(crate) lying: bool,
    /// New requests are refused with the headers of a draining upstream.
    #[serde(default)]
    pub(crate) draining: bool,
    /// Duration of a cold start, in which service times are longer, in milliseconds.
    #[serde(default)]
    pub(crate) cold_start_ms: u64,
    /// How the bodies of successful lookups are corrupted; correct if absent.
    #[serde(default)]
    pub(crate) payload: Payload,
}

/// Faults of the platform; the fields are those of `PlatformFaults`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformAction {
    /// Every call fails.
    #[serde(default)]
    pub(crate) down: bool,
    /// Extra latency of every call, in milliseconds.
    #[serde(default)]
    pub(crate) delay_ms: u64,
    /// Every change is stored but answered with a gateway timeout.
    #[serde(default)]
    pub(crate) lose_answers: bool,
    /// Lists, reads and watches return the objects as of the start of the fault.
    #[serde(default)]
    pub(crate) stale: bool,
}

impl ReplicaSelector {
    /// Returns whether the selector matches a replica, given its service and position.
    pub(crate) fn matches(&self, service: &str, number: usize) -> bool {
        service.starts_with(&self.service) && self.replica.is_none_or(|replica| replica == number)
    }
}

impl Scenario {
    /// Reads and validates a scenario file.
    pub(crate) fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Unreadable { path: path.to_owned(), source })?;
        let scenario: Self = toml::from_str(&text)
            .map_err(|source| ScenarioError::Syntax { path: path.to_owned(), source })?;
        match scenario.validate() {
            Ok(()) => Ok(scenario),
            Err((key, problem)) => {
                Err(ScenarioError::Value { path: path.to_owned(), key, problem })
            }
        }
    }

    /// Returns the key of the first invalid value and the problem.
    fn validate(&self) -> Result<(), (&'static str, String)> {
        if Site::by_name(&self.site).is_none() {
            return Err(("site", format!("`{}` is neither `rizzo` nor `kalipsan`", self.site)));
        }
        if !(1..=20).contains(&self.daemons) {
            return Err(("daemons", format!("{} is not from 1 to 20", self.daemons)));
        }
        let limit = MAX_LOAD_DURATION.as_secs_f64();
        let phases = [self.baseline_s, self.fault_s];
        if phases.iter().any(|phase| !(1.0..=limit).contains(phase))
            || phases[0] + phases[1] > limit
        {
            let problem =
                format!("both phases must be at least 1 s and together at most {limit} s");
            return Err(("baseline_s, fault_s", problem));
        }
        if self.load.iter().any(|load| !(0.0..=10_000.0).contains(&load.rate)) {
            return Err(("load.rate", "must be from 0 to 10000".to_owned()));
        }
        let times = self.fault.iter().flat_map(|fault| [Some(fault.at_s), fault.for_s]).flatten();
        if times.into_iter().any(|time| !(0.0..=limit).contains(&time)) {
            return Err(("fault", format!("times must be from 0 to {limit} s")));
        }
        let daemon = |fault: &Fault| match fault.action {
            Action::Stop { daemon }
            | Action::Kill { daemon }
            | Action::Pause { daemon }
            | Action::Replace { daemon } => daemon,
            _ => 0,
        };
        if self.fault.iter().any(|fault| daemon(fault) >= self.daemons) {
            return Err((
                "fault.what.daemon",
                "indexes of daemons start at 0 and must be less than `daemons`".to_owned(),
            ));
        }
        Ok(())
    }

    /// Keeps a random selection of [`choose`](Self::choose) faults, determined by the seed.
    pub(crate) fn choose_faults(&mut self, seed: u64) {
        if let Some(count) = self.choose {
            let mut rng = SmallRng::seed_from_u64(seed);
            self.fault = self.fault.choose_multiple(&mut rng, count).cloned().collect();
        }
    }

    /// Returns the factor of a stream's rate at a time, in seconds after the start of the fault
    /// phase.
    pub(crate) fn load_factor(&self, stream: &Load, second: f64) -> f64 {
        let factor = |fault: &Fault| {
            let Action::Load { target, rank, factor } = &fault.action else { return 1.0 };
            let end = fault.for_s.map_or(f64::INFINITY, |duration| fault.at_s + duration);
            let applies = (fault.at_s..end).contains(&second)
                && target.as_ref().is_none_or(|target| *target == stream.target)
                && rank.is_none_or(|rank| rank == stream.rank);
            if applies { *factor } else { 1.0 }
        };
        self.fault.iter().map(factor).product()
    }
}

#[cfg(test)]
mod tests;
