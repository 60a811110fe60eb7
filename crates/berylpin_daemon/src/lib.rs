//! The daemon: sockets, files, timers and threads round the core.

mod clock;
mod control;
mod daemon;
mod http;
mod logging;
mod platform;
mod settings;
mod traffic;

pub use clock::SystemClock;
pub use daemon::{Daemon, StartError};
pub use logging::{LogFormat, discard_log, open_log};
pub use settings::{DaemonSettings, DaemonSettingsBuilder, Secret, SettingsError};
