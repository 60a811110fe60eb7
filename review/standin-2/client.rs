//! Clients of daemons; each request is on a connection of its own.

use crate::http::Reader;
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for its connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// What a client got.
#[derive(Clone, Debug)]
pub struct Reply {
    pub request: String,
    /// How long the client waited for the answer or the end of its connection.
    pub waited: Duration,
    /// 0 if the connection failed or ended without a complete answer.
    pub status: u16,
    pub signature: String,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Sends a request with a new id and waits until its deadline.
pub fn send(
    daemon: SocketAddr,
    (method, path, body): (&str, &str, &[u8]),
    deadline: Duration,
    record: &Record,
) -> Reply {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let request = format!("{number:016x}");
    let mut reply = Reply {
        request: request.clone(),
        waited: Duration::ZERO,
        status: 0,
        signature: String::new(),
        body: Vec::new(),
    };
    let sent = Instant::now();
    record.line(&format!("client sends {request} to {daemon}: {method} {path}"));
    let exchange = || {
        let mut stream = TcpStream::connect_timeout(&daemon, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(deadline))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {request}\r\n\
             X-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body].concat())?;
        Reader::new(stream).next()
    };
    if let Ok(Some(message)) = exchange() {
        reply.status = message.word(1).parse().unwrap_or(0);
        let stamps = message.header("x-server-stamp").or(message.header("x-part-stamps"));
        reply.signature = stamps.unwrap_or_default().to_owned();
        reply.body = message.body;
    }
    reply.waited = sent.elapsed();
    let (status, signature) = (reply.status, &reply.signature);
    record.line(&format!("client gets {status} for {request}, signature {signature:?}"));
    reply
}
