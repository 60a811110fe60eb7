//! Small `Copy` keys: indexes into arenas, and stable tags that mean the same on every daemon.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// A key that indexes an arena.
pub trait Key: Copy + Eq + Ord + fmt::Debug {
    /// Makes the key for the entry at `index`.
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
    /// A replica of a shard; local to one daemon and stable across its views.
    ReplicaId;
    /// A daemon of the fleet; local to one daemon and stable across its views.
    MemberId;
    /// A traffic thread of one daemon.
    ThreadId;
    /// A data centre; local to one daemon.
    DataCentreId;
    /// Another daemon that may fetch parts; local to one daemon and stable across its views.
    PeerId;
}

macro_rules! tags {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Hashes the parts of a name; part boundaries count.
            pub fn of<'a, I>(parts: I) -> Self
            where
                I: IntoIterator<Item = &'a str>,
            {
                let mut hasher = Xxh3::new();
                for part in parts {
                    hasher.update(part.as_bytes());
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
    /// Names a replica on every daemon: a hash of service, shard and address.
    ReplicaTag;
    /// Names a daemon on every daemon: a hash of its name.
    MemberTag;
    /// Names a service on every daemon: a hash of its name.
    ServiceTag;
    /// Names one query on every daemon; drawn at random by its entry.
    QueryTag;
}

/// A snapshot version of a group; versions only grow.
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
