//! HTTP servers of stand-ins.

use poem::Server;
use poem::listener::TcpAcceptor;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A stand-in that listens on loopback until it is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves routes on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns why no port can be listened on.
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
            // The server ends with the task that runs it.
            let _ = Server::new_with_acceptor(acceptor).run(endpoint).await;
        });
        Ok(Self { address, task })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
