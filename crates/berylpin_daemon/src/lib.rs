//! The daemon: the sockets, files, timers and threads around the core.

mod clock;
mod control;
mod daemon;
mod direct;
mod http;
mod log_levels;
mod logging;
mod metrics;
mod platform;
mod settings;
mod signals;
mod sockets;
mod traffic;

pub use clock::SystemClock;
pub use daemon::{Daemon, StartError};
pub use direct::run_on_platform;
pub use log_levels::{LOG_PARTS, LevelError, LogLevels};
pub use logging::{
    BOUNDED_LOG_CAPACITY, DECISION_LOG_CAPACITY, Log, LogFormat, LogWriter, discard_log, open_log,
    open_process_log,
};
pub use metrics::install_metrics;
pub use settings::{DaemonSettings, DaemonSettingsBuilder, Secret, SettingsError};
pub use signals::{Request, Signals, Wake};
