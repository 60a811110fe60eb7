//! Signals, settings files and addresses that a process meets in its start.

use super::process::{FleetPorts, Process};
use berylpin_platform_standin::{
    Caller, Outcome, Replica, RequestKind, RunLog, Store, configuration, replica_entry,
};
use berylpin_standin::net::Zone;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::{Instant, sleep};

/// The timeout until a daemon serves, and of each answer; ample even on a loaded machine.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the obstacle to a start lasts.
const OBSTACLE_TIME: Duration = Duration::from_millis(400);

/// A store with a configuration and replicas, and a daemon that is not started.
struct Setup {
    process: Process,
    _store: Store,
    _replicas: Vec<Replica>,
    _ports: FleetPorts,
}

impl Setup {
    async fn new(name: &str, ports: FleetPorts) -> Self {
        let store = Store::start().await.unwrap();
        let run_log = Arc::<RunLog>::default();
        let mut replicas = Vec::new();
        for service in ["a0", "ledger"] {
            let replica = Replica::start(service, service, run_log.clone(), 1).await.unwrap();
            let entry = replica_entry(service, replica.address(), "centre-0", false);
            store.put("servers", service, entry);
            replicas.push(replica);
        }
        store.put("config", "main", configuration(1, &["a0".to_owned()], "ledger"));
        let process = Process::new(Zone(0), &ports, store.address(), name);
        Self { process, _store: store, _replicas: replicas, _ports: ports }
    }

    /// Waits until the process that was started first serves; it must not end before.
    async fn wait_until_serves(&mut self) {
        let caller = Caller::new(self.process.caller_address()).unwrap();
        let deadline = Instant::now() + SERVE_TIMEOUT;
        for number in 0.. {
            let ended = self.process.exit_status();
            assert_eq!(ended, None, "the process ended:\n{}", self.process.log());
            assert!(Instant::now() < deadline, "not served:\n{}", self.process.log());
            let id = format!("query-{number}");
            let outcome = caller.send(RequestKind::Query, &id, SERVE_TIMEOUT).await;
            if matches!(outcome, Outcome::Answered(_)) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Replaces the settings file by a pipe, so that a start waits in its first step, starts the
/// process, and sends it a signal in that step. The settings are there right after it.
fn start_and_signal(process: &mut Process, option: &str) {
    let path = process.settings_path();
    let _ = std::fs::remove_file(&path);
    let made = Command::new("mkfifo").arg(&path).status().unwrap();
    assert!(made.success(), "no pipe at {}", path.display());
    process.spawn();
    // Opening the pipe waits for its reader.
    let mut pipe = std::fs::File::options().write(true).open(&path).unwrap();
    replace_settings(&path, &process.settings());
    process.signal(option);
    std::io::Write::write_all(&mut pipe, process.settings().as_bytes()).unwrap_or_default();
}

fn replace_settings(path: &Path, text: &str) {
    let new = path.with_extension("new");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(new, path).unwrap();
}

/// SIGHUP ended a process whose handlers were not installed yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_during_the_start_does_not_end_the_process() {
    let mut setup = Setup::new("start-sighup", FleetPorts::reserve()).await;
    start_and_signal(&mut setup.process, "-HUP");
    setup.wait_until_serves().await;
}

/// SIGTERM ended a process without a line and without an exit status of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_during_the_start_is_a_planned_stop() {
    let mut setup = Setup::new("start-sigterm", FleetPorts::reserve()).await;
    start_and_signal(&mut setup.process, "-TERM");
    setup.process.wait_for_stop().await;
}

/// A start that read the settings file while it was being written ended the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_waits_for_readable_settings() {
    let mut setup = Setup::new("start-settings", FleetPorts::reserve()).await;
    let (path, settings) = (setup.process.settings_path(), setup.process.settings());
    let half = settings[..settings.len() / 2].to_owned();
    for unreadable in [None, Some(String::new()), Some(half), Some("{}".to_owned())] {
        match &unreadable {
            Some(text) => std::fs::write(&path, text).unwrap(),
            None => std::fs::remove_file(&path).unwrap_or_default(),
        }
        setup.process.spawn();
        sleep(OBSTACLE_TIME).await;
        std::fs::write(&path, &settings).unwrap();
        setup.wait_until_serves().await;
        setup.process.kill();
    }
}

/// A grace time that was changed in the settings was logged and not used, so a planned stop was cut
/// off by the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_keeps_the_grace_time_of_the_newest_settings() {
    let mut setup = Setup::new("changed-grace", FleetPorts::reserve()).await;
    let path = setup.process.settings_path();
    for (grace, announced) in [("2", true), ("1", false)] {
        setup.process.start();
        setup.wait_until_serves().await;
        let settings = setup.process.settings();
        let changed = settings.replace(r#""grace_s":6"#, &format!(r#""grace_s":{grace}"#));
        assert_ne!(changed, settings);
        replace_settings(&path, &changed);
        if announced {
            setup.process.signal("-HUP");
        }
        setup.process.signal("-TERM");
        setup.process.wait_for_stop().await;
        let used = format!(r#""grace_ms":{grace}000"#);
        assert!(setup.process.log().contains(&used), "not {used}:\n{}", setup.process.log());
    }
}

/// A process that waits for its settings was not reached by a stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_that_waits_for_settings_ends_with_sigterm() {
    let mut setup = Setup::new("start-no-settings", FleetPorts::reserve()).await;
    std::fs::write(setup.process.settings_path(), "").unwrap();
    setup.process.spawn();
    sleep(OBSTACLE_TIME).await;
    setup.process.signal("-TERM");
    setup.process.wait_for_stop().await;
}

/// Occupies an address with a listener.
fn listen(address: SocketAddr) -> OwnedFd {
    TcpListener::bind(address).unwrap().into()
}

/// Occupies an address with a connection to `peer`, as another process of the VM may by chance.
async fn connect(address: SocketAddr, peer: SocketAddr) -> OwnedFd {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(address).unwrap();
    // Closed with a reset, so that the address is free at once.
    socket.set_zero_linger().unwrap();
    socket.connect(peer).await.unwrap().into_std().unwrap().into()
}

/// An address that was in use for a moment ended the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_waits_for_an_address_in_use() {
    let peer = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut setup = Setup::new("start-addresses", FleetPorts::unreserved()).await;
    for address in setup.process.addresses() {
        for listens in [false, true] {
            let occupant = if listens {
                listen(address)
            } else {
                connect(address, peer.local_addr().unwrap()).await
            };
            setup.process.start();
            sleep(OBSTACLE_TIME).await;
            drop(occupant);
            setup.wait_until_serves().await;
            setup.process.kill();
        }
    }
}
