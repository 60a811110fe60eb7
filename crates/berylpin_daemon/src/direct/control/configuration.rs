//! The operator's configuration, as the store's lists and watches return it.

use super::Control;
use berylpin_core::direct::StorePosition;
use berylpin_platform::{Change, Object, decode_configuration};
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

    pub(super) fn apply_configuration_list(&self, objects: Vec<Object>, position: StorePosition) {
        match objects.iter().find(|object| object.is_newest_configuration()) {
            Some(object) => self.apply_configuration(object, position),
            None => self.record_stored_version(position, None),
        }
    }

    pub(super) fn apply_configuration_changes(
        &self,
        changes: Vec<Change>,
        position: StorePosition,
    ) {
        for change in changes {
            if let Change::Put(object) = change
                && object.is_newest_configuration()
            {
                self.apply_configuration(&object, position);
            }
        }
    }

    fn apply_configuration(&self, object: &Object, position: StorePosition) {
        match decode_configuration(&object.spec) {
            Ok(configuration) => {
                let (version, routes) = (configuration.version, configuration.routes.len());
                if self.catalogue.borrow_mut().apply_configuration(configuration) {
                    info!(self.shared.log, "control: configuration in force";
                        "version" => version, "routes" => routes);
                    self.publish_view();
                }
                self.record_stored_version(position, Some(version));
            }
            Err(e) => warn!(self.shared.log, "control: configuration ignored"; "cause" => %e),
        }
    }
}
