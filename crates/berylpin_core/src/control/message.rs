//! Messages between the control threads of daemons.

use super::documents::DocumentPage;
use super::member::{Heartbeat, MemberReport};
use crate::ids::MemberTag;
use serde::{Deserialize, Serialize};

/// What control threads send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMessage {
    /// The state of the sender.
    pub heartbeat: Heartbeat,
    /// Changes of membership that ride along; bounded in bytes, but for [`ControlBody::Members`].
    pub reports: Vec<MemberReport>,
    /// What the message is for.
    pub body: ControlBody,
}

/// What a control message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlBody {
    /// Asks for an [`ControlBody::Ack`].
    Ping {
        /// Echoed by the reply.
        sequence: u64,
    },
    /// Replies to a ping, or to a ping request whose target replied.
    Ack {
        /// Of the ping or ping request.
        sequence: u64,
    },
    /// Asks to ping a daemon that did not answer the sender.
    PingRequest {
        /// Echoed by the reply.
        sequence: u64,
        /// The daemon to ping.
        target: MemberTag,
    },
    /// Only carries reports.
    Notice,
    /// Asks for all reports.
    FetchMembers,
    /// Carries all reports.
    Members,
    /// Asks for documents.
    Fetch {
        /// The highest version received so far, at first the revision known in full.
        cursor: u64,
        /// Whether the last page is to name all documents.
        with_names: bool,
    },
    /// A page of the documents.
    Documents(DocumentPage),
}
