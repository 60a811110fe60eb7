//! Ports that no other process takes before a daemon listens on them.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpSocket;

/// Reserved ports; a daemon shares them, others get them only once this is dropped.
#[derive(Debug, Default)]
pub struct ReservedPorts {
    /// Bound, but not listening, so that they take no connections.
    sockets: Vec<TcpSocket>,
}

impl ReservedPorts {
    /// Reserves a free port of a host.
    ///
    /// # Errors
    ///
    /// Returns why no port can be bound.
    pub fn reserve(&mut self, host: Ipv4Addr) -> io::Result<SocketAddr> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseport(true)?;
        socket.bind((host, 0).into())?;
        let address = socket.local_addr()?;
        self.sockets.push(socket);
        Ok(address)
    }
}
