//! Service documents by name, with versions that only rise.
//!
//! An object's version is the store's revision of its last change, and a list says what the store
//! held at one revision. Of two entries with one name the higher version wins, whatever order they
//! arrive in. A document is deleted by a list, or by a daemon that knows a revision in full, that
//! does not name it; a digest tells when that has to be looked at, so no tombstones are kept.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of documents in one piece, unless one document alone is larger.
const PIECE_SIZE: usize = 64 * 1024;

/// A document at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The name of the service.
    pub name: Arc<str>,
    /// The store's revision of its last change.
    pub version: u64,
    /// The TOML text.
    pub text: Arc<str>,
    /// Who made the change.
    pub editor: Arc<str>,
}

/// A piece of the documents of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The revision that the sender has in full.
    pub revision: u64,
    /// A hash of all documents of the sender.
    pub digest: u64,
    /// Whether no piece follows.
    pub last: bool,
    /// In ascending order of version; never ends between entries of one version.
    pub entries: Vec<Entry>,
    /// The names of all documents, sorted; only with the last piece and if asked for.
    pub names: Option<Vec<Arc<str>>>,
}

/// Service documents by name.
#[derive(Clone, Debug, Default)]
pub struct Revisions {
    /// The documents hold every change up to this revision of the store; never falls.
    revision: u64,
    /// Sorted by name; as many as the store holds, but for changes on their way.
    entries: Vec<Entry>,
    /// A sum of hashes over the entries, which does not depend on their order.
    digest: u64,
}

impl Revisions {
    /// Returns the revision that is known in full; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a hash of the names and versions of all documents.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Visits all documents by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Finds a document.
    pub fn document(&self, name: &str) -> Option<&Entry> {
        Some(&self.entries[self.find(name).ok()?])
    }

    /// Takes in what the store held at a revision; returns whether it is news.
    ///
    /// A list of a revision that is known already is stale, from a slow watch or from a store that
    /// is behind, and changes nothing.
    pub fn install_list(&mut self, revision: u64, list: Vec<Entry>) -> bool {
        if revision <= self.revision {
            return false;
        }
        let mut names: Vec<Arc<str>> = list.iter().map(|entry| entry.name.clone()).collect();
        names.sort_unstable();
        for entry in list {
            self.merge(entry);
        }
        self.retain_named(revision, &names);
        self.complete(revision);
        true
    }

    /// Takes in one document; returns whether it is news.
    pub(super) fn merge(&mut self, entry: Entry) -> bool {
        match self.find(&entry.name) {
            Ok(at) if self.entries[at].version >= entry.version => return false,
            Ok(at) => {
                self.digest = self.digest.wrapping_sub(hash(&self.entries[at]));
                self.digest = self.digest.wrapping_add(hash(&entry));
                self.entries[at] = entry;
            }
            Err(at) => {
                self.digest = self.digest.wrapping_add(hash(&entry));
                self.entries.insert(at, entry);
            }
        }
        true
    }

    /// Deletes the documents that were not among `names`, sorted, at a revision.
    pub(super) fn retain_named(&mut self, revision: u64, names: &[Arc<str>]) {
        let digest = &mut self.digest;
        self.entries.retain(|entry| {
            let keep = entry.version > revision || names.binary_search(&entry.name).is_ok();
            if !keep {
                *digest = digest.wrapping_sub(hash(entry));
            }
            keep
        });
    }

    /// Notes that every change up to a revision is known.
    pub(super) fn complete(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the documents newer than a cursor, up to the size of a piece.
    pub(super) fn piece(&self, cursor: u64, with_names: bool) -> Piece {
        let mut newer: Vec<&Entry> =
            self.entries.iter().filter(|entry| entry.version > cursor).collect();
        newer.sort_unstable_by_key(|entry| entry.version);
        let mut size = 0;
        let mut end = newer.len();
        for (at, entry) in newer.iter().enumerate() {
            let starts_version = at > 0 && newer[at - 1].version < entry.version;
            if starts_version && size + entry.size() > PIECE_SIZE {
                end = at;
                break;
            }
            size += entry.size();
        }
        let last = end == newer.len();
        let names = || self.entries.iter().map(|entry| entry.name.clone()).collect();
        Piece {
            revision: self.revision,
            digest: self.digest,
            last,
            entries: newer[..end].iter().map(|entry| (*entry).clone()).collect(),
            names: (last && with_names).then(names),
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| (*entry.name).cmp(name))
    }
}

impl Entry {
    fn size(&self) -> usize {
        self.name.len() + self.text.len() + self.editor.len()
    }
}

fn hash(entry: &Entry) -> u64 {
    xxh3_64_with_seed(entry.name.as_bytes(), entry.version)
}

#[cfg(test)]
mod tests;
