//! The entries of daemons: this one's is kept, those of daemons that are gone are removed.

use super::{Control, DAEMONS_RETRY_LIMIT, retry_pause};
use berylpin_core::direct::{DaemonEntry, RENEWAL_PERIOD};
use berylpin_platform::{Change, Object, ObjectKind, decode_daemon_entry};
use rand::Rng;
use slog::{info, warn};
use std::time::Duration;

/// How often this daemon looks whether its entry is there and others have lapsed.
const CHECK_PERIOD: Duration = Duration::from_secs(10);

impl Control {
    pub(super) fn list_daemons(&self, objects: Vec<Object>, revision: u64) {
        let entries = objects.iter().filter_map(|object| self.daemon(object)).collect();
        if self.catalogue.borrow_mut().set_daemons(entries, revision, self.now()) {
            self.fleet_changed();
        }
    }

    pub(super) fn change_daemons(&self, changes: Vec<Change>, revision: u64) {
        let mut news = false;
        for change in changes {
            let mut catalogue = self.catalogue.borrow_mut();
            news |= match change {
                Change::Put(object) => self
                    .daemon(&object)
                    .is_some_and(|entry| catalogue.put_daemon(entry, self.now())),
                Change::Removed(name) => catalogue.remove_daemon(&name),
            };
        }
        self.catalogue.borrow_mut().advance_daemons_revision(revision);
        if news {
            self.fleet_changed();
        }
    }

    /// Makes this daemon known to the others and renews its entry for as long as the process lives.
    pub(super) async fn enter(&self) {
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
        let mut due_at = None;
        loop {
            let known = self.catalogue.borrow().own_entry().map(Option::<&DaemonEntry>::cloned);
            let listed = known.is_some();
            let there = known.flatten().is_some_and(|entry| entry.has_same_location(&own));
            if there && due_at.is_none() {
                // A daemon that starts again finds its entry as it left it.
                due_at = Some(self.now() + RENEWAL_PERIOD);
            }
            let due = due_at.is_none_or(|at| at <= self.now());
            if listed && (due || !there) {
                match self.store().put_daemon_entry(&own, renewals).await {
                    Ok(()) => {
                        renewals += 1;
                        failures = 0;
                        due_at = Some(self.now() + RENEWAL_PERIOD);
                    }
                    Err(e) => {
                        self.note_contact(ObjectKind::Daemons, Some(&e));
                        failures += 1;
                        due_at = Some(self.now());
                    }
                }
            }
            let settled = listed && failures == 0;
            let pause =
                if settled { CHECK_PERIOD } else { retry_pause(failures, DAEMONS_RETRY_LIMIT) };
            let spread = rand::rng().random_range(1.0..2.0);
            tokio::time::sleep(pause.mul_f64(spread)).await;
        }
    }

    /// Removes the entries of daemons that have not renewed them in time.
    pub(super) async fn remove_lapsed(&self) {
        loop {
            // At random, so that most daemons hear of a removal before they try it themselves.
            let spread = rand::rng().random_range(1.0..6.0);
            tokio::time::sleep(CHECK_PERIOD.mul_f64(spread)).await;
            // One a round: a store that hides renewals from this daemon shows before many are gone.
            let lapsed = self.catalogue.borrow().expired_daemons(self.now()).into_iter().next();
            let Some(entry) = lapsed else { continue };
            match self.store().remove_daemon_entry(&entry).await {
                Ok(()) => info!(self.shared.log, "control: entry of a daemon removed";
                    "daemon" => entry.name, "revision" => entry.revision),
                Err(e) => warn!(self.shared.log, "control: entry of a daemon not removed";
                    "daemon" => entry.name, "cause" => %e),
            }
        }
    }

    fn daemon(&self, object: &Object) -> Option<DaemonEntry> {
        let decoded = decode_daemon_entry(object);
        decoded.inspect_err(|e| self.ignore(object, e)).ok()
    }

    fn fleet_changed(&self) {
        let size = self.catalogue.borrow().fleet_size();
        info!(self.shared.log, "control: daemons changed"; "daemons" => size);
        self.publish();
    }
}
