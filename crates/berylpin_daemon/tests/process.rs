//! The `berylpind` binary as its operators and callers meet it.

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

/// How long a daemon may take to start or to end.
const LIMIT: Duration = Duration::from_secs(30);

/// How long a stopping daemon reports not ready.
const STOP_NOTICE: Duration = Duration::from_millis(500);

/// How long the balancer takes to notice that.
const BALANCER_LAG: Duration = Duration::from_millis(100);

const SNAPSHOTS: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

/// A running `berylpind`; killed by its own id if a test fails.
struct Process {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
    /// Reserved as long as the process runs.
    _ports: ReservedPorts,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It has usually ended by then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    async fn start(name: &str, platform: &Platform) -> Self {
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
            .arg(settings_file(name, &text))
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
        timeout(LIMIT, ready).await.expect("the daemon becomes ready");
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(status.success());
    }

    async fn ends_well(&mut self) -> bool {
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            sleep(Duration::from_millis(20)).await;
        }
        false
    }
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
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
async fn sigterm_under_load_cuts_no_request() {
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
    let page = format!("http://{}/metrics", process.admin);
    let page = caller_client().get(page).send().await.unwrap().text().await.unwrap();
    for metric in ["queue_delay_seconds", "revision_in_force", "platform_calls_total"] {
        assert!(page.contains(&format!("berylpin_{metric}")), "{metric} is missing:\n{page}");
    }
    process.terminate();
    sleep(BALANCER_LAG).await;
    balancer.set_entry(0, None);
    assert!(process.ends_well().await, "the daemon ends with status 0");
    let samples = load.await.unwrap();
    assert!(samples.len() > 50, "{} requests were sent", samples.len());
    for sample in &samples {
        assert_eq!(sample.outcome, Outcome::Complete, "{sample:?}");
        assert_eq!(sample.violations.total(), 0, "{sample:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_bad_request_is_told_its_place() {
    let (platform, _upstreams, _) = start_standins().await;
    let process = Process::start("bad-request.toml", &platform).await;
    let told = async |body: &'static str| {
        let url = format!("http://{}/v1/query", process.callers);
        let response = caller_client().post(url).body(body).send().await.unwrap();
        (response.status().as_u16(), response.text().await.unwrap())
    };
    let (status, text) = told("{\"target\": \"faculty-portal\",\n \"rank\": \"soon\"}").await;
    assert_eq!(status, 400);
    assert!(text.contains("line 2") && text.contains("soon") && text.contains("not_run"), "{text}");
    let (status, text) =
        told("{\"target\": \"quota\", \"rank\": \"urgent\", \"lookup\": \"\"}").await;
    assert_eq!(status, 404);
    assert!(text.contains("`quota`") && text.contains("not_run"), "{text}");
}

#[test]
fn a_bad_settings_file_is_told_its_place() {
    let path = settings_file("bad.toml", "name = \"entry-1\"\nregion = 7\n");
    let output: Output =
        Command::new(env!("CARGO_BIN_EXE_berylpind")).arg("--config").arg(&path).output().unwrap();
    let told = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{told}");
    assert!(told.contains("bad.toml: line 2: region: "), "{told}");
    assert!(told.contains("data_centre"), "{told}");
}
