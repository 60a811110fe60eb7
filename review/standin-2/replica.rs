//! Replicas, which run requests, sign their answers and record what they ran.

use crate::http::{Message, Reader, write_response};
use crate::record::Record;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The requests that a replica runs at once, and those that it queues.
const SLOTS: usize = 6;
const QUEUE: usize = 4;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub service: String,
    pub replica: String,
    pub arrived: Instant,
    /// Whether the replica ended while the request ran.
    pub cut: bool,
}

/// How a replica answers a request that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// With status 503, and without the header that says that the request did not run.
    Unavailable,
}

/// The requests at a replica.
#[derive(Default)]
struct Load {
    running: usize,
    queued: usize,
}

/// The runs at all replicas.
#[derive(Clone, Default)]
pub struct Runs {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runs {
    fn begin(&self, run: Run) -> usize {
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, run: usize, cut: bool) {
        self.runs.lock().unwrap()[run].cut = cut;
    }

    pub fn all(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

struct Shared {
    id: String,
    service: String,
    record: Arc<Record>,
    runs: Runs,
    work_ms: AtomicU64,
    /// Whether all answers say that the replica leaves.
    leaving: AtomicBool,
    /// How a share of the runs is answered, and of how many runs one is answered so.
    fault: Mutex<(Fault, u64)>,
    answers: AtomicU64,
    /// The requests that run and those that wait for a slot.
    load: Mutex<Load>,
    slot_freed: Condvar,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Shared {
    /// Waits for a slot; returns false if the queue is full.
    fn take_slot(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running >= SLOTS {
            if load.queued >= QUEUE {
                return false;
            }
            load.queued += 1;
            load = self.slot_freed.wait_while(load, |load| load.running >= SLOTS).unwrap();
            load.queued -= 1;
        }
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        self.load.lock().unwrap().running -= 1;
        self.slot_freed.notify_one();
    }
}

/// A running replica.
pub struct Replica {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        address: Option<SocketAddr>,
        (runs, record): (&Runs, &Arc<Record>),
    ) -> io::Result<Self> {
        let listener = match address {
            Some(address) => TcpListener::bind(address)?,
            None => TcpListener::bind("127.0.0.1:0")?,
        };
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            record: record.clone(),
            runs: runs.clone(),
            work_ms: AtomicU64::new(10),
            leaving: AtomicBool::new(false),
            fault: Mutex::new((Fault::None, 1)),
            answers: AtomicU64::new(0),
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        record.line(&format!("replica {id} of {service} starts at {address}"));
        let accepting = shared.clone();
        std::thread::spawn(move || accept(&listener, &accepting));
        Ok(Self { shared, address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn set_work(&self, work: Duration) {
        self.shared.work_ms.store(work.as_millis() as u64, Ordering::Relaxed);
    }

    /// Sets that all answers say from now on that the replica leaves.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Sets that of each `every` requests that run one is answered with a fault from now on.
    pub fn set_fault(&self, fault: Fault, every: u64) {
        *self.shared.fault.lock().unwrap() = (fault, every);
    }

    /// Ends the replica: closes its address and all connections.
    pub fn end(&self) {
        self.shared.record.line(&format!("replica {} ends", self.shared.id));
        self.shared.ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the address.
        let _ = TcpStream::connect(self.address);
        for connection in self.shared.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Returns the `spec` of the replica's entry in the store.
    pub fn entry(&self, zone: &str, state: &str) -> String {
        let (service, address) = (&self.shared.service, self.address);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"warmup_left_ms\":0,\
             \"sequence\":1,\"born\":1700000000000}}"
        )
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        if shared.ended.load(Ordering::SeqCst) {
            return;
        }
        if let Ok(copy) = stream.try_clone() {
            shared.connections.lock().unwrap().push(copy);
        }
        let shared = shared.clone();
        // A daemon that closes its connection ends the thread.
        std::thread::spawn(move || serve(stream, &shared));
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(request) = reader.next()? {
        if shared.ended.load(Ordering::SeqCst) {
            return Ok(());
        }
        answer(&mut stream, &request, shared)?;
    }
    Ok(())
}

fn answer(stream: &mut TcpStream, request: &Message, shared: &Shared) -> io::Result<()> {
    let (id, service) = (&shared.id, &shared.service);
    let record = |text: &str| shared.record.line(&format!("replica {id} of {service}: {text}"));
    if request.word(1) == "/health" {
        return write_response(stream, 200, &format!("x-instance-id: {id}\r\n"), b"");
    }
    let expected = request.header("x-expect-instance");
    let name = request.header("x-request-id").unwrap_or_default();
    if expected.is_some_and(|expected| expected != id) {
        record(&format!("421 to {name}, which expects {expected:?}"));
        return write_response(stream, 421, &format!("x-instance-id: {id}\r\n"), b"");
    }
    if name.is_empty() {
        return write_response(stream, 400, "x-not-executed: 1\r\n", b"");
    }
    if !shared.take_slot() {
        record(&format!("503 to {name}, not run"));
        return write_response(stream, 503, "x-not-executed: 1\r\n", b"");
    }
    let arrived = Instant::now();
    record(&format!("runs {name}: {}, expects {expected:?}", request.first_line));
    let run = shared.runs.begin(Run {
        request: name.to_owned(),
        service: service.clone(),
        replica: id.clone(),
        arrived,
        cut: false,
    });
    std::thread::sleep(Duration::from_millis(shared.work_ms.load(Ordering::Relaxed)));
    shared.free_slot();
    let cut = shared.ended.load(Ordering::SeqCst);
    shared.runs.end(run, cut);
    if cut {
        record(&format!("ended while it ran {name}"));
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let (fault, every) = *shared.fault.lock().unwrap();
    let number = shared.answers.fetch_add(1, Ordering::Relaxed);
    let fault = if number % every == 0 { fault } else { Fault::None };
    let leaving = shared.leaving.load(Ordering::Relaxed);
    let notice = if leaving { "server-leaving: 1\r\nconnection: close\r\n" } else { "" };
    let headers =
        format!("x-request-id: {name}\r\nx-server-stamp: {service}.{id}.{name}\r\n{notice}");
    if fault != Fault::None {
        record(&format!("has run {name} and answers {fault:?}"));
    }
    if fault == Fault::Unavailable {
        return write_response(stream, 503, &headers, b"");
    }
    write_response(stream, 200, &headers, format!("{service:-<16}").as_bytes())
}
