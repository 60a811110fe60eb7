//! Lists and watches of the objects of one kind in the store.

use super::Control;
use berylpin_core::direct::{
    Catalogue, CertainEvents, Configuration, DaemonEntry, EventTraits, INITIAL_RETRY_BACKOFF,
    MAX_BACKOFF_JITTER, MAX_UNNAMED_ENTRIES, OVERDUE_TIMEOUT, REPLICAS_BATCH_DELAY, ReplicaEntry,
    StoreCall, StoreEra, StorePosition, StoreTimes, certain_events, confirmed_by,
};
use berylpin_platform::{
    Answer, Change, Events, Freshness, Listing, Object, ObjectKind, OddCause, StoreError,
    decode_daemon_entry,
};
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

/// The maximum delays before objects are listed after a restore of the store, which spread the calls
/// of the fleet.
const MAX_LIST_DELAY: Duration = Duration::from_millis(200);
const MAX_DAEMONS_LIST_DELAY: Duration = Duration::from_secs(2);

/// The maximum back-off for the configuration, which must be current soon after the store recovers.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// The maximum back-off for the daemons, which change rarely.
pub(super) const MAX_DAEMONS_RETRY_BACKOFF: Duration = Duration::from_secs(4);

/// The maximum number of calls for the rest of a watch's response whose events cannot be told from the
/// text of another writer; then the objects are listed.
const MAX_CALLS_FOR_REST: usize = 16;

/// The revision of state from an incomplete list, so that any complete state of its era counts as
/// newer.
const INCOMPLETE_REVISION: u64 = 0;

/// How much later than the end of its wait a call is given up.
#[derive(Clone, Copy)]
struct CallTimeouts {
    /// Of a watch. It is short, because a call on a new connection replaces the watch.
    watch: Duration,
    /// Of a call that does not wait, which a slow store must be able to answer.
    call: Duration,
}

/// How the objects of one kind, decoded to `T`, are listed and watched.
pub(super) struct WatchConfig<T> {
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
    /// The maximum delay of a list after a restore of the store.
    max_list_delay: Duration,
    /// Decodes an object, or rejects one that names nothing to use.
    decode: fn(&Object) -> Result<T, OddCause>,
    /// Returns whether a decoded object is always kept; of the others there may be any number.
    is_named: fn(&Catalogue, &T) -> bool,
    /// Returns what a change shows before it is applied.
    event_traits: fn(&Catalogue, &Change<T>) -> EventTraits,
    /// Applies the complete list at a position.
    apply_list: fn(&Control, Listing<T>, StorePosition),
    /// Applies changes in their order, up to a position.
    apply_changes: fn(&Control, Vec<Change<T>>, StorePosition),
    /// Returns the catalogue's position of the kind, which state from a peer may have advanced.
    catalogue_position: fn(&Catalogue) -> Option<StorePosition>,
    /// Returns whether a watch does not show all that is needed.
    must_list: fn(&Catalogue, Instant) -> bool,
}

impl WatchConfig<Configuration> {
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
            max_list_delay: MAX_LIST_DELAY,
            decode: Control::decode_configuration,
            is_named: |_, _| true,
            event_traits: |_, change| Control::configuration_traits(change),
            apply_list: Control::apply_configuration_list,
            apply_changes: Control::apply_configuration_changes,
            catalogue_position: |_| None,
            must_list: |_, _| false,
        }
    }
}

impl<T> WatchConfig<T> {
    /// Returns the delay after `failures` consecutive failed calls.
    pub(super) fn backoff_with_jitter(&self, failures: u32) -> Duration {
        let jitter = rand::rng().random_range(1.0..f64::from(MAX_BACKOFF_JITTER));
        retry_backoff(failures, self.max_backoff).mul_f64(jitter)
    }

    /// Returns the delay before objects are listed because the era changed `count` times in a row.
    ///
    /// Backs off after the first time, since answers may come from two eras in turn.
    pub(super) fn list_delay(&self, count: u32) -> Duration {
        match count {
            0 | 1 => self.max_list_delay.mul_f64(rand::rng().random()),
            _ => self.backoff_with_jitter(count - 1),
        }
    }
}

impl WatchConfig<ReplicaEntry> {
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
            max_list_delay: MAX_LIST_DELAY,
            decode: Control::decode_replica,
            is_named: Catalogue::names_service_of,
            event_traits: Control::replica_traits,
            apply_list: Control::apply_replica_list,
            apply_changes: Control::apply_replica_changes,
            catalogue_position: |catalogue| catalogue.revisions().replicas,
            must_list: Catalogue::needs_replica_list,
        }
    }

    /// Calls for the replicas beside the watch.
    pub(super) fn replicas_confirmation(times: &StoreTimes, freshness: Freshness) -> Self {
        Self { watch_freshness: freshness, shows_outages: false, ..Self::replicas(times) }
    }
}

impl WatchConfig<DaemonEntry> {
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
            max_list_delay: MAX_DAEMONS_LIST_DELAY,
            decode: decode_daemon_entry,
            is_named: Catalogue::names_data_centre_of,
            event_traits: Control::daemon_traits,
            apply_list: Control::apply_daemon_list,
            apply_changes: Control::apply_daemon_changes,
            catalogue_position: |catalogue| catalogue.revisions().daemons,
            must_list: |_, _| false,
        }
    }
}

/// Returns whether the objects of an incomplete list are used, given the position of those that are
/// known.
///
/// After a restore only a complete list shows which objects the store lost.
fn uses_incomplete_list(known: Option<StorePosition>, era: StoreEra) -> bool {
    known.is_none_or(|known| known.era == era)
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
    /// Lists them again if the store no longer holds the changes since the last position or does not
    /// return them in a readable response, or if it was restored from a copy.
    pub(super) async fn watch_kind<T>(&self, config: WatchConfig<T>) {
        let mut position = None;
        let mut failures = 0;
        let mut era_changes = 0;
        loop {
            position = self.next_position(&config, position);
            let wait = next_watch_wait(config.wait, failures == 0);
            let called_at = self.now();
            if config.shows_outages {
                self.catalogue.borrow_mut().begin_replicas_call(called_at);
            }
            let result = tokio::select! {
                biased;
                result = self.list_or_watch(&config, position, wait) => result,
                () = self.wait_for_relist(&config, position) => Err(StoreError::EraChanged),
            };
            match &result {
                Ok(_) if failures > 0 => {
                    info!(self.shared.log, "control: store recovered";
                        "kind" => config.kind.name(), "failures" => failures);
                    if config.kind == ObjectKind::Daemons {
                        self.catalogue.borrow_mut().store_recovered(self.now());
                    }
                }
                Err(StoreError::EraChanged) => {
                    position = None;
                    era_changes += 1;
                    tokio::time::sleep(config.list_delay(era_changes)).await;
                    continue;
                }
                Err(e) if failures == 0 => self.log_store_failure(config.kind, e, called_at),
                _ => {}
            }
            failures = if result.is_ok() { 0 } else { failures + 1 };
            era_changes = 0;
            match result {
                Ok(newest) => {
                    let changed = position.replace(newest) != Some(newest);
                    if changed {
                        self.sleep_unless_restored(config.batch_delay).await;
                    }
                }
                Err(StoreError::RevisionCompacted) => position = None,
                Err(e) => {
                    if e.ends_watch() {
                        position = None;
                    }
                    let elapsed = self.now().saturating_duration_since(called_at);
                    let spent = if config.backoff_from_call { elapsed } else { Duration::ZERO };
                    let backoff = config.backoff_with_jitter(failures);
                    self.sleep_unless_restored(backoff.saturating_sub(spent)).await;
                }
            }
        }
    }

    /// Waits until the objects must be listed in place of a watch that has begun.
    async fn wait_for_relist<T>(&self, config: &WatchConfig<T>, position: Option<StorePosition>) {
        loop {
            self.configuration_applied.notified().await;
            if position.is_some() && (config.must_list)(&self.catalogue.borrow(), self.now()) {
                return;
            }
        }
    }

    /// Returns the position to watch from after the last one; `None` if the objects must be listed.
    fn next_position<T>(
        &self,
        config: &WatchConfig<T>,
        last: Option<StorePosition>,
    ) -> Option<StorePosition> {
        let catalogue = self.catalogue.borrow();
        if (config.must_list)(&catalogue, self.now()) {
            return None;
        }
        // State from a peer may be newer than the last watch; a watch from an older position would
        // revert it.
        let newest = last?.max((config.catalogue_position)(&catalogue).unwrap_or_default());
        Some(newest).filter(|position| position.era == catalogue.era())
    }

    /// Lists the objects of a kind, or watches them from the position `since`; returns the position
    /// to watch from next.
    pub(super) async fn list_or_watch<T>(
        &self,
        config: &WatchConfig<T>,
        since: Option<StorePosition>,
        wait: Duration,
    ) -> Result<StorePosition, StoreError> {
        let result = match since {
            Some(since) => self.watch(config, since, wait).await,
            None => self.list(config).await,
        };
        if matches!(result, Err(StoreError::OlderEra)) {
            self.read_fresh();
        }
        result
    }

    async fn list<T>(&self, config: &WatchConfig<T>) -> Result<StorePosition, StoreError> {
        let WatchConfig { kind, apply_list, apply_changes, .. } = config;
        let (store, called_at) = (self.store(), self.now());
        let freshness = self.freshness(config.list_freshness);
        let mut unnamed = 0;
        let decode = |object| self.decode_listed(config, &object, &mut unnamed);
        let call = store.list(*kind, freshness, || self.now(), decode);
        let result = self.call_store(None, call).await;
        if !matches!(result, Err(StoreError::EraChanged)) {
            let succeeded = result.as_ref().is_ok_and(|(_, listing)| listing.complete);
            // How long all pages take depends on what other writers leave in the store.
            let elapsed = result.as_ref().map_or_else(
                |_| self.now().saturating_duration_since(called_at),
                |(_, listing)| listing.slowest_page,
            );
            self.record_call(config, succeeded, elapsed, Duration::ZERO);
        }
        let (era, listing) = result?;
        self.log_odd_objects(*kind, &listing.odd.described, listing.odd.count);
        if !listing.complete {
            let known = (config.catalogue_position)(&self.catalogue.borrow());
            if uses_incomplete_list(known, era) {
                let found = listing.objects.into_iter().map(Change::Put).collect();
                apply_changes(self, found, StorePosition { era, revision: INCOMPLETE_REVISION });
            }
            return Err(StoreError::Incomplete);
        }
        let position = StorePosition { era, revision: listing.revision };
        apply_list(self, listing, position);
        if unnamed > MAX_UNNAMED_ENTRIES {
            self.catalogue.borrow_mut().record_rejected();
        }
        if *kind == ObjectKind::Replicas {
            self.update_replicas_confirmation(|c| c.record_list(called_at));
        } else if freshness == Freshness::Newest {
            self.record_newest_answer(*kind, called_at, position);
        }
        Ok(position)
    }

    /// Decodes an object of a list; `unnamed` counts those that are kept only while there is room.
    fn decode_listed<T>(
        &self,
        config: &WatchConfig<T>,
        object: &Object,
        unnamed: &mut usize,
    ) -> Result<T, OddCause> {
        let content = (config.decode)(object)?;
        if !(config.is_named)(&self.catalogue.borrow(), &content) {
            *unnamed += 1;
            if *unnamed > MAX_UNNAMED_ENTRIES {
                return Err(OddCause::OverCapacity);
            }
        }
        Ok(content)
    }

    /// Watches from a position, and calls again for the rest of a response as long as that cannot be
    /// told from the text of another writer.
    async fn watch<T>(
        &self,
        config: &WatchConfig<T>,
        since: StorePosition,
        wait: Duration,
    ) -> Result<StorePosition, StoreError> {
        let (mut position, mut wait) = (since, wait);
        for _ in 0..=MAX_CALLS_FOR_REST {
            let (newest, is_whole) = self.watch_part(config, position, wait).await?;
            position = newest;
            if is_whole {
                return Ok(position);
            }
            info!(self.shared.log, "control: events called for again"; "kind" => config.kind.name(),
                "since" => position.revision, "cause" => "another writer may imitate them");
            wait = Duration::ZERO;
        }
        Err(StoreError::Uncertain)
    }

    /// Watches from a position, and applies the certain part of the response; returns the position up
    /// to which it goes, and whether that is the whole response.
    async fn watch_part<T>(
        &self,
        config: &WatchConfig<T>,
        since: StorePosition,
        wait: Duration,
    ) -> Result<(StorePosition, bool), StoreError> {
        let WatchConfig { kind, event_traits, apply_changes, .. } = config;
        let called_at = self.now();
        let freshness = self.freshness(config.watch_freshness);
        let call = self.watch_once(config, since, wait, freshness);
        let result = self.call_store(Some(since), call).await;
        if !matches!(result, Err(StoreError::EraChanged)) {
            let answered = matches!(result, Ok(_) | Err(StoreError::RevisionCompacted));
            let elapsed = self.now().saturating_duration_since(called_at);
            self.record_call(config, answered, elapsed, wait);
        }
        let (era, Events { mut events, revision }) = result?;
        let traits: Vec<_> = {
            let catalogue = self.catalogue.borrow();
            let traits = |change| event_traits(&catalogue, change);
            events.iter().map(|event| (event.revision, traits(&event.change))).collect()
        };
        let (revision, is_whole) = match certain_events(since.revision, revision, &traits) {
            CertainEvents::All => (revision, true),
            CertainEvents::Leading { count, revision } => {
                events.truncate(count);
                (revision, false)
            }
            CertainEvents::None => return Err(StoreError::Uncertain),
        };
        let position = StorePosition { era, revision };
        let at = confirmed_by(called_at, wait, !events.is_empty(), self.now());
        // State from a peer, or from a call beside the watch, may have become newer meanwhile.
        let is_older = (config.catalogue_position)(&self.catalogue.borrow()) > Some(position);
        if !is_older {
            let changes: Vec<_> = events.into_iter().map(|event| event.change).collect();
            self.log_odd_changes(*kind, &changes);
            apply_changes(self, changes, position);
        }
        if is_whole && freshness == Freshness::Newest {
            self.record_newest_answer(*kind, at, position);
        }
        Ok((position, is_whole))
    }

    /// Calls the store once for the changes since a position.
    async fn watch_once<T>(
        &self,
        config: &WatchConfig<T>,
        since: StorePosition,
        wait: Duration,
        freshness: Freshness,
    ) -> Answer<Events<T>> {
        let store = self.store();
        let decode = |object| (config.decode)(&object);
        let changes = store.watch(config.kind, since.revision, (wait, freshness), decode);
        let Some(CallTimeouts { watch, call }) = config.timeouts else { return changes.await };
        let late_by = if wait.is_zero() { call } else { watch };
        let answer = tokio::time::timeout(wait + late_by, changes).await;
        answer.unwrap_or(Answer { era: None, result: Err(StoreError::Overdue) })
    }

    fn freshness(&self, usual: Freshness) -> Freshness {
        if self.reads_fresh() { Freshness::Newest } else { usual }
    }

    /// Records what a call that took `elapsed` shows about the store; must precede the changes that it
    /// returned.
    fn record_call<T>(
        &self,
        cfg: &WatchConfig<T>,
        answered: bool,
        elapsed: Duration,
        wait: Duration,
    ) {
        let (kind, now) = (cfg.kind, self.now());
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
