//! What daemons tell each other about daemons.

use crate::ids::MemberTag;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The state of a daemon; of two reports of one incarnation the later state here wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a probe; it stays in placement until the suspicion ends.
    Suspect,
    /// It finishes what it has and is out of placement.
    Leaving,
    /// It is out of placement; it is probed now and then in case a partition heals.
    Dead,
}

impl MemberState {
    /// Returns the name used in answers and logs.
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
    /// Where it accepts links.
    pub peer_address: SocketAddr,
    /// Raised by the daemon itself, to refute a report; grows over its restarts.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}

impl MemberReport {
    /// Encoded bytes besides the name and the data centre, at most.
    const FIXED_SIZE: usize = 32;

    /// Returns the tag of the daemon.
    pub fn tag(&self) -> MemberTag {
        MemberTag::of([&*self.name])
    }

    /// Returns whether this report replaces another one of the same daemon.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns how many bytes it takes in a message, at most.
    pub(super) fn max_encoded_size(&self) -> usize {
        self.name.len() + self.data_centre.len() + Self::FIXED_SIZE
    }
}

/// What every control message says about its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender as it sees itself.
    pub report: MemberReport,
    /// The revision in force at the sender.
    pub revision: u64,
    /// A hash of the documents in force at the sender.
    pub documents_digest: u64,
    /// A hash of all reports that the sender holds.
    pub members_digest: u64,
}
