//! Service documents by name, with versions that only rise.
//!
//! An object's version is the store's revision of its last change, and a list says what the store
//! held at one revision. Of two documents with one name the higher version wins, whatever order they
//! arrive in. A document is deleted by a list, or by a daemon that knows a revision in full, that
//! does not name it; a digest tells when that has to be looked at, so no tombstones are kept.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of documents in one page, unless one document alone is larger.
const PAGE_SIZE: usize = 64 * 1024;

/// A document at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The name of the service.
    pub name: Arc<str>,
    /// The store's revision of its last change.
    pub version: u64,
    /// The TOML text.
    pub text: Arc<str>,
    /// Who made the change.
    pub editor: Arc<str>,
}

/// A page of the documents of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPage {
    /// The revision that the sender has in full.
    pub revision: u64,
    /// A hash of all documents of the sender.
    pub digest: u64,
    /// Whether no page follows.
    pub last: bool,
    /// In ascending order of version; never ends between documents of one version.
    pub documents: Vec<VersionedDocument>,
    /// The names of all documents, sorted; only with the last page and if asked for.
    pub names: Option<Vec<Arc<str>>>,
}

/// Service documents by name.
#[derive(Clone, Debug, Default)]
pub struct DocumentSet {
    /// The documents hold every change up to this revision of the store; never falls.
    revision: u64,
    /// Sorted by name; as many as the store holds, but for changes on their way.
    documents: Vec<VersionedDocument>,
    /// A sum of hashes over the documents, which does not depend on their order.
    digest: u64,
}

impl DocumentSet {
    /// Returns the revision that is known in full; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a hash of the names and versions of all documents.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Visits all documents by name.
    pub fn iter(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.iter()
    }

    /// Finds a document.
    pub fn get(&self, name: &str) -> Option<&VersionedDocument> {
        Some(&self.documents[self.find(name).ok()?])
    }

    /// Takes in what the store held at a revision; returns whether it is news.
    ///
    /// A list of a revision that is known already is stale, from a slow watch or from a store that
    /// is behind, and changes nothing.
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

    /// Takes in one document; returns whether it is news.
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

    /// Deletes the documents that were not among `names`, sorted, at a revision.
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

    /// Notes that every change up to a revision is known.
    pub(super) fn mark_complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the documents newer than a cursor, up to the size of a page.
    pub(super) fn page(&self, cursor: u64, with_names: bool) -> DocumentPage {
        let mut newer: Vec<&VersionedDocument> =
            self.documents.iter().filter(|document| document.version > cursor).collect();
        newer.sort_unstable_by_key(|document| document.version);
        let mut size = 0;
        let mut end = newer.len();
        for (index, document) in newer.iter().enumerate() {
            let starts_version = index > 0 && newer[index - 1].version < document.version;
            if starts_version && size + document.size() > PAGE_SIZE {
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
