//! The HTTP protocol of the platform.
//!
//! `GET /v1/objects?prefix=P` lists objects, `PUT /v1/objects/{name}` stores one under `If-Match`
//! with a version or `If-None-Match: *`, `GET /v1/watch?prefix=P&after=N&wait_ms=W` waits for a
//! change after revision N, `GET /v1/vms` lists VMs.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The prefix of the objects that hold service documents.
pub const SERVICE_PREFIX: &str = "services/";

/// An object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The name, with its prefix.
    pub name: String,
    /// The revision of the store that last changed it.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// The value of an object that holds a service document, in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The TOML text.
    pub text: String,
    /// Who made the change.
    pub editor: String,
    /// Drawn at random for each change.
    pub edit_id: String,
    /// The changes before, the newest first; at most [`MAX_EARLIER_EDITS`].
    #[serde(default)]
    pub earlier_edits: Vec<EarlierEdit>,
}

/// An earlier change of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierEdit {
    /// Its edit id.
    pub edit_id: String,
    /// The version that it made.
    pub version: u64,
}

/// Earlier changes that a document keeps.
pub const MAX_EARLIER_EDITS: usize = 8;

impl StoredDocument {
    /// Reads the value of an object; one that is not JSON of this kind is a bare TOML text.
    pub fn read(value: &str) -> Self {
        serde_json::from_str(value).unwrap_or_else(|_| Self {
            text: value.to_owned(),
            editor: "unknown".to_owned(),
            edit_id: String::new(),
            earlier_edits: Vec::new(),
        })
    }

    /// Returns the version that a change made, if it is this one, stored as `version`, or one before.
    pub fn version_of(&self, edit_id: &str, version: u64) -> Option<u64> {
        if self.edit_id == edit_id {
            return Some(version);
        }
        let earlier = self.earlier_edits.iter().find(|earlier| earlier.edit_id == edit_id);
        earlier.map(|earlier| earlier.version)
    }
}

/// The objects under a prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The revision of the store; grows with every change.
    pub revision: u64,
    /// Sorted by name.
    pub objects: Vec<Object>,
}

/// Body of a status 200 to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The new version of the object.
    pub version: u64,
}

/// A VM of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name.
    pub name: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// Where its daemon accepts links.
    pub peer_address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}
