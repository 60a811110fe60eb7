//! The operator's configuration, as the store's lists and watches return it.

use super::Control;
use super::watches::WatchConfig;
use crate::metrics::CONFIGURATION_UNCONFIRMED;
use berylpin_core::direct::{Confirmation, StorePosition, confirmation_delay};
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
            let since = self.configuration_position.get();
            match self.list_or_watch(&config, since, Duration::ZERO).await {
                Ok(position) if self.is_confirmed_by(position) => failures = 0,
                Ok(_) => {
                    // The operator writes again what the store lost when it was restored.
                    failures += 1;
                    tokio::time::sleep(config.backoff_with_jitter(failures)).await;
                }
                Err(StoreError::EraChanged) => {
                    self.configuration_position.set(None);
                    failures += 1;
                    tokio::time::sleep(config.list_delay(failures)).await;
                }
                Err(e) => {
                    if matches!(e, StoreError::RevisionCompacted) {
                        self.configuration_position.set(None);
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

    /// Records an answer that shows the configuration in the store as of `at`, which confirms the one
    /// in force if both are the same.
    pub(super) fn record_configuration_answer(&self, at: Instant, position: StorePosition) {
        if self.is_confirmed_by(position) {
            let gain = self.update_confirmation(|confirmation| confirmation.record_answer(at));
            histogram!(CONFIGURATION_UNCONFIRMED).record(gain);
        } else {
            self.update_confirmation(Confirmation::record_contact);
        }
        self.configuration_position.set(self.configuration_position.get().max(Some(position)));
    }

    /// Returns whether the store held the configuration in force at the position of an answer.
    fn is_confirmed_by(&self, position: StorePosition) -> bool {
        let in_force = self.catalogue.borrow().version();
        self.stored_configuration.get().confirms(in_force, position.era)
    }

    /// Records the version in the store, which may be older than the one in force after a restore;
    /// must follow its application.
    fn record_stored_version(&self, position: StorePosition, version: Option<u64>) {
        let mut stored = self.stored_configuration.get();
        let before = stored.version();
        stored.record(position, version);
        self.stored_configuration.set(stored);
        let in_force = self.catalogue.borrow().version();
        if stored.version() != before && stored.version() < in_force {
            warn!(self.shared.log, "control: store holds an older configuration";
                "stored" => stored.version(), "in_force" => in_force, "era" => position.era.0);
        }
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

    pub(super) fn apply_configuration_list(&self, objects: Vec<Object>, position: StorePosition) {
        match objects.iter().find(|object| object.is_newest_configuration()) {
            Some(object) => self.apply_configuration(object, position),
            None => self.record_stored_version(position, None),
        }
    }

    pub(super) fn apply_configuration_changes(
        &self,
        changes: Vec<Change>,
        position: StorePosition,
    ) {
        for change in changes {
            if let Change::Put(object) = change
                && object.is_newest_configuration()
            {
                self.apply_configuration(&object, position);
            }
        }
    }

    fn apply_configuration(&self, object: &Object, position: StorePosition) {
        match decode_configuration(&object.spec) {
            Ok(configuration) => {
                let (version, routes) = (configuration.version, configuration.routes.len());
                if self.catalogue.borrow_mut().apply_configuration(configuration) {
                    info!(self.shared.log, "control: configuration in force";
                        "version" => version, "routes" => routes);
                    self.publish_view();
                }
                self.record_stored_version(position, Some(version));
            }
            Err(e) => warn!(self.shared.log, "control: configuration ignored"; "cause" => %e),
        }
    }
}
