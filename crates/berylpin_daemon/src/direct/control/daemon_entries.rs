//! The entries of daemons in the store: this daemon renews its own and removes expired ones.

use super::Control;
use super::watches::{MAX_DAEMONS_RETRY_BACKOFF, retry_backoff};
use berylpin_core::direct::{Catalogue, DaemonEntry, EventTraits, RENEWAL_INTERVAL, StorePosition};
use berylpin_platform::{Change, Listing, ObjectKind};
use rand::Rng;
use slog::{info, warn};
use std::time::Duration;

/// The interval, before jitter, between checks of this daemon's entry and between checks for
/// expired entries.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_secs(10);

impl Control {
    pub(super) fn daemon_traits(
        catalogue: &Catalogue,
        change: &Change<DaemonEntry>,
    ) -> EventTraits {
        match change {
            Change::Put(_) => {
                EventTraits { trusted: true, effective: true, changes_identity: false }
            }
            Change::Removed(name) => catalogue.daemon_removal_traits(name),
            Change::Odd(odd) => {
                let effective = odd.name.as_ref().is_some_and(|name| catalogue.has_daemon(name));
                EventTraits { effective, ..EventTraits::default() }
            }
        }
    }

    pub(super) fn apply_daemon_list(&self, listing: Listing<DaemonEntry>, position: StorePosition) {
        if self.catalogue.borrow_mut().set_daemons(listing.objects, position, self.now()) {
            self.handle_fleet_change();
        }
    }

    pub(super) fn apply_daemon_changes(
        &self,
        changes: Vec<Change<DaemonEntry>>,
        position: StorePosition,
    ) {
        let mut fleet_changed = false;
        for change in changes {
            let mut catalogue = self.catalogue.borrow_mut();
            fleet_changed |= match change {
                Change::Put(entry) => catalogue.put_daemon(entry, self.now()),
                Change::Removed(name) => catalogue.remove_daemon(&name),
                // An odd entry names no daemon, as in a list.
                Change::Odd(odd) => odd.name.is_some_and(|name| catalogue.remove_daemon(&name)),
            };
        }
        self.catalogue.borrow_mut().advance_daemons(position);
        if fleet_changed {
            self.handle_fleet_change();
        }
    }

    /// Writes this daemon's entry, renews it and restores it if it was removed; does not return.
    pub(super) async fn maintain_own_entry(&self) {
        let own = {
            let settings = self.settings.borrow();
            DaemonEntry {
                name: settings.name.clone(),
                address: (settings.ip, settings.peer_ports.0).into(),
                data_centre: settings.data_centre.clone(),
                revision: 0,
            }
        };
        let mut renewals = 0;
        let mut failures = 0;
        let mut renew_at = None;
        loop {
            let stored = self.catalogue.borrow().own_entry().map(Option::<&DaemonEntry>::cloned);
            let listed = stored.is_some();
            let is_current = stored.flatten().is_some_and(|entry| entry.has_same_location(&own));
            if is_current && renew_at.is_none() {
                // The entry of this daemon's previous process is still valid after a restart.
                renew_at = Some(self.now() + RENEWAL_INTERVAL);
            }
            let renewal_due = renew_at.is_none_or(|at| at <= self.now());
            if listed && (renewal_due || !is_current) {
                let called_at = self.now();
                let answer = self.store().put_daemon_entry(&own, renewals).await;
                self.observe_answer(&answer);
                match answer.result {
                    Ok(()) => {
                        renewals += 1;
                        failures = 0;
                        renew_at = Some(self.now() + RENEWAL_INTERVAL);
                    }
                    Err(e) => {
                        self.log_store_failure(ObjectKind::Daemons, &e, called_at);
                        failures += 1;
                        renew_at = Some(self.now());
                    }
                }
            }
            let is_stored = listed && failures == 0;
            let delay = if is_stored {
                ENTRY_CHECK_INTERVAL
            } else {
                retry_backoff(failures, MAX_DAEMONS_RETRY_BACKOFF)
            };
            let jitter = rand::rng().random_range(1.0..2.0);
            self.sleep_unless_restored(delay.mul_f64(jitter)).await;
        }
    }

    /// Removes the entries of daemons that did not renew them in time; does not return.
    pub(super) async fn remove_expired_daemons(&self) {
        loop {
            // The jitter is large so that most daemons receive a removal before they attempt it.
            let jitter = rand::rng().random_range(1.0..6.0);
            tokio::time::sleep(ENTRY_CHECK_INTERVAL.mul_f64(jitter)).await;
            self.drop_lost_daemons();
            // At most one entry per check: if the store does not show renewals to this daemon, few
            // valid entries are removed before the fault is detected.
            let expired = self.catalogue.borrow().expired_daemons(self.now()).into_iter().next();
            let Some(entry) = expired else { continue };
            let answer = self.store().remove_daemon_entry(&entry).await;
            self.observe_answer(&answer);
            match answer.result {
                Ok(()) => info!(self.shared.log, "control: expired daemon entry removed";
                    "daemon" => entry.name, "revision" => entry.revision),
                Err(e) => warn!(self.shared.log, "control: expired daemon entry not removed";
                    "daemon" => entry.name, "cause" => %e),
            }
        }
    }

    /// Drops the daemons that the store lost with a restore and that did not come back.
    fn drop_lost_daemons(&self) {
        let dropped = self.catalogue.borrow_mut().drop_lost_daemons(self.now());
        for name in &dropped {
            info!(self.shared.log, "control: daemon lost by the store dropped"; "daemon" => name);
        }
        if !dropped.is_empty() {
            self.handle_fleet_change();
        }
    }

    fn handle_fleet_change(&self) {
        let size = self.catalogue.borrow().fleet_size();
        info!(self.shared.log, "control: daemons changed"; "daemons" => size);
        self.publish_view();
    }
}
