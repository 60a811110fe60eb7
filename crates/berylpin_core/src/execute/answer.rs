//! What a caller gets for a non-idempotent request.

use crate::ids::ReplicaTag;
use crate::message::FailReason;
use crate::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// The result of an execution, or why there is none.
pub type Answer = Result<Execution, Refusal>;

/// An execution that ended with a result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The replica that ran it.
    pub replica: ReplicaTag,
    /// The shard of the replica, as the upstream echoed it.
    pub shard: String,
    /// What the upstream returned.
    pub result: String,
}

/// Why there is no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the key ran, by this or any other request with it.
    ///
    /// `NotRun` is final: the key is closed and never runs.
    pub verdict: Verdict,
    /// Why there is no result.
    pub reason: RefusalReason,
}

/// Why a non-idempotent request has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The named holder did not issue the key.
    InvalidKey,
    /// The window of the key is over.
    KeyExpired,
    /// The key was refused before, or closed when its holder ran out of room.
    KeyClosed,
    /// The key was sent before with another request.
    Conflict,
    /// The process that issued the key is gone.
    HolderGone,
    /// The holder of the key cannot be reached.
    HolderUnreachable,
    /// The holder stops.
    Stopping,
    /// The holder has no room for another key.
    Overloaded,
    /// No service or shard has the name, or the service has several shards and none is named.
    UnknownTarget,
    /// The deadline passed.
    Deadline,
    /// The last replica that was tried gave no result.
    Replica(FailReason),
}

impl RefusalReason {
    /// Returns the name used in answers, metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid_key",
            Self::KeyExpired => "key_expired",
            Self::KeyClosed => "key_closed",
            Self::Conflict => "conflict",
            Self::HolderGone => "holder_gone",
            Self::HolderUnreachable => "holder_unreachable",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
            Self::UnknownTarget => "unknown_target",
            Self::Deadline => "deadline",
            Self::Replica(reason) => reason.name(),
        }
    }
}
