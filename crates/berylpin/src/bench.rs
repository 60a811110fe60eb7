//! Daemons and stand-ins of one site on loopback.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::SnapshotRange;
use berylpin_daemon::{
    Daemon, DaemonSettings, SettingsError, StartError, SystemClock, discard_log,
};
use berylpin_standin::platform::Platform;
use berylpin_standin::sites::Site;
use berylpin_standin::upstream::{Upstream, Work};
use berylpin_wire::platform::{SERVICE_PREFIX, Vm};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};

/// How long daemons may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// The snapshots that upstreams serve at first.
const FIRST_SNAPSHOTS: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

/// How long stopping daemons report not ready.
const STOP_NOTICE: Duration = Duration::from_millis(100);

/// What operators of a bench authenticate with.
const ADMIN_TOKEN: &str = "bench-admin-token";

/// What the daemons of a bench authenticate to each other with.
const FLEET_KEY: &str = "bench-fleet-key-0";

/// Why a bench does not start.
#[derive(Debug, Error)]
pub(crate) enum BenchError {
    #[error("stand-in: {0}")]
    Standin(#[from] io::Error),
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    #[error("daemon: {0}")]
    Daemon(#[from] StartError),
    #[error("daemons are not ready after {READY_LIMIT:?}")]
    NotReady,
}

/// Daemons and stand-ins of one site on loopback.
pub(crate) struct Bench {
    platform: Platform,
    upstreams: Vec<Upstream>,
    daemons: Vec<Daemon>,
}

/// Work of all upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TotalWork {
    pub(crate) ran: u64,
    pub(crate) cancelled: u64,
}

impl TotalWork {
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self { ran: self.ran - earlier.ran, cancelled: self.cancelled - earlier.cancelled }
    }
}

impl Bench {
    /// Starts the platform, all upstreams of a site and as many daemons.
    pub(crate) async fn start(site: &Site, daemons: usize, seed: u64) -> Result<Self, BenchError> {
        let platform = Platform::start().await?;
        let mut upstreams = Vec::new();
        for group in &site.groups {
            for index in 0..group.services {
                let mut replicas = Vec::new();
                for number in 0..group.replicas {
                    let seed = seed.wrapping_add(upstreams.len() as u64);
                    let upstream = Upstream::start(group.upstream, FIRST_SNAPSHOTS, seed).await?;
                    let data_centre = site.data_centres[(index + number) % 3];
                    replicas.push((upstream.address(), data_centre));
                    upstreams.push(upstream);
                }
                let name = format!("{SERVICE_PREFIX}{}", group.service_name(index));
                platform.store(&name, &group.document(index, &replicas));
            }
        }
        let settings = daemon_settings(site, daemons, platform.address())?;
        platform.set_vms(settings.iter().map(vm_of).collect());
        let start = |settings| Daemon::start(settings, Arc::new(SystemClock), discard_log());
        let daemons = settings.into_iter().map(start).collect::<Result<Vec<_>, _>>()?;
        Ok(Self { platform, upstreams, daemons })
    }

    /// Waits until all daemons are ready.
    pub(crate) async fn wait_ready(&self) -> Result<(), BenchError> {
        let client = reqwest::Client::new();
        let limit = Instant::now() + READY_LIMIT;
        for daemon in &self.daemons {
            let url = format!("http://{}/ready", daemon.settings().admin_address);
            loop {
                let response = client.get(&url).send().await;
                if response.is_ok_and(|response| response.status().is_success()) {
                    break;
                }
                if Instant::now() > limit {
                    return Err(BenchError::NotReady);
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns where callers connect.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings().caller_address).collect()
    }

    /// Returns the work of all upstreams, from their own record.
    pub(crate) fn work(&self) -> TotalWork {
        let mut total = TotalWork::default();
        for Work { ran, cancelled, .. } in self.upstreams.iter().map(Upstream::work) {
            total.ran += ran;
            total.cancelled += cancelled;
        }
        total
    }

    /// Stops all daemons gracefully, then the stand-ins.
    pub(crate) async fn stop(self) {
        let stops = self.daemons.into_iter().map(|d| tokio::task::spawn_blocking(|| d.stop()));
        for stop in stops.collect::<Vec<_>>() {
            // A daemon that panicked has already said so.
            let _ = stop.await;
        }
        drop(self.platform);
    }
}

fn daemon_settings(
    site: &Site,
    daemons: usize,
    platform: SocketAddr,
) -> Result<Vec<DaemonSettings>, BenchError> {
    let mut all = Vec::new();
    for index in 0..daemons {
        let data_centre = site.data_centres[index % site.data_centres.len()];
        let settings = DaemonSettings::builder()
            .name(&format!("entry-{}", index + 1))
            .data_centre(data_centre)
            .region(data_centre.trim_end_matches("-1"))
            .caller_address(free_address()?)
            .peer_address(free_address()?)
            .admin_address(free_address()?)
            .platform(platform)
            .admin_token(ADMIN_TOKEN)
            .fleet_key(FLEET_KEY)
            .stop_notice(STOP_NOTICE)
            .build()?;
        all.push(settings);
    }
    Ok(all)
}

/// Returns an address whose port was free a moment ago.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

fn vm_of(settings: &DaemonSettings) -> Vm {
    Vm {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.peer_address,
        leaving: false,
    }
}
