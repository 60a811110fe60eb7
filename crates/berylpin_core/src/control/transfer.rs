//! Fetching documents from another daemon, page by page.

use super::documents::{DocumentPage, DocumentSet};
use super::message::ControlBody;
use crate::ids::MemberTag;
use std::time::{Duration, Instant};

/// How long a page may take before another daemon is asked.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Documents on their way from one daemon.
#[derive(Debug)]
pub(super) struct Transfer {
    sender: MemberTag,
    /// The highest version received, at first the revision that was known in full.
    cursor: u64,
    /// Whether the names of all documents were asked for.
    with_names: bool,
    /// Whether it only adds what is missing at the same revision.
    repair: bool,
    deadline: Instant,
}

/// What became of a transfer after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The next page is to be asked for.
    RequestNext,
    /// It ended, whether complete or not.
    Done,
}

impl Transfer {
    /// Starts a transfer of what is newer than a revision.
    pub(super) fn new(now: Instant, sender: MemberTag, known: u64) -> Self {
        let deadline = now + PAGE_TIMEOUT;
        Self { sender, cursor: known, with_names: false, repair: false, deadline }
    }

    /// Starts a transfer of everything, for a daemon that differs although its revision is the same.
    pub(super) fn repair(now: Instant, sender: MemberTag) -> Self {
        Self { repair: true, ..Self::new(now, sender, 0) }
    }

    /// Returns the daemon that sends.
    pub(super) fn sender(&self) -> MemberTag {
        self.sender
    }

    /// Returns whether the sender did not send the next page in time.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    /// Returns the request for the next page.
    pub(super) fn request(&self) -> ControlBody {
        ControlBody::Fetch { cursor: self.cursor, with_names: self.with_names }
    }

    /// Takes in a page.
    ///
    /// Documents of a page take effect at once. The revision counts as known once the digests
    /// agree; if they do not, documents were deleted, and the names say which.
    pub(super) fn receive(
        &mut self,
        now: Instant,
        page: DocumentPage,
        documents: &mut DocumentSet,
    ) -> Progress {
        if page.revision < documents.revision() {
            return Progress::Done;
        }
        self.deadline = now + PAGE_TIMEOUT;
        let previous = self.cursor;
        for document in page.documents {
            self.cursor = self.cursor.max(document.version);
            documents.merge(document);
        }
        if !page.last {
            // A sender whose pieces do not advance is given up.
            return if self.cursor > previous { Progress::RequestNext } else { Progress::Done };
        }
        if self.repair {
            return Progress::Done;
        }
        if let Some(names) = &page.names {
            documents.delete_unnamed(page.revision, names);
        } else if documents.digest() != page.digest {
            self.with_names = true;
            return Progress::RequestNext;
        }
        documents.mark_complete(page.revision);
        Progress::Done
    }
}

#[cfg(test)]
mod tests;
