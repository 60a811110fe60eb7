//! Callers that take long answers slowly, or not at all.

use super::process::{FleetPorts, Process, data_centre};
use berylpin_platform_standin::{
    Caller, Fault, Outcome, Replica, RequestKind, RunLog, Store, add_read_route, configuration,
    replica_entry,
};
use berylpin_standin::net::Zone;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The length of the long answers.
const BODY_BYTES: usize = 7 << 20;

/// The memory of the daemon, in MB; an eighth of it holds two long answers and no third one.
const MEMORY_MB: u32 = 120;

/// How long callers wait for a long answer, as they say.
const CALLER_DEADLINE: Duration = Duration::from_secs(6);

/// The time after which a caller that takes nothing is behind its pace.
const STALL_TIME: Duration = Duration::from_secs(2);

/// The long answers that are read while slow callers hold theirs.
const READS: usize = 8;

/// One daemon and one replica, whose answers are long.
struct Harness {
    process: Process,
    address: SocketAddr,
    _replica: Replica,
    _store: Store,
    _ports: FleetPorts,
}

impl Harness {
    async fn start(name: &str) -> Self {
        let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
        let replica =
            Replica::start("ledger-0", "ledger", Arc::<RunLog>::default(), 1).await.unwrap();
        let entry = replica_entry("ledger", replica.address(), &data_centre(Zone(0)), false);
        store.put("servers", replica.id(), entry);
        let mut configuration = configuration(1, &["ledger".to_owned()], "ledger");
        add_read_route(&mut configuration, "ledger", 1);
        store.put("config", "main", configuration);
        let mut process = Process::new(Zone(0), &ports, store.address(), name);
        process.set_memory_mb(MEMORY_MB);
        process.start();
        let address = process.caller_address();
        let caller = Caller::new(address).unwrap();
        let deadline = Instant::now() + TIMEOUT;
        for number in 0.. {
            let id = format!("start-{number}");
            if let Outcome::Answered(_) = caller.send(RequestKind::Read, &id, TIMEOUT).await {
                break;
            }
            assert!(Instant::now() < deadline, "not served:\n{}", process.log());
            sleep(Duration::from_millis(50)).await;
        }
        replica.set_fault(Fault::LongBody(BODY_BYTES), 1.0);
        Self { process, address, _replica: replica, _store: store, _ports: ports }
    }

    /// Sends a request and reads the head of its answer; returns the status and the connection.
    async fn request(&self, id: &str) -> (String, TcpStream) {
        let mut tcp = TcpStream::connect(self.address).await.unwrap();
        let millis = CALLER_DEADLINE.as_millis();
        let head = format!(
            "GET /read/{id} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {millis}\r\n\r\n"
        );
        tcp.write_all(head.as_bytes()).await.unwrap();
        let mut answer = String::new();
        while !answer.ends_with("\r\n\r\n") {
            let byte = timeout(TIMEOUT, tcp.read_u8()).await.unwrap().unwrap();
            answer.push(char::from(byte));
        }
        (answer.lines().next().unwrap_or_default().to_owned(), tcp)
    }

    /// Reads a whole long answer.
    async fn read(&self, id: &str) -> Result<(), String> {
        let (status, mut tcp) = self.request(id).await;
        if !status.contains(" 200 ") {
            return Err(format!("{id}: {status}"));
        }
        let mut body = vec![0; BODY_BYTES];
        let read = timeout(TIMEOUT, tcp.read_exact(&mut body)).await;
        read.map_err(|_| format!("{id}: timed out"))?.map_err(|e| format!("{id}: {e}"))?;
        Ok(())
    }

    /// Reads long answers one after the other; returns what went wrong.
    async fn read_repeatedly(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        for number in 0..READS {
            wrong.extend(self.read(&format!("read-{number}")).await.err());
        }
        wrong
    }
}

/// A few callers that took nothing made the long answers of all others fail, for as long as they
/// kept their connections open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_take_nothing_make_no_other_long_answer_fail() {
    let harness = Harness::start("stalled-callers").await;
    let mut stalled = Vec::new();
    for number in 0..2 {
        let (status, tcp) = harness.request(&format!("stalled-{number}")).await;
        assert!(status.contains(" 200 "), "{status}");
        stalled.push(tcp);
    }
    sleep(STALL_TIME).await;
    let wrong = harness.read_repeatedly().await;
    assert!(wrong.is_empty(), "{wrong:?}:\n{}", harness.process.log());
    // At least one of them was cut off, and its answer does not look complete.
    let mut cut_off = 0;
    for mut tcp in stalled {
        let mut body = Vec::new();
        let read = timeout(CALLER_DEADLINE, tcp.read_to_end(&mut body)).await;
        cut_off += usize::from(read.is_ok() && body.len() < BODY_BYTES);
    }
    assert!(cut_off > 0);
    let log = harness.process.log();
    assert!(log.contains("caller: answer cut off"), "{log}");
}

/// A caller that takes its answer until its deadline is not to be cut off for others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_steadily_until_its_deadline_gets_its_whole_answer() {
    let harness = Harness::start("steady-caller").await;
    let (status, mut steady) = harness.request("steady").await;
    assert!(status.contains(" 200 "), "{status}");
    let (status, _stalled) = harness.request("stalled").await;
    assert!(status.contains(" 200 "), "{status}");
    let started = Instant::now();
    let reader = tokio::spawn(async move {
        let (mut read, mut buf) = (0, vec![0; 16 << 10]);
        while read < BODY_BYTES {
            let due = CALLER_DEADLINE.mul_f64(read as f64 / BODY_BYTES as f64);
            tokio::time::sleep_until(started + due).await;
            let len = steady.read(&mut buf).await.map_err(|e| (read, Some(e)))?;
            if len == 0 {
                return Err((read, None));
            }
            read += len;
        }
        Ok(())
    });
    sleep(STALL_TIME).await;
    let wrong = harness.read_repeatedly().await;
    assert!(wrong.is_empty(), "{wrong:?}:\n{}", harness.process.log());
    let result = timeout(TIMEOUT, reader).await.unwrap().unwrap();
    let log = harness.process.log();
    assert!(result.is_ok(), "cut off: {result:?}:\n{log}");
    let cut_off: Vec<_> = log.lines().filter(|l| l.contains("caller: answer cut off")).collect();
    assert!(matches!(cut_off[..], [line] if line.contains("\"request\":\"stalled\"")), "{log}");
}
