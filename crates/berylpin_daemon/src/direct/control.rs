//! Follows the store: the configuration, the replicas and the other daemons.

mod entries;
mod news;

use super::process::Shared;
use berylpin_core::direct::{Catalogue, ReplicaEntry, View};
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

pub(super) use news::NewsRequest;

/// What a watch leaves of the time in which a change has to be in force: a call that gets no answer is
/// given up after 1.2 s beyond its wait, and the next one needs some time.
const WATCH_RESERVE: Duration = Duration::from_millis(2200);

/// The shortest and the longest wait of a watch; the store allows 30 s.
const WATCH_LIMITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(20));

/// How long a watch of the daemons waits; nothing is due within any time.
const DAEMONS_WAIT: Duration = Duration::from_secs(20);

/// The pause after a change of replicas; releases change many within seconds, and what has left may get
/// new work for longer than that.
const REPLICAS_PAUSE: Duration = Duration::from_millis(300);

/// The pause after a change of daemons; at a start all of them enter within a second.
const DAEMONS_PAUSE: Duration = Duration::from_secs(3);

/// The pause after a failed call, doubled with each further one up to the limit of the kind, and up to
/// doubled at random so that daemons do not call all at once.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The limit of the pause for what has to be known soon after the store is back.
const SOON_RETRY_LIMIT: Duration = Duration::from_secs(1);

/// The limit of the pause for daemons, which change rarely.
const DAEMONS_RETRY_LIMIT: Duration = Duration::from_secs(4);

/// How often the lapsed entries are looked through.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// What the control thread gets from the start.
pub(super) struct ControlContext {
    pub(super) settings: watch::Receiver<PlatformSettings>,
    pub(super) view: watch::Sender<Option<Arc<View>>>,
    pub(super) store: Store,
    /// What other daemons ask.
    pub(super) news: mpsc::Receiver<NewsRequest>,
}

/// The state of the control thread.
struct Control {
    shared: Shared,
    view: watch::Sender<Option<Arc<View>>>,
    settings: watch::Receiver<PlatformSettings>,
    store: RefCell<Store>,
    catalogue: RefCell<Catalogue>,
    /// Since when no call about the configuration has succeeded; `None` while they do.
    lost_since: Cell<Option<Instant>>,
}

/// How the objects of one kind are followed.
struct Follower {
    kind: ObjectKind,
    wait: Duration,
    freshness: Freshness,
    list_freshness: Freshness,
    /// The pause after each change, in which more changes may gather.
    pause: Duration,
    /// The longest pause after a failed call, without its random part.
    retry_limit: Duration,
    /// Takes the complete list, which holds at a revision.
    list: fn(&Control, Vec<Object>, u64),
    /// Takes changes in their order, which lead to a revision.
    change: fn(&Control, Vec<Change>, u64),
    /// Returns the revision that a peer may have told.
    revision: fn(&Catalogue) -> Option<u64>,
}

/// Follows the store until the process ends.
pub(super) async fn run_control(cx: ControlContext, shared: Shared) {
    let ControlContext { settings, view, store, news } = cx;
    let (catalogue, wait) = {
        let settings = settings.borrow();
        let (centre, regions) = (settings.data_centre.clone(), settings.regions.clone());
        (Catalogue::new(settings.name.clone(), centre, regions), watch_wait(&settings))
    };
    let started = shared.clock.now();
    let control = Rc::new(Control {
        shared,
        view,
        settings,
        store: RefCell::new(store),
        catalogue: RefCell::new(catalogue),
        lost_since: Cell::new(Some(started)),
    });
    let configuration = Follower {
        kind: ObjectKind::Configuration,
        wait,
        freshness: Freshness::Newest,
        list_freshness: Freshness::Newest,
        pause: Duration::ZERO,
        retry_limit: SOON_RETRY_LIMIT,
        list: Control::list_configuration,
        change: Control::change_configuration,
        revision: |_| None,
    };
    let replicas = Follower {
        kind: ObjectKind::Replicas,
        wait,
        freshness: Freshness::MaybeStale,
        list_freshness: Freshness::Newest,
        pause: REPLICAS_PAUSE,
        retry_limit: SOON_RETRY_LIMIT,
        list: Control::list_replicas,
        change: Control::change_replicas,
        revision: |catalogue| catalogue.revisions().replicas,
    };
    let daemons = Follower {
        kind: ObjectKind::Daemons,
        wait: DAEMONS_WAIT,
        freshness: Freshness::MaybeStale,
        list_freshness: Freshness::MaybeStale,
        pause: DAEMONS_PAUSE,
        retry_limit: DAEMONS_RETRY_LIMIT,
        list: Control::list_daemons,
        change: Control::change_daemons,
        revision: |catalogue| catalogue.revisions().daemons,
    };
    tokio::join!(
        control.follow(configuration),
        control.follow(replicas),
        control.follow(daemons),
        control.enter(),
        control.remove_lapsed(),
        control.expire_replicas(),
        control.answer_peers(news),
        control.ask_peers(),
    );
}

/// Returns how long a watch may wait.
///
/// A connection that goes silent shows only when the wait is over. By then a change may be due that
/// came once this daemon had settled.
fn watch_wait(settings: &PlatformSettings) -> Duration {
    let due = settings.settle_time + settings.config_apply_limit.min(settings.drain_limit);
    let (least, most) = WATCH_LIMITS;
    due.saturating_sub(WATCH_RESERVE).clamp(least, most)
}

/// Returns how long the next watch waits.
///
/// A store that takes a call without answering it would hold a long watch although it may be back right
/// after, so nothing is waited for until it has answered.
fn watch_time(wait: Duration, reached: bool) -> Duration {
    if reached { wait } else { Duration::ZERO }
}

/// Returns the pause after so many failed calls in a row, at least one, without its random part.
fn retry_pause(failures: u32, limit: Duration) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    (RETRY_PAUSE * 2u32.pow(doublings)).min(limit)
}

impl Control {
    /// Lists the objects of a kind and then watches them, for ever.
    async fn follow(&self, follower: Follower) {
        let mut revision = None;
        let mut failures = 0;
        loop {
            // A peer may have told more meanwhile; older changes would undo that for a moment.
            revision = revision
                .max((follower.revision)(&self.catalogue.borrow()).filter(|_| revision.is_some()));
            let wait = watch_time(follower.wait, failures == 0);
            let result = self.call(&follower, revision, wait).await;
            let reached = result.is_ok();
            if reached != (failures == 0) {
                self.note_contact(follower.kind, result.as_ref().err());
                if reached && follower.kind == ObjectKind::Daemons {
                    self.catalogue.borrow_mut().store_recovered(self.now());
                }
            }
            failures = if reached { 0 } else { failures + 1 };
            if follower.kind == ObjectKind::Configuration {
                let lost_since = self.lost_since.get().unwrap_or_else(|| self.now());
                self.lost_since.set((!reached).then_some(lost_since));
            }
            match result {
                Ok(newest) => {
                    let changed = revision.replace(newest) != Some(newest);
                    if changed {
                        tokio::time::sleep(follower.pause).await;
                    }
                }
                Err(StoreError::RevisionCompacted) => revision = None,
                Err(_) => {
                    let spread = rand::rng().random_range(1.0..2.0);
                    let pause = retry_pause(failures, follower.retry_limit);
                    tokio::time::sleep(pause.mul_f64(spread)).await;
                }
            }
        }
    }

    async fn call(
        &self,
        follower: &Follower,
        since: Option<u64>,
        wait: Duration,
    ) -> Result<u64, StoreError> {
        let Follower { kind, freshness, list_freshness, list, change, .. } = follower;
        let store = self.store();
        let Some(since) = since else {
            let listing = store.list(*kind, *list_freshness).await?;
            list(self, listing.objects, listing.revision);
            return Ok(listing.revision);
        };
        let (changes, revision) = store.watch(*kind, since, wait, *freshness).await?;
        change(self, changes, revision);
        Ok(revision)
    }

    fn list_configuration(&self, objects: Vec<Object>, _: u64) {
        for object in &objects {
            self.configure(object);
        }
    }

    fn change_configuration(&self, changes: Vec<Change>, _: u64) {
        for change in changes {
            if let Change::Put(object) = change {
                self.configure(&object);
            }
        }
    }

    fn configure(&self, object: &Object) {
        if !object.is_newest_configuration() {
            return;
        }
        match decode_configuration(&object.spec) {
            Ok(configuration) => {
                let (version, routes) = (configuration.version, configuration.routes.len());
                if self.catalogue.borrow_mut().apply_configuration(configuration) {
                    info!(self.shared.log, "control: configuration in force";
                        "version" => version, "routes" => routes);
                    self.publish();
                }
            }
            Err(e) => warn!(self.shared.log, "control: configuration ignored"; "cause" => %e),
        }
    }

    fn list_replicas(&self, objects: Vec<Object>, revision: u64) {
        let entries: Vec<_> = objects.iter().filter_map(|object| self.entry(object)).collect();
        let count = entries.len();
        if self.catalogue.borrow_mut().set_replicas(entries, revision, self.now()) {
            info!(self.shared.log, "control: replicas listed"; "count" => count);
            self.publish();
        }
    }

    fn change_replicas(&self, changes: Vec<Change>, revision: u64) {
        let mut news = false;
        for change in changes {
            news |= match change {
                Change::Put(object) => self.entry(&object).is_some_and(|entry| self.put(entry)),
                Change::Removed(name) => {
                    info!(self.shared.log, "control: entry of replica gone"; "replica" => &name);
                    self.catalogue.borrow_mut().remove_replica(&name, self.now())
                }
            };
        }
        self.catalogue.borrow_mut().advance_replicas_revision(revision);
        if news {
            self.publish();
        }
    }

    fn put(&self, entry: ReplicaEntry) -> bool {
        let (name, service) = (entry.id.clone(), entry.service.clone());
        let draining = entry.draining;
        let changed = self.catalogue.borrow_mut().put_replica(entry);
        if changed {
            info!(self.shared.log, "control: replica changed"; "replica" => name,
                "service" => service, "draining" => draining);
        }
        changed
    }

    fn entry(&self, object: &Object) -> Option<ReplicaEntry> {
        let decoded = decode_replica_entry(&object.name, &object.spec);
        decoded.inspect_err(|e| self.ignore(object, e)).ok()
    }

    /// Drops replicas whose entries did not come back in time.
    async fn expire_replicas(&self) {
        loop {
            tokio::time::sleep(EXPIRY_PERIOD).await;
            let dropped = self.catalogue.borrow_mut().expire_replicas(self.now());
            for name in &dropped {
                info!(self.shared.log, "control: replica left"; "replica" => name);
            }
            if !dropped.is_empty() {
                self.publish();
            }
        }
    }

    fn ignore(&self, object: &Object, cause: &dyn std::error::Error) {
        warn!(self.shared.log, "control: entry ignored"; "entry" => &object.name,
            "cause" => %cause);
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
                Err(e) => warn!(self.shared.log, "control: no client"; "cause" => %e),
            }
        }
        self.store.borrow().clone()
    }

    fn publish(&self) {
        if let Some(view) = self.catalogue.borrow().view() {
            self.view.send_replace(Some(Arc::new(view)));
        }
    }

    /// Notes that calls about a kind of objects fail, or succeed again.
    fn note_contact(&self, kind: ObjectKind, error: Option<&StoreError>) {
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
