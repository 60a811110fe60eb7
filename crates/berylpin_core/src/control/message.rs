//! Messages between the control threads of daemons.

use super::documents::DocumentPage;
use super::member::{Heartbeat, MemberReport};
use crate::ids::MemberTag;
use serde::{Deserialize, Serialize};

/// A message between control threads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMessage {
    /// The heartbeat of the sender.
    pub heartbeat: Heartbeat,
    /// Piggybacked member reports; bounded in bytes, except with [`ControlBody::Members`].
    pub reports: Vec<MemberReport>,
    /// The request, reply or notification.
    pub body: ControlBody,
}

/// The request, reply or notification of a control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Requests a [`ControlBody::Ack`].
    Ping {
        /// Echoed by the reply.
        sequence: u64,
    },
    /// Replies to a ping, or to a ping request whose target replied.
    Ack {
        /// The sequence of the ping or ping request.
        sequence: u64,
    },
    /// Requests a ping of a daemon that did not answer the sender.
    PingRequest {
        /// Echoed by the reply.
        sequence: u64,
        /// The daemon to ping.
        target: MemberTag,
    },
    /// Has no content of its own; sent for the heartbeat and the reports of the message.
    Gossip,
    /// Requests all reports.
    FetchMembers,
    /// Replies to [`ControlBody::FetchMembers`] with all reports.
    Members,
    /// Requests a page of the documents.
    FetchDocuments {
        /// The highest version received in this transfer. In the first request: the revision up to
        /// which the sender has all documents, or 0 to fetch all documents.
        cursor: u64,
        /// Whether the last page must contain the names of all documents.
        with_names: bool,
    },
    /// Replies to [`ControlBody::FetchDocuments`] with a page of the documents.
    Documents(DocumentPage),
}
