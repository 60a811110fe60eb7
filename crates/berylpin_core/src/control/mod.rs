//! Control state: services, replicas, daemons, and the owner of each replica.

mod controller;
mod directory;
mod documents;
mod edit;
mod gossip;
mod member;
mod membership;
mod message;
mod placement;
mod probe;
mod services;
mod topology;
mod transfer;
mod view;
mod watcher;

pub use controller::{Action, Controller, Event, ListedVm};
pub use documents::{DocumentPage, DocumentSet, VersionedDocument};
pub use edit::{Edit, EditEvent, EditKind, EditOutcome, EditStep, FoundDocument};
pub use member::{Heartbeat, MemberReport, MemberState};
pub use membership::{Membership, Peer};
pub use message::{ControlBody, ControlMessage};
pub use placement::place;
pub use services::RejectedDocument;
pub use topology::{Group, Replica, Service, Shard, Topology};
pub use view::{Member, View};
