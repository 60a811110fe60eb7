//! Lists and watches of the objects of one kind in the store.

use super::Control;
use berylpin_core::direct::{
    Catalogue, INITIAL_RETRY_BACKOFF, MAX_BACKOFF_JITTER, OVERDUE_TIMEOUT, REPLICAS_BATCH_DELAY,
    StoreCall, StoreTimes, confirmed_by,
};
use berylpin_platform::{Change, Freshness, Object, ObjectKind, StoreError};
use rand::Rng;
use slog::info;
use std::time::{Duration, Instant};

/// How long a watch of the configuration waits, the store's maximum; it is confirmed by other calls
/// more often.
const CONFIGURATION_WATCH_WAIT: Duration = Duration::from_secs(30);

/// How long a watch of the daemons waits; there is no time limit for applying their changes.
const DAEMONS_WATCH_WAIT: Duration = Duration::from_secs(20);

/// The delay after a change of daemons, which batches further changes: when a fleet starts, all
/// daemons write their entries within 1 s.
const DAEMONS_BATCH_DELAY: Duration = Duration::from_secs(3);

/// The maximum back-off for the configuration, which must be current soon after the store recovers.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// The maximum back-off for the daemons, which change rarely.
pub(super) const MAX_DAEMONS_RETRY_BACKOFF: Duration = Duration::from_secs(4);

/// The revision of state from an incomplete list, so that any complete state counts as newer.
const INCOMPLETE_REVISION: u64 = 0;

/// How much later than the end of its wait a call is given up.
#[derive(Clone, Copy)]
struct CallTimeouts {
    /// Of a watch. It is short, because a call on a new connection replaces the watch.
    watch: Duration,
    /// Of a call that does not wait, which a slow store must be able to answer.
    call: Duration,
}

/// How the objects of one kind are listed and watched.
pub(super) struct WatchConfig {
    kind: ObjectKind,
    /// How long the store holds a watch if nothing changes.
    wait: Duration,
    /// Timeouts that are shorter than the client's.
    timeouts: Option<CallTimeouts>,
    watch_freshness: Freshness,
    list_freshness: Freshness,
    /// The delay after each change, which batches further changes.
    batch_delay: Duration,
    /// The maximum back-off after failed calls, before jitter.
    max_backoff: Duration,
    /// Whether the back-off counts from the beginning of the failed call instead of its end, so that
    /// a call that timed out is followed by the next one at once.
    backoff_from_call: bool,
    /// Whether the calls show outages of the store in which entries of replicas expire. Such calls
    /// do not overlap.
    shows_outages: bool,
    /// Applies the complete list at a revision.
    apply_list: fn(&Control, Vec<Object>, u64),
    /// Applies changes in their order, up to a revision.
    apply_changes: fn(&Control, Vec<Change>, u64),
    /// Returns the catalogue's revision of the kind, which state from a peer may have advanced.
    catalogue_revision: fn(&Catalogue) -> Option<u64>,
}

impl WatchConfig {
    pub(super) fn configuration() -> Self {
        Self {
            kind: ObjectKind::Configuration,
            wait: CONFIGURATION_WATCH_WAIT,
            timeouts: None,
            watch_freshness: Freshness::Newest,
            list_freshness: Freshness::Newest,
            batch_delay: Duration::ZERO,
            max_backoff: MAX_RETRY_BACKOFF,
            backoff_from_call: false,
            shows_outages: false,
            apply_list: Control::apply_configuration_list,
            apply_changes: Control::apply_configuration_changes,
            catalogue_revision: |_| None,
        }
    }

    /// Returns the delay after `failures` consecutive failed calls.
    pub(super) fn backoff_with_jitter(&self, failures: u32) -> Duration {
        let jitter = rand::rng().random_range(1.0..f64::from(MAX_BACKOFF_JITTER));
        retry_backoff(failures, self.max_backoff).mul_f64(jitter)
    }

    pub(super) fn replicas(times: &StoreTimes) -> Self {
        Self {
            kind: ObjectKind::Replicas,
            wait: times.replicas_wait,
            timeouts: Some(CallTimeouts { watch: OVERDUE_TIMEOUT, call: times.replicas_retry }),
            watch_freshness: Freshness::MaybeStale,
            list_freshness: Freshness::Newest,
            batch_delay: REPLICAS_BATCH_DELAY,
            max_backoff: times.replicas_retry / MAX_BACKOFF_JITTER,
            backoff_from_call: true,
            shows_outages: true,
            apply_list: Control::apply_replica_list,
            apply_changes: Control::apply_replica_changes,
            catalogue_revision: |catalogue| catalogue.revisions().replicas,
        }
    }

    /// Calls for the replicas beside the watch.
    pub(super) fn replicas_confirmation(times: &StoreTimes, freshness: Freshness) -> Self {
        Self { watch_freshness: freshness, shows_outages: false, ..Self::replicas(times) }
    }

    pub(super) fn daemons() -> Self {
        Self {
            kind: ObjectKind::Daemons,
            wait: DAEMONS_WATCH_WAIT,
            timeouts: None,
            watch_freshness: Freshness::MaybeStale,
            list_freshness: Freshness::MaybeStale,
            batch_delay: DAEMONS_BATCH_DELAY,
            max_backoff: MAX_DAEMONS_RETRY_BACKOFF,
            backoff_from_call: false,
            shows_outages: false,
            apply_list: Control::apply_daemon_list,
            apply_changes: Control::apply_daemon_changes,
            catalogue_revision: |catalogue| catalogue.revisions().daemons,
        }
    }
}

/// Returns how long the next watch waits.
///
/// A watch does not wait after a failed call: a store that accepts calls without answering would
/// hold it for the whole wait, even if the store recovers right after the call.
fn next_watch_wait(wait: Duration, last_succeeded: bool) -> Duration {
    if last_succeeded { wait } else { Duration::ZERO }
}

/// Returns the back-off after `failures` consecutive failed calls, before jitter.
pub(super) fn retry_backoff(failures: u32, max_backoff: Duration) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (INITIAL_RETRY_BACKOFF * 2u32.pow(doublings)).min(max_backoff)
}

impl Control {
    /// Lists the objects of a kind and watches them from then on; does not return.
    ///
    /// Lists them again if the store no longer holds the changes since the last revision.
    pub(super) async fn watch_kind(&self, config: WatchConfig) {
        let mut revision = None;
        let mut failures = 0;
        loop {
            // State from a peer may be newer than the last watch; a watch from an older revision
            // would revert it.
            revision = revision.max(
                (config.catalogue_revision)(&self.catalogue.borrow())
                    .filter(|_| revision.is_some()),
            );
            let wait = next_watch_wait(config.wait, failures == 0);
            let called_at = self.now();
            if config.shows_outages {
                self.catalogue.borrow_mut().begin_replicas_call(called_at);
            }
            let result = self.list_or_watch(&config, revision, wait).await;
            match &result {
                Ok(_) if failures > 0 => {
                    info!(self.shared.log, "control: store recovered";
                        "kind" => config.kind.name(), "failures" => failures);
                    if config.kind == ObjectKind::Daemons {
                        self.catalogue.borrow_mut().store_recovered(self.now());
                    }
                }
                Err(e) if failures == 0 => self.log_store_failure(config.kind, e, called_at),
                _ => {}
            }
            failures = if result.is_ok() { 0 } else { failures + 1 };
            match result {
                Ok(newest) => {
                    let changed = revision.replace(newest) != Some(newest);
                    if changed {
                        tokio::time::sleep(config.batch_delay).await;
                    }
                }
                Err(StoreError::RevisionCompacted) => revision = None,
                Err(_) => {
                    let elapsed = self.now().saturating_duration_since(called_at);
                    let spent = if config.backoff_from_call { elapsed } else { Duration::ZERO };
                    let backoff = config.backoff_with_jitter(failures);
                    tokio::time::sleep(backoff.saturating_sub(spent)).await;
                }
            }
        }
    }

    /// Lists the objects of a kind, or watches them from the revision `since`; returns the revision
    /// to watch from next.
    pub(super) async fn list_or_watch(
        &self,
        config: &WatchConfig,
        since: Option<u64>,
        wait: Duration,
    ) -> Result<u64, StoreError> {
        let WatchConfig { kind, list_freshness, apply_list, apply_changes, .. } = config;
        let called_at = self.now();
        let Some(since) = since else {
            let listing = self.store().list(*kind, *list_freshness).await;
            let succeeded = listing.as_ref().is_ok_and(|listing| listing.complete);
            self.record_call(config, succeeded, called_at, Duration::ZERO);
            let listing = listing?;
            if !listing.complete {
                let found = listing.objects.into_iter().map(Change::Put).collect();
                apply_changes(self, found, INCOMPLETE_REVISION);
                return Err(StoreError::Incomplete);
            }
            apply_list(self, listing.objects, listing.revision);
            if *kind == ObjectKind::Replicas {
                self.update_replicas_confirmation(|c| c.record_list(called_at));
            } else if *list_freshness == Freshness::Newest {
                self.record_newest_answer(*kind, called_at, listing.revision);
            }
            return Ok(listing.revision);
        };
        let changes = self.watch_once(config, since, wait).await;
        let answered = matches!(changes, Ok(_) | Err(StoreError::RevisionCompacted));
        self.record_call(config, answered, called_at, wait);
        let (changes, revision) = changes?;
        let at = confirmed_by(called_at, wait, !changes.is_empty(), self.now());
        // State from a peer, or from a call beside the watch, may have become newer meanwhile.
        let is_older = (config.catalogue_revision)(&self.catalogue.borrow()) > Some(revision);
        if !is_older {
            apply_changes(self, changes, revision);
        }
        if config.watch_freshness == Freshness::Newest {
            self.record_newest_answer(*kind, at, revision);
        }
        Ok(revision)
    }

    /// Calls the store once for the changes since a revision.
    async fn watch_once(
        &self,
        config: &WatchConfig,
        since: u64,
        wait: Duration,
    ) -> Result<(Vec<Change>, u64), StoreError> {
        let store = self.store();
        let changes = store.watch(config.kind, since, wait, config.watch_freshness);
        let Some(CallTimeouts { watch, call }) = config.timeouts else { return changes.await };
        let late_by = if wait.is_zero() { call } else { watch };
        let result = tokio::time::timeout(wait + late_by, changes).await;
        result.unwrap_or(Err(StoreError::Overdue))
    }

    /// Records what a call shows about the store; must precede the changes that it returned.
    fn record_call(&self, cfg: &WatchConfig, answered: bool, called_at: Instant, wait: Duration) {
        let (kind, now) = (cfg.kind, self.now());
        let elapsed = now.saturating_duration_since(called_at);
        let call = StoreCall::classify(answered, elapsed, wait);
        if call == StoreCall::Late {
            info!(self.shared.log, "control: store answered late"; "kind" => kind.name(),
                "elapsed_ms" => elapsed.as_millis() as u64, "wait_ms" => wait.as_millis() as u64);
        }
        if kind == ObjectKind::Configuration && !answered {
            self.update_confirmation(|confirmation| confirmation.record_failure(now));
        }
        if cfg.shows_outages {
            self.catalogue.borrow_mut().record_replicas_call(call, now);
        }
    }
}

#[cfg(test)]
mod tests;
