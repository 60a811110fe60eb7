//! The `berylpind` binary, tested through its signals, settings file and HTTP interfaces.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::SnapshotRange;
use berylpin_core::rank::Rank;
use berylpin_standin::checker::Layout;
use berylpin_standin::load::{Balancer, Outcome, QueryStream, caller_client, drive_queries};
use berylpin_standin::platform::Platform;
use berylpin_standin::ports::ReservedPorts;
use berylpin_standin::sites::{Document, DocumentReplica, FIRST_SHARD, Site};
use berylpin_standin::upstream::Upstream;
use berylpin_wire::platform::{SERVICE_PREFIX, Vm};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Maximum time for a daemon to start or to end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a stopping daemon reports not ready.
const STOP_NOTICE: Duration = Duration::from_millis(500);

/// Time until the balancer detects that a daemon is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(100);

const SNAPSHOTS: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

/// A running `berylpind`; killed when dropped, so that a failed test leaves no process.
struct Process {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
    /// Keeps the ports reserved while the process runs.
    _ports: ReservedPorts,
}

impl Drop for Process {
    fn drop(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    async fn start(file_name: &str, platform: &Platform) -> Self {
        let mut ports = ReservedPorts::default();
        let [callers, peers, admin] = [(); 3].map(|()| ports.reserve(Ipv4Addr::LOCALHOST).unwrap());
        let vm = Vm {
            name: "entry-1".to_owned(),
            data_centre: "palermo-1".to_owned(),
            peer_address: peers,
            leaving: false,
        };
        platform.set_vms(vec![vm]);
        let text = format!(
            "name = \"entry-1\"\ndata_centre = \"palermo-1\"\nregion = \"palermo\"\n\
             caller_address = \"{callers}\"\npeer_address = \"{peers}\"\n\
             admin_address = \"{admin}\"\nplatform = \"{}\"\nstop_notice_ms = {}\n\
             admin_token = \"process-test-token\"\nfleet_key = \"process-test-fleet-key\"\n",
            platform.address(),
            STOP_NOTICE.as_millis(),
        );
        let child = Command::new(env!("CARGO_BIN_EXE_berylpind"))
            .arg("--config")
            .arg(settings_file(file_name, &text))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let process = Self { child, callers, admin, _ports: ports };
        process.wait_ready().await;
        process
    }

    async fn wait_ready(&self) {
        let url = format!("http://{}/ready", self.admin);
        let ready = async {
            let client = caller_client();
            while !client.get(&url).send().await.is_ok_and(|r| r.status().is_success()) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(PROCESS_TIMEOUT, ready).await.expect("the daemon becomes ready");
    }

    /// Sends a signal, named as an option of `kill`.
    fn signal(&self, option: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([option, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Returns whether the process ends within [`PROCESS_TIMEOUT`] with exit status 0.
    async fn exits_successfully(&mut self) -> bool {
        let deadline = Instant::now() + PROCESS_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

fn settings_file(file_name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file_name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts a platform with one service of two replicas.
async fn start_standins() -> (Platform, Vec<Upstream>, Document) {
    let platform = Platform::start().await.unwrap();
    let site = Site::by_name("rizzo").unwrap();
    let group = site.groups.iter().find(|group| group.name == "faculty-portal").unwrap();
    let mut document = group.document(0);
    let mut upstreams = Vec::new();
    for seed in 0..2 {
        let upstream = Upstream::start(group.upstream, SNAPSHOTS, seed).await.unwrap();
        let address = upstream.address();
        document.replicas.push(DocumentReplica { address, data_centre: "palermo-1", drain: false });
        upstreams.push(upstream);
    }
    platform.store(&format!("{SERVICE_PREFIX}{}", document.service), &document.to_string());
    (platform, upstreams, document)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_complete_after_sigterm_under_load() {
    let (platform, _upstreams, document) = start_standins().await;
    let mut process = Process::start("sigterm.toml", &platform).await;
    let balancer = Balancer::default();
    balancer.set_entry(0, Some(process.callers));
    let layout: Layout = vec![(document.service.clone(), FIRST_SHARD.to_owned())];
    let stream = QueryStream {
        rank: Rank::Standard,
        target: document.service,
        rate: 150.0,
        deadline: Duration::from_secs(10),
        client_delay: Duration::ZERO,
        layouts: [layout].into(),
    };
    let end = Instant::now() + Duration::from_secs(2);
    let caller = (balancer.clone(), caller_client());
    let load = tokio::spawn(drive_queries(caller, (0, stream), end, 1, |_| 1.0));
    sleep(Duration::from_secs(1)).await;
    let url = format!("http://{}/metrics", process.admin);
    let page = caller_client().get(url).send().await.unwrap().text().await.unwrap();
    for metric in ["queue_delay_seconds", "revision_in_force", "platform_calls_total"] {
        assert!(page.contains(&format!("berylpin_{metric}")), "{metric} is missing:\n{page}");
    }
    process.signal("-TERM");
    sleep(BALANCER_DELAY).await;
    balancer.set_entry(0, None);
    assert!(process.exits_successfully().await, "the daemon did not exit with status 0");
    let samples = load.await.unwrap();
    assert!(samples.len() > 50, "{} requests were sent", samples.len());
    for sample in &samples {
        assert_eq!(sample.outcome, Outcome::Complete, "{sample:?}");
        assert_eq!(sample.violations.total(), 0, "{sample:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_names_the_malformed_value_or_the_unknown_target() {
    let (platform, _upstreams, _) = start_standins().await;
    let process = Process::start("bad-request.toml", &platform).await;
    let query = async |body: &'static str| {
        let url = format!("http://{}/v1/query", process.callers);
        let response = caller_client().post(url).body(body).send().await.unwrap();
        (response.status().as_u16(), response.text().await.unwrap())
    };
    let (status, text) = query("{\"target\": \"faculty-portal\",\n \"rank\": \"soon\"}").await;
    assert_eq!(status, 400);
    assert!(text.contains("line 2") && text.contains("soon") && text.contains("not_run"), "{text}");
    let (status, text) =
        query("{\"target\": \"quota\", \"rank\": \"urgent\", \"lookup\": \"\"}").await;
    assert_eq!(status, 404);
    assert!(text.contains("`quota`") && text.contains("not_run"), "{text}");
}

/// SIGHUP, which operators send after a change of settings, ended the daemon without an answer to the
/// requests in progress.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_does_not_end_the_daemon() {
    let (platform, _upstreams, _) = start_standins().await;
    let mut process = Process::start("sighup.toml", &platform).await;
    process.signal("-HUP");
    process.wait_ready().await;
    process.signal("-TERM");
    assert!(process.exits_successfully().await, "the daemon did not exit with status 0");
}

#[test]
fn invalid_settings_file_is_rejected_with_positions() {
    let path = settings_file("bad.toml", "name = \"entry-1\"\nregion = 7\n");
    let output: Output =
        Command::new(env!("CARGO_BIN_EXE_berylpind")).arg("--config").arg(&path).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("bad.toml: line 2: region: "), "{stderr}");
    assert!(stderr.contains("data_centre"), "{stderr}");
}
