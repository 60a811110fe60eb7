//! Answers to non-idempotent requests.

use crate::ids::ReplicaTag;
use crate::message::FailReason;
use crate::verdict::Verdict;
use serde::{Deserialize, Serialize};

/// The result of a non-idempotent request, or its refusal.
pub type Answer = Result<Execution, Refusal>;

/// A successful execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Replica that ran the request.
    pub replica: ReplicaTag,
    /// Shard of the replica, as echoed by the upstream.
    pub shard: String,
    /// Result returned by the upstream.
    pub result: String,
}

/// Why a request has no result, and what is known about whether the request of its key ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is known about whether an upstream ran the request, which any request with the same key
    /// may have caused.
    ///
    /// `NotRun` is final: the key is closed and never starts.
    pub verdict: Verdict,
    /// Reason of the refusal.
    pub reason: RefusalReason,
}

/// Why a non-idempotent request has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The key is not authentic: the holder that it names did not issue it.
    InvalidKey,
    /// The key has expired.
    KeyExpired,
    /// The key was refused before, or was closed when the key table of its holder was full.
    KeyClosed,
    /// The key was used before with a different service, shard or body.
    Conflict,
    /// The process that issued the key no longer runs.
    HolderGone,
    /// The holder of the key is unreachable.
    HolderUnreachable,
    /// The holder is stopping.
    Stopping,
    /// A limit of the entry or the holder on pending requests or stored keys was reached.
    Overloaded,
    /// The service or shard does not exist, or no shard is named and the service has several.
    UnknownTarget,
    /// The deadline passed.
    Deadline,
    /// The last attempt failed, or no attempt could be made.
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
