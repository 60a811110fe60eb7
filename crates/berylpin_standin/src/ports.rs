//! Reservation of the ports that daemons under test listen on.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpSocket;

/// Ports bound with `SO_REUSEPORT`: a daemon can listen on them, and until this is dropped the
/// system assigns them to no other process.
#[derive(Debug, Default)]
pub struct ReservedPorts {
    /// Bound but not listening, so that all connections reach the daemon.
    sockets: Vec<TcpSocket>,
}

impl ReservedPorts {
    /// Reserves a free port of a local address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the socket.
    pub fn reserve(&mut self, host: Ipv4Addr) -> io::Result<SocketAddr> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseport(true)?;
        socket.bind((host, 0).into())?;
        let address = socket.local_addr()?;
        self.sockets.push(socket);
        Ok(address)
    }
}
