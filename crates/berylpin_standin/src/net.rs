//! The simulated network: TCP proxies with delays, cuts, connection limits and silent connections.

use bytes::{Bytes, BytesMut};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Chunks buffered for one direction of a connection before its reader waits.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// Third octet of the addresses of zone 0.
const FIRST_ZONE_OCTET: u8 = 10;

/// A network zone: a data centre or the platform.
///
/// Cuts apply to the paths between zones, delays to those between data centres. The addresses of
/// zone n are `127.0.(10 + n).x`; proxies identify the zone of a client by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Zone(pub u8);

impl Zone {
    /// The zone of the platform.
    pub const PLATFORM: Self = Self(9);

    /// The zone of clients that are not bound to an address of a zone.
    pub const UNASSIGNED: Self = Self(u8::MAX);

    /// Returns a loopback address of the zone; `host` is the last octet.
    pub fn address(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, FIRST_ZONE_OCTET + self.0, host)
    }

    /// Returns the zone of an address; `UNASSIGNED` outside all zones.
    fn of(address: IpAddr) -> Self {
        let IpAddr::V4(address) = address else { return Self::UNASSIGNED };
        let [_, _, zone, _] = address.octets();
        let known = (FIRST_ZONE_OCTET..=FIRST_ZONE_OCTET + Self::PLATFORM.0).contains(&zone);
        if known { Self(zone - FIRST_ZONE_OCTET) } else { Self::UNASSIGNED }
    }
}

/// The faults of all proxies.
#[derive(Clone, Debug, Default)]
struct NetState {
    /// Source and destination zones of the paths that are cut.
    cuts: Vec<(Zone, Zone)>,
    /// Connections with lower numbers stay open but transfer nothing.
    silent_below: u64,
    /// Connections with lower numbers are closed.
    closed_below: u64,
}

/// The network between zones.
#[derive(Debug)]
pub struct Net {
    /// One-way latency between data centres.
    delay: Duration,
    state: watch::Sender<NetState>,
    /// Connections accepted so far; the number of the next one.
    connections: AtomicU64,
    /// Bytes transferred to and from targets with `count_bytes`.
    bytes: AtomicU64,
}

impl Net {
    /// Returns a network with a one-way latency between data centres.
    pub fn new(delay: Duration) -> Arc<Self> {
        let state = watch::Sender::new(NetState::default());
        Arc::new(Self {
            delay,
            state,
            connections: AtomicU64::default(),
            bytes: AtomicU64::default(),
        })
    }

    /// Cuts or heals the paths between two zones in both directions.
    pub fn set_cut(&self, a: Zone, b: Zone, cut: bool) {
        self.set_one_way_cut(a, b, cut);
        self.set_one_way_cut(b, a, cut);
    }

    /// Cuts or heals the path from one zone to another; the reverse path is unchanged.
    pub fn set_one_way_cut(&self, from: Zone, to: Zone, cut: bool) {
        self.state.send_modify(|state| {
            state.cuts.retain(|other| *other != (from, to));
            if cut {
                state.cuts.push((from, to));
            }
        });
    }

    /// Makes all present connections permanently silent; later ones work.
    pub fn silence_connections(&self) {
        let next = self.connections.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.silent_below = next);
    }

    /// Closes all present connections.
    pub fn close_connections(&self) {
        let next = self.connections.load(Ordering::Relaxed);
        self.state.send_modify(|state| state.closed_below = next);
    }

    /// Returns the bytes of control traffic: those of all targets with `count_bytes`.
    pub fn control_bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// The server that a proxy forwards to.
#[derive(Clone, Copy, Debug)]
pub struct ProxyTarget {
    /// Zone of the server and its proxy.
    pub zone: Zone,
    /// Address of the server.
    pub address: SocketAddr,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Whether [`Net::control_bytes`] includes the transferred bytes.
    pub count_bytes: bool,
}

/// A TCP proxy that stops when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a free port of an address in the target's zone, see [`Zone::address`].
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listener.
    pub async fn start(net: Arc<Net>, host: u8, target: ProxyTarget) -> io::Result<Self> {
        let listener = TcpListener::bind((target.zone.address(host), 0)).await?;
        let address = listener.local_addr()?;
        Ok(Self { address, task: tokio::spawn(accept(listener, net, target)) })
    }

    /// Returns the address of the proxy's listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, net: Arc<Net>, target: ProxyTarget) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut connections = JoinSet::new();
    loop {
        let Ok((tcp, peer)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        if open.load(Ordering::Relaxed) >= target.max_connections {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let number = net.connections.fetch_add(1, Ordering::Relaxed);
        let connection = Connection { net: net.clone(), from: Zone::of(peer.ip()), target, number };
        let open = open.clone();
        connections.spawn(async move {
            // An error closes both sides of the connection.
            let _ = connection.forward(tcp).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// A connection through a proxy.
#[derive(Clone)]
struct Connection {
    net: Arc<Net>,
    /// Zone of the client.
    from: Zone,
    target: ProxyTarget,
    /// Ordinal among all connections of the network.
    number: u64,
}

impl Connection {
    fn delay(&self) -> Duration {
        let ends = [self.from, self.target.zone];
        let undelayed = ends.contains(&Zone::UNASSIGNED) || ends.contains(&Zone::PLATFORM);
        if undelayed || ends[0] == ends[1] { Duration::ZERO } else { self.net.delay }
    }

    async fn forward(self, client: TcpStream) -> io::Result<()> {
        let (to_server, to_client) = ((self.from, self.target.zone), (self.target.zone, self.from));
        self.wait_open(to_server).await;
        let server = TcpStream::connect(self.target.address).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::select! {
            () = self.relay(client_rx, server_tx, to_server) => {}
            () = self.relay(server_rx, client_tx, to_client) => {}
            () = self.wait_closed() => {}
        }
        Ok(())
    }

    /// Waits until a path is not cut; never returns on a silent connection.
    async fn wait_open(&self, path: (Zone, Zone)) {
        let mut state = self.net.state.subscribe();
        let open =
            |state: &NetState| self.number >= state.silent_below && !state.cuts.contains(&path);
        // The sender lives as long as the network, which this connection holds.
        let _ = state.wait_for(open).await;
    }

    /// Waits until the network closes the connection.
    async fn wait_closed(&self) {
        let mut state = self.net.state.subscribe();
        // The sender lives as long as the network, which this connection holds.
        let _ = state.wait_for(|state| self.number < state.closed_below).await;
    }

    async fn relay(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, path: (Zone, Zone)) {
        let delay = self.delay();
        let (tx, mut rx) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_IN_FLIGHT);
        let read = async move {
            let mut buf = BytesMut::new();
            loop {
                buf.reserve(READ_BUFFER_BYTES);
                let Ok(1..) = from.read_buf(&mut buf).await else { return };
                let due = Instant::now() + delay;
                if tx.send((due, buf.split().freeze())).await.is_err() {
                    return;
                }
            }
        };
        let write = async {
            while let Some((due, bytes)) = rx.recv().await {
                if !delay.is_zero() {
                    sleep_until(due).await;
                }
                self.wait_open(path).await;
                if self.target.count_bytes {
                    self.net.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                }
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        };
        tokio::join!(read, write);
    }
}

#[cfg(test)]
mod tests;
