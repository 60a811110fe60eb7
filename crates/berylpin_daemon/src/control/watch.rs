//! Reads the documents and the VM list of the platform.

use super::mailbox::{ControlMail, ControlMailbox};
use crate::platform::{Platform, PlatformError};
use berylpin_core::control::{ListedVm, VersionedDocument};
use berylpin_wire::platform::{Object, SERVICE_PREFIX, StoredDocument, Vm};
use slog::{Logger, info, warn};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause after a failed watch request before the next one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// Minimum time between the starts of two watch requests if the first one returned no newer
/// revision.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Sends each newer list of documents to the control thread until the task is aborted.
pub(super) async fn watch_documents(
    mut platform: Platform,
    control: ControlMailbox,
    mut revision: u64,
    log: Logger,
) {
    loop {
        let started = Instant::now();
        match platform.watch_documents(revision).await {
            Ok(list) if list.revision > revision => {
                revision = list.revision;
                let documents = list.objects.iter().map(versioned_document).collect();
                control.try_send(ControlMail::Documents(revision, documents));
            }
            Ok(list) => {
                if list.revision < revision {
                    info!(log, "control: stale document list ignored"; "revision" => list.revision,
                        "known" => revision);
                }
                sleep(MIN_WATCH_INTERVAL.saturating_sub(started.elapsed())).await;
            }
            Err(e) => {
                warn!(log, "control: watching the documents failed"; "error" => %e);
                platform.reconnect();
                sleep(FAILURE_BACKOFF).await;
            }
        }
    }
}

/// Reads the VM list and sends it to the control thread.
///
/// A failed read is retried once on a new connection, since the pooled one may be dead.
pub(super) async fn read_vms(
    mut platform: Platform,
    control: &ControlMailbox,
) -> Result<(), PlatformError> {
    let mut vms = platform.vms().await;
    if vms.is_err() {
        platform.reconnect();
        vms = platform.vms().await;
    }
    let vms = vms?.into_iter().map(listed_vm).collect();
    control.try_send(ControlMail::Vms(vms));
    Ok(())
}

/// Returns the document stored in an object.
pub(crate) fn versioned_document(object: &Object) -> VersionedDocument {
    let stored = StoredDocument::read(&object.value);
    let name = object.name.strip_prefix(SERVICE_PREFIX).unwrap_or(&object.name);
    VersionedDocument {
        name: name.into(),
        version: object.version,
        text: stored.text.into(),
        editor: stored.editor.into(),
    }
}

fn listed_vm(vm: Vm) -> ListedVm {
    ListedVm { name: vm.name.into(), peer_address: vm.peer_address, leaving: vm.leaving }
}
