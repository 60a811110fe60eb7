//! One change of a document, carried out at the platform.

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

/// How long a failed call rests before the next one.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// A change that an operator asks for.
pub(super) struct Change {
    pub(super) kind: EditKind,
    pub(super) name: String,
    pub(super) condition: Condition,
    /// The new text; empty for a deletion.
    pub(super) text: String,
    pub(super) editor: String,
}

/// What became of a change.
pub(super) enum Changed {
    /// It is stored as this version.
    Accepted(u64),
    /// Another change came first and left this document.
    Conflict(Option<Document>),
    /// There was nothing to delete.
    Missing,
    /// The platform did not confirm it.
    NotStored {
        /// Whether it may be stored all the same.
        may_be_stored: bool,
    },
}

/// What is known of the stored document while a change is carried out.
struct Attempt<'a> {
    platform: &'a Platform,
    change: &'a Change,
    object: String,
    edit_id: String,
    /// The document as last read.
    current: Option<Object>,
    /// The edit that the base version was made by.
    base_edit: Option<String>,
}

/// Carries out a change; ends within a bounded number of calls.
pub(super) async fn apply(platform: &Platform, change: &Change) -> Changed {
    let base = match change.condition {
        Condition::New => None,
        Condition::Version(version) => Some(version),
    };
    let mut edit = Edit::new(change.kind, base);
    let mut attempt = Attempt {
        platform,
        change,
        object: format!("{SERVICE_PREFIX}{}", change.name),
        edit_id: format!("{:032x}", rand::rng().random::<u128>()),
        current: None,
        base_edit: None,
    };
    let mut event = EditEvent::Start;
    loop {
        match edit.next(event) {
            EditStep::Read => event = attempt.read(base).await,
            EditStep::Write => event = attempt.write().await,
            EditStep::Done(outcome) => return attempt.outcome(outcome).await,
        }
        if matches!(event, EditEvent::ReadFailed | EditEvent::NotSent | EditEvent::ReplyLost) {
            sleep(FAILURE_PAUSE).await;
        }
    }
}

impl Attempt<'_> {
    async fn read(&mut self, base: Option<u64>) -> EditEvent {
        let Ok(ObjectList { revision, objects }) = self.platform.list_documents(&self.object).await
        else {
            return EditEvent::ReadFailed;
        };
        self.current = objects.into_iter().find(|object| object.name == self.object);
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
                let Ok(value) = serde_json::to_string(&self.value()) else {
                    return EditEvent::NotSent;
                };
                self.platform.put(&self.object, condition, value).await
            }
            EditKind::Delete => self.platform.delete(&self.object, condition).await,
        };
        match result {
            Ok(stored) => EditEvent::Stored(stored.version),
            // A document that is gone does not have the base version either.
            Err(PlatformError::Status(StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND)) => {
                EditEvent::VersionMismatch
            }
            Err(PlatformError::NotSent(_)) => EditEvent::NotSent,
            Err(_) => EditEvent::ReplyLost,
        }
    }

    /// Returns what is to be stored, with the ids of the changes before.
    fn value(&self) -> StoredDocument {
        let mut earlier_edits = Vec::new();
        if let Some(object) = &self.current {
            let before = StoredDocument::read(&object.value);
            earlier_edits.push(EarlierEdit { edit_id: before.edit_id, version: object.version });
            earlier_edits.extend(before.earlier_edits);
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

    async fn outcome(mut self, outcome: EditOutcome) -> Changed {
        match outcome {
            EditOutcome::Accepted { version } => Changed::Accepted(version),
            EditOutcome::Missing => Changed::Missing,
            EditOutcome::NotStored { may_be_stored } => Changed::NotStored { may_be_stored },
            EditOutcome::Conflict => {
                // The operator is shown the newest document that can be read.
                self.read(None).await;
                Changed::Conflict(self.current.take().map(|object| document(&self, object)))
            }
        }
    }
}

fn document(attempt: &Attempt<'_>, object: Object) -> Document {
    let stored = StoredDocument::read(&object.value);
    Document {
        name: attempt.change.name.clone(),
        version: object.version,
        editor: stored.editor,
        text: stored.text,
    }
}
