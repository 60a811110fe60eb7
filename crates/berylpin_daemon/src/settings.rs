//! Settings of a daemon: what the operator wrote, and what was checked.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Traffic threads that a daemon may have.
const THREADS_LIMIT: usize = 64;

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
    /// The text is not of this schema.
    #[error("{}:{line}: {problem}", path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Counts from 1.
        line: usize,
        /// What is wrong.
        problem: String,
    },
    /// A value is not allowed.
    #[error("{key}: {problem}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong and what is allowed.
        problem: String,
    },
}

/// Settings as the operator wrote them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonOptions {
    /// The name of this VM in the VM list.
    pub name: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// The region of the data centre.
    pub region: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// Where operators and the balancer connect.
    pub admin_address: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Traffic threads; 2 if absent.
    pub threads: Option<usize>,
    /// How long a stopping daemon tells the balancer before it stops accepting, in milliseconds;
    /// 500 if absent.
    pub stop_notice_ms: Option<u64>,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Never empty.
    pub name: String,
    /// Never empty.
    pub data_centre: String,
    /// Never empty.
    pub region: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// Where operators and the balancer connect.
    pub admin_address: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// From 1 to 64.
    pub threads: usize,
    /// How long a stopping daemon tells the balancer before it stops accepting.
    pub stop_notice: Duration,
}

impl DaemonSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with the file and the line or key where it stands.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        let options = toml::from_str(&text).map_err(|e| {
            let start = e.span().map_or(0, |span| span.start);
            let line = text[..start].matches('\n').count() + 1;
            let problem = e.message().to_owned();
            SettingsError::Syntax { path: path.to_owned(), line, problem }
        })?;
        Self::check(options)
    }

    /// Checks options.
    ///
    /// # Errors
    ///
    /// Returns the first value that is not allowed.
    pub fn check(options: DaemonOptions) -> Result<Self, SettingsError> {
        check_name("name", &options.name)?;
        check_name("data_centre", &options.data_centre)?;
        check_name("region", &options.region)?;
        let threads = options.threads.unwrap_or(2);
        if !(1..=THREADS_LIMIT).contains(&threads) {
            let problem = format!("{threads} is not from 1 to {THREADS_LIMIT}");
            return Err(SettingsError::Value { key: "threads", problem });
        }
        Ok(Self {
            name: options.name,
            data_centre: options.data_centre,
            region: options.region,
            caller_address: options.caller_address,
            peer_address: options.peer_address,
            admin_address: options.admin_address,
            platform: options.platform,
            threads,
            stop_notice: Duration::from_millis(options.stop_notice_ms.unwrap_or(500)),
        })
    }
}

fn check_name(key: &'static str, name: &str) -> Result<(), SettingsError> {
    if !name.is_empty() && name.len() <= 64 {
        return Ok(());
    }
    let problem = format!("`{name}` is not a name of 1 to 64 bytes");
    Err(SettingsError::Value { key, problem })
}
