//! Carries out a change of a document at the platform.

use crate::platform::{Condition, Platform, PlatformError};
use berylpin_core::control::{Edit, EditEvent, EditKind, EditOutcome, EditStep, FoundDocument};
use berylpin_wire::admin::Document;
use berylpin_wire::platform::{
    EarlierEdit, MAX_EARLIER_EDITS, Object, ObjectList, SERVICE_PREFIX, StoredDocument,
};
use poem::http::StatusCode;
use rand::Rng;
use std::time::Duration;
use tokio::time::sleep;

/// Back-off after a failed call.
const FAILURE_BACKOFF: Duration = Duration::from_millis(200);

/// A change requested by an operator.
pub(super) struct Change {
    pub(super) kind: EditKind,
    pub(super) name: String,
    pub(super) condition: Condition,
    /// The new text; empty for a deletion.
    pub(super) text: String,
    pub(super) editor: String,
}

/// The outcome of a change.
pub(super) enum ChangeOutcome {
    /// The change is stored as this version.
    Accepted(u64),
    /// Another change came first; holds the newest document that could be read, if any.
    Conflict(Option<Document>),
    /// The document to delete does not exist.
    Missing,
    /// The platform did not confirm the change.
    NotStored {
        /// Whether the change may have been stored or may still be stored.
        may_be_stored: bool,
    },
}

/// A change in progress, with the stored document as last read.
struct PendingChange<'a> {
    platform: &'a Platform,
    change: &'a Change,
    /// The name under which the platform stores the document.
    object_name: String,
    /// Identifies this change in the stored document.
    edit_id: String,
    /// The document as last read; `None` if it does not exist.
    current: Option<Object>,
    /// The id of the edit that created the base version; `None` until that version is read, or if
    /// it records no edit.
    base_edit: Option<String>,
}

/// Carries out a change with a bounded number of calls to the platform.
pub(super) async fn apply(platform: &Platform, change: &Change) -> ChangeOutcome {
    let base = match change.condition {
        Condition::New => None,
        Condition::Version(version) => Some(version),
    };
    let mut edit = Edit::new(change.kind, base);
    let mut pending = PendingChange {
        platform,
        change,
        object_name: format!("{SERVICE_PREFIX}{}", change.name),
        edit_id: format!("{:032x}", rand::rng().random::<u128>()),
        current: None,
        base_edit: None,
    };
    let mut event = EditEvent::Start;
    loop {
        match edit.next(event) {
            EditStep::Read => event = pending.read(base).await,
            EditStep::Write => event = pending.write().await,
            EditStep::Done(outcome) => return pending.outcome(outcome).await,
        }
        if matches!(event, EditEvent::ReadFailed | EditEvent::NotSent | EditEvent::ReplyLost) {
            sleep(FAILURE_BACKOFF).await;
        }
    }
}

impl PendingChange<'_> {
    async fn read(&mut self, base: Option<u64>) -> EditEvent {
        let Ok(ObjectList { revision, objects }) =
            self.platform.list_documents(&self.object_name).await
        else {
            return EditEvent::ReadFailed;
        };
        self.current = objects.into_iter().find(|object| object.name == self.object_name);
        let document = self.current.as_ref().map(|object| {
            let stored = StoredDocument::read(&object.value);
            let descends_from_base = if Some(object.version) == base {
                self.base_edit = Some(stored.edit_id.clone()).filter(|edit| !edit.is_empty());
                true
            } else {
                let base = self.base_edit.as_ref();
                base.is_some_and(|edit| stored.version_of(edit, object.version).is_some())
            };
            let edit_version = stored.version_of(&self.edit_id, object.version);
            FoundDocument { version: object.version, edit_version, descends_from_base }
        });
        EditEvent::Read { revision, document }
    }

    async fn write(&self) -> EditEvent {
        let condition = self.change.condition;
        let result = match self.change.kind {
            EditKind::Put => {
                let Ok(value) = serde_json::to_string(&self.new_document()) else {
                    return EditEvent::NotSent;
                };
                self.platform.put(&self.object_name, condition, value).await
            }
            EditKind::Delete => self.platform.delete(&self.object_name, condition).await,
        };
        match result {
            Ok(stored) => EditEvent::Stored(stored.version),
            // A deleted document does not have the base version either.
            Err(PlatformError::Status(StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND)) => {
                EditEvent::VersionMismatch
            }
            Err(PlatformError::NotSent(_)) => EditEvent::NotSent,
            Err(_) => EditEvent::ReplyLost,
        }
    }

    /// Returns the document to store, with the ids of previous edits.
    fn new_document(&self) -> StoredDocument {
        let mut earlier_edits = Vec::new();
        if let Some(object) = &self.current {
            let previous = StoredDocument::read(&object.value);
            earlier_edits.push(EarlierEdit { edit_id: previous.edit_id, version: object.version });
            earlier_edits.extend(previous.earlier_edits);
            earlier_edits.retain(|earlier| !earlier.edit_id.is_empty());
            earlier_edits.truncate(MAX_EARLIER_EDITS);
        }
        StoredDocument {
            text: self.change.text.clone(),
            editor: self.change.editor.clone(),
            edit_id: self.edit_id.clone(),
            earlier_edits,
        }
    }

    async fn outcome(mut self, outcome: EditOutcome) -> ChangeOutcome {
        match outcome {
            EditOutcome::Accepted { version } => ChangeOutcome::Accepted(version),
            EditOutcome::Missing => ChangeOutcome::Missing,
            EditOutcome::NotStored { may_be_stored } => ChangeOutcome::NotStored { may_be_stored },
            EditOutcome::Conflict => {
                // The operator receives the newest document that can be read.
                self.read(None).await;
                ChangeOutcome::Conflict(
                    self.current.take().map(|object| operator_document(&self, object)),
                )
            }
        }
    }
}

fn operator_document(pending: &PendingChange<'_>, object: Object) -> Document {
    let stored = StoredDocument::read(&object.value);
    Document {
        name: pending.change.name.clone(),
        version: object.version,
        editor: stored.editor,
        text: stored.text,
    }
}
