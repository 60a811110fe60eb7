//! Clients with kept connections.

use crate::http::Connection;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client saw of a request.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub id: String,
    pub method: String,
    pub sent: Instant,
    pub ended: Instant,
    /// 0 if the connection ended without a complete answer, 1 if the client gave up.
    pub status: u16,
    pub stamp: String,
    pub body: Vec<u8>,
    pub error: String,
}

pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline: Duration,
        body: &[u8],
    ) -> Exchange {
        let sent = Instant::now();
        let mut exchange = Exchange {
            id: id.to_owned(),
            method: method.to_owned(),
            sent,
            ended: sent,
            status: 0,
            stamp: String::new(),
            body: Vec::new(),
            error: String::new(),
        };
        if let Err(e) = self.exchange(method, path, deadline, body, &mut exchange) {
            self.connection = None;
            let gave_up =
                matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut);
            exchange.status = u16::from(gave_up);
            exchange.error = e.to_string();
        }
        exchange.ended = Instant::now();
        exchange
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        deadline: Duration,
        body: &[u8],
        exchange: &mut Exchange,
    ) -> std::io::Result<()> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            self.connection = Some(Connection::new(stream));
        }
        let connection = self.connection.as_mut().expect("a connection");
        connection.stream.set_read_timeout(Some(deadline + Duration::from_millis(700)))?;
        let length = if method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n{length}\r\n",
            exchange.id,
            deadline.as_millis()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        connection.write(&bytes)?;
        let Some(answer) = connection.read()? else {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        };
        exchange.status = answer.status();
        let text = |name: &str| answer.header(name).unwrap_or("").to_owned();
        exchange.stamp = text("x-server-stamp");
        let closes = text("connection").contains("close");
        exchange.body = answer.body;
        if closes {
            self.connection = None;
        }
        Ok(())
    }
}
