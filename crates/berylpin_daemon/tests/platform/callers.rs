//! Connections of callers beyond those for which a daemon has memory.

use super::process::{FleetPorts, Process};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::Zone;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// The memory that the settings of the daemon state, in MB.
const MEMORY_MB: u32 = 32;

/// More connections than fit into that memory, by their heads alone.
const CONNECTIONS: usize = 900;

/// The start of a request with as long a head as the limits allow.
fn unfinished_head() -> Vec<u8> {
    let mut head = b"GET /query/x HTTP/1.1\r\nhost: a.example\r\nx-long: ".to_vec();
    head.resize(15 << 10, b'x');
    head
}

/// Callers that did not finish their requests took more memory than the VM has, and the daemon was
/// killed with the requests of all others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_beyond_the_memory_are_closed_and_others_are_served() {
    let (store, ports) = (Store::start().await.unwrap(), FleetPorts::reserve());
    let replica = Replica::start("a0", "a0", Arc::<RunLog>::default(), 1).await.unwrap();
    store.put("servers", "a0", replica_entry("a0", replica.address(), "centre-0", false));
    store.put("config", "main", configuration(1, &["a0".to_owned()], "ledger"));
    let mut process = Process::new(Zone(0), &ports, store.address(), "callers");
    process.set_memory_mb(MEMORY_MB);
    process.start();
    let caller = Caller::new(process.caller_address()).unwrap();
    let deadline = Instant::now() + SERVE_TIMEOUT;
    while !is_answered(&caller).await {
        assert!(Instant::now() < deadline, "not served:\n{}", process.log());
        sleep(Duration::from_millis(50)).await;
    }
    let (mut open, mut closed) = (Vec::new(), 0);
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(process.caller_address()).await.unwrap();
        match stream.write_all(&unfinished_head()).await {
            Ok(()) => open.push(stream),
            Err(_) => closed += 1,
        }
    }
    // The connections of the caller above are among those that were accepted first.
    assert!(is_answered(&caller).await, "not served beside many callers:\n{}", process.log());
    for stream in &mut open {
        let mut buf = [0; 1];
        let read = timeout(Duration::ZERO, stream.read(&mut buf)).await;
        closed += usize::from(matches!(read, Ok(Ok(0) | Err(_))));
    }
    let peak = process.peak_memory_kb();
    assert!(peak < u64::from(MEMORY_MB) << 10, "{peak} KB, {closed} closed");
    assert!(closed > CONNECTIONS / 2, "{closed} closed");
    assert!(process.log().contains("caller: connections closed, too many are open"));
    drop(open);
    let deadline = Instant::now() + SERVE_TIMEOUT;
    while !is_answered(&Caller::new(process.caller_address()).unwrap()).await {
        assert!(Instant::now() < deadline, "no new caller is served:\n{}", process.log());
        sleep(Duration::from_millis(50)).await;
    }
}

async fn is_answered(caller: &Caller) -> bool {
    let id = format!("query-{}", rand::random::<u64>());
    let outcome = caller.send(RequestKind::Query, &id, SERVE_TIMEOUT).await;
    matches!(outcome, Outcome::Answered(_))
}
