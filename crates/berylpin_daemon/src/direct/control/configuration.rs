//! The operator's configuration, as the store's lists and watches return it.

use super::Control;
use crate::metrics::CONFIGURATION_UNCONFIRMED;
use berylpin_platform::{Change, Object, decode_configuration};
use metrics::histogram;
use slog::{info, warn};

impl Control {
    /// Records a call for the configuration, which confirms the one in force or failed.
    pub(super) fn record_configuration_call(&self, succeeded: bool) {
        let (mut confirmation, now) = (self.confirmation.get(), self.now());
        if succeeded {
            histogram!(CONFIGURATION_UNCONFIRMED).record(confirmation.record_answer(now));
        } else {
            confirmation.record_failure(now);
        }
        self.confirmation.set(confirmation);
    }

    pub(super) fn apply_configuration_list(&self, objects: Vec<Object>, _: u64) {
        for object in &objects {
            self.apply_configuration(object);
        }
    }

    pub(super) fn apply_configuration_changes(&self, changes: Vec<Change>, _: u64) {
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
}
