//! Direct routing: each daemon sends requests to replicas itself; no daemon owns a replica.
//!
//! The control thread keeps a [`Catalogue`] of the configuration, the replicas and the daemons, and
//! publishes a [`View`] after each change. Each traffic thread runs a [`Dispatcher`], which routes
//! requests by the view, chooses replicas, sends hedges and retries, and merges the parts of a
//! query, one for each shard. If the replicas of a part are in another data centre, or if the query
//! has many shards, the part is delegated to a peer near the replicas.

mod attempts;
mod budget;
mod catalogue;
mod configuration;
mod delegation;
mod dispatcher;
mod event;
mod fleet;
mod in_flight;
mod merge;
mod peers;
mod replicas;
mod route_latency;
mod split;
mod state_delta;
#[cfg(test)]
mod testing;
mod view;
mod wait_queue;

pub use budget::ExtraLimits;
pub use catalogue::Catalogue;
pub use configuration::{
    ClientLimits, Configuration, DaemonEntry, ReplicaEntry, RouteConfig, RouteTarget,
};
pub use dispatcher::Dispatcher;
pub use event::{
    Action, Answer, AttemptKey, Cause, DirectDecision, Event, Failure, MissingCause, MissingPart,
    Outcome, RefusalReason, Reply, Request, Ticket,
};
pub use fleet::RENEWAL_INTERVAL;
pub use peers::{CallKey, PartsReply, PartsRequest};
pub use state_delta::{StateDelta, StateRevisions};
pub use view::{Distance, Peer, Replica, Route, RouteId, Service, Target, View};
