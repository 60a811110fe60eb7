//! The HTTP protocol of the platform behind berylpin's own interface: a store of service documents
//! and a VM list.
//!
//! Customers that run berylpin on their own platform use that platform's protocol instead, which
//! the crate `berylpin_platform` implements.
//!
//! - `GET /v1/objects?prefix=P` lists the objects whose names have the prefix P.
//! - `PUT /v1/objects/{name}` stores an object, with the condition `If-Match: VERSION` or
//!   `If-None-Match: *`.
//! - `GET /v1/watch?prefix=P&after=N&wait_ms=W` lists objects like the first request, after waiting
//!   up to W milliseconds for a change after revision N.
//! - `GET /v1/vms` lists the VMs.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The name prefix of the objects that store service documents.
pub const SERVICE_PREFIX: &str = "services/";

/// An object of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The name, with its prefix.
    pub name: String,
    /// The revision of the store at the last change of the object.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// The value of an object that stores a service document, in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The TOML text.
    pub text: String,
    /// The author of the last change.
    pub editor: String,
    /// The random id of the last change.
    pub edit_id: String,
    /// The previous changes, newest first; at most [`MAX_EARLIER_EDITS`].
    #[serde(default)]
    pub earlier_edits: Vec<EarlierEdit>,
}

/// A previous change of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierEdit {
    /// The random id of the change.
    pub edit_id: String,
    /// The version of the document after the change.
    pub version: u64,
}

/// The maximum number of previous changes that a stored document lists.
pub const MAX_EARLIER_EDITS: usize = 8;

impl StoredDocument {
    /// Parses the value of an object; a value that is not such a JSON object is treated as TOML
    /// text.
    pub fn read(value: &str) -> Self {
        serde_json::from_str(value).unwrap_or_else(|_| Self {
            text: value.to_owned(),
            editor: "unknown".to_owned(),
            edit_id: String::new(),
            earlier_edits: Vec::new(),
        })
    }

    /// Returns the version that a change created; `None` if the change is neither the last one nor
    /// listed in `earlier_edits`.
    ///
    /// `version` is the version of the object, which the last change created.
    pub fn version_of(&self, edit_id: &str, version: u64) -> Option<u64> {
        if self.edit_id == edit_id {
            return Some(version);
        }
        let earlier = self.earlier_edits.iter().find(|earlier| earlier.edit_id == edit_id);
        earlier.map(|earlier| earlier.version)
    }
}

/// The objects with a name prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The revision of the store; increases with every change.
    pub revision: u64,
    /// Sorted by name.
    pub objects: Vec<Object>,
}

/// Body of the response with status 200 to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The new version of the object.
    pub version: u64,
}

/// A VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name.
    pub name: String,
    /// The data centre of the VM.
    pub data_centre: String,
    /// The address at which its daemon accepts links.
    pub peer_address: SocketAddr,
    /// Whether the VM is leaving the fleet.
    pub leaving: bool,
}
