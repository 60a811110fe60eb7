//! Small `Copy` keys: arena indexes local to a daemon, and tags that are the same on every daemon.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// A typed index into an arena.
pub trait Key: Copy + Eq + Ord + fmt::Debug {
    /// Returns the key of the entry at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the index of the entry in its arena.
    fn index(self) -> usize;
}

macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u32);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                Self(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )*};
}

keys! {
    /// A group of services that share snapshot versions; local to one daemon.
    GroupId;
    /// A service; local to one daemon.
    ServiceId;
    /// A shard of a service; local to one daemon.
    ShardId;
    /// A replica of a shard; local to one daemon and unchanged between its views.
    ReplicaId;
    /// A daemon of the fleet; local to one daemon and unchanged between its views.
    MemberId;
    /// A traffic thread of one daemon.
    ThreadId;
    /// A data centre; local to one daemon.
    DataCentreId;
    /// A peer that may query shards on behalf of this daemon; local to one daemon and unchanged
    /// between its views.
    PeerId;
}

macro_rules! tags {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Hashes the components of a name; each component is delimited, so `["ab", "c"]` and
            /// `["a", "bc"]` differ.
            pub fn of<'a, I>(components: I) -> Self
            where
                I: IntoIterator<Item = &'a str>,
            {
                let mut hasher = Xxh3::new();
                for component in components {
                    hasher.update(component.as_bytes());
                    hasher.update(&[0xff]);
                }
                Self(hasher.digest())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    )*};
}

tags! {
    /// Identifies a replica fleet-wide: a hash of service, shard and address.
    ReplicaTag;
    /// Identifies a daemon fleet-wide: a hash of its name.
    MemberTag;
    /// Identifies a service fleet-wide: a hash of its name.
    ServiceTag;
    /// Identifies a query fleet-wide; chosen at random by its entry.
    QueryTag;
}

/// A snapshot version of a group; versions only increase.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Snapshot(pub u64);

impl fmt::Display for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
