//! Follows the store: the configuration, the replicas and the other daemons.

mod daemon_entries;
mod state_delta;

use super::process::Shared;
use berylpin_core::direct::{Catalogue, ReplicaEntry, View};
use berylpin_platform::{
    Change, Freshness, Kind, Object, PlatformSettings, Store, StoreError, decode_configuration,
    decode_entry,
};
use rand::Rng;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

pub(super) use state_delta::StateDeltaRequest;

/// What a watch leaves of the time in which a change has to be in force: a call that gets no answer is
/// given up after 1.2 s beyond its wait, and the next one needs some time.
const WATCH_MARGIN: Duration = Duration::from_millis(2200);

/// The shortest and the longest wait of a watch; the store allows 30 s.
const WATCH_WAIT_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(20));

/// How long a watch of the daemons waits; nothing is due within any time.
const DAEMONS_WATCH_WAIT: Duration = Duration::from_secs(20);

/// The pause after a change of replicas; releases change many within seconds, and what has left may get
/// new work for longer than that.
const REPLICAS_BATCH_DELAY: Duration = Duration::from_millis(300);

/// The pause after a change of daemons; at a start all of them enter within a second.
const DAEMONS_BATCH_DELAY: Duration = Duration::from_secs(3);

/// The pause after a failed call, doubled with each further one up to the limit of the kind, and up to
/// doubled at random so that daemons do not call all at once.
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// The limit of the pause for what has to be known soon after the store is back.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(1);

/// The limit of the pause for daemons, which change rarely.
const MAX_DAEMONS_RETRY_BACKOFF: Duration = Duration::from_secs(4);

/// How often the lapsed entries are looked through.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What the control thread gets from the start.
pub(super) struct ControlContext {
    pub(super) settings: watch::Receiver<PlatformSettings>,
    pub(super) view: watch::Sender<Option<Arc<View>>>,
    pub(super) store: Store,
    /// What other daemons ask.
    pub(super) state_requests: mpsc::Receiver<StateDeltaRequest>,
}

/// The state of the control thread.
struct Control {
    shared: Shared,
    view: watch::Sender<Option<Arc<View>>>,
    settings: watch::Receiver<PlatformSettings>,
    store: RefCell<Store>,
    catalogue: RefCell<Catalogue>,
    /// Since when no call about the configuration has succeeded; `None` while they do.
    unreachable_since: Cell<Option<Instant>>,
}

/// How the objects of one kind are followed.
struct WatchConfig {
    kind: Kind,
    wait: Duration,
    freshness: Freshness,
    list_freshness: Freshness,
    /// The pause after each change, in which more changes may gather.
    batch_delay: Duration,
    /// The longest pause after a failed call, without its random part.
    max_backoff: Duration,
    /// Takes the complete list, which holds at a revision.
    apply_list: fn(&Control, Vec<Object>, u64),
    /// Takes changes in their order, which lead to a revision.
    apply_changes: fn(&Control, Vec<Change>, u64),
    /// Returns the revision that a peer may have told.
    peer_revision: fn(&Catalogue) -> Option<u64>,
}

/// Follows the store until the process ends.
pub(super) async fn run_control(cx: ControlContext, shared: Shared) {
    let ControlContext { settings, view, store, state_requests } = cx;
    let (catalogue, wait) = {
        let settings = settings.borrow();
        let (data_centre, regions) = (settings.data_centre.clone(), settings.regions.clone());
        (Catalogue::new(settings.name.clone(), data_centre, regions), max_watch_wait(&settings))
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
        kind: Kind::Configuration,
        wait,
        freshness: Freshness::Newest,
        list_freshness: Freshness::Newest,
        batch_delay: Duration::ZERO,
        max_backoff: MAX_RETRY_BACKOFF,
        apply_list: Control::apply_configuration_list,
        apply_changes: Control::apply_configuration_changes,
        peer_revision: |_| None,
    };
    let replicas = WatchConfig {
        kind: Kind::Replicas,
        wait,
        freshness: Freshness::MaybeStale,
        list_freshness: Freshness::Newest,
        batch_delay: REPLICAS_BATCH_DELAY,
        max_backoff: MAX_RETRY_BACKOFF,
        apply_list: Control::apply_replica_list,
        apply_changes: Control::apply_replica_changes,
        peer_revision: |catalogue| catalogue.revisions().replicas,
    };
    let daemons = WatchConfig {
        kind: Kind::Daemons,
        wait: DAEMONS_WATCH_WAIT,
        freshness: Freshness::MaybeStale,
        list_freshness: Freshness::MaybeStale,
        batch_delay: DAEMONS_BATCH_DELAY,
        max_backoff: MAX_DAEMONS_RETRY_BACKOFF,
        apply_list: Control::apply_daemon_list,
        apply_changes: Control::apply_daemon_changes,
        peer_revision: |catalogue| catalogue.revisions().daemons,
    };
    tokio::join!(
        control.watch_kind(configuration),
        control.watch_kind(replicas),
        control.watch_kind(daemons),
        control.maintain_own_entry(),
        control.remove_expired_daemons(),
        control.expire_replicas(),
        control.serve_state_deltas(state_requests),
        control.fetch_from_peers(),
    );
}

/// Returns how long a watch may wait.
///
/// A connection that goes silent shows only when the wait is over. By then a change may be due that
/// came once this daemon had settled.
fn max_watch_wait(settings: &PlatformSettings) -> Duration {
    let change_due = settings.settle_time + settings.configure_limit.min(settings.drain_limit);
    let (min, max) = WATCH_WAIT_RANGE;
    change_due.saturating_sub(WATCH_MARGIN).clamp(min, max)
}

/// Returns how long the next watch waits.
///
/// A store that takes a call without answering it would hold a long watch although it may be back right
/// after, so nothing is waited for until it has answered.
fn next_watch_wait(wait: Duration, reached: bool) -> Duration {
    if reached { wait } else { Duration::ZERO }
}

/// Returns the pause after so many failed calls in a row, at least one, without its random part.
fn retry_backoff(failures: u32, max: Duration) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (INITIAL_RETRY_BACKOFF * 2u32.pow(doublings)).min(max)
}

impl Control {
    /// Lists the objects of a kind and then watches them, for ever.
    async fn watch_kind(&self, config: WatchConfig) {
        let mut revision = None;
        let mut failures = 0;
        loop {
            // A peer may have told more meanwhile; older changes would undo that for a moment.
            revision = revision.max(
                (config.peer_revision)(&self.catalogue.borrow()).filter(|_| revision.is_some()),
            );
            let wait = next_watch_wait(config.wait, failures == 0);
            let result = self.list_or_watch(&config, revision, wait).await;
            let reached = result.is_ok();
            if reached != (failures == 0) {
                self.log_availability(config.kind, result.as_ref().err());
                if reached && config.kind == Kind::Daemons {
                    self.catalogue.borrow_mut().store_recovered(self.now());
                }
            }
            failures = if reached { 0 } else { failures + 1 };
            if config.kind == Kind::Configuration {
                let unreachable_since = self.unreachable_since.get().unwrap_or_else(|| self.now());
                self.unreachable_since.set((!reached).then_some(unreachable_since));
            }
            match result {
                Ok(newest) => {
                    let changed = revision.replace(newest) != Some(newest);
                    if changed {
                        tokio::time::sleep(config.batch_delay).await;
                    }
                }
                Err(StoreError::HistoryGone) => revision = None,
                Err(_) => {
                    let jitter = rand::rng().random_range(1.0..2.0);
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
        let WatchConfig { kind, freshness, list_freshness, apply_list, apply_changes, .. } = config;
        let store = self.store();
        let Some(since) = since else {
            let listing = store.list(*kind, *list_freshness).await?;
            apply_list(self, listing.objects, listing.revision);
            return Ok(listing.revision);
        };
        let (changes, revision) = store.watch(*kind, since, wait, *freshness).await?;
        apply_changes(self, changes, revision);
        Ok(revision)
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
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Put(object) => {
                    self.decode_replica(&object).is_some_and(|entry| self.put_replica(entry))
                }
                Change::Removed(name) => {
                    info!(self.shared.log, "control: entry of replica gone"; "replica" => &name);
                    self.catalogue.borrow_mut().remove_replica(&name, self.now())
                }
            };
        }
        self.catalogue.borrow_mut().advance_replicas_revision(revision);
        if changed {
            self.publish_view();
        }
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

    fn decode_replica(&self, object: &Object) -> Option<ReplicaEntry> {
        let decoded = decode_entry(&object.name, &object.spec);
        decoded.inspect_err(|e| self.log_ignored_entry(object, e)).ok()
    }

    /// Drops replicas whose entries did not come back in time.
    async fn expire_replicas(&self) {
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let expired = self.catalogue.borrow_mut().expire_replicas(self.now());
            for name in &expired {
                info!(self.shared.log, "control: replica left"; "replica" => name);
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

    /// Returns the client of the store, a new one if the store has moved.
    fn store(&self) -> Store {
        let settings = self.settings.borrow();
        let address_changed = self.store.borrow().address() != settings.store;
        if address_changed {
            match Store::new(settings.store, settings.ip) {
                Ok(store) => {
                    info!(self.shared.log, "control: store moved"; "address" => %settings.store);
                    self.store.replace(store);
                }
                Err(e) => warn!(self.shared.log, "control: no client"; "cause" => %e),
            }
        }
        self.store.borrow().clone()
    }

    fn publish_view(&self) {
        if let Some(view) = self.catalogue.borrow().view() {
            self.view.send_replace(Some(Arc::new(view)));
        }
    }

    /// Notes that calls about a kind of objects fail, or succeed again.
    fn log_availability(&self, kind: Kind, error: Option<&StoreError>) {
        match error {
            Some(e) => {
                warn!(self.shared.log, "control: store lost"; "kind" => kind.name(), "cause" => %e);
            }
            None => info!(self.shared.log, "control: store back"; "kind" => kind.name()),
        }
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}

#[cfg(test)]
mod tests;
