//! Follows the store: the configuration and the replicas.

use super::process::Shared;
use berylpin_core::direct::{Catalogue, ReplicaEntry, View};
use berylpin_platform::{
    Change, Kind, Listing, Object, PlatformSettings, Store, StoreError, decode_configuration,
    decode_entry,
};
use slog::{info, warn};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// How long a watch of the configuration waits. A connection that went silent is noticed after this
/// time and the client's own limit, well before a new configuration is due everywhere.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2500);

/// How long a watch of the replicas waits. Some replica's entry changes all the time, so it hardly
/// ever does.
const REPLICAS_WAIT: Duration = Duration::from_millis(1000);

/// The pause between two watches of the replicas: leaving replicas may get new work for 3 s after
/// their notice, and each call costs.
const REPLICAS_PERIOD: Duration = Duration::from_millis(1200);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Daemons that share budgets and connections, until the fleet's size is known.
const FLEET_SIZE: u32 = 12;

/// What the control thread gets from the start.
pub(super) struct ControlContext {
    pub(super) settings: watch::Receiver<PlatformSettings>,
    pub(super) view: watch::Sender<Option<Arc<View>>>,
    pub(super) store: Store,
}

/// The state of the control thread.
struct Control {
    shared: Shared,
    view: watch::Sender<Option<Arc<View>>>,
    settings: watch::Receiver<PlatformSettings>,
    store: RefCell<Store>,
    catalogue: RefCell<Catalogue>,
}

/// Follows the store until the process ends.
pub(super) async fn run_control(cx: ControlContext, shared: Shared) {
    let ControlContext { settings, view, store } = cx;
    let catalogue = {
        let settings = settings.borrow();
        Catalogue::new(settings.data_centre.clone(), settings.regions.clone(), FLEET_SIZE)
    };
    let control = Rc::new(Control {
        shared,
        view,
        settings,
        store: RefCell::new(store),
        catalogue: RefCell::new(catalogue),
    });
    tokio::join!(
        control.clone().follow_configuration(),
        control.clone().follow_replicas(),
        control.expire_replicas(),
    );
}

impl Control {
    async fn follow_configuration(self: Rc<Self>) {
        let mut revision = None;
        loop {
            let store = self.store();
            let result = match revision {
                None => self.list_configuration(&store).await,
                Some(since) => self.watch_configuration(&store, since).await,
            };
            match result {
                Ok(newest) => revision = Some(newest),
                Err(e) => {
                    self.note_failure("configuration", &e);
                    revision = None;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn list_configuration(&self, store: &Store) -> Result<u64, StoreError> {
        let Listing { objects, revision } = store.list(Kind::Configuration).await?;
        objects.iter().for_each(|object| self.configure(object));
        Ok(revision)
    }

    async fn watch_configuration(&self, store: &Store, since: u64) -> Result<u64, StoreError> {
        let (changes, revision) =
            store.watch(Kind::Configuration, since, CONFIGURATION_WAIT).await?;
        for change in changes {
            if let Change::Put(object) = change {
                self.configure(&object);
            }
        }
        Ok(revision)
    }

    fn configure(&self, object: &Object) {
        if !object.is_newest_configuration() {
            return;
        }
        match decode_configuration(&object.spec) {
            Ok(configuration) => {
                let (version, routes) = (configuration.version, configuration.routes.len());
                if self.catalogue.borrow_mut().configure(configuration) {
                    info!(self.shared.log, "control: configuration in force";
                        "version" => version, "routes" => routes);
                    self.publish();
                }
            }
            Err(e) => warn!(self.shared.log, "control: configuration ignored"; "cause" => %e),
        }
    }

    async fn follow_replicas(self: Rc<Self>) {
        let mut revision = None;
        loop {
            let store = self.store();
            let result = match revision {
                None => self.list_replicas(&store).await,
                Some(since) => self.watch_replicas(&store, since).await,
            };
            let now = self.shared.clock.now();
            let news = self.catalogue.borrow_mut().store_reached(result.is_ok(), now);
            match result {
                Ok(newest) => {
                    if news {
                        info!(self.shared.log, "control: store reached again");
                    }
                    revision = Some(newest);
                    tokio::time::sleep(REPLICAS_PERIOD).await;
                }
                Err(StoreError::HistoryGone) => revision = None,
                Err(e) => {
                    if news {
                        self.note_failure("replicas", &e);
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn list_replicas(&self, store: &Store) -> Result<u64, StoreError> {
        let Listing { objects, revision } = store.list(Kind::Replicas).await?;
        let entries = objects.iter().filter_map(|object| self.entry(object)).collect();
        if self.catalogue.borrow_mut().list(entries, self.now()) {
            self.publish();
        }
        Ok(revision)
    }

    async fn watch_replicas(&self, store: &Store, since: u64) -> Result<u64, StoreError> {
        let (changes, revision) = store.watch(Kind::Replicas, since, REPLICAS_WAIT).await?;
        let now = self.now();
        // A call that failed before this one shows that the store was away; entries that ended
        // meanwhile may only have lapsed.
        self.catalogue.borrow_mut().store_reached(true, now);
        let mut changed = false;
        for change in changes {
            changed |= match change {
                Change::Put(object) => match self.entry(&object) {
                    Some(entry) => self.put(entry),
                    None => false,
                },
                Change::Removed(name) => {
                    let removed = self.catalogue.borrow_mut().remove(&name, now);
                    if removed {
                        info!(self.shared.log, "control: replica left"; "replica" => name);
                    }
                    removed
                }
            };
        }
        if changed {
            self.publish();
        }
        Ok(revision)
    }

    fn put(&self, entry: ReplicaEntry) -> bool {
        let (name, draining) = (entry.id.clone(), entry.draining);
        let service = entry.service.clone();
        let changed = self.catalogue.borrow_mut().put(entry);
        if changed {
            info!(self.shared.log, "control: replica changed"; "replica" => name,
                "service" => service, "draining" => draining);
        }
        changed
    }

    fn entry(&self, object: &Object) -> Option<ReplicaEntry> {
        let decoded = decode_entry(&object.name, &object.spec);
        decoded
            .inspect_err(|e| {
                warn!(self.shared.log, "control: entry ignored"; "entry" => &object.name,
                    "cause" => %e);
            })
            .ok()
    }

    /// Drops replicas whose entries did not come back after the store did.
    async fn expire_replicas(&self) {
        /// Entries have seconds to come back, so the end of that time needs no precision.
        const PERIOD: Duration = Duration::from_millis(500);
        loop {
            tokio::time::sleep(PERIOD).await;
            let dropped = self.catalogue.borrow_mut().expire(self.now());
            for name in &dropped {
                info!(self.shared.log, "control: replica left, its entry lapsed";
                    "replica" => name);
            }
            if !dropped.is_empty() {
                self.publish();
            }
        }
    }

    /// Returns the client of the store, a new one if the store has moved.
    fn store(&self) -> Store {
        let settings = self.settings.borrow();
        let moved = self.store.borrow().address() != settings.store;
        if moved {
            match Store::new(settings.store, settings.ip) {
                Ok(store) => {
                    info!(self.shared.log, "control: store moved"; "address" => %settings.store);
                    self.store.replace(store);
                }
                Err(e) => self.note_failure("new client", &e),
            }
        }
        self.store.borrow().clone()
    }

    fn publish(&self) {
        if let Some(view) = self.catalogue.borrow().view() {
            self.view.send_replace(Some(Arc::new(view)));
        }
    }

    fn note_failure(&self, what: &'static str, e: &StoreError) {
        warn!(self.shared.log, "control: store not reached"; "call" => what, "cause" => %e);
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}
