//! Connection pools to the replicas that one thread owns.
//!
//! Each connection is an HTTP client with a pool of size one that carries one request at a time, so
//! that sockets are counted exactly and one connection can be closed without closing others.

use berylpin_core::arena::Arena;
use berylpin_core::control::View;
use berylpin_core::ids::ReplicaId;
use berylpin_core::replica::CallKey;
use reqwest::{Client, redirect, retry};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::sync::mpsc;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The connection pools to the replicas that one thread owns.
pub(super) struct Connections {
    /// Indexed by replica.
    pools: Arena<ReplicaId, Pool>,
    returned_tx: mpsc::UnboundedSender<Returned>,
    /// Unbounded, but holds at most one message per checked-out connection.
    returned_rx: mpsc::UnboundedReceiver<Returned>,
}

/// The connections to one replica.
#[derive(Default)]
struct Pool {
    /// A stack with the most recently used connection on top, so that surplus ones time out.
    idle: Vec<Client>,
    /// Connections in use by calls; never more than the replica's slots.
    calls: usize,
    /// Connections in use by probes and cancellations.
    probes_and_cancellations: usize,
    /// Whether this daemon owns the replica; if not, returned connections are closed.
    is_owned: bool,
}

/// The kind of request that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A call that the core started.
    Call(CallKey),
    /// A probe of the upstream, or the cancellation of a call.
    ProbeOrCancellation,
}

/// A connection that is no longer in use.
struct Returned {
    replica: ReplicaId,
    purpose: Purpose,
    /// `None` if the connection was closed.
    connection: Option<Client>,
}

/// A connection in use; dropping it closes the connection, unless [`Checkout::release`] was called.
pub(super) struct Checkout {
    replica: ReplicaId,
    purpose: Purpose,
    connection: Option<Client>,
    /// Whether the reply was read completely, so that the connection can carry another request.
    is_reusable: bool,
    returned_tx: mpsc::UnboundedSender<Returned>,
}

impl Connections {
    pub(super) fn new() -> Self {
        let (returned_tx, returned_rx) = mpsc::unbounded_channel();
        Self { pools: Arena::default(), returned_tx, returned_rx }
    }

    /// Closes the idle connections to replicas that this daemon does not own in the view.
    pub(super) fn apply_view(&mut self, view: &View) {
        self.pools.grow(view.topology.replicas.len(), Pool::default);
        for (id, pool) in self.pools.iter_mut() {
            pool.is_owned = view.owner(id) == Some(view.own);
            if !pool.is_owned {
                pool.idle.clear();
            }
        }
    }

    /// Closes the idle connections to a replica; later requests open new ones.
    ///
    /// A connection in use is kept if a reply arrives, which shows that the connection works.
    pub(super) fn close_idle(&mut self, replica: ReplicaId) {
        if let Some(pool) = self.pools.get_mut(replica) {
            pool.idle.clear();
        }
    }

    /// Puts returned connections back into their pools; calls `on_call_end` for each ended call.
    pub(super) fn collect_returned<F>(&mut self, mut on_call_end: F)
    where
        F: FnMut(CallKey),
    {
        while let Ok(returned) = self.returned_rx.try_recv() {
            let Returned { replica, purpose, connection } = returned;
            let pool = &mut self.pools[replica];
            match purpose {
                Purpose::Call(key) => {
                    pool.calls -= 1;
                    on_call_end(key);
                }
                Purpose::ProbeOrCancellation => pool.probes_and_cancellations -= 1,
            }
            pool.idle.extend(connection.filter(|_| pool.is_owned));
        }
    }

    /// Takes the most recently used idle connection, or opens one, for a single request.
    ///
    /// Returns `None` if the connection limit of the replica is reached, if the remaining
    /// connections are reserved for calls, or if no client can be created.
    pub(super) fn check_out(
        &mut self,
        view: &View,
        replica: ReplicaId,
        purpose: Purpose,
    ) -> Option<Checkout> {
        self.pools.grow(view.topology.replicas.len(), Pool::default);
        let settings = &view.topology.replicas[replica].settings;
        let limit = usize::from(settings.connections);
        let max_probes_and_cancellations = limit.saturating_sub(settings.slots.into()).max(1);
        let pool = &mut self.pools[replica];
        let in_use = pool.calls + pool.probes_and_cancellations;
        if in_use >= limit
            || (purpose == Purpose::ProbeOrCancellation
                && pool.probes_and_cancellations >= max_probes_and_cancellations)
        {
            return None;
        }
        // The limit may have been lowered since the idle connections were opened.
        pool.idle.truncate(limit - in_use);
        let connection = match pool.idle.pop() {
            Some(connection) => connection,
            None => new_client(settings.address, local_address(view)).ok()?,
        };
        match purpose {
            Purpose::Call(_) => pool.calls += 1,
            Purpose::ProbeOrCancellation => pool.probes_and_cancellations += 1,
        }
        let returned_tx = self.returned_tx.clone();
        Some(Checkout {
            replica,
            purpose,
            connection: Some(connection),
            is_reusable: false,
            returned_tx,
        })
    }
}

impl Checkout {
    /// Returns the client of the connection.
    pub(super) fn client(&self) -> Option<&Client> {
        self.connection.as_ref()
    }

    /// Returns the connection to its pool; call it only after the reply was read completely.
    pub(super) fn release(mut self) {
        self.is_reusable = true;
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let connection = self.connection.take().filter(|_| self.is_reusable);
        let (replica, purpose) = (self.replica, self.purpose);
        // An error means that the thread has ended; the connection closes.
        let _ = self.returned_tx.send(Returned { replica, purpose, connection });
    }
}

/// Creates the client of one connection, with the source address `local` unless `local` is
/// unspecified or the upstream has an address of the other family.
///
/// The client neither retries nor follows redirects: only the core decides whether a request is
/// sent again.
pub(super) fn new_client(upstream: SocketAddr, local: IpAddr) -> reqwest::Result<Client> {
    let can_bind_local = upstream.is_ipv4() == local.is_ipv4() && !local.is_unspecified();
    Client::builder()
        .http1_only()
        .tcp_nodelay(true)
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(1)
        .local_address(can_bind_local.then_some(local))
        .build()
}

/// Returns the source address of connections, which is the address that peers connect to.
fn local_address(view: &View) -> IpAddr {
    view.members[view.own].peer_address.ip()
}
