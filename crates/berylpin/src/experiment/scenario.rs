//! Scenario files.

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

/// The longest load of a run; start and stop come on top of it.
const LENGTH_LIMIT: Duration = Duration::from_secs(32);

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

/// A scenario as its file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    /// The name of the experiment.
    pub(crate) name: String,
    /// `rizzo` or `kalipsan`.
    pub(crate) site: String,
    #[serde(default = "default_daemons")]
    pub(crate) daemons: usize,
    /// The fault-free part, in seconds.
    pub(crate) baseline_s: f64,
    /// The part with faults, in seconds.
    pub(crate) fault_s: f64,
    /// Extra load and useful work count from this many seconds into the part with faults.
    #[serde(default)]
    pub(crate) settle_s: f64,
    /// The median service time of lookups, in milliseconds; the site's if absent.
    pub(crate) service_time_ms: Option<u64>,
    /// The share of extra load that documents allow; the product's default if absent.
    pub(crate) extra_load: Option<f64>,
    /// The group whose useful work is reported; all if absent.
    pub(crate) useful_work_of: Option<String>,
    /// What has to be as it should be again.
    pub(crate) recovery: Recovery,
    /// Recovery counts from this many seconds into the part with faults.
    #[serde(default)]
    pub(crate) recovery_from_s: f64,
    /// How many of the faults happen, chosen by the seed; all if absent.
    pub(crate) choose: Option<usize>,
    pub(crate) load: Vec<Load>,
    /// Non-idempotent requests; none if absent.
    pub(crate) charges: Option<Charges>,
    #[serde(default)]
    pub(crate) fault: Vec<Fault>,
}

fn default_daemons() -> usize {
    9
}

/// What has to be as it should be again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Recovery {
    /// Nothing is measured.
    None,
    /// Every query gets a complete answer.
    Coverage,
    /// Every daemon routes by the newest document.
    Config,
    /// Leaving upstreams get nothing.
    Drain,
}

/// A stream of queries.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Load {
    pub(crate) target: String,
    pub(crate) rank: Rank,
    /// Queries a second.
    pub(crate) rate: f64,
}

/// A stream of non-idempotent requests that callers send again when in doubt.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Charges {
    pub(crate) service: String,
    /// Requests a second.
    pub(crate) rate: f64,
}

/// One fault on the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fault {
    /// Seconds into the part with faults.
    pub(crate) at_s: f64,
    /// Healed after this many seconds; stays if absent.
    pub(crate) for_s: Option<f64>,
    pub(crate) what: Action,
}

/// What a fault does.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Action {
    /// Something is wrong at replicas.
    Upstream(UpstreamAction),
    /// Executions have their effect and then end with an error status.
    LoseReplies(Pick),
    /// A document drains replicas.
    DrainByDocument(Pick),
    /// Rates of streams are multiplied.
    Load { target: Option<String>, rank: Option<Rank>, factor: f64 },
    /// Replicas of a group publish a snapshot one after the other.
    Version { group: String },
    /// The shard of a service is split in two.
    Repartition { service: String },
    /// A daemon is stopped gracefully.
    Stop { daemon: usize },
    /// A daemon ends at once.
    Kill { daemon: usize },
    /// All threads of a daemon do nothing until the fault is healed.
    Pause { daemon: usize },
    /// A daemon is started, then another one stopped gracefully.
    Replace { daemon: usize },
    /// Something is wrong at the platform.
    Platform(PlatformAction),
    /// Two zones do not reach each other; zone 9 is the platform.
    Cut { between: [u8; 2] },
    /// All open connections go silent for good.
    Silence {},
    /// Editors change the same document at once.
    Config { editors: usize },
}

/// Names replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Pick {
    /// The beginning of the service's name.
    pub(crate) service: String,
    /// The position within the service; all if absent.
    pub(crate) replica: Option<usize>,
}

/// What is wrong at replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamAction {
    pub(crate) pick: Pick,
    pub(crate) slowdown: Option<f64>,
    #[serde(default)]
    pub(crate) dead: bool,
    #[serde(default)]
    pub(crate) lying: bool,
    #[serde(default)]
    pub(crate) draining: bool,
    #[serde(default)]
    pub(crate) cold_start_ms: u64,
    #[serde(default)]
    pub(crate) payload: Payload,
}

/// What is wrong at the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformAction {
    #[serde(default)]
    pub(crate) down: bool,
    #[serde(default)]
    pub(crate) delay_ms: u64,
    #[serde(default)]
    pub(crate) lose_answers: bool,
    #[serde(default)]
    pub(crate) stale: bool,
}

impl Pick {
    /// Returns whether it names a replica.
    pub(crate) fn names(&self, service: &str, number: usize) -> bool {
        service.starts_with(&self.service) && self.replica.is_none_or(|replica| replica == number)
    }
}

impl Scenario {
    /// Reads and checks a file.
    pub(crate) fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Unreadable { path: path.to_owned(), source })?;
        let scenario: Self = toml::from_str(&text)
            .map_err(|source| ScenarioError::Syntax { path: path.to_owned(), source })?;
        match scenario.check() {
            Ok(()) => Ok(scenario),
            Err((key, problem)) => {
                Err(ScenarioError::Value { path: path.to_owned(), key, problem })
            }
        }
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        if Site::by_name(&self.site).is_none() {
            return Err(("site", format!("`{}` is neither `rizzo` nor `kalipsan`", self.site)));
        }
        if !(1..=20).contains(&self.daemons) {
            return Err(("daemons", format!("{} is not from 1 to 20", self.daemons)));
        }
        let limit = LENGTH_LIMIT.as_secs_f64();
        let parts = [self.baseline_s, self.fault_s];
        if parts.iter().any(|part| !(1.0..=limit).contains(part)) || parts[0] + parts[1] > limit {
            let problem = format!("both parts are from 1 s and together at most {limit} s");
            return Err(("baseline_s, fault_s", problem));
        }
        if self.load.iter().any(|load| !(0.0..=10_000.0).contains(&load.rate)) {
            return Err(("load.rate", "use a number from 0 to 10000".to_owned()));
        }
        let times = self.fault.iter().flat_map(|fault| [Some(fault.at_s), fault.for_s]).flatten();
        if times.into_iter().any(|time| !(0.0..=limit).contains(&time)) {
            return Err(("fault", format!("times are from 0 to {limit} s")));
        }
        let daemon = |fault: &Fault| match fault.what {
            Action::Stop { daemon }
            | Action::Kill { daemon }
            | Action::Pause { daemon }
            | Action::Replace { daemon } => daemon,
            _ => 0,
        };
        if self.fault.iter().any(|fault| daemon(fault) >= self.daemons) {
            return Err(("fault.what.daemon", "daemons count from 0".to_owned()));
        }
        Ok(())
    }

    /// Keeps as many faults as the file says, chosen by the seed.
    pub(crate) fn choose_faults(&mut self, seed: u64) {
        if let Some(count) = self.choose {
            let mut rng = SmallRng::seed_from_u64(seed);
            self.fault = self.fault.choose_multiple(&mut rng, count).cloned().collect();
        }
    }

    /// Returns what a stream's rate is multiplied by, some seconds into the part with faults.
    pub(crate) fn load_factor(&self, stream: &Load, second: f64) -> f64 {
        let factor = |fault: &Fault| {
            let Action::Load { target, rank, factor } = &fault.what else { return 1.0 };
            let end = fault.for_s.map_or(f64::INFINITY, |length| fault.at_s + length);
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
