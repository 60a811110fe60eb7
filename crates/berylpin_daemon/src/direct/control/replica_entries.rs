//! The entries of replicas in the store, and replicas that announce that they leave.

use super::Control;
use super::excerpt::excerpt;
use berylpin_core::direct::{
    Catalogue, EXPIRY_CHECK_INTERVAL, EventTraits, Replica, ReplicaEntry, StorePosition,
};
use berylpin_platform::{Change, Listing, Object, OddCause, decode_replica_entry};
use slog::{info, warn};
use std::sync::Arc;
use tokio::sync::mpsc;

impl Control {
    pub(super) fn decode_replica(object: &Object) -> Result<ReplicaEntry, OddCause> {
        decode_replica_entry(&object.name, &object.spec)
    }

    pub(super) fn replica_traits(
        catalogue: &Catalogue,
        change: &Change<ReplicaEntry>,
    ) -> EventTraits {
        match change {
            Change::Put(entry) => catalogue.replica_traits(entry),
            Change::Removed(name) => catalogue.replica_removal_traits(name),
            Change::Odd(odd) => {
                let effective = odd.name.as_ref().is_some_and(|name| catalogue.has_replica(name));
                EventTraits { effective, ..EventTraits::default() }
            }
        }
    }

    pub(super) fn apply_replica_list(
        &self,
        listing: Listing<ReplicaEntry>,
        position: StorePosition,
    ) {
        let entries = listing.objects;
        let count = entries.len();
        if self.catalogue.borrow_mut().set_replicas(entries, position, self.now()) {
            info!(self.shared.log, "control: replicas listed"; "count" => count);
            self.publish_view();
        }
    }

    pub(super) fn apply_replica_changes(
        &self,
        changes: Vec<Change<ReplicaEntry>>,
        position: StorePosition,
    ) {
        let mut needs_view = false;
        for change in changes {
            needs_view |= match change {
                Change::Put(entry) => self.put_replica(entry),
                // An odd entry names no replica, so a change to one ends the use of the replica
                // that it named before, as a list without it does.
                Change::Odd(odd) => odd.name.is_some_and(|name| self.remove_replica(&name)),
                Change::Removed(name) => {
                    info!(self.shared.log, "control: replica entry removed";
                        "replica" => excerpt(&name));
                    self.remove_replica(&name);
                    // Also for a replica that stays in use: peers compare the view's position.
                    true
                }
            };
        }
        self.catalogue.borrow_mut().advance_replicas(position);
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
        let changed = self.catalogue.borrow_mut().put_replica(entry, self.now());
        if changed {
            info!(self.shared.log, "control: replica changed"; "replica" => name,
                "service" => service, "draining" => draining);
        }
        changed
    }

    /// Excludes replicas that announced that they leave from all later views; does not return.
    pub(super) async fn exclude_leaving_replicas(&self, mut leaving: mpsc::Receiver<Arc<Replica>>) {
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

    /// Removes the replicas whose entries were not restored within the grace period; does not
    /// return.
    pub(super) async fn expire_replicas(&self) {
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
}
