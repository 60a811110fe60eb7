//! Settings of a daemon: what the operator wrote, and what was checked.

mod builder;
mod secret;

pub use builder::DaemonSettingsBuilder;
pub use secret::Secret;

use berylpin_core::config::{
    EXPECTED_ADDRESS, EXPECTED_INTEGER, EXPECTED_STRING, Located, Problem, Problems, Section,
};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Traffic threads that a daemon may have.
const THREADS_LIMIT: usize = 64;

/// Traffic threads unless the settings say otherwise.
const DEFAULT_THREADS: usize = 2;

/// How long a stopping daemon reports not ready unless the settings say otherwise.
const DEFAULT_STOP_NOTICE: Duration = Duration::from_millis(500);

/// The longest time that a stopping daemon reports not ready.
const STOP_NOTICE_LIMIT: Duration = Duration::from_mins(1);

/// The longest name, in bytes.
const NAME_LIMIT: usize = 64;

/// Seeds that settings may name.
const SEEDS_LIMIT: usize = 64;

/// What a list of addresses is, for people.
const ADDRESSES: &str = "a list of addresses like `[\"10.1.0.10:7001\"]`";

/// The environment variable that goes before `admin_token`.
const ADMIN_TOKEN_VARIABLE: &str = "BERYLPIN_ADMIN_TOKEN";

/// The environment variable that goes before `fleet_key`.
const FLEET_KEY_VARIABLE: &str = "BERYLPIN_FLEET_KEY";

/// Why settings are rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// Something in the settings is not allowed.
    #[error("{}", ProblemLines(path, problems))]
    Invalid {
        /// The file, or what stands for it.
        path: PathBuf,
        /// Never empty; sorted by line.
        problems: Vec<Problem>,
    },
}

struct ProblemLines<'a>(&'a Path, &'a [Problem]);

impl fmt::Display for ProblemLines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.1.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}: {problem}", self.0.display())?;
        }
        Ok(())
    }
}

/// Settings as the operator wrote them; `None` for what is absent.
#[derive(Debug, Default)]
struct DaemonOptions {
    name: Option<Located<String>>,
    data_centre: Option<Located<String>>,
    region: Option<Located<String>>,
    caller_address: Option<Located<SocketAddr>>,
    peer_address: Option<Located<SocketAddr>>,
    peer_listen_address: Option<Located<SocketAddr>>,
    admin_address: Option<Located<SocketAddr>>,
    platform: Option<Located<SocketAddr>>,
    seeds: Option<Located<Vec<SocketAddr>>>,
    admin_token: Option<Located<String>>,
    fleet_key: Option<Located<String>>,
    threads: Option<Located<usize>>,
    stop_notice_ms: Option<Located<u64>>,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The name of this VM in the VM list; from 1 to 64 bytes.
    pub name: String,
    /// The data centre that it runs in; from 1 to 64 bytes.
    pub data_centre: String,
    /// The region of the data centre; from 1 to 64 bytes.
    pub region: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// Where links from them are accepted; differs from `peer_address` behind a proxy.
    pub peer_listen_address: SocketAddr,
    /// Where operators and the balancer connect.
    pub admin_address: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses to start from while the platform is down; at most 64.
    pub seeds: Vec<SocketAddr>,
    /// What operators authenticate with.
    pub admin_token: Secret,
    /// What daemons authenticate to each other with.
    pub fleet_key: Secret,
    /// From 1 to 64.
    pub threads: usize,
    /// How long a stopping daemon reports not ready before it stops accepting; at most 60 s.
    pub stop_notice: Duration,
}

impl DaemonSettings {
    /// Starts settings that are made in code.
    pub fn builder() -> DaemonSettingsBuilder {
        DaemonSettingsBuilder::default()
    }

    /// Reads and checks a settings file; secrets in the environment go before those in the file.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with the line and key where it stands and what is allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(path, &text, |variable| std::env::var(variable).ok())
    }

    /// Checks the text of a file, with the environment given by `env`.
    fn parse<F>(path: &Path, text: &str, env: F) -> Result<Self, SettingsError>
    where
        F: Fn(&str) -> Option<String>,
    {
        let mut problems = Problems::default();
        let settings = Section::parse(text, &mut problems).and_then(|section| {
            let mut options = DaemonOptions::read(section, &env, &mut problems);
            let secret = |variable, option: &mut Option<Located<String>>| {
                if let Some(value) = env(variable) {
                    *option = Some(Located::without_line(value));
                }
            };
            secret(ADMIN_TOKEN_VARIABLE, &mut options.admin_token);
            secret(FLEET_KEY_VARIABLE, &mut options.fleet_key);
            options.check(&mut problems)
        });
        finish(path, settings, problems)
    }
}

fn finish(
    path: &Path,
    settings: Option<DaemonSettings>,
    problems: Problems,
) -> Result<DaemonSettings, SettingsError> {
    if let Some(settings) = settings.filter(|_| problems.is_empty()) {
        return Ok(settings);
    }
    Err(SettingsError::Invalid { path: path.to_owned(), problems: problems.into_sorted() })
}

impl DaemonOptions {
    fn read<F>(mut section: Section<'_>, env: F, problems: &mut Problems) -> Self
    where
        F: Fn(&str) -> Option<String>,
    {
        let mut secret = |section: &mut Section<'_>, key, variable| {
            if env(variable).is_some() {
                return section.optional(key, EXPECTED_STRING, problems);
            }
            section.required(key, EXPECTED_STRING, problems)
        };
        let admin_token = secret(&mut section, "admin_token", ADMIN_TOKEN_VARIABLE);
        let fleet_key = secret(&mut section, "fleet_key", FLEET_KEY_VARIABLE);
        let options = Self {
            name: section.required("name", EXPECTED_STRING, problems),
            data_centre: section.required("data_centre", EXPECTED_STRING, problems),
            region: section.required("region", EXPECTED_STRING, problems),
            caller_address: section.required("caller_address", EXPECTED_ADDRESS, problems),
            peer_address: section.required("peer_address", EXPECTED_ADDRESS, problems),
            peer_listen_address: section.optional(
                "peer_listen_address",
                EXPECTED_ADDRESS,
                problems,
            ),
            admin_address: section.required("admin_address", EXPECTED_ADDRESS, problems),
            platform: section.required("platform", EXPECTED_ADDRESS, problems),
            seeds: section.optional("seeds", ADDRESSES, problems),
            admin_token,
            fleet_key,
            threads: section.optional("threads", EXPECTED_INTEGER, problems),
            stop_notice_ms: section.optional("stop_notice_ms", EXPECTED_INTEGER, problems),
        };
        section.reject_unknown_keys(problems);
        options
    }

    /// Checks the values; `None` if one that is needed is absent or not allowed.
    fn check(self, problems: &mut Problems) -> Option<DaemonSettings> {
        let name = check_name("name", self.name, problems);
        let data_centre = check_name("data_centre", self.data_centre, problems);
        let region = check_name("region", self.region, problems);
        let admin_token = check_secret("admin_token", self.admin_token, problems);
        let fleet_key = check_secret("fleet_key", self.fleet_key, problems);
        let seeds = check_seeds(self.seeds, problems);
        let threads = check_threads(self.threads, problems);
        let stop_notice = check_stop_notice(self.stop_notice_ms, problems);
        let peer_address = self.peer_address?.value;
        Some(DaemonSettings {
            name: name?,
            data_centre: data_centre?,
            region: region?,
            caller_address: self.caller_address?.value,
            peer_address,
            peer_listen_address: self.peer_listen_address.map_or(peer_address, |a| a.value),
            admin_address: self.admin_address?.value,
            platform: self.platform?.value,
            seeds,
            admin_token: admin_token?,
            fleet_key: fleet_key?,
            threads,
            stop_notice,
        })
    }
}

fn check_name(key: &str, name: Option<Located<String>>, problems: &mut Problems) -> Option<String> {
    let Located { value, line } = name?;
    if (1..=NAME_LIMIT).contains(&value.len()) {
        return Some(value);
    }
    let problem = format!("`{value}` is not a name; use 1 to {NAME_LIMIT} bytes");
    problems.add(line, key, problem);
    None
}

fn check_secret(
    key: &str,
    secret: Option<Located<String>>,
    problems: &mut Problems,
) -> Option<Secret> {
    let Located { value, line } = secret?;
    let checked = Secret::new(&value);
    if checked.is_none() {
        let allowed = Secret::MINIMUM_LENGTH;
        problems.add(line, key, format!("the secret is too short; use at least {allowed} bytes"));
    }
    checked
}

fn check_seeds(
    seeds: Option<Located<Vec<SocketAddr>>>,
    problems: &mut Problems,
) -> Vec<SocketAddr> {
    let Some(Located { value, line }) = seeds else { return Vec::new() };
    if value.len() > SEEDS_LIMIT {
        let problem = format!("{} seeds are too many; use at most {SEEDS_LIMIT}", value.len());
        problems.add(line, "seeds", problem);
    }
    value
}

fn check_threads(threads: Option<Located<usize>>, problems: &mut Problems) -> usize {
    let Some(Located { value, line }) = threads else { return DEFAULT_THREADS };
    if !(1..=THREADS_LIMIT).contains(&value) {
        problems.add(line, "threads", format!("{value} is not from 1 to {THREADS_LIMIT}"));
    }
    value
}

fn check_stop_notice(millis: Option<Located<u64>>, problems: &mut Problems) -> Duration {
    let Some(Located { value, line }) = millis else { return DEFAULT_STOP_NOTICE };
    let notice = Duration::from_millis(value);
    if notice > STOP_NOTICE_LIMIT {
        let limit = STOP_NOTICE_LIMIT.as_millis();
        problems.add(line, "stop_notice_ms", format!("{value} is not from 0 to {limit}"));
    }
    notice
}

#[cfg(test)]
mod tests;
