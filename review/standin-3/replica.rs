//! Replicas, which record what arrives and answer as a scenario says.

use crate::http::{Connection, Message, response};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The Unix millisecond at which replicas started.
const BORN: u64 = 1_765_000_000_000;

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub method: String,
    pub target: String,
    /// Whether the replica began to work on it.
    pub ran: bool,
}

/// What a replica does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Works for a time and answers with success.
    Serve(Duration),
    /// Turns the request away, with this status and these headers.
    Refuse(u16, String),
    /// Works for a time and answers with this status.
    Fail(Duration, u16),
}

type Behaviour = Box<dyn Fn(&Arrival) -> Act + Send + Sync>;

pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub refusals: Mutex<Vec<Instant>>,
    behaviour: Mutex<Arc<Behaviour>>,
    exited: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Replica {
    pub fn start(ip: &str, id: &str, service: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a replica listens");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("a bound listener has an address"),
            arrivals: Mutex::default(),
            refusals: Mutex::default(),
            behaviour: Mutex::new(Arc::new(Box::new(|_| Act::Serve(Duration::from_millis(5))))),
            exited: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let shared = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = shared.clone();
                let mut connections = replica.connections.lock().unwrap();
                if replica.exited.load(Ordering::Relaxed) {
                    return;
                }
                connections.extend(stream.try_clone());
                drop(connections);
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    pub fn set<F>(&self, behaviour: F)
    where
        F: Fn(&Arrival) -> Act + Send + Sync + 'static,
    {
        *self.behaviour.lock().unwrap() = Arc::new(Box::new(behaviour));
    }

    /// Ends all connections, and listens no more.
    pub fn exit(&self) {
        let connections = self.connections.lock().unwrap();
        self.exited.store(true, Ordering::Relaxed);
        for connection in connections.iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(connections);
        // The listener is dropped after one more connection.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns the spec of its entry in the store.
    pub fn entry(&self, zone: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{BORN}}}",
            self.service, self.address
        )
    }

    /// Returns an entry for a service without the field `born`, as another writer may leave one.
    pub fn entry_without_born(&self, service: &str) -> String {
        let entry = self.entry("zone-a", "ready");
        let own = format!("\"service\":\"{}\"", self.service);
        entry
            .replace(&format!(",\"born\":{BORN}"), "")
            .replace(&own, &format!("\"service\":\"{service}\""))
    }

    /// Returns the signature of a success.
    pub fn stamp(&self, id: &str) -> String {
        format!("{}.{}.{id}", self.service, self.id)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            if !self.answer(&request, &mut connection) {
                return;
            }
        }
    }

    /// Handles a request; returns whether the connection stays open.
    fn answer(&self, request: &Message, connection: &mut Connection) -> bool {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let echo = format!("X-Request-Id: {id}\r\n");
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            let refusal = response(421, &format!("{echo}X-Not-Executed: 1\r\n"), b"");
            return connection.write(&refusal).is_ok();
        }
        let mut arrival = Arrival {
            at: Instant::now(),
            id: id.clone(),
            method: request.start[0].clone(),
            target: request.target().to_owned(),
            ran: false,
        };
        let behaviour = self.behaviour.lock().unwrap().clone();
        let act = behaviour(&arrival);
        arrival.ran = !matches!(act, Act::Refuse(..));
        self.arrivals.lock().unwrap().push(arrival.clone());
        match act {
            Act::Serve(work) => {
                std::thread::sleep(work);
                let headers = format!("{echo}X-Server-Stamp: {}\r\n", self.stamp(&id));
                connection.write(&response(200, &headers, self.body(&id).as_bytes())).is_ok()
            }
            Act::Refuse(status, headers) => {
                let refusal = response(status, &format!("{echo}{headers}"), b"");
                let sent = connection.write(&refusal).is_ok();
                self.refusals.lock().unwrap().push(Instant::now());
                sent
            }
            Act::Fail(work, status) => {
                std::thread::sleep(work);
                let headers = format!("{echo}X-Server-Stamp: {}\r\n", self.stamp(&id));
                connection.write(&response(status, &headers, b"failed")).is_ok()
            }
        }
    }

    /// Returns the body of a success.
    pub fn body(&self, id: &str) -> String {
        format!("answer of {} to {id}", self.id)
    }
}
