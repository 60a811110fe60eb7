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
