//! The operator's configuration, as the store's lists and watches return it.

use super::Control;
use berylpin_core::direct::{Configuration, EventTraits, StorePosition};
use berylpin_platform::{Change, Listing, Object, OddCause, OddObject, decode_configuration};
use slog::{info, warn};

impl Control {
    /// Returns whether the store held the configuration in force at the position of an answer.
    pub(super) fn is_confirmed_by(&self, position: StorePosition) -> bool {
        let in_force = self.catalogue.borrow().version();
        self.stored_configuration.get().confirms(in_force, position.era)
    }

    /// Records the version in the store, which may be older than the one in force after a restore;
    /// must follow its application.
    fn record_stored_version(&self, position: StorePosition, version: Option<u64>) {
        let mut stored = self.stored_configuration.get();
        let before = stored.version();
        stored.record(position, version);
        self.stored_configuration.set(stored);
        let in_force = self.catalogue.borrow().version();
        if stored.version() != before && stored.version() < in_force {
            warn!(self.shared.log, "control: store holds an older configuration";
                "stored" => stored.version(), "in_force" => in_force, "era" => position.era.0);
        }
    }

    pub(super) fn decode_configuration(object: &Object) -> Result<Configuration, OddCause> {
        if !object.is_newest_configuration() {
            return Err(OddCause::UnusedName);
        }
        Ok(decode_configuration(&object.spec)?)
    }

    pub(super) fn configuration_traits(change: &Change<Configuration>) -> EventTraits {
        let is_configuration = matches!(change, Change::Put(_));
        EventTraits {
            trusted: is_configuration,
            effective: is_configuration,
            changes_identity: false,
        }
    }

    pub(super) fn apply_configuration_list(
        &self,
        listing: Listing<Configuration>,
        position: StorePosition,
    ) {
        let is_ignored = listing.odd.described.iter().any(OddObject::is_newest_configuration);
        let mut configurations = listing.objects;
        configurations.dedup();
        match configurations.pop() {
            None if is_ignored => {}
            None => self.record_stored_version(position, None),
            Some(configuration) if configurations.is_empty() => {
                self.apply_configuration(configuration, position);
            }
            Some(_) => warn!(self.shared.log, "control: configuration ignored";
                "cause" => "listed with more than one content"),
        }
    }

    pub(super) fn apply_configuration_changes(
        &self,
        changes: Vec<Change<Configuration>>,
        position: StorePosition,
    ) {
        for change in changes {
            if let Change::Put(configuration) = change {
                self.apply_configuration(configuration, position);
            }
        }
    }

    fn apply_configuration(&self, configuration: Configuration, position: StorePosition) {
        let (version, routes) = (configuration.version, configuration.routes.len());
        if self.catalogue.borrow_mut().apply_configuration(configuration) {
            info!(self.shared.log, "control: configuration in force";
                "version" => version, "routes" => routes);
            self.configuration_applied.notify_waiters();
            self.publish_view();
        }
        self.record_stored_version(position, Some(version));
    }
}
