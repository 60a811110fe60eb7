//! Connections to replicas that are open and idle.

use berylpin_core::ids::ReplicaId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// How much earlier than the replica this side stops using an idle connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// How long a connection stays idle at most if the replica names no time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// An open connection to a replica.
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// The task that reads and writes.
    driver: AbortHandle,
}

impl Connection {
    pub(super) fn new(sender: SendRequest<Full<Bytes>>, driver: AbortHandle) -> Self {
        Self { sender, driver }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the socket, which cancels what the replica may still be doing.
        self.driver.abort();
    }
}

/// A connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// The idle connections of all replicas.
#[derive(Default)]
pub(super) struct ConnectionPools {
    /// Sorted by replica; the connection used last is at the end.
    pools: Vec<(ReplicaId, Vec<IdleConnection>)>,
}

impl ConnectionPools {
    /// Takes the connection that was used last and is still open.
    pub(super) fn take(&mut self, replica: ReplicaId, now: Instant) -> Option<Connection> {
        let index = self.pools.binary_search_by_key(&replica, |(id, _)| *id).ok()?;
        let idle = &mut self.pools[index].1;
        while let Some(IdleConnection { connection, expires_at }) = idle.pop() {
            if expires_at > now && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for as long as the replica does.
    pub(super) fn put(
        &mut self,
        replica: ReplicaId,
        connection: Connection,
        keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let time = keep_alive.map_or(MAX_IDLE_TIME, |time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        if time.is_zero() {
            return;
        }
        let idle = IdleConnection { connection, expires_at: now + time.min(MAX_IDLE_TIME) };
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

    /// Closes what has been idle for too long and what belongs to replicas that `keep` turns down.
    pub(super) fn evict_expired<F>(&mut self, is_current: F, now: Instant)
    where
        F: Fn(ReplicaId) -> bool,
    {
        for (_, idle) in &mut self.pools {
            idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        }
        self.pools.retain(|(id, idle)| !idle.is_empty() && is_current(*id));
    }
}
