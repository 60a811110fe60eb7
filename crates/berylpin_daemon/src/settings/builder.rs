//! Settings that are made in code.

use super::{DaemonOptions, DaemonSettings, SettingsError, finish};
use berylpin_core::config::{Located, Problems};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings that are made in code; the same checks apply as to a file.
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
        /// Sets the name of the VM; needed.
        name: &str => str::to_owned;
        /// Sets the data centre; needed.
        data_centre: &str => str::to_owned;
        /// Sets the region; needed.
        region: &str => str::to_owned;
        /// Sets where callers connect; needed.
        caller_address: SocketAddr => |address| address;
        /// Sets where other daemons connect; needed.
        peer_address: SocketAddr => |address| address;
        /// Sets where links are accepted; `peer_address` by default.
        peer_listen_address: SocketAddr => |address| address;
        /// Sets where operators and the balancer connect; needed.
        admin_address: SocketAddr => |address| address;
        /// Sets the address of the platform; needed.
        platform: SocketAddr => |address| address;
        /// Sets the peer addresses to start from while the platform is down; none by default.
        seeds: Vec<SocketAddr> => |seeds| seeds;
        /// Sets what operators authenticate with; needed.
        admin_token: &str => str::to_owned;
        /// Sets what daemons authenticate to each other with; needed.
        fleet_key: &str => str::to_owned;
        /// Sets the number of traffic threads; 2 by default.
        threads: usize => |threads| threads;
    }

    /// Sets how long a stopping daemon reports not ready; 500 ms by default.
    #[must_use]
    pub fn stop_notice(mut self, notice: Duration) -> Self {
        self.options.stop_notice_ms = Some(Located::without_line(notice.as_millis() as u64));
        self
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its key and what is allowed.
    pub fn build(self) -> Result<DaemonSettings, SettingsError> {
        let mut problems = Problems::default();
        let options = &self.options;
        let needed = [
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
        for (key, _) in needed.into_iter().filter(|(_, present)| !present) {
            problems.add(None, key, "this key is missing");
        }
        let settings = self.options.check(&mut problems);
        finish(Path::new("settings"), settings, problems)
    }
}
