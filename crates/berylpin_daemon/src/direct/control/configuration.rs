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
    /// The watch may be on a connection that went silent. After a failed call only an answer of the
    /// store ends the calls: peers show nothing about this daemon's way to it.
    pub(super) async fn confirm_configuration(&self, interval: Duration) {
        let config = WatchConfig::configuration();
        let mut failures = 0;
        loop {
            if failures == 0 {
                self.wait_until_unconfirmed(interval).await;
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

    /// Waits until the last confirmation is about `interval` old.
    async fn wait_until_unconfirmed(&self, interval: Duration) {
        let delay = confirmation_delay(interval, rand::rng().random());
        loop {
            let age = self.confirmation.get().age(self.now());
            match delay.checked_sub(age) {
                None | Some(Duration::ZERO) => return,
                Some(rest) => tokio::time::sleep(rest).await,
            }
        }
    }

    /// Records an answer that confirms the configuration as of `at`.
    pub(super) fn record_configuration_answer(&self, at: Instant, revision: u64) {
        let gain = self.update_confirmation(|confirmation| confirmation.record_answer(at));
        histogram!(CONFIGURATION_UNCONFIRMED).record(gain);
        self.configuration_revision.set(self.configuration_revision.get().max(Some(revision)));
    }

    /// Changes the confirmation, and publishes its time to the traffic thread.
    pub(super) fn update_confirmation<T, F>(&self, update: F) -> T
    where
        F: FnOnce(&mut Confirmation) -> T,
    {
        let mut confirmation = self.confirmation.get();
        let result = update(&mut confirmation);
        self.confirmation.set(confirmation);
        self.confirmed_at.send_replace(Some(confirmation.confirmed_at()));
        result
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
