//! Reports and heartbeats that daemons exchange.

use crate::ids::MemberTag;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of a daemon; of two reports with the same incarnation, the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; stays in placement until the suspicion times out.
    Suspect,
    /// Completes its requests in flight; owns replicas only if its data centre has no live daemon.
    Leaving,
    /// Excluded from placement; probed occasionally, in case a partition heals.
    Dead,
}

impl MemberState {
    /// Returns the name used in admin responses and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }

    /// Returns whether replicas are placed on a daemon in this state.
    pub fn is_placeable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A report of the state of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The name of its VM.
    pub name: Arc<str>,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// The address on which it accepts links.
    pub peer_address: SocketAddr,
    /// Raised only by the daemon itself, to refute a report or to change its state; increases
    /// across restarts.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

impl MemberReport {
    /// Upper bound of the encoded size without the name and the data centre, in bytes.
    const FIXED_SIZE: usize = 32;

    /// Returns the tag of the daemon.
    pub fn tag(&self) -> MemberTag {
        MemberTag::of([&*self.name])
    }

    /// Returns whether this report supersedes `other`, a report of the same daemon.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns an upper bound of the encoded size, in bytes.
    pub(super) fn max_encoded_size(&self) -> usize {
        self.name.len() + self.data_centre.len() + Self::FIXED_SIZE
    }
}

/// The state of the sender, included in every control message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The report of the sender about itself.
    pub report: MemberReport,
    /// The revision in force at the sender.
    pub revision: u64,
    /// A hash of the documents in force at the sender.
    pub documents_digest: u64,
    /// A hash of all reports that the sender holds.
    pub members_digest: u64,
}
