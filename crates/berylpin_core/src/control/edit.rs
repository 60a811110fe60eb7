//! One conditional change of a document, when the platform's answers can be lost.
//!
//! The change carries an id that later changes keep for a while, so a read tells whether it was
//! stored even if others built on it. The shell does what [`Edit::next`] says and reports back.

/// Writes of one change, the first included.
const MAX_WRITES: u32 = 3;

/// Reads in a row that may fail.
const MAX_FAILED_READS: u32 = 3;

/// What is to happen to the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditKind {
    /// Store a text.
    Put,
    /// Delete the document.
    Delete,
}

/// The document as a read found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundDocument {
    /// Its version.
    pub version: u64,
    /// The version that this change made, if it is among the changes it went through.
    pub edit_version: Option<u64>,
    /// Whether it goes back to the version that this change is based on.
    pub descends_from_base: bool,
}

/// What became of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditEvent {
    /// The change is to start.
    Start,
    /// A read found the store at a revision.
    Read {
        /// The revision of the store.
        revision: u64,
        /// `None` if there is no document.
        document: Option<FoundDocument>,
    },
    /// A read failed.
    ReadFailed,
    /// A write was confirmed as a version.
    Stored(u64),
    /// A write was refused since the document has another version.
    VersionMismatch,
    /// A write was never sent.
    NotSent,
    /// A write was sent and its answer is lost; it may take effect at any time from then on.
    ReplyLost,
}

/// What the shell is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditStep {
    /// Read the document.
    Read,
    /// Write on the condition that the document has the base version.
    Write,
    /// Tell the operator.
    Done(EditOutcome),
}

/// What the operator is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOutcome {
    /// The change is stored.
    Accepted {
        /// The version of the document; of a deletion that was not confirmed, a later revision.
        version: u64,
    },
    /// Someone else changed the document first; this change is not stored and never will be.
    Conflict,
    /// The document does not exist, so nothing was deleted.
    Missing,
    /// The platform did not confirm the change.
    NotStored {
        /// Whether it may be stored all the same, or be stored yet.
        may_be_stored: bool,
    },
}

/// One conditional change of a document.
#[derive(Debug)]
pub struct Edit {
    kind: EditKind,
    /// `None` for a document that is to be new.
    base: Option<u64>,
    writes: u32,
    failed_reads: u32,
    /// Whether the answer to a write was lost.
    reply_lost: bool,
}

impl Edit {
    /// Makes a change that is based on a version, `None` for a new document.
    pub fn new(kind: EditKind, base: Option<u64>) -> Self {
        Self { kind, base, writes: 0, failed_reads: 0, reply_lost: false }
    }

    /// Takes in what became of the last step and returns the next one.
    pub fn next(&mut self, event: EditEvent) -> EditStep {
        match event {
            EditEvent::Read { revision, document } => self.read_succeeded(revision, document),
            EditEvent::ReadFailed => self.read_failed(),
            EditEvent::Stored(version) => EditStep::Done(EditOutcome::Accepted { version }),
            // Without a lost write the mismatch cannot be of this change's own making.
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
            Some(found) if self.reply_lost && !found.descends_from_base => {
                EditOutcome::NotStored { may_be_stored: true }
            }
            // The document went on from the base without this change.
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
