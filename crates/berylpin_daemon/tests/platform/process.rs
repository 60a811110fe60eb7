//! Daemons as processes that a test starts, signals and stops.

use berylpin_platform_standin::{Store, Vm};
use berylpin_standin::net::{Net, Proxy, ProxyTarget, Zone};
use berylpin_standin::ports::ReservedPorts;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The timeout for a daemon to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// The timeout for a daemon to write its first log line; ample even on a loaded machine.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The memory of a VM in MB, unless a test sets it.
const DEFAULT_MEMORY_MB: u32 = 128;

/// The first of the ports that are below those that the system assigns.
const FIRST_UNASSIGNED_PORT: u16 = 20_000;

/// Returns the address of the daemon in a data centre.
pub(super) fn daemon_address(zone: Zone) -> Ipv4Addr {
    zone.address(1)
}

/// The ports that all daemons of a test listen on, each at a different address.
pub(super) struct FleetPorts {
    /// The ports for callers, for readiness probes and for peers.
    ports: [u16; 3],
    _reserved: ReservedPorts,
}

impl FleetPorts {
    pub(super) fn reserve() -> Self {
        let mut reserved = ReservedPorts::default();
        let ports = [(); 3].map(|()| reserved.reserve(Ipv4Addr::UNSPECIFIED).unwrap().port());
        Self { ports, _reserved: reserved }
    }

    /// Chooses free ports without reserving them; the system assigns none of them by itself.
    pub(super) fn unreserved() -> Self {
        let first = FIRST_UNASSIGNED_PORT + (std::process::id() % 9000) as u16;
        let mut free = (first..).filter(|port| TcpListener::bind(("0.0.0.0", *port)).is_ok());
        let ports = [(); 3].map(|()| free.next().unwrap());
        Self { ports, _reserved: ReservedPorts::default() }
    }
}

/// A daemon's process, its settings and its log.
pub(super) struct Process {
    child: Option<Child>,
    vm: Vm,
    log: PathBuf,
}

impl Process {
    /// Describes the daemon of a data centre, without starting it; its seed is the daemon of the
    /// first data centre.
    ///
    /// The file name of its log contains `name` and the id of the test's process.
    pub(super) fn new(zone: Zone, ports: &FleetPorts, store: SocketAddr, name: &str) -> Self {
        let file = format!("{name}-{}-{}.log", zone.0, std::process::id());
        let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        let _ = std::fs::remove_file(&log);
        let vm = Vm {
            name: format!("front-{}", zone.0),
            ip: daemon_address(zone).into(),
            data_centre: data_centre(zone),
            ports: ports.ports,
            store,
            seeds: vec![daemon_address(Zone(0)).into()],
            memory_mb: DEFAULT_MEMORY_MB,
        };
        Self { child: None, vm, log }
    }

    /// Sets the memory that the settings state, which a test has to check.
    pub(super) fn set_memory_mb(&mut self, memory_mb: u32) {
        self.vm.memory_mb = memory_mb;
    }

    pub(super) fn name(&self) -> &str {
        &self.vm.name
    }

    pub(super) fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.vm.ip, self.vm.ports[0])
    }

    /// Returns the address on which the daemon accepts peers.
    pub(super) fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.vm.ip, self.vm.ports[2])
    }

    /// Returns the addresses on which the daemon listens.
    pub(super) fn addresses(&self) -> [SocketAddr; 3] {
        self.vm.ports.map(|port| SocketAddr::new(self.vm.ip, port))
    }

    /// Returns the path of the settings file.
    pub(super) fn settings_path(&self) -> PathBuf {
        self.log.with_extension("json")
    }

    /// Returns the content of the settings file.
    pub(super) fn settings(&self) -> String {
        self.vm.settings().to_string()
    }

    /// Writes the settings file and starts the process.
    pub(super) fn start(&mut self) {
        std::fs::write(self.settings_path(), self.settings()).unwrap();
        self.spawn();
    }

    /// Starts the process with the settings file as it is.
    pub(super) fn spawn(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_berylpind"))
            .arg("--platform")
            .arg(self.settings_path())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn();
        self.child = Some(child.unwrap());
    }

    /// Waits until the process that was started last has begun; before it installs its handlers, a
    /// signal ends it.
    pub(super) async fn wait_until_begun(&self) {
        let id = self.child.as_ref().unwrap().id();
        let (begun, deadline) = (format!("\"process\":{id},"), Instant::now() + START_TIMEOUT);
        while !self.log().lines().any(|l| l.contains("daemon: starting") && l.contains(&begun)) {
            assert!(Instant::now() < deadline, "{} does not begin:\n{}", self.name(), self.log());
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a signal, named as an option of `kill`, to the daemon's process if it was started.
    pub(super) fn signal(&self, option: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let status = Command::new("kill").args([option, &id]).status().unwrap();
            assert!(status.success(), "{} exited unexpectedly", self.name());
        }
    }

    /// Returns the exit status of the process if it has ended.
    pub(super) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.as_mut().unwrap().try_wait().unwrap()
    }

    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Waits until the process exits after SIGTERM; its last log line must report the stop.
    pub(super) async fn wait_for_stop(&mut self) {
        let deadline = Instant::now() + STOP_TIMEOUT;
        let mut child = self.child.take().unwrap();
        let status = loop {
            if let Some(status) = child.try_wait().unwrap() {
                break status;
            }
            assert!(Instant::now() < deadline, "{} does not exit after SIGTERM", self.name());
            sleep(Duration::from_millis(20)).await;
        };
        let log = self.log();
        let last = log.lines().last().unwrap_or_default();
        let name = self.name();
        assert!(last.contains("daemon: stopped"), "{name} ended with {status}, last line: {last}");
    }

    /// Returns the peak memory of the running process, in KB.
    pub(super) fn peak_memory_kb(&self) -> u64 {
        let id = self.child.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Lowers the limit of the running process to the file descriptors that it has open.
    pub(super) fn exhaust_descriptors(&self) {
        let id = self.child.as_ref().unwrap().id();
        let status =
            Command::new("prlimit").args(["--nofile=3:", "--pid", &id.to_string()]).status();
        assert!(status.unwrap().success());
    }

    /// Returns the processor time of the running process so far, in ticks of 10 ms.
    pub(super) fn processor_ticks(&self) -> u64 {
        let id = self.child.as_ref().unwrap().id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        let (_, fields) = stat.rsplit_once(") ").unwrap();
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks.map(|ticks| ticks.parse::<u64>().unwrap()).sum()
    }

    /// Returns the log so far.
    pub(super) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the name of a data centre.
pub(super) fn data_centre(zone: Zone) -> String {
    format!("centre-{}", zone.0)
}

/// Starts a proxy through which daemons reach the store.
pub(super) async fn start_store_proxy(net: &Arc<Net>, store: &Store) -> Proxy {
    let target = ProxyTarget {
        zone: Zone::PLATFORM,
        address: store.address(),
        max_connections: usize::MAX,
        count_bytes: false,
    };
    Proxy::start(net.clone(), 1, target).await.unwrap()
}
