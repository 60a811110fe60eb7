//! Requests between daemons for parts of an answer, framed like the messages on links.

use berylpin_core::direct::{PartsReply, PartsRequest};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The request of a caller and the parts of its answer that another daemon fetches from upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedRequest {
    /// The request id that the caller sent.
    pub request_id: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub uri: String,
    /// The headers to forward to upstreams.
    pub headers: Vec<(String, Bytes)>,
    /// The request body.
    pub body: Bytes,
    /// The parts to fetch.
    pub parts: PartsRequest,
}

/// One of the replies to a [`DelegatedRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedReply {
    /// The fetched parts.
    pub reply: PartsReply,
    /// Whether this is the last reply.
    pub last: bool,
}
