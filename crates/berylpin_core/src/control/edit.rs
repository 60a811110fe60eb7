//! One conditional change of a document, when the platform's answers can be lost.
//!
//! The change carries an id that later changes keep for a while, so a read tells whether it was
//! stored even if others built on it. The shell does what [`Edit::next`] says and reports back.

/// Writes of one change, the first included.
const WRITE_LIMIT: u32 = 3;

/// Reads in a row that may fail.
const READ_LIMIT: u32 = 3;

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
    pub holds_edit: Option<u64>,
    /// Whether it goes back to the version that this change is based on.
    pub holds_base: bool,
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
    Mismatch,
    /// A write was never sent.
    NotSent,
    /// A write was sent and its answer is lost; it may take effect at any time from then on.
    Lost,
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
    lost: bool,
}

impl Edit {
    /// Makes a change that is based on a version, `None` for a new document.
    pub fn new(kind: EditKind, base: Option<u64>) -> Self {
        Self { kind, base, writes: 0, failed_reads: 0, lost: false }
    }

    /// Takes in what became of the last step and returns the next one.
    pub fn next(&mut self, event: EditEvent) -> EditStep {
        match event {
            EditEvent::Read { revision, document } => self.read(revision, document),
            EditEvent::ReadFailed => self.read_failed(),
            EditEvent::Stored(version) => EditStep::Done(EditOutcome::Accepted { version }),
            // Without a lost write the mismatch cannot be of this change's own making.
            EditEvent::Mismatch if !self.lost => EditStep::Done(EditOutcome::Conflict),
            EditEvent::Start | EditEvent::Mismatch => EditStep::Read,
            EditEvent::NotSent => self.write(),
            EditEvent::Lost => {
                self.lost = true;
                EditStep::Read
            }
        }
    }

    fn read(&mut self, revision: u64, document: Option<FoundDocument>) -> EditStep {
        self.failed_reads = 0;
        let outcome = match document {
            Some(FoundDocument { holds_edit: Some(version), .. }) => {
                EditOutcome::Accepted { version }
            }
            None if self.base.is_some() => return self.gone(revision),
            _ if document.map(|found| found.version) == self.base => return self.write(),
            Some(found) if self.lost && !found.holds_base => {
                EditOutcome::NotStored { may_be_stored: true }
            }
            // The document went on from the base without this change.
            _ => EditOutcome::Conflict,
        };
        EditStep::Done(outcome)
    }

    fn gone(&self, revision: u64) -> EditStep {
        EditStep::Done(match self.kind {
            EditKind::Delete if self.lost => EditOutcome::Accepted { version: revision },
            EditKind::Delete => EditOutcome::Missing,
            EditKind::Put if self.lost => EditOutcome::NotStored { may_be_stored: true },
            EditKind::Put => EditOutcome::Conflict,
        })
    }

    fn read_failed(&mut self) -> EditStep {
        self.failed_reads += 1;
        if self.failed_reads < READ_LIMIT {
            return EditStep::Read;
        }
        EditStep::Done(EditOutcome::NotStored { may_be_stored: self.lost })
    }

    fn write(&mut self) -> EditStep {
        if self.writes < WRITE_LIMIT {
            self.writes += 1;
            return EditStep::Write;
        }
        EditStep::Done(EditOutcome::NotStored { may_be_stored: self.lost })
    }
}

#[cfg(test)]
mod tests;
