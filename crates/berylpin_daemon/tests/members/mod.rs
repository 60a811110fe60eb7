//! Daemons in the test process with a stand-in of the platform.

#![allow(dead_code, reason = "each test file uses only some items")]

use berylpin_daemon::{Daemon, DaemonSettings, SystemClock, discard_log};
use berylpin_standin::platform::Platform;
use berylpin_standin::ports::ReservedPorts;
use berylpin_wire::admin::MemberList;
use berylpin_wire::platform::Vm;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The token that operators authenticate with.
pub(crate) const TOKEN: &str = "admin-test-token";

/// Maximum time until an awaited condition holds.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a stopping daemon reports not ready.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// Daemons of one data centre with their platform.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) daemons: Vec<Daemon>,
    ports: ReservedPorts,
}

impl Fleet {
    /// Starts daemons that share one fleet key.
    pub(crate) async fn start(daemons: usize) -> Self {
        Self::start_with_keys(daemons, |_| "the-fleet-key-0000").await
    }

    /// Starts daemons with the fleet key that `fleet_key` returns for each index.
    pub(crate) async fn start_with_keys<F>(daemons: usize, fleet_key: F) -> Self
    where
        F: Fn(usize) -> &'static str,
    {
        let platform = Platform::start().await.unwrap();
        let mut ports = ReservedPorts::default();
        let settings: Vec<DaemonSettings> = (0..daemons)
            .map(|index| settings(index, fleet_key(index), platform.address(), &mut ports))
            .collect();
        let vm = |settings: &DaemonSettings| Vm {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peer_address: settings.peer_address,
            leaving: false,
        };
        platform.set_vms(settings.iter().map(vm).collect());
        let daemons = settings.into_iter().map(start_daemon).collect();
        Self { platform, daemons, ports }
    }

    /// Starts another daemon that is not in the VM list, but finds the others through the list.
    pub(crate) fn start_unlisted(&mut self, index: usize) {
        let settings =
            settings(index, "the-fleet-key-0000", self.platform.address(), &mut self.ports);
        self.daemons.push(start_daemon(settings));
    }

    /// Waits until a daemon is ready.
    pub(crate) async fn wait_ready(&self, daemon: usize) {
        let url = format!("http://{}/ready", self.daemons[daemon].settings().admin_address);
        wait_until("the daemon is ready", async || {
            reqwest::get(&url).await.is_ok_and(|response| response.status().is_success())
        })
        .await;
    }

    /// Returns the number of replicas that a daemon reports that it owns.
    pub(crate) async fn owned_replicas(&self, daemon: usize) -> u32 {
        let settings = self.daemons[daemon].settings();
        let url = format!("http://{}/v1/members", settings.admin_address);
        let request = reqwest::Client::new().get(url).bearer_auth(TOKEN);
        let list: MemberList = request.send().await.unwrap().json().await.unwrap();
        let own = list.members.into_iter().find(|member| member.name == settings.name);
        own.map_or(0, |member| member.owned_replicas)
    }

    /// Stops all daemons.
    pub(crate) async fn stop(self) {
        for daemon in self.daemons {
            tokio::task::spawn_blocking(|| daemon.stop()).await.unwrap();
        }
    }
}

fn start_daemon(settings: DaemonSettings) -> Daemon {
    Daemon::start(settings, Arc::new(SystemClock), discard_log()).unwrap()
}

fn settings(
    index: usize,
    fleet_key: &str,
    platform: SocketAddr,
    ports: &mut ReservedPorts,
) -> DaemonSettings {
    let mut reserve_address = || ports.reserve(Ipv4Addr::LOCALHOST).unwrap();
    DaemonSettings::builder()
        .name(&format!("entry-{index}"))
        .data_centre("palermo-1")
        .region("palermo")
        .caller_address(reserve_address())
        .peer_address(reserve_address())
        .admin_address(reserve_address())
        .platform(platform)
        .admin_token(TOKEN)
        .fleet_key(fleet_key)
        .threads(1)
        .stop_notice(STOP_NOTICE)
        .build()
        .unwrap()
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold in time.
pub(crate) async fn wait_until<F>(condition: &str, holds: F)
where
    F: AsyncFn() -> bool,
{
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !holds().await {
        assert!(
            Instant::now() < deadline,
            "timed out after {CONDITION_TIMEOUT:?} waiting until {condition}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns a document of one shard with `replicas` replicas.
pub(crate) fn document(name: &str, replicas: usize) -> String {
    let mut text = format!("service = \"{name}\"\n\n[[shard]]\nname = \"main\"\n");
    for replica in 0..replicas {
        let _ = write!(
            text,
            "\n[[shard.replica]]\naddress = \"127.0.0.1:{}\"\n\
             data_centre = \"palermo-1\"\nslots = 2\nconnections = 25\n",
            replica + 1
        );
    }
    text
}
