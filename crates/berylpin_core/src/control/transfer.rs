//! Transfer of documents from another daemon, page by page.

use super::documents::{DocumentPage, DocumentSet};
use super::message::ControlBody;
use crate::ids::MemberTag;
use std::time::{Duration, Instant};

/// Timeout of a page, after which documents may be requested from another daemon.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// A transfer of documents from one daemon.
#[derive(Debug)]
pub(super) struct Transfer {
    sender: MemberTag,
    /// The highest version received in this transfer. Before the first page: the revision up to
    /// which this daemon has all documents, or 0 for a repair.
    cursor: u64,
    /// Whether the names of all documents are requested.
    with_names: bool,
    /// Whether the transfer only merges documents, without deletions or a change of the revision.
    repair: bool,
    deadline: Instant,
}

/// The state of a transfer after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The next page must be requested.
    RequestNext,
    /// The transfer ended, whether complete or not.
    Done,
}

impl Transfer {
    /// Starts a transfer of the documents that are newer than revision `known`.
    pub(super) fn new(now: Instant, sender: MemberTag, known: u64) -> Self {
        let deadline = now + PAGE_TIMEOUT;
        Self { sender, cursor: known, with_names: false, repair: false, deadline }
    }

    /// Starts a transfer of all documents from a daemon with another digest at the same revision.
    pub(super) fn repair(now: Instant, sender: MemberTag) -> Self {
        Self { repair: true, ..Self::new(now, sender, 0) }
    }

    /// Returns the daemon that sends the documents.
    pub(super) fn sender(&self) -> MemberTag {
        self.sender
    }

    /// Returns whether the next page is overdue.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        now >= self.deadline
    }

    /// Returns the request for the next page.
    pub(super) fn request(&self) -> ControlBody {
        ControlBody::FetchDocuments { cursor: self.cursor, with_names: self.with_names }
    }

    /// Handles a page.
    ///
    /// Documents of a page take effect at once. The revision counts as known once the digests
    /// match. If they differ after the last page, documents were deleted, and the names of all
    /// documents are requested to find them.
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
            // A transfer whose pages do not advance the cursor would never end.
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
