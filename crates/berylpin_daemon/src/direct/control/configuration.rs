//! The operator's configuration, as the store's lists and watches return it.

use super::Control;
use super::watches::WatchConfig;
use crate::metrics::CONFIGURATION_UNCONFIRMED;
use berylpin_core::direct::{Confirmation, confirmation_delay};
use berylpin_platform::{Change, Object, StoreError, decode_configuration};
use metrics::histogram;
use rand::Rng;
use slog::{info, warn};
use std::time::{Duration, Instant};

impl Control {
    /// Confirms the configuration by a call that does not wait whenever neither a call nor a peer has
    /// confirmed it for about `interval`; does not return.
    ///
    /// The watch may be on a connection that went silent.
    pub(super) async fn confirm_configuration(&self, interval: Duration) {
        let config = WatchConfig::configuration();
        let mut failures = 0;
        loop {
            let delay = confirmation_delay(interval, rand::rng().random());
            loop {
                let age = self.confirmation.get().age(self.now());
                let Some(rest) = delay.checked_sub(age).filter(|rest| !rest.is_zero()) else {
                    break;
                };
                tokio::time::sleep(rest).await;
            }
            let since = self.configuration_revision.get();
            match self.list_or_watch(&config, since, Duration::ZERO).await {
                Ok(_) => failures = 0,
                Err(e) => {
                    if matches!(e, StoreError::RevisionCompacted) {
                        self.configuration_revision.set(None);
                    }
                    if failures == 0 {
                        let age = self.confirmation.get().age(self.now());
                        warn!(self.shared.log, "control: configuration not confirmed";
                            "cause" => %e, "unconfirmed_ms" => age.as_millis() as u64);
                    }
                    failures += 1;
                    tokio::time::sleep(config.backoff_with_jitter(failures)).await;
                }
            }
        }
    }

    /// Records an answer that confirms the configuration as of `at`.
    pub(super) fn record_configuration_answer(&self, at: Instant, revision: u64) {
        let mut confirmation = self.confirmation.get();
        histogram!(CONFIGURATION_UNCONFIRMED).record(confirmation.record_answer(at));
        self.set_confirmation(confirmation);
        self.configuration_revision.set(self.configuration_revision.get().max(Some(revision)));
    }

    /// Records a call for the configuration that failed.
    pub(super) fn record_configuration_failure(&self) {
        let mut confirmation = self.confirmation.get();
        confirmation.record_failure(self.now());
        self.set_confirmation(confirmation);
    }

    /// Records that a peer has the version in force confirmed as of `at`.
    pub(super) fn record_peer_confirmation(&self, at: Instant) {
        let mut confirmation = self.confirmation.get();
        confirmation.record_peer(at);
        self.set_confirmation(confirmation);
    }

    fn set_confirmation(&self, confirmation: Confirmation) {
        self.confirmation.set(confirmation);
        self.confirmed_at.send_replace(Some(confirmation.confirmed_at()));
    }

    pub(super) fn apply_configuration_list(&self, objects: Vec<Object>, _: u64) {
        for object in &objects {
            self.apply_configuration(object);
        }
    }

    pub(super) fn apply_configuration_changes(&self, changes: Vec<Change>, _: u64) {
        for change in changes {
            if let Change::Put(object) = change {
                self.apply_configuration(&object);
            }
        }
    }

    fn apply_configuration(&self, object: &Object) {
        if !object.is_newest_configuration() {
            return;
        }
        match decode_configuration(&object.spec) {
            Ok(configuration) => {
                let (version, routes) = (configuration.version, configuration.routes.len());
                if self.catalogue.borrow_mut().apply_configuration(configuration) {
                    info!(self.shared.log, "control: configuration in force";
                        "version" => version, "routes" => routes);
                    self.publish_view();
                }
            }
            Err(e) => warn!(self.shared.log, "control: configuration ignored"; "cause" => %e),
        }
    }
}
