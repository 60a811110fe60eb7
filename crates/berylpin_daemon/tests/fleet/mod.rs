//! Three daemons with stand-ins of the platform and of upstreams, on loopback.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::SnapshotRange;
use berylpin_daemon::{Daemon, DaemonSettings, SystemClock, discard_log};
use berylpin_standin::platform::Platform;
use berylpin_standin::ports::ReservedPorts;
use berylpin_standin::upstream::{Upstream, UpstreamSpec};
use berylpin_wire::caller::RefusalBody;
use berylpin_wire::execute::{ExecuteBody, ExecutedBody, KeyList, KeysBody};
use berylpin_wire::platform::{SERVICE_PREFIX, Vm};
use reqwest::{Client, StatusCode};
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const ADMIN_TOKEN: &str = "token-of-the-tests";
const FLEET_KEY: &str = "fleet-key-of-the-tests";
const DATA_CENTRE: &str = "palermo-1";
/// Long enough that a loaded machine does not change a result.
const DEADLINE_MS: u64 = 30_000;
const WARM_UP_DEADLINE_MS: u64 = 2_000;
/// Maximum number of executions that are tried for each pair of entry and holder.
const MAX_READY_POLLS: usize = 400;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of an execution, or its status and refusal.
pub(crate) type ExecuteResult = Result<ExecutedBody, (StatusCode, RefusalBody)>;

/// Three daemons and the two replicas of one service.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) callers: Vec<SocketAddr>,
    /// `None` for a daemon that was stopped or runs in a separate process.
    pub(crate) daemons: Vec<Option<Daemon>>,
    /// The last daemon, if it runs in a separate process.
    process: Option<DaemonProcess>,
    client: Client,
    /// Keeps the ports reserved while the fleet exists.
    _ports: ReservedPorts,
}

/// A daemon in a separate process; killed when dropped.
struct DaemonProcess {
    child: Child,
    config: PathBuf,
}

impl Fleet {
    /// Starts the fleet; the last daemon runs in a separate process if `with_process` is set.
    pub(crate) async fn start(service_time: Duration, with_process: bool) -> Self {
        let platform = Platform::start().await.unwrap();
        let spec = UpstreamSpec {
            slots: 2,
            connect_delay: Duration::ZERO,
            service_time,
            network_delay: Duration::ZERO,
        };
        let snapshots = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(1) };
        let mut document = "service = \"quota\"\n[[shard]]\nname = \"main\"\n".to_owned();
        let mut upstreams = Vec::new();
        for seed in 0..2 {
            let upstream = Upstream::start(spec, snapshots, seed).await.unwrap();
            // Writing to a string cannot fail.
            let _ = write!(
                document,
                "[[shard.replica]]\naddress = \"{}\"\ndata_centre = \"{DATA_CENTRE}\"\nslots = 2\n\
                 connections = 25\n",
                upstream.address()
            );
            upstreams.push(upstream);
        }
        platform.store(&format!("{SERVICE_PREFIX}quota"), &document);
        let mut ports = ReservedPorts::default();
        let settings: Vec<_> =
            (0..3).map(|index| settings(index, platform.address(), &mut ports)).collect();
        platform.set_vms(settings.iter().map(listed_vm).collect());
        let process = with_process.then(|| DaemonProcess::start(&settings[2]));
        let daemons = settings.iter().enumerate().map(|(index, settings)| {
            let in_process = index < 2 || !with_process;
            let start = || Daemon::start(settings.clone(), Arc::new(SystemClock), discard_log());
            in_process.then(|| start().unwrap())
        });
        let fleet = Self {
            daemons: daemons.collect(),
            callers: settings.iter().map(|settings| settings.caller_address).collect(),
            platform,
            upstreams,
            process,
            client: Client::new(),
            _ports: ports,
        };
        fleet.wait_ready().await;
        fleet
    }

    /// Waits until an execution through each daemon with a key of each holder succeeds.
    pub(crate) async fn wait_ready(&self) {
        for holder in 0..self.callers.len() {
            for entry in 0..self.callers.len() {
                self.wait_reachable(holder, entry).await;
            }
        }
    }

    async fn wait_reachable(&self, holder: usize, entry: usize) {
        for _ in 0..MAX_READY_POLLS {
            if let Some(key) = self.try_issue_key(holder).await
                && let Ok((StatusCode::OK, _)) =
                    self.send(entry, &key, "warm-up", WARM_UP_DEADLINE_MS).await
            {
                return;
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        panic!("no execution through daemon {entry} with a key of daemon {holder} succeeded");
    }

    async fn try_issue_key(&self, daemon: usize) -> Option<String> {
        let url = format!("http://{}/v1/keys", self.callers[daemon]);
        let response = self.client.post(url).json(&KeysBody { count: 1 }).send().await.ok()?;
        response.json::<KeyList>().await.ok()?.keys.pop()
    }

    /// Issues a key at a daemon.
    pub(crate) async fn issue_key(&self, daemon: usize) -> String {
        self.try_issue_key(daemon).await.expect("the daemon issues keys")
    }

    /// Sends an execution through a daemon.
    pub(crate) async fn execute(&self, daemon: usize, key: &str, request: &str) -> ExecuteResult {
        let (status, bytes) = self.send(daemon, key, request, DEADLINE_MS).await.unwrap();
        if status == StatusCode::OK {
            Ok(serde_json::from_slice(&bytes).unwrap())
        } else {
            Err((status, serde_json::from_slice(&bytes).unwrap()))
        }
    }

    /// Sends an execution with a deadline and returns the status and body.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        key: &str,
        request: &str,
        deadline_ms: u64,
    ) -> Result<(StatusCode, Vec<u8>), reqwest::Error> {
        let body = ExecuteBody {
            key: key.to_owned(),
            service: "quota".to_owned(),
            shard: None,
            rank: berylpin_core::rank::Rank::Urgent,
            deadline_ms: Some(deadline_ms),
            request: request.to_owned(),
        };
        let url = format!("http://{}/v1/execute", self.callers[daemon]);
        let response = self.client.post(url).json(&body).send().await?;
        Ok((response.status(), response.bytes().await?.to_vec()))
    }

    /// Returns how many times the upstreams ran a key.
    pub(crate) fn runs(&self, key: &str) -> usize {
        self.upstreams.iter().map(|upstream| upstream.ledger().runs(key)).sum()
    }

    /// Kills the daemon that runs in a separate process.
    pub(crate) fn kill_process(&mut self) -> DaemonRestart {
        let mut process = self.process.take().expect("a daemon runs in a separate process");
        process.child.kill().unwrap();
        process.child.wait().unwrap();
        DaemonRestart(process.config.clone())
    }

    /// Starts the killed daemon again.
    pub(crate) fn restart(&mut self, restart: DaemonRestart) {
        self.process = Some(DaemonProcess::spawn(restart.0));
    }

    /// Stops a daemon gracefully.
    pub(crate) async fn stop(&mut self, daemon: usize) {
        let daemon = self.daemons[daemon].take().expect("the daemon runs");
        tokio::task::spawn_blocking(|| daemon.stop()).await.unwrap();
    }
}

/// The settings file of a killed daemon.
pub(crate) struct DaemonRestart(PathBuf);

impl DaemonProcess {
    fn start(settings: &DaemonSettings) -> Self {
        let (pid, port) = (std::process::id(), settings.caller_address.port());
        let config = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{pid}-{port}.toml"));
        let text = format!(
            "name = \"{}\"\ndata_centre = \"{}\"\nregion = \"{}\"\ncaller_address = \"{}\"\n\
             peer_address = \"{}\"\nadmin_address = \"{}\"\nplatform = \"{}\"\n\
             admin_token = \"{ADMIN_TOKEN}\"\nfleet_key = \"{FLEET_KEY}\"\n",
            settings.name,
            settings.data_centre,
            settings.region,
            settings.caller_address,
            settings.peer_address,
            settings.admin_address,
            settings.platform,
        );
        std::fs::write(&config, text).unwrap();
        Self::spawn(config)
    }

    fn spawn(config: PathBuf) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_berylpind"))
            .arg("--config")
            .arg(&config)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child, config }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Both fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(index: usize, platform: SocketAddr, ports: &mut ReservedPorts) -> DaemonSettings {
    DaemonSettings::builder()
        .name(&format!("entry-{index}"))
        .data_centre(DATA_CENTRE)
        .region("palermo")
        .caller_address(ports.reserve(Ipv4Addr::LOCALHOST).unwrap())
        .peer_address(ports.reserve(Ipv4Addr::LOCALHOST).unwrap())
        .admin_address(ports.reserve(Ipv4Addr::LOCALHOST).unwrap())
        .platform(platform)
        .admin_token(ADMIN_TOKEN)
        .fleet_key(FLEET_KEY)
        .stop_notice(Duration::from_millis(100))
        .build()
        .unwrap()
}

fn listed_vm(settings: &DaemonSettings) -> Vm {
    Vm {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.peer_address,
        leaving: false,
    }
}
