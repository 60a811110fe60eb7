//! A builder of settings for programs that embed a daemon.

use super::{DaemonOptions, DaemonSettings, SettingsError, settings_or_problems};
use berylpin_core::config::{Located, Problems};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// A builder of settings that are not read from a file; the checks are those of a settings file.
#[derive(Debug, Default)]
pub struct DaemonSettingsBuilder {
    options: DaemonOptions,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $argument:ty => $value:expr;)*) => {$(
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, value: $argument) -> Self {
            let convert: fn($argument) -> _ = $value;
            self.options.$name = Some(Located::without_line(convert(value)));
            self
        }
    )*};
}

impl DaemonSettingsBuilder {
    setters! {
        /// Sets the name of the VM; required.
        name: &str => str::to_owned;
        /// Sets the data centre; required.
        data_centre: &str => str::to_owned;
        /// Sets the region; required.
        region: &str => str::to_owned;
        /// Sets the address that callers connect to; required.
        caller_address: SocketAddr => |address| address;
        /// Sets the address that other daemons connect to; required.
        peer_address: SocketAddr => |address| address;
        /// Sets the address that accepts links of other daemons; `peer_address` by default.
        peer_listen_address: SocketAddr => |address| address;
        /// Sets the address that operators and the load balancer connect to; required.
        admin_address: SocketAddr => |address| address;
        /// Sets the address of the platform; required.
        platform: SocketAddr => |address| address;
        /// Sets the peer addresses to find the other daemons by, also while the platform is down;
        /// none by default.
        seeds: Vec<SocketAddr> => |seeds| seeds;
        /// Sets the secret that operators authenticate with; required.
        admin_token: &str => str::to_owned;
        /// Sets the secret that daemons authenticate to each other with; required.
        fleet_key: &str => str::to_owned;
        /// Sets the number of traffic threads; 2 by default.
        threads: usize => |threads| threads;
    }

    /// Sets how long a stopping daemon reports not ready; 500 ms by default.
    #[must_use]
    pub fn stop_notice(mut self, stop_notice: Duration) -> Self {
        self.options.stop_notice_ms = Some(Located::without_line(stop_notice.as_millis() as u64));
        self
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its key and the valid values.
    pub fn build(self) -> Result<DaemonSettings, SettingsError> {
        let mut problems = Problems::default();
        let options = &self.options;
        let required = [
            ("name", options.name.is_some()),
            ("data_centre", options.data_centre.is_some()),
            ("region", options.region.is_some()),
            ("caller_address", options.caller_address.is_some()),
            ("peer_address", options.peer_address.is_some()),
            ("admin_address", options.admin_address.is_some()),
            ("platform", options.platform.is_some()),
            ("admin_token", options.admin_token.is_some()),
            ("fleet_key", options.fleet_key.is_some()),
        ];
        for (key, _) in required.into_iter().filter(|(_, present)| !present) {
            problems.add(None, key, "this key is missing");
        }
        let settings = self.options.check(&mut problems);
        // Each problem is reported with the path of its file; there is no file here.
        settings_or_problems(Path::new("settings"), settings, problems)
    }
}
