//! A proxy whose open connections can go silent while new ones work.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

pub struct Proxy {
    address: SocketAddr,
    /// Connections that were opened at an earlier silence are silent.
    silences: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let silences = Arc::new(AtomicU64::new(0));
        let shared = silences.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let silences = shared.clone();
                    std::thread::spawn(move || copy(from, to, &silences));
                }
            }
        });
        Ok(Self { address, silences })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all open connections silent: they stay open, and nothing passes any more.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

/// Copies bytes in one direction until the connection ends or goes silent.
fn copy(mut from: TcpStream, mut to: TcpStream, silences: &AtomicU64) {
    let opened_at = silences.load(Ordering::SeqCst);
    let is_silent = || silences.load(Ordering::SeqCst) != opened_at;
    let mut buf = [0; 65536];
    loop {
        let len = from.read(&mut buf).unwrap_or(0);
        if is_silent() {
            if len > 0 {
                continue;
            }
            // Not even the end of the connection passes.
            return std::mem::forget((from, to));
        }
        if len == 0 || to.write_all(&buf[..len]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
