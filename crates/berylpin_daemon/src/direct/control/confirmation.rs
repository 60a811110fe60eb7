//! Calls that confirm the configuration and the replicas as the newest in the store.

use super::Control;
use super::watches::WatchConfig;
use crate::metrics::CONFIGURATION_UNCONFIRMED;
use berylpin_core::direct::{
    Configuration, Confirmation, ReplicaEntry, ReplicasConfirmation, StorePosition, StoreTimes,
    confirmation_delay,
};
use berylpin_platform::{Freshness, ObjectKind, StoreError};
use metrics::histogram;
use rand::Rng;
use slog::warn;
use std::time::{Duration, Instant};

/// The calls that confirm the configuration and the replicas.
struct ConfirmationCalls {
    configuration: WatchConfig<Configuration>,
    stale_replicas: WatchConfig<ReplicaEntry>,
    newest_replicas: WatchConfig<ReplicaEntry>,
}

impl Control {
    /// Confirms the configuration and the replicas by calls that do not wait whenever neither calls
    /// nor peers have confirmed them for the interval; does not return.
    ///
    /// A watch may be on a connection that went silent, or return data of any age. After a failed
    /// call only an answer of the store ends the calls: peers show nothing about this daemon's way
    /// to it.
    pub(super) async fn confirm_state(&self, times: &StoreTimes) {
        let calls = ConfirmationCalls {
            configuration: WatchConfig::configuration(),
            stale_replicas: WatchConfig::replicas_confirmation(times, Freshness::MaybeStale),
            newest_replicas: WatchConfig::replicas_confirmation(times, Freshness::Newest),
        };
        let mut failures = 0;
        loop {
            let delay = confirmation_delay(times.confirmation_interval, rand::rng().random());
            if failures == 0 {
                self.wait_until_unconfirmed(delay).await;
            }
            match self.confirm(&calls, delay).await {
                Ok(position) if self.is_confirmed_by(position) => failures = 0,
                Ok(_) => {
                    // The operator writes again what the store lost when it was restored.
                    failures += 1;
                    tokio::time::sleep(calls.configuration.backoff_with_jitter(failures)).await;
                }
                Err(StoreError::EraChanged) => {
                    failures += 1;
                    tokio::time::sleep(calls.configuration.list_delay(failures)).await;
                }
                Err(e) => {
                    if failures == 0 {
                        let age = self.now().saturating_duration_since(self.confirmed_at());
                        warn!(self.shared.log, "control: configuration or replicas not confirmed";
                            "cause" => %e, "unconfirmed_ms" => age.as_millis() as u64);
                    }
                    failures += 1;
                    tokio::time::sleep(calls.configuration.backoff_with_jitter(failures)).await;
                }
            }
        }
    }

    /// Calls the store for the configuration, and for the replicas if its position shows that they
    /// have not been confirmed within `delay`; returns the position of the configuration.
    async fn confirm(
        &self,
        calls: &ConfirmationCalls,
        delay: Duration,
    ) -> Result<StorePosition, StoreError> {
        let (since, called_at) = (self.configuration_position.get(), self.now());
        let result = self.list_or_watch(&calls.configuration, since, Duration::ZERO).await;
        if result.as_ref().is_err_and(|e| e.ends_watch() || matches!(e, StoreError::EraChanged)) {
            self.configuration_position.set(None);
        }
        let newest = result?;
        if self.replicas_are_unconfirmed(delay) {
            self.compare_stale_replicas(calls, newest, called_at).await;
        }
        if self.replicas_are_unconfirmed(delay) {
            self.fetch_newest_replicas(calls).await?;
        }
        Ok(newest)
    }

    /// Confirms the replicas by older data if that is as new as `newest`, which was the store's
    /// position at `at`; the call costs a tenth of one for the newest data.
    async fn compare_stale_replicas(
        &self,
        calls: &ConfirmationCalls,
        newest: StorePosition,
        at: Instant,
    ) {
        let known = self.replicas_position();
        if known.is_none() {
            return;
        }
        // After a failed call the newest data is called for.
        let _ = self.list_or_watch(&calls.stale_replicas, known, Duration::ZERO).await;
        let applied = self.replicas_position();
        self.update_replicas_confirmation(|c| c.record_position(at, newest, applied));
    }

    /// Applies the newest replicas.
    async fn fetch_newest_replicas(&self, calls: &ConfirmationCalls) -> Result<(), StoreError> {
        let since = self.replicas_position();
        match self.list_or_watch(&calls.newest_replicas, since, Duration::ZERO).await {
            Err(e) if e.ends_watch() => {
                self.list_or_watch(&calls.newest_replicas, None, Duration::ZERO).await?;
            }
            other => _ = other?,
        }
        Ok(())
    }

    /// Returns the position up to which changes of the replicas are known; `None` if they must be
    /// listed.
    fn replicas_position(&self) -> Option<StorePosition> {
        let known = self.catalogue.borrow().revisions();
        known.replicas.filter(|position| position.era == known.era)
    }

    fn replicas_are_unconfirmed(&self, delay: Duration) -> bool {
        let confirmed_at = self.replicas_confirmation.get().confirmed_at();
        self.now().saturating_duration_since(confirmed_at) >= delay
    }

    /// Waits until the last confirmation is `delay` old.
    async fn wait_until_unconfirmed(&self, delay: Duration) {
        loop {
            let age = self.now().saturating_duration_since(self.confirmed_at());
            match delay.checked_sub(age) {
                None | Some(Duration::ZERO) => return,
                Some(rest) => tokio::time::sleep(rest).await,
            }
        }
    }

    /// Returns when both the configuration and the replicas were last confirmed.
    fn confirmed_at(&self) -> Instant {
        let replicas = self.replicas_confirmation.get().confirmed_at();
        self.confirmation.get().confirmed_at().min(replicas)
    }

    /// Records an answer with the newest data that shows the objects of a kind as of `at`, and the
    /// store at a position; must follow its changes, or an older version would be reported as
    /// confirmed.
    ///
    /// The configuration in force is confirmed only if the store holds the same one.
    pub(super) fn record_newest_answer(
        &self,
        kind: ObjectKind,
        at: Instant,
        position: StorePosition,
    ) {
        if kind == ObjectKind::Configuration {
            if self.is_confirmed_by(position) {
                let gain = self.update_confirmation(|confirmation| confirmation.record_answer(at));
                histogram!(CONFIGURATION_UNCONFIRMED).record(gain);
            } else {
                self.update_confirmation(Confirmation::record_contact);
            }
            let known = self.configuration_position.get();
            self.configuration_position.set(known.max(Some(position)));
        }
        let applied = self.catalogue.borrow().revisions().replicas;
        self.update_replicas_confirmation(|c| c.record_position(at, position, applied));
    }

    /// Changes the confirmation of the configuration, and publishes the time of both.
    pub(super) fn update_confirmation<T, F>(&self, update: F) -> T
    where
        F: FnOnce(&mut Confirmation) -> T,
    {
        let mut confirmation = self.confirmation.get();
        let result = update(&mut confirmation);
        self.confirmation.set(confirmation);
        self.confirmed_at.send_replace(Some(self.confirmed_at()));
        result
    }

    /// Changes the confirmation of the replicas, and publishes the time of both.
    pub(super) fn update_replicas_confirmation<F>(&self, update: F)
    where
        F: FnOnce(&mut ReplicasConfirmation),
    {
        let mut confirmation = self.replicas_confirmation.get();
        update(&mut confirmation);
        self.replicas_confirmation.set(confirmation);
        self.confirmed_at.send_replace(Some(self.confirmed_at()));
    }
}
