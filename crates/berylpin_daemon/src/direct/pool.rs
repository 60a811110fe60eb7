//! Pools of idle connections to replicas.

use super::bounded_stream::Allowance;
use berylpin_core::ids::ReplicaId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// How long before the end of the replica's keep-alive time an idle connection expires.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// The maximum idle time of a connection; applies alone if the replica sends no keep-alive time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// An open connection to a replica.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// The bytes that may be read from the replica.
    pub(super) allowance: Allowance,
    /// The task that drives the connection.
    driver: AbortHandle,
}

impl Connection {
    pub(super) fn new(
        sender: SendRequest<Full<Bytes>>,
        allowance: Allowance,
        driver: AbortHandle,
    ) -> Self {
        Self { sender, allowance, driver }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket, which cancels a request that the replica is still running.
        self.driver.abort();
    }
}

/// A connection without a request in flight.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections to all replicas.
#[derive(Default)]
pub(super) struct ConnectionPools {
    /// Sorted by replica; the most recently used connection is at the end.
    pools: Vec<(ReplicaId, Vec<IdleConnection>)>,
}

impl ConnectionPools {
    /// Takes the most recently used connection that is open and has not expired.
    pub(super) fn take(&mut self, replica: ReplicaId, now: Instant) -> Option<Connection> {
        let index = self.pools.binary_search_by_key(&replica, |(id, _)| *id).ok()?;
        let connections = &mut self.pools[index].1;
        while let Some(IdleConnection { connection, expires_at }) = connections.pop() {
            if expires_at > now && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds an idle connection, which expires shortly before the replica closes it.
    pub(super) fn put(
        &mut self,
        replica: ReplicaId,
        connection: Connection,
        keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let idle_time =
            keep_alive.map_or(MAX_IDLE_TIME, |time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        if idle_time.is_zero() {
            return;
        }
        let idle = IdleConnection { connection, expires_at: now + idle_time.min(MAX_IDLE_TIME) };
        match self.pools.binary_search_by_key(&replica, |(id, _)| *id) {
            Ok(index) => self.pools[index].1.push(idle),
            Err(index) => self.pools.insert(index, (replica, vec![idle])),
        }
    }

    /// Closes all idle connections to a replica.
    pub(super) fn close(&mut self, replica: ReplicaId) {
        if let Ok(index) = self.pools.binary_search_by_key(&replica, |(id, _)| *id) {
            self.pools.remove(index);
        }
    }

    /// Closes expired connections, and those to replicas for which `is_current` returns false.
    pub(super) fn evict_expired<F>(&mut self, is_current: F, now: Instant)
    where
        F: Fn(ReplicaId) -> bool,
    {
        for (_, connections) in &mut self.pools {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        }
        self.pools.retain(|(id, connections)| !connections.is_empty() && is_current(*id));
    }
}
