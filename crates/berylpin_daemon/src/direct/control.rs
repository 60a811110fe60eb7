//! The control thread: watches the configuration, the replicas and the daemons in the store and
//! publishes views of them.

mod configuration;
mod confirmation;
mod daemon_entries;
mod eras;
mod excerpt;
mod odd_objects;
mod replica_entries;
mod state_delta;
mod watches;

use super::peer_versions::PeerVersion;
use super::process::Shared;
use berylpin_core::direct::{
    Catalogue, Confirmation, Replica, ReplicasConfirmation, StoreEra, StorePosition, StoreTimes,
    StoredConfiguration, View,
};
use berylpin_platform::{ObjectKind, PlatformSettings, Store, StoreError};
use odd_objects::LoggedObjects;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{Notify, mpsc, watch};
use watches::WatchConfig;

pub(super) use state_delta::StateDeltaRequest;

/// The client, settings and channels of the control thread.
pub(super) struct ControlContext {
    pub(super) settings: watch::Receiver<PlatformSettings>,
    pub(super) view: watch::Sender<Option<Arc<View>>>,
    pub(super) store: Store,
    /// Requests of peers for the state that they lack.
    pub(super) state_requests: mpsc::Receiver<StateDeltaRequest>,
    /// Replicas that announced in an answer that they leave.
    pub(super) leaving: mpsc::Receiver<Arc<Replica>>,
    /// When the configuration in force and the replicas in use were last confirmed.
    pub(super) confirmed_at: watch::Sender<Option<Instant>>,
    /// Versions of the configuration that peers have in force.
    pub(super) peer_versions: mpsc::Receiver<PeerVersion>,
}

/// The state of the control thread.
struct Control {
    shared: Shared,
    view: watch::Sender<Option<Arc<View>>>,
    settings: watch::Receiver<PlatformSettings>,
    store: RefCell<Store>,
    catalogue: RefCell<Catalogue>,
    /// When the configuration was last confirmed, and since when calls for it have failed.
    confirmation: Cell<Confirmation>,
    replicas_confirmation: Cell<ReplicasConfirmation>,
    /// The earlier time of both confirmations, for the traffic thread.
    confirmed_at: watch::Sender<Option<Instant>>,
    /// The store's position at the last answer to a call for the configuration; `None` if it must be
    /// listed.
    configuration_position: Cell<Option<StorePosition>>,
    stored_configuration: Cell<StoredConfiguration>,
    logged_objects: RefCell<LoggedObjects>,
    /// Notified when a configuration was applied, after which replicas may have to be listed again.
    configuration_applied: Notify,
    /// Sends the era of the store when it was restored from a copy.
    restores: watch::Sender<StoreEra>,
    /// Until when only the newest data is read, after a restore.
    fresh_until: Cell<Option<Instant>>,
}

/// Runs the tasks of the control thread; does not return.
pub(super) async fn run_control(cx: ControlContext, shared: Shared) {
    let ControlContext {
        settings,
        view,
        store,
        state_requests,
        leaving,
        confirmed_at,
        peer_versions,
    } = cx;
    let (catalogue, times) = {
        let settings = settings.borrow();
        let (data_centre, regions) = (settings.data_centre.clone(), settings.regions.clone());
        let times = StoreTimes::new(&settings.store_bounds);
        let catalogue = Catalogue::new(settings.name.clone(), data_centre, regions)
            .with_peer_address((settings.ip, settings.peer_ports.0).into())
            .with_expiry_grace(times.expiry_grace)
            .with_heartbeat(settings.store_bounds.heartbeat);
        (catalogue, times)
    };
    let started = shared.clock.now();
    let control = Rc::new(Control {
        shared,
        view,
        settings,
        store: RefCell::new(store),
        catalogue: RefCell::new(catalogue),
        confirmation: Cell::new(Confirmation::new(started)),
        replicas_confirmation: Cell::new(ReplicasConfirmation::new(started)),
        confirmed_at,
        configuration_position: Cell::new(None),
        stored_configuration: Cell::default(),
        logged_objects: RefCell::default(),
        configuration_applied: Notify::new(),
        restores: watch::Sender::default(),
        fresh_until: Cell::new(None),
    });
    tokio::join!(
        control.watch_kind(WatchConfig::configuration()),
        control.confirm_state(&times),
        control.watch_kind(WatchConfig::replicas(&times)),
        control.watch_kind(WatchConfig::daemons()),
        control.maintain_own_entry(),
        control.remove_expired_daemons(),
        control.expire_replicas(),
        control.exclude_leaving_replicas(leaving),
        control.serve_state_deltas(state_requests),
        control.fetch_from_peers(),
        control.follow_peer_versions(peer_versions),
    );
}

impl Control {
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

    /// Logs a call for a kind of objects that failed; only the first of several in a row.
    fn log_store_failure(&self, kind: ObjectKind, cause: &StoreError, called_at: Instant) {
        let elapsed = self.now().saturating_duration_since(called_at);
        warn!(self.shared.log, "control: store call failed"; "kind" => kind.name(),
            "cause" => %cause, "elapsed_ms" => elapsed.as_millis() as u64);
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}
