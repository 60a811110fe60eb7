//! Settings of a daemon, read from a file or set with a builder, and their checks.

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

/// Maximum number of traffic threads.
const MAX_THREADS: usize = 64;

/// Default number of traffic threads.
const DEFAULT_THREADS: usize = 2;

/// Default time for which a stopping daemon reports not ready before it stops accepting.
const DEFAULT_STOP_NOTICE: Duration = Duration::from_millis(500);

/// Maximum time for which a stopping daemon reports not ready.
const MAX_STOP_NOTICE: Duration = Duration::from_mins(1);

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of seeds.
const MAX_SEEDS: usize = 64;

/// Describes a list of addresses in an error message.
const EXPECTED_ADDRESSES: &str = "a list of addresses like `[\"10.1.0.10:7001\"]`";

/// Environment variable that overrides `admin_token`.
const ADMIN_TOKEN_VARIABLE: &str = "BERYLPIN_ADMIN_TOKEN";

/// Environment variable that overrides `fleet_key`.
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
    /// The settings are invalid.
    #[error("{}", ProblemLines(path, problems))]
    Invalid {
        /// The file, or `settings` for settings from a builder, which have no file.
        path: PathBuf,
        /// The problems, sorted by line; never empty.
        problems: Vec<Problem>,
    },
}

/// Displays each problem on a line that starts with the path.
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

/// The options that a file or a builder sets, before the checks; `None` for absent ones.
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

/// Settings that passed all checks.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The name of this VM in the VM list; from 1 to 64 bytes.
    pub name: String,
    /// The data centre of the VM; from 1 to 64 bytes.
    pub data_centre: String,
    /// The region of the data centre; from 1 to 64 bytes.
    pub region: String,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address that other daemons connect to.
    pub peer_address: SocketAddr,
    /// The address that accepts links of other daemons; differs from `peer_address` behind a proxy.
    pub peer_listen_address: SocketAddr,
    /// The address that operators and the load balancer connect to.
    pub admin_address: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Peer addresses to find the other daemons by, also while the platform is down; at most 64.
    pub seeds: Vec<SocketAddr>,
    /// The secret that operators authenticate with.
    pub admin_token: Secret,
    /// The secret that daemons authenticate to each other with.
    pub fleet_key: Secret,
    /// The number of traffic threads; from 1 to 64.
    pub threads: usize,
    /// How long a stopping daemon reports not ready before it stops accepting; at most 60 s.
    pub stop_notice: Duration,
}

impl DaemonSettings {
    /// Returns a builder for settings that are not read from a file.
    pub fn builder() -> DaemonSettingsBuilder {
        DaemonSettingsBuilder::default()
    }

    /// Reads and checks a settings file; secrets in the environment override those in the file.
    ///
    /// # Errors
    ///
    /// Returns the cause if the file cannot be read, and otherwise all problems, each with its
    /// line, its key and the valid values.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(path, &text, |variable| std::env::var(variable).ok())
    }

    /// Parses and checks the text of a file; `env` returns the value of an environment variable.
    fn parse<F>(path: &Path, text: &str, env: F) -> Result<Self, SettingsError>
    where
        F: Fn(&str) -> Option<String>,
    {
        let mut problems = Problems::default();
        let settings = Section::parse(text, &mut problems).and_then(|section| {
            let mut options = DaemonOptions::read(section, &env, &mut problems);
            let override_secret = |variable, secret: &mut Option<Located<String>>| {
                if let Some(value) = env(variable) {
                    *secret = Some(Located::without_line(value));
                }
            };
            override_secret(ADMIN_TOKEN_VARIABLE, &mut options.admin_token);
            override_secret(FLEET_KEY_VARIABLE, &mut options.fleet_key);
            options.check(&mut problems)
        });
        settings_or_problems(path, settings, problems)
    }
}

/// Returns the settings, or the problems if there are any.
fn settings_or_problems(
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
    /// Reads all keys of a file; a secret is optional if its environment variable is set.
    fn read<F>(mut section: Section<'_>, env: F, problems: &mut Problems) -> Self
    where
        F: Fn(&str) -> Option<String>,
    {
        let mut read_secret = |section: &mut Section<'_>, key, variable| {
            if env(variable).is_some() {
                return section.optional(key, EXPECTED_STRING, problems);
            }
            section.required(key, EXPECTED_STRING, problems)
        };
        let admin_token = read_secret(&mut section, "admin_token", ADMIN_TOKEN_VARIABLE);
        let fleet_key = read_secret(&mut section, "fleet_key", FLEET_KEY_VARIABLE);
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
            seeds: section.optional("seeds", EXPECTED_ADDRESSES, problems),
            admin_token,
            fleet_key,
            threads: section.optional("threads", EXPECTED_INTEGER, problems),
            stop_notice_ms: section.optional("stop_notice_ms", EXPECTED_INTEGER, problems),
        };
        section.reject_unknown_keys(problems);
        options
    }

    /// Checks the values; returns `None` if a required one is absent or invalid.
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
    if (1..=MAX_NAME_BYTES).contains(&value.len()) {
        return Some(value);
    }
    let problem = format!("`{value}` is not a name; use 1 to {MAX_NAME_BYTES} bytes");
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
        let min_bytes = Secret::MIN_BYTES;
        problems.add(line, key, format!("the secret is too short; use at least {min_bytes} bytes"));
    }
    checked
}

fn check_seeds(
    seeds: Option<Located<Vec<SocketAddr>>>,
    problems: &mut Problems,
) -> Vec<SocketAddr> {
    let Some(Located { value, line }) = seeds else { return Vec::new() };
    if value.len() > MAX_SEEDS {
        let problem = format!("{} seeds are too many; use at most {MAX_SEEDS}", value.len());
        problems.add(line, "seeds", problem);
    }
    value
}

fn check_threads(threads: Option<Located<usize>>, problems: &mut Problems) -> usize {
    let Some(Located { value, line }) = threads else { return DEFAULT_THREADS };
    if !(1..=MAX_THREADS).contains(&value) {
        problems.add(line, "threads", format!("{value} is not from 1 to {MAX_THREADS}"));
    }
    value
}

fn check_stop_notice(stop_notice_ms: Option<Located<u64>>, problems: &mut Problems) -> Duration {
    let Some(Located { value, line }) = stop_notice_ms else { return DEFAULT_STOP_NOTICE };
    let stop_notice = Duration::from_millis(value);
    if stop_notice > MAX_STOP_NOTICE {
        let max_ms = MAX_STOP_NOTICE.as_millis();
        problems.add(line, "stop_notice_ms", format!("{value} is not from 0 to {max_ms}"));
    }
    stop_notice
}

#[cfg(test)]
mod tests;
