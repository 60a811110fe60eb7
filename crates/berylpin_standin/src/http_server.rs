//! The HTTP server of stand-ins.

use poem::Server;
use poem::listener::TcpAcceptor;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// An HTTP server on loopback that stops when it is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves routes on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the listener.
    pub async fn start<E>(routes: E) -> io::Result<Self>
    where
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::from_std(listener.into_std()?)?;
        let endpoint = routes.into_endpoint();
        let task = tokio::spawn(async move {
            // The result is ignored: the server runs until this task is aborted.
            let _ = Server::new_with_acceptor(acceptor).run(endpoint).await;
        });
        Ok(Self { address, task })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
