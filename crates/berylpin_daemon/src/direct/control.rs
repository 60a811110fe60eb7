//! The control thread: watches the configuration, the replicas and the daemons in the store and
//! publishes views of them.

mod daemon_entries;
mod state_delta;

use super::process::Shared;
use berylpin_core::direct::{
    Catalogue, EXPIRY_CHECK_INTERVAL, INITIAL_RETRY_BACKOFF, MAX_BACKOFF_JITTER, Replica,
    ReplicaEntry, StoreCall, StoreTimes, View,
};
use berylpin_platform::{
    Change, Freshness, Object, ObjectKind, PlatformSettings, Store, StoreError,
    decode_configuration, decode_replica_entry,
};
use rand::Rng;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

pub(super) use state_delta::StateDeltaRequest;

/// How long a watch of the daemons waits; there is no time limit for applying their changes.
const DAEMONS_WATCH_WAIT: Duration = Duration::from_secs(20);

/// The delay after a change of replicas, which batches further changes: a release changes many
/// within seconds. The drain limit is longer than this delay.
const REPLICAS_BATCH_DELAY: Duration = Duration::from_millis(300);

/// The delay after a change of daemons, which batches further changes: when a fleet starts, all
/// daemons write their entries within 1 s.
const DAEMONS_BATCH_DELAY: Duration = Duration::from_secs(3);

/// The maximum back-off for the configuration and the replicas, which must be current soon after
/// the store recovers.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// The maximum back-off for the daemons, which change rarely.
const MAX_DAEMONS_RETRY_BACKOFF: Duration = Duration::from_secs(4);

/// The client, settings and channels of the control thread.
pub(super) struct ControlContext {
    pub(super) settings: watch::Receiver<PlatformSettings>,
    pub(super) view: watch::Sender<Option<Arc<View>>>,
    pub(super) store: Store,
    /// Requests of peers for the state that they lack.
    pub(super) state_requests: mpsc::Receiver<StateDeltaRequest>,
    /// Replicas that announced in an answer that they leave.
    pub(super) leaving: mpsc::Receiver<Arc<Replica>>,
}

/// The state of the control thread.
struct Control {
    shared: Shared,
    view: watch::Sender<Option<Arc<View>>>,
    settings: watch::Receiver<PlatformSettings>,
    store: RefCell<Store>,
    catalogue: RefCell<Catalogue>,
    /// The time since which no call for the configuration has succeeded; `None` while they succeed.
    unreachable_since: Cell<Option<Instant>>,
}

/// How the objects of one kind are listed and watched.
struct WatchConfig {
    kind: ObjectKind,
    /// How long the store holds a watch if nothing changes.
    wait: Duration,
    watch_freshness: Freshness,
    list_freshness: Freshness,
    /// The delay after each change, which batches further changes.
    batch_delay: Duration,
    /// The maximum back-off after failed calls, before jitter.
    max_backoff: Duration,
    /// Applies the complete list at a revision.
    apply_list: fn(&Control, Vec<Object>, u64),
    /// Applies changes in their order, up to a revision.
    apply_changes: fn(&Control, Vec<Change>, u64),
    /// Returns the catalogue's revision of the kind, which state from a peer may have advanced.
    catalogue_revision: fn(&Catalogue) -> Option<u64>,
}

/// Runs the tasks of the control thread; does not return.
pub(super) async fn run_control(cx: ControlContext, shared: Shared) {
    let ControlContext { settings, view, store, state_requests, leaving } = cx;
    let (catalogue, times) = {
        let settings = settings.borrow();
        let (data_centre, regions) = (settings.data_centre.clone(), settings.regions.clone());
        let times = StoreTimes::new(&settings.store_bounds);
        let catalogue = Catalogue::new(settings.name.clone(), data_centre, regions);
        (catalogue.with_expiry_grace(times.expiry_grace), times)
    };
    let started = shared.clock.now();
    let control = Rc::new(Control {
        shared,
        view,
        settings,
        store: RefCell::new(store),
        catalogue: RefCell::new(catalogue),
        unreachable_since: Cell::new(Some(started)),
    });
    let configuration = WatchConfig {
        kind: ObjectKind::Configuration,
        wait: times.configuration_wait,
        watch_freshness: Freshness::Newest,
        list_freshness: Freshness::Newest,
        batch_delay: Duration::ZERO,
        max_backoff: MAX_RETRY_BACKOFF,
        apply_list: Control::apply_configuration_list,
        apply_changes: Control::apply_configuration_changes,
        catalogue_revision: |_| None,
    };
    let replicas = WatchConfig {
        kind: ObjectKind::Replicas,
        wait: times.replicas_wait,
        watch_freshness: Freshness::MaybeStale,
        list_freshness: Freshness::Newest,
        batch_delay: REPLICAS_BATCH_DELAY,
        max_backoff: MAX_RETRY_BACKOFF,
        apply_list: Control::apply_replica_list,
        apply_changes: Control::apply_replica_changes,
        catalogue_revision: |catalogue| catalogue.revisions().replicas,
    };
    let daemons = WatchConfig {
        kind: ObjectKind::Daemons,
        wait: DAEMONS_WATCH_WAIT,
        watch_freshness: Freshness::MaybeStale,
        list_freshness: Freshness::MaybeStale,
        batch_delay: DAEMONS_BATCH_DELAY,
        max_backoff: MAX_DAEMONS_RETRY_BACKOFF,
        apply_list: Control::apply_daemon_list,
        apply_changes: Control::apply_daemon_changes,
        catalogue_revision: |catalogue| catalogue.revisions().daemons,
    };
    tokio::join!(
        control.watch_kind(configuration),
        control.watch_kind(replicas),
        control.watch_kind(daemons),
        control.maintain_own_entry(),
        control.remove_expired_daemons(),
        control.expire_replicas(),
        control.exclude_leaving_replicas(leaving),
        control.serve_state_deltas(state_requests),
        control.fetch_from_peers(),
    );
}

/// Returns how long the next watch waits.
///
/// A watch does not wait after a failed call: a store that accepts calls without answering would
/// hold it for the whole wait, even if the store recovers right after the call.
fn next_watch_wait(wait: Duration, last_succeeded: bool) -> Duration {
    if last_succeeded { wait } else { Duration::ZERO }
}

/// Returns the back-off after `failures` consecutive failed calls, before jitter.
fn retry_backoff(failures: u32, max_backoff: Duration) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (INITIAL_RETRY_BACKOFF * 2u32.pow(doublings)).min(max_backoff)
}

impl Control {
    /// Lists the objects of a kind and watches them from then on; does not return.
    ///
    /// Lists them again if the store no longer holds the changes since the last revision.
    async fn watch_kind(&self, config: WatchConfig) {
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
            let result = self.list_or_watch(&config, revision, wait).await;
            let succeeded = result.is_ok();
            if succeeded != (failures == 0) {
                self.log_store_state(config.kind, result.as_ref().err());
                if succeeded && config.kind == ObjectKind::Daemons {
                    self.catalogue.borrow_mut().store_recovered(self.now());
                }
            }
            failures = if succeeded { 0 } else { failures + 1 };
            if config.kind == ObjectKind::Configuration {
                let unreachable_since = self.unreachable_since.get().unwrap_or_else(|| self.now());
                self.unreachable_since.set((!succeeded).then_some(unreachable_since));
            }
            match result {
                Ok(newest) => {
                    let changed = revision.replace(newest) != Some(newest);
                    if changed {
                        tokio::time::sleep(config.batch_delay).await;
                    }
                }
                Err(StoreError::RevisionCompacted) => revision = None,
                Err(_) => {
                    let jitter = rand::rng().random_range(1.0..f64::from(MAX_BACKOFF_JITTER));
                    let backoff = retry_backoff(failures, config.max_backoff);
                    tokio::time::sleep(backoff.mul_f64(jitter)).await;
                }
            }
        }
    }

    async fn list_or_watch(
        &self,
        config: &WatchConfig,
        since: Option<u64>,
        wait: Duration,
    ) -> Result<u64, StoreError> {
        let WatchConfig {
            kind, watch_freshness, list_freshness, apply_list, apply_changes, ..
        } = config;
        let (store, called_at) = (self.store(), self.now());
        let Some(since) = since else {
            let listing = store.list(*kind, *list_freshness).await;
            self.record_call(*kind, listing.is_ok(), called_at, Duration::ZERO);
            let listing = listing?;
            apply_list(self, listing.objects, listing.revision);
            return Ok(listing.revision);
        };
        let changes = store.watch(*kind, since, wait, *watch_freshness).await;
        self.record_call(*kind, changes.is_ok(), called_at, wait);
        let (changes, revision) = changes?;
        apply_changes(self, changes, revision);
        Ok(revision)
    }

    /// Records what a call for replicas shows about the store.
    fn record_call(&self, kind: ObjectKind, succeeded: bool, called_at: Instant, wait: Duration) {
        if kind != ObjectKind::Replicas {
            return;
        }
        let now = self.now();
        let elapsed = now.saturating_duration_since(called_at);
        let call = StoreCall::classify(succeeded, elapsed, wait);
        if call == StoreCall::Late {
            info!(self.shared.log, "control: store answered late"; "kind" => kind.name(),
                "elapsed_ms" => elapsed.as_millis() as u64, "wait_ms" => wait.as_millis() as u64);
        }
        self.catalogue.borrow_mut().record_replicas_call(call, now);
    }

    fn apply_configuration_list(&self, objects: Vec<Object>, _: u64) {
        for object in &objects {
            self.apply_configuration(object);
        }
    }

    fn apply_configuration_changes(&self, changes: Vec<Change>, _: u64) {
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

    fn apply_replica_list(&self, objects: Vec<Object>, revision: u64) {
        let entries: Vec<_> =
            objects.iter().filter_map(|object| self.decode_replica(object)).collect();
        let count = entries.len();
        if self.catalogue.borrow_mut().set_replicas(entries, revision, self.now()) {
            info!(self.shared.log, "control: replicas listed"; "count" => count);
            self.publish_view();
        }
    }

    fn apply_replica_changes(&self, changes: Vec<Change>, revision: u64) {
        let mut needs_view = false;
        for change in changes {
            needs_view |= match change {
                // An unreadable entry names no replica, so a change to one ends the use of the
                // replica that it named before, as a list without it does.
                Change::Put(object) => match self.decode_replica(&object) {
                    Some(entry) => self.put_replica(entry),
                    None => self.remove_replica(&object.name),
                },
                Change::Removed(name) => {
                    info!(self.shared.log, "control: replica entry removed"; "replica" => &name);
                    self.remove_replica(&name)
                }
            };
        }
        self.catalogue.borrow_mut().advance_replicas_revision(revision);
        if needs_view {
            self.publish_view();
        }
    }

    /// Removes a replica's entry; returns whether the replica was dropped.
    fn remove_replica(&self, name: &str) -> bool {
        let dropped = self.catalogue.borrow_mut().remove_replica(name, self.now());
        if dropped {
            info!(self.shared.log, "control: replica expired"; "replica" => name);
        }
        dropped
    }

    fn put_replica(&self, entry: ReplicaEntry) -> bool {
        let (name, service) = (entry.id.clone(), entry.service.clone());
        let draining = entry.draining;
        let changed = self.catalogue.borrow_mut().put_replica(entry);
        if changed {
            info!(self.shared.log, "control: replica changed"; "replica" => name,
                "service" => service, "draining" => draining);
        }
        changed
    }

    /// Excludes replicas that announced that they leave from all later views; does not return.
    async fn exclude_leaving_replicas(&self, mut leaving: mpsc::Receiver<Arc<Replica>>) {
        while let Some(replica) = leaving.recv().await {
            let excluded = self.catalogue.borrow_mut().exclude_leaving(replica.id, self.now());
            let Some((service, remaining)) = excluded else { continue };
            if remaining == 0 {
                warn!(self.shared.log, "control: last replica of a service leaves";
                    "service" => &*service, "replica" => &*replica.name);
            }
            self.publish_view();
        }
        // The traffic thread has ended, and the process with it.
        std::future::pending::<()>().await;
    }

    fn decode_replica(&self, object: &Object) -> Option<ReplicaEntry> {
        let decoded = decode_replica_entry(&object.name, &object.spec);
        decoded.inspect_err(|e| self.log_ignored_entry(object, e)).ok()
    }

    /// Removes the replicas whose entries were not restored within the grace period; does not
    /// return.
    async fn expire_replicas(&self) {
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let expired = self.catalogue.borrow_mut().expire_replicas(self.now());
            for name in &expired {
                info!(self.shared.log, "control: replica expired"; "replica" => name);
            }
            if !expired.is_empty() {
                self.publish_view();
            }
        }
    }

    fn log_ignored_entry(&self, object: &Object, cause: &dyn std::error::Error) {
        warn!(self.shared.log, "control: entry ignored"; "entry" => &object.name,
            "cause" => %cause);
    }

    /// Returns the client of the store, after replacing it if the settings have a new address.
    fn store(&self) -> Store {
        let settings = self.settings.borrow();
        let address_changed = self.store.borrow().address() != settings.store;
        if address_changed {
            match Store::new(settings.store, settings.ip) {
                Ok(store) => {
                    info!(self.shared.log, "control: store address changed";
                        "address" => %settings.store);
                    self.store.replace(store);
                }
                Err(e) => {
                    warn!(self.shared.log, "control: store client not replaced"; "cause" => %e);
                }
            }
        }
        self.store.borrow().clone()
    }

    fn publish_view(&self) {
        if let Some(view) = self.catalogue.borrow().view() {
            self.view.send_replace(Some(Arc::new(view)));
        }
    }

    /// Logs that a call for a kind of objects failed, or that calls succeed again.
    fn log_store_state(&self, kind: ObjectKind, error: Option<&StoreError>) {
        match error {
            Some(e) => {
                warn!(self.shared.log, "control: store call failed";
                    "kind" => kind.name(), "cause" => %e);
            }
            None => info!(self.shared.log, "control: store recovered"; "kind" => kind.name()),
        }
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}

#[cfg(test)]
mod tests;
