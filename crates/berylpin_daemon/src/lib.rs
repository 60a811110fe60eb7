//! The daemon: sockets, files, timers and threads round the core.

mod clock;
mod control;
mod daemon;
mod http;
mod log_levels;
mod logging;
mod metrics;
mod platform;
mod settings;
mod sockets;
mod traffic;

pub use clock::SystemClock;
pub use daemon::{Daemon, StartError};
pub use log_levels::{LevelError, LogLevels, PARTS};
pub use logging::{Log, LogFormat, discard_log, open_log};
pub use metrics::install_metrics;
pub use settings::{DaemonSettings, DaemonSettingsBuilder, Secret, SettingsError};
