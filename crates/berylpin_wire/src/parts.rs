//! Requests for parts between daemons, framed like the other messages.

use berylpin_core::direct::{PartsReply, PartsRequest};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A caller's request with what another daemon is to fetch of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedRequest {
    /// The caller's id of the request.
    pub request_id: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// The headers to pass on.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// What to fetch.
    pub parts: PartsRequest,
}

/// Parts on their way back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedReply {
    /// The parts.
    pub reply: PartsReply,
    /// Whether no more follow.
    pub last: bool,
}
