//! The services in force, read from the documents.

use super::revisions::{Entry, Revisions};
use crate::config::{DocumentError, Problem, ServiceSettings};
use std::sync::Arc;

/// A document that cannot be put in force; the one before it stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedDocument {
    /// The name of the service.
    pub name: Arc<str>,
    /// The version that was rejected.
    pub version: u64,
    /// What is wrong; never empty.
    pub problems: Vec<Problem>,
}

/// The services in force.
#[derive(Debug, Default)]
pub(super) struct Services {
    /// Sorted by name; one for each document that was ever valid and is not deleted.
    list: Vec<Service>,
}

#[derive(Debug)]
struct Service {
    name: Arc<str>,
    /// The newest version looked at, valid or not.
    version: u64,
    /// `None` while no version was valid.
    settings: Option<Arc<ServiceSettings>>,
}

impl Services {
    /// Puts the documents that changed in force; returns whether any did.
    pub(super) fn update(
        &mut self,
        revisions: &Revisions,
        rejected: &mut Vec<RejectedDocument>,
    ) -> bool {
        let before = self.list.len();
        self.list.retain(|service| revisions.document(&service.name).is_some());
        let mut changed = self.list.len() != before;
        for entry in revisions.entries() {
            changed |= self.update_one(entry, rejected);
        }
        changed
    }

    /// Returns the settings in force.
    pub(super) fn settings(&self) -> Vec<Arc<ServiceSettings>> {
        self.list.iter().filter_map(|service| service.settings.clone()).collect()
    }

    fn update_one(&mut self, entry: &Entry, rejected: &mut Vec<RejectedDocument>) -> bool {
        let at = match self.list.binary_search_by(|service| service.name.cmp(&entry.name)) {
            Ok(at) if self.list[at].version == entry.version => return false,
            Ok(at) => at,
            Err(at) => {
                let name = entry.name.clone();
                self.list.insert(at, Service { name, version: 0, settings: None });
                at
            }
        };
        let service = &mut self.list[at];
        service.version = entry.version;
        match ServiceSettings::parse_named(&entry.name, &entry.text) {
            Ok(settings) => {
                service.settings = Some(Arc::new(settings));
                true
            }
            Err(DocumentError { problems }) => {
                let (name, version) = (entry.name.clone(), entry.version);
                rejected.push(RejectedDocument { name, version, problems });
                false
            }
        }
    }
}
