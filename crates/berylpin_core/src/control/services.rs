//! The services in force, parsed from the documents.

use super::documents::{DocumentSet, VersionedDocument};
use crate::config::{DocumentError, Problem, ServiceSettings};
use std::sync::Arc;

/// An invalid document; the last valid version stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedDocument {
    /// The name of the service.
    pub name: Arc<str>,
    /// The version that was rejected.
    pub version: u64,
    /// The errors found; never empty.
    pub problems: Vec<Problem>,
}

/// The services in force.
#[derive(Debug, Default)]
pub(super) struct Services {
    /// Sorted by name; one for each document, valid or not.
    services: Vec<Service>,
}

#[derive(Debug)]
struct Service {
    name: Arc<str>,
    /// The newest version parsed, valid or not.
    version: u64,
    /// The settings of the last valid version; `None` if there was none.
    settings: Option<Arc<ServiceSettings>>,
}

impl Services {
    /// Puts changed documents in force; returns whether any service changed or was deleted.
    pub(super) fn update(
        &mut self,
        documents: &DocumentSet,
        rejected: &mut Vec<RejectedDocument>,
    ) -> bool {
        let count_before = self.services.len();
        self.services.retain(|service| documents.get(&service.name).is_some());
        let mut changed = self.services.len() != count_before;
        for document in documents.iter() {
            changed |= self.update_service(document, rejected);
        }
        changed
    }

    /// Returns the settings in force.
    pub(super) fn settings(&self) -> Vec<Arc<ServiceSettings>> {
        self.services.iter().filter_map(|service| service.settings.clone()).collect()
    }

    fn update_service(
        &mut self,
        document: &VersionedDocument,
        rejected: &mut Vec<RejectedDocument>,
    ) -> bool {
        let index = match self.services.binary_search_by(|s| s.name.cmp(&document.name)) {
            Ok(index) if self.services[index].version == document.version => return false,
            Ok(index) => index,
            Err(index) => {
                let name = document.name.clone();
                self.services.insert(index, Service { name, version: 0, settings: None });
                index
            }
        };
        let service = &mut self.services[index];
        service.version = document.version;
        match ServiceSettings::parse_named(&document.name, &document.text) {
            Ok(settings) => {
                service.settings = Some(Arc::new(settings));
                true
            }
            Err(DocumentError { problems }) => {
                let (name, version) = (document.name.clone(), document.version);
                rejected.push(RejectedDocument { name, version, problems });
                false
            }
        }
    }
}
