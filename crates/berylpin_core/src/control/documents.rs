//! Service documents by name, with versions that only increase.
//!
//! The version of a document is the revision of the platform's store at its last change. A list
//! contains all documents of the store at one revision. Of two documents with the same name the one
//! with the higher version wins, in any order of arrival. A document is deleted if it is missing
//! from a newer list, or from the names of a daemon that knows a newer revision in full. The names
//! replace tombstones and are requested only if digests differ.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum size of the documents in a page, in bytes, unless those of a single version are larger.
const MAX_PAGE_BYTES: usize = 64 * 1024;

/// A service document at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The name of the service.
    pub name: Arc<str>,
    /// The revision of the store at its last change.
    pub version: u64,
    /// The TOML text.
    pub text: Arc<str>,
    /// The author of the change.
    pub editor: Arc<str>,
}

/// A page of the documents that one daemon holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPage {
    /// The revision up to which the sender has all changes.
    pub revision: u64,
    /// The digest of all documents of the sender.
    pub digest: u64,
    /// Whether this is the last page.
    pub last: bool,
    /// In ascending order of version; documents of one version are never split across pages.
    pub documents: Vec<VersionedDocument>,
    /// The names of all documents, sorted; only in the last page and if requested.
    pub names: Option<Vec<Arc<str>>>,
}

/// Service documents by name.
#[derive(Clone, Debug, Default)]
pub struct DocumentSet {
    /// The documents include every change up to this revision of the store; never decreases.
    revision: u64,
    /// Sorted by name; the documents of the store, except for changes not received yet.
    documents: Vec<VersionedDocument>,
    /// The sum of the hashes of the documents; independent of their order.
    digest: u64,
}

impl DocumentSet {
    /// Returns the revision up to which all changes are known; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a hash of the names and versions of all documents.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns all documents, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.iter()
    }

    /// Returns a document by its name.
    pub fn get(&self, name: &str) -> Option<&VersionedDocument> {
        Some(&self.documents[self.find(name).ok()?])
    }

    /// Applies the list of all documents at a revision; returns whether the revision is new.
    ///
    /// A list of a known revision is stale, from a slow watch or from a store that lags behind, and
    /// is discarded.
    pub fn apply_list(&mut self, revision: u64, list: Vec<VersionedDocument>) -> bool {
        if revision <= self.revision {
            return false;
        }
        let mut names: Vec<Arc<str>> = list.iter().map(|document| document.name.clone()).collect();
        names.sort_unstable();
        for document in list {
            self.merge(document);
        }
        self.delete_unnamed(revision, &names);
        self.mark_complete(revision);
        true
    }

    /// Merges one document; returns whether it is newer than the known version.
    pub(super) fn merge(&mut self, document: VersionedDocument) -> bool {
        match self.find(&document.name) {
            Ok(index) if self.documents[index].version >= document.version => return false,
            Ok(index) => {
                self.digest = self.digest.wrapping_sub(hash(&self.documents[index]));
                self.digest = self.digest.wrapping_add(hash(&document));
                self.documents[index] = document;
            }
            Err(index) => {
                self.digest = self.digest.wrapping_add(hash(&document));
                self.documents.insert(index, document);
            }
        }
        true
    }

    /// Deletes the documents up to `revision` whose name is not in the sorted `names`.
    pub(super) fn delete_unnamed(&mut self, revision: u64, names: &[Arc<str>]) {
        let digest = &mut self.digest;
        self.documents.retain(|document| {
            let keep = document.version > revision || names.binary_search(&document.name).is_ok();
            if !keep {
                *digest = digest.wrapping_sub(hash(document));
            }
            keep
        });
    }

    /// Records that every change up to a revision is known.
    pub(super) fn mark_complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the next page of the documents that are newer than a cursor.
    pub(super) fn page(&self, cursor: u64, with_names: bool) -> DocumentPage {
        let mut newer: Vec<&VersionedDocument> =
            self.documents.iter().filter(|document| document.version > cursor).collect();
        newer.sort_unstable_by_key(|document| document.version);
        let mut size = 0;
        let mut end = newer.len();
        for (index, document) in newer.iter().enumerate() {
            let starts_version = index > 0 && newer[index - 1].version < document.version;
            if starts_version && size + document.size() > MAX_PAGE_BYTES {
                end = index;
                break;
            }
            size += document.size();
        }
        let last = end == newer.len();
        let names = || self.documents.iter().map(|document| document.name.clone()).collect();
        DocumentPage {
            revision: self.revision,
            digest: self.digest,
            last,
            documents: newer[..end].iter().map(|document| (*document).clone()).collect(),
            names: (last && with_names).then(names),
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.documents.binary_search_by(|document| (*document.name).cmp(name))
    }
}

impl VersionedDocument {
    fn size(&self) -> usize {
        self.name.len() + self.text.len() + self.editor.len()
    }
}

fn hash(document: &VersionedDocument) -> u64 {
    xxh3_64_with_seed(document.name.as_bytes(), document.version)
}

#[cfg(test)]
mod tests;
