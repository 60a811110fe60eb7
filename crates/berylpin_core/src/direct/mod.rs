//! Direct routing: any daemon may send requests to any replica; no daemon owns a replica.
//!
//! The control thread keeps a [`Catalogue`] of the configuration, the replicas and the daemons, and
//! publishes a [`View`] after each change. Each traffic thread runs a [`Dispatcher`], which routes
//! requests by the view, chooses replicas, sends hedges and retries, and merges parts of queries.
//!
//! Each shard of a route is a [`Service`] of its own, and a *part* is the share of a request that
//! one service answers: one part for each shard of a query, and a single part for any other
//! request. If the replicas of a part are in another data centre, or if the query has many shards,
//! the part is delegated to a peer near the replicas. The shards of a data centre are divided into
//! groups, and *owner* in this module means the daemon to which the parts of a group are delegated.
//! Ownership of a group gives no exclusive access to replicas: an entry still sends attempts itself
//! if the owner does not respond.

mod attempts;
mod budget;
mod callers;
mod catalogue;
mod completion;
mod configuration;
mod confirmation;
mod delegation;
mod delivery;
mod departures;
mod dispatcher;
mod entry_check;
mod event;
mod fleet;
mod former_processes;
mod in_flight;
mod leaving;
mod merge;
mod peer_delay;
mod peers;
mod provenance;
mod replicas;
mod route_latency;
mod split;
mod start;
mod state_delta;
mod stop;
mod store_era;
mod store_times;
mod stored_configuration;
#[cfg(test)]
mod testing;
mod view;
mod wait_queue;

pub use budget::ExtraLimits;
pub use callers::{Admission, CallerKey, Callers};
pub use catalogue::{Catalogue, MAX_UNNAMED_ENTRIES};
pub use configuration::{
    ClientLimits, Configuration, DaemonEntry, ReplicaEntry, RouteConfig, RouteTarget,
};
pub use confirmation::{Confirmation, ReplicasConfirmation, confirmed_by};
pub use delivery::{Deliveries, Delivery, DeliveryKey};
pub use dispatcher::Dispatcher;
pub use entry_check::{ReplicaName, UnusableEntry};
pub use event::{
    Action, Answer, AttemptKey, BodyLimits, Cause, DirectDecision, Event, Failure, MissingCause,
    MissingPart, Outcome, RefusalReason, Reply, Request, Ticket,
};
pub use fleet::RENEWAL_INTERVAL;
pub use peers::{CallKey, PartsReply, PartsRequest};
pub use provenance::{
    CertainEvents, EventTraits, ListedObject, certain_events, certain_objects, contested_names,
};
pub use start::StartAttempts;
pub use state_delta::{StateDelta, StateRevisions};
pub use stop::{Stop, StopSchedule};
pub use store_era::{AnswerUse, EraChange, KnownEra, StoreEra, StorePosition};
pub use store_times::{
    CALL_TIMEOUT, EXPIRY_CHECK_INTERVAL, ExpiryGrace, INITIAL_RETRY_BACKOFF, MAX_BACKOFF_JITTER,
    OVERDUE_TIMEOUT, REPLICAS_BATCH_DELAY, StoreBounds, StoreCall, StoreTimes, confirmation_delay,
};
pub use stored_configuration::StoredConfiguration;
pub use view::{Distance, Peer, Replica, Route, RouteId, Service, Target, View};
