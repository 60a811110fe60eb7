//! The connections to the replicas that one thread owns.
//!
//! Each connection is a client with a pool of one, used by one request at a time, so that the
//! number of sockets is exact and one connection can be closed without the others.

use berylpin_core::arena::Arena;
use berylpin_core::control::View;
use berylpin_core::ids::ReplicaId;
use berylpin_core::replica::CallKey;
use reqwest::{Client, redirect, retry};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection is kept without use.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// The connections to the replicas that one thread owns.
pub(super) struct Connections {
    /// Indexed by replica.
    pools: Arena<ReplicaId, Pool>,
    returned_tx: mpsc::UnboundedSender<Returned>,
    /// Holds no more than the connections in use.
    returned_rx: mpsc::UnboundedReceiver<Returned>,
}

/// The connections to one replica.
#[derive(Default)]
struct Pool {
    /// The one used last comes last and is used first, so that the others may time out.
    idle: Vec<Client>,
    /// Connections that carry a call; never more than the replica's slots.
    calls: usize,
    /// Connections that carry something else.
    others: usize,
    /// Whether connections are kept when they are not in use any more.
    keep: bool,
}

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A call that the core started.
    Call(CallKey),
    /// A probe or a cancellation.
    Other,
}

struct Returned {
    replica: ReplicaId,
    purpose: Purpose,
    /// `None` for a connection that is not to be used again.
    connection: Option<Client>,
}

/// A connection in use; it goes back when dropped, closed unless it was released.
pub(super) struct Checkout {
    replica: ReplicaId,
    purpose: Purpose,
    connection: Option<Client>,
    /// Whether the last request on it got a whole reply.
    replied: bool,
    returned: mpsc::UnboundedSender<Returned>,
}

impl Connections {
    pub(super) fn new() -> Self {
        let (returned_tx, returned_rx) = mpsc::unbounded_channel();
        Self { pools: Arena::default(), returned_tx, returned_rx }
    }

    /// Closes the idle connections to replicas that this daemon does not own any more.
    pub(super) fn retain(&mut self, view: &View) {
        self.pools.grow(view.topology.replicas.len(), Pool::default);
        for (id, pool) in self.pools.iter_mut() {
            pool.keep = view.owner(id) == Some(view.own);
            if !pool.keep {
                pool.idle.clear();
            }
        }
    }

    /// Closes the idle connections to a replica; later requests use fresh ones.
    ///
    /// A connection in use proves by its reply that it works, and is kept then.
    pub(super) fn renew(&mut self, replica: ReplicaId) {
        if let Some(pool) = self.pools.get_mut(replica) {
            pool.idle.clear();
        }
    }

    /// Takes the connections back that are not in use any more; `ended` hears of each call.
    pub(super) fn collect<F>(&mut self, mut ended: F)
    where
        F: FnMut(CallKey),
    {
        while let Ok(returned) = self.returned_rx.try_recv() {
            let Returned { replica, purpose, connection } = returned;
            let pool = &mut self.pools[replica];
            match purpose {
                Purpose::Call(key) => {
                    pool.calls -= 1;
                    ended(key);
                }
                Purpose::Other => pool.others -= 1,
            }
            pool.idle.extend(connection.filter(|_| pool.keep));
        }
    }

    /// Takes a connection for one request, the one used last if any is idle.
    ///
    /// Returns `None` if the replica accepts no more, or if the rest is kept for calls.
    pub(super) fn take(
        &mut self,
        view: &View,
        replica: ReplicaId,
        purpose: Purpose,
    ) -> Option<Checkout> {
        self.pools.grow(view.topology.replicas.len(), Pool::default);
        let settings = &view.topology.replicas[replica].settings;
        let limit = usize::from(settings.connections);
        let spare = limit.saturating_sub(settings.slots.into()).max(1);
        let pool = &mut self.pools[replica];
        let in_use = pool.calls + pool.others;
        if in_use >= limit || (purpose == Purpose::Other && pool.others >= spare) {
            return None;
        }
        // The limit may have been lowered since these were opened.
        pool.idle.truncate(limit - in_use);
        let connection = match pool.idle.pop() {
            Some(connection) => connection,
            None => new_client(settings.address, own_address(view)).ok()?,
        };
        match purpose {
            Purpose::Call(_) => pool.calls += 1,
            Purpose::Other => pool.others += 1,
        }
        let returned = self.returned_tx.clone();
        Some(Checkout { replica, purpose, connection: Some(connection), replied: false, returned })
    }
}

impl Checkout {
    /// Returns the client of the connection.
    pub(super) fn client(&self) -> Option<&Client> {
        self.connection.as_ref()
    }

    /// Notes that the connection has carried a whole reply and may be used again.
    pub(super) fn release(mut self) {
        self.replied = true;
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let connection = self.connection.take().filter(|_| self.replied);
        let (replica, purpose) = (self.replica, self.purpose);
        // Without a receiver the thread has ended and nothing is to be kept.
        let _ = self.returned.send(Returned { replica, purpose, connection });
    }
}

/// Makes the client of one connection.
///
/// Nothing is sent twice or elsewhere on the client's own account: only the core retries.
pub(super) fn new_client(upstream: SocketAddr, own: IpAddr) -> reqwest::Result<Client> {
    let same_family = upstream.is_ipv4() == own.is_ipv4() && !own.is_unspecified();
    Client::builder()
        .http1_only()
        .tcp_nodelay(true)
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(1)
        .local_address(same_family.then_some(own))
        .build()
}

/// Returns the address that connections come from: the one at which peers know this daemon.
fn own_address(view: &View) -> IpAddr {
    view.members[view.own].peer_address.ip()
}
