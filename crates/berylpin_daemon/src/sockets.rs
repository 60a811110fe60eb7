//! The sockets that a daemon listens on.

use crate::daemon::StartError;
use crate::settings::DaemonSettings;
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections that wait to be accepted, per socket.
const LISTEN_BACKLOG: u32 = 1024;

/// The back-off after a failed accept, for example for lack of file descriptors.
pub(crate) const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The bound sockets of a daemon.
pub(crate) struct Sockets {
    /// One socket per traffic thread.
    pub(crate) callers: Vec<Socket>,
    pub(crate) peers: Socket,
    pub(crate) admin: Socket,
}

/// A bound socket that does not listen yet.
pub(crate) struct Socket {
    /// The name of the address in error messages, such as `caller_address`.
    name: &'static str,
    address: SocketAddr,
    inner: TcpSocket,
}

impl Sockets {
    pub(crate) fn bind(settings: &DaemonSettings) -> Result<Self, StartError> {
        let callers =
            (0..settings.threads).map(|_| Socket::bind("caller_address", settings.caller_address));
        Ok(Self {
            callers: callers.collect::<Result<_, _>>()?,
            peers: Socket::bind("peer_listen_address", settings.peer_listen_address)?,
            admin: Socket::bind("admin_address", settings.admin_address)?,
        })
    }
}

impl Socket {
    /// Binds an address; several sockets may be bound to the same address.
    pub(crate) fn bind(name: &'static str, address: SocketAddr) -> Result<Self, StartError> {
        let bind = || {
            let socket =
                if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_reuseaddr(true)?;
            socket.set_reuseport(true)?;
            socket.bind(address)?;
            Ok(socket)
        };
        let inner = bind().map_err(|source| StartError::Listen { name, address, source })?;
        Ok(Self { name, address, inner })
    }

    /// Starts to listen; must be called within the runtime that accepts the connections.
    pub(crate) fn listen(self) -> Result<TcpListener, StartError> {
        let Self { name, address, inner } = self;
        inner.listen(LISTEN_BACKLOG).map_err(|source| StartError::Listen { name, address, source })
    }
}

/// Pauses after a failed accept, which the server repeats at once.
pub(crate) struct BackoffAcceptor(TcpAcceptor);

impl BackoffAcceptor {
    pub(crate) fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self(TcpAcceptor::from_tokio(listener)?))
    }
}

impl Acceptor for BackoffAcceptor {
    type Io = <TcpAcceptor as Acceptor>::Io;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await;
        if accepted.is_err() {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
        }
        accepted
    }
}
