//! What changes while the process runs: the settings, and a planned stop.

use super::Traffic;
use berylpin_core::direct::{Event, ExtraLimits};
use berylpin_platform::PlatformSettings;
use slog::info;
use std::rc::Rc;
use tokio::sync::watch;

impl Traffic {
    /// Passes the stop signal to the dispatcher.
    pub(super) async fn apply_stop(self: Rc<Self>) {
        let mut stop = self.shared.stop.clone();
        // An error means that the sender was dropped, so the process is ending.
        let stop = stop.wait_for(Option::is_some).await.ok().and_then(|stop| *stop);
        if let Some(stop) = stop {
            self.handle(Event::Stop(stop));
        }
    }

    /// Puts changed limits of extra attempts in force; ends with the process.
    pub(super) async fn apply_settings(
        self: Rc<Self>,
        mut settings: watch::Receiver<PlatformSettings>,
    ) {
        let mut in_force = extra_limits(&settings.borrow_and_update());
        while settings.changed().await.is_ok() {
            let limits = extra_limits(&settings.borrow_and_update());
            if limits != in_force {
                info!(self.shared.log, "route: limits of extra attempts changed";
                    "ratio" => limits.ratio, "slack" => limits.slack,
                    "window_ms" => limits.window.as_millis() as u64);
                self.state.borrow_mut().dispatcher.set_extra_limits(limits);
                in_force = limits;
            }
        }
    }
}

pub(super) fn extra_limits(settings: &PlatformSettings) -> ExtraLimits {
    ExtraLimits {
        ratio: settings.extra_attempt_ratio,
        slack: settings.extra_attempt_slack,
        window: settings.extra_attempt_window,
    }
}
