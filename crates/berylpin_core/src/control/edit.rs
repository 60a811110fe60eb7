//! A conditional change of a document on a platform whose replies may be lost.
//!
//! Each change has an id, which the stored document keeps through a bounded number of later
//! changes. A read therefore shows whether the change was stored, even if other changes followed
//! it. The caller carries out the step that [`Edit::next`] returns and passes in its result.

/// Maximum number of writes per change, including the first.
const MAX_WRITES: u32 = 3;

/// Number of consecutive failed reads after which a change fails.
const MAX_FAILED_READS: u32 = 3;

/// What a change does to the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditKind {
    /// Store a text.
    Put,
    /// Delete the document.
    Delete,
}

/// The document that a read returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundDocument {
    /// Its version.
    pub version: u64,
    /// The version that this change created; `None` if the document does not record this change.
    pub edit_version: Option<u64>,
    /// Whether the document is the base version of this change, or records the change that created
    /// the base version.
    pub descends_from_base: bool,
}

/// The result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditEvent {
    /// No step was carried out yet.
    Start,
    /// A read succeeded.
    Read {
        /// The revision of the store.
        revision: u64,
        /// `None` if the document does not exist.
        document: Option<FoundDocument>,
    },
    /// A read failed.
    ReadFailed,
    /// A write was confirmed; it created this version.
    Stored(u64),
    /// A write was refused since the document has another version.
    VersionMismatch,
    /// A write was not sent.
    NotSent,
    /// A write was sent and its reply was lost; it may take effect at any later time.
    ReplyLost,
}

/// The next step of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditStep {
    /// Read the document.
    Read,
    /// Write on condition that the document has the base version.
    Write,
    /// Report the outcome to the operator.
    Done(EditOutcome),
}

/// The outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The change is stored.
    Accepted {
        /// The version of the document; for an unconfirmed deletion, a later revision of the store.
        version: u64,
    },
    /// Another change came first; this change is not stored and never will be.
    Conflict,
    /// The document does not exist, so nothing was deleted.
    Missing,
    /// The platform did not confirm the change.
    NotStored {
        /// Whether the change may have been stored or may still be stored.
        may_be_stored: bool,
    },
}

/// A conditional change of a document.
#[derive(Debug)]
pub struct Edit {
    kind: EditKind,
    /// The version that the document must have; `None` if the document must not exist yet.
    base: Option<u64>,
    writes: u32,
    failed_reads: u32,
    /// Whether the reply to a write was lost.
    reply_lost: bool,
}

impl Edit {
    /// Creates a change of the document at version `base`, `None` for a new document.
    pub fn new(kind: EditKind, base: Option<u64>) -> Self {
        Self { kind, base, writes: 0, failed_reads: 0, reply_lost: false }
    }

    /// Handles the result of the last step and returns the next one.
    pub fn next(&mut self, event: EditEvent) -> EditStep {
        match event {
            EditEvent::Read { revision, document } => self.read_succeeded(revision, document),
            EditEvent::ReadFailed => self.read_failed(),
            EditEvent::Stored(version) => EditStep::Done(EditOutcome::Accepted { version }),
            // Unless a reply was lost, no write of this change can have caused the mismatch.
            EditEvent::VersionMismatch if !self.reply_lost => EditStep::Done(EditOutcome::Conflict),
            EditEvent::Start | EditEvent::VersionMismatch => EditStep::Read,
            EditEvent::NotSent => self.next_write(),
            EditEvent::ReplyLost => {
                self.reply_lost = true;
                EditStep::Read
            }
        }
    }

    fn read_succeeded(&mut self, revision: u64, document: Option<FoundDocument>) -> EditStep {
        self.failed_reads = 0;
        let outcome = match document {
            Some(FoundDocument { edit_version: Some(version), .. }) => {
                EditOutcome::Accepted { version }
            }
            None if self.base.is_some() => return self.document_missing(revision),
            _ if document.map(|found| found.version) == self.base => return self.next_write(),
            // The recorded changes no longer include the base version, so this change may also have
            // been stored and dropped from them.
            Some(found) if self.reply_lost && !found.descends_from_base => {
                EditOutcome::NotStored { may_be_stored: true }
            }
            // The document has changed since the base version, but not by this change, so no write
            // can succeed.
            _ => EditOutcome::Conflict,
        };
        EditStep::Done(outcome)
    }

    fn document_missing(&self, revision: u64) -> EditStep {
        EditStep::Done(match self.kind {
            EditKind::Delete if self.reply_lost => EditOutcome::Accepted { version: revision },
            EditKind::Delete => EditOutcome::Missing,
            EditKind::Put if self.reply_lost => EditOutcome::NotStored { may_be_stored: true },
            EditKind::Put => EditOutcome::Conflict,
        })
    }

    fn read_failed(&mut self) -> EditStep {
        self.failed_reads += 1;
        if self.failed_reads < MAX_FAILED_READS {
            return EditStep::Read;
        }
        EditStep::Done(EditOutcome::NotStored { may_be_stored: self.reply_lost })
    }

    fn next_write(&mut self) -> EditStep {
        if self.writes < MAX_WRITES {
            self.writes += 1;
            return EditStep::Write;
        }
        EditStep::Done(EditOutcome::NotStored { may_be_stored: self.reply_lost })
    }
}

#[cfg(test)]
mod tests;
