//! Starts and stops daemons and stand-ins of one site in this process, on loopback addresses.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::SnapshotRange;
use berylpin_daemon::{Daemon, DaemonSettings, Log, SettingsError, StartError, SystemClock};
use berylpin_standin::checker::Layout;
use berylpin_standin::load::Balancer;
use berylpin_standin::net::{Net, Proxy, ProxyTarget, Zone};
use berylpin_standin::platform::Platform;
use berylpin_standin::ports::ReservedPorts;
use berylpin_standin::sites::{Document, DocumentReplica, GroupSpec, Site};
use berylpin_standin::upstream::Upstream;
use berylpin_wire::platform::{SERVICE_PREFIX, Vm};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// How long all daemons together may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How long the platform's list of VMs still contains a daemon that was stopped or killed.
const VM_LIST_LAG: Duration = Duration::from_secs(3);

/// How long daemons may take to shut down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Snapshots that upstreams serve at start.
const INITIAL_SNAPSHOTS: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

/// The service that shows by which version of its document each daemon routes.
///
/// Its sub-queries are excluded from all counts of work.
pub(crate) const CANARY: &str = "canary";

/// The last octet of a proxy's loopback address.
const PROXY_HOST: u8 = 200;

/// How long a stopping daemon reports not ready and still accepts requests.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// The token of the administration API of all daemons.
pub(crate) const ADMIN_TOKEN: &str = "bench-admin-token";

/// The key with which daemons authenticate to each other.
const FLEET_KEY: &str = "bench-fleet-key-0";

/// Why a testbed cannot start.
#[derive(Debug, Error)]
pub(crate) enum TestbedError {
    #[error("stand-in: {0}")]
    Standin(#[from] io::Error),
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    #[error("daemon: {0}")]
    Daemon(#[from] StartError),
    #[error("daemons are not ready after {READY_TIMEOUT:?}")]
    NotReady,
}

/// A stand-in of a replica, behind a proxy that models its network path.
pub(crate) struct Replica {
    pub(crate) service: String,
    pub(crate) group: &'static str,
    /// The replica's position within its service, from 0.
    pub(crate) number: usize,
    pub(crate) slots: u16,
    pub(crate) upstream: Arc<Upstream>,
    _proxy: Proxy,
}

/// A VM, its daemon and the proxy in front of the daemon's peer address.
pub(crate) struct DaemonHost {
    pub(crate) vm: Vm,
    zone: Zone,
    caller_address: SocketAddr,
    peer_listen_address: SocketAddr,
    admin_address: SocketAddr,
    /// When the daemon was stopped or killed; `None` before.
    stopped_at: Option<Instant>,
    /// `None` before the daemon starts and once it is stopped or killed.
    pub(crate) daemon: Option<Daemon>,
    _proxy: Proxy,
}

/// Daemons, stand-ins and the network of one site.
pub(crate) struct Testbed {
    pub(crate) net: Arc<Net>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) replicas: Vec<Replica>,
    /// The newest version of each service document that the testbed stored.
    pub(crate) documents: Vec<Document>,
    pub(crate) hosts: Vec<DaemonHost>,
    pub(crate) balancer: Balancer,
    log: Log,
    platform_proxy: Proxy,
    site: Site,
    /// Reserved ports, including those of stopped daemons.
    ports: ReservedPorts,
}

/// Work of all upstreams except those of [`CANARY`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TotalWork {
    /// Requests that completed, were cancelled or failed, less the completed executions.
    pub(crate) ran: u64,
    /// Time for which slots were held, summed over all slots.
    pub(crate) busy: Duration,
    /// Requests that arrived more than the grace period after the start of a drain.
    pub(crate) after_drain: u64,
    /// When the last request reached a draining upstream.
    pub(crate) last_drained_arrival: Option<Instant>,
}

impl Testbed {
    /// Starts the platform, all upstreams of a site and the given number of daemons.
    ///
    /// All daemons write to one log; `customize` changes each document before it is stored.
    pub(crate) async fn start<F>(
        site: &Site,
        daemons: usize,
        (seed, log): (u64, Log),
        customize: F,
    ) -> Result<Self, TestbedError>
    where
        F: Fn(&mut Document),
    {
        let net = Net::new(site.region_delay);
        let platform = Arc::new(Platform::start().await?);
        let max_connections = usize::MAX;
        let target = ProxyTarget {
            zone: Zone::PLATFORM,
            address: platform.address(),
            max_connections,
            count_bytes: true,
        };
        let platform_proxy = Proxy::start(net.clone(), PROXY_HOST, target).await?;
        let mut testbed = Self {
            net,
            platform,
            replicas: Vec::new(),
            documents: Vec::new(),
            hosts: Vec::new(),
            balancer: Balancer::default(),
            log,
            platform_proxy,
            site: site.clone(),
            ports: ReservedPorts::default(),
        };
        for group in &site.groups {
            for index in 0..group.services {
                let mut document = testbed.start_service(group, index, seed).await?;
                customize(&mut document);
                testbed.documents.push(document);
                testbed.store_document(testbed.documents.len() - 1);
            }
        }
        for index in 0..daemons {
            let host = testbed.allocate_host(index % site.data_centres.len()).await?;
            testbed.hosts.push(host);
        }
        testbed.publish_vms();
        for index in 0..daemons {
            testbed.start_daemon(index)?;
        }
        Ok(testbed)
    }

    /// Starts the upstreams of a service and returns its document.
    async fn start_service(
        &mut self,
        group: &GroupSpec,
        index: usize,
        seed: u64,
    ) -> Result<Document, TestbedError> {
        let service = group.service_name(index);
        let mut document = group.document(index);
        for number in 0..group.replicas {
            let seed = seed.wrapping_add(self.replicas.len() as u64);
            let upstream = Upstream::start(group.upstream, INITIAL_SNAPSHOTS, seed).await?;
            let upstream = Arc::new(upstream);
            let data_centre = (index + number) % self.site.data_centres.len();
            let target = ProxyTarget {
                zone: Zone(data_centre as u8),
                address: upstream.address(),
                max_connections: group.connections.into(),
                count_bytes: false,
            };
            let proxy = Proxy::start(self.net.clone(), PROXY_HOST, target).await?;
            document.replicas.push(DocumentReplica {
                address: proxy.address(),
                data_centre: self.site.data_centres[data_centre],
                drain: false,
            });
            let (service, slots) = (service.clone(), group.upstream.slots);
            self.replicas.push(Replica {
                service,
                group: group.name,
                number,
                slots,
                upstream,
                _proxy: proxy,
            });
        }
        Ok(document)
    }

    /// Stores a document on the platform without a check of the version.
    pub(crate) fn store_document(&self, index: usize) {
        let document = &self.documents[index];
        self.platform
            .store(&format!("{SERVICE_PREFIX}{}", document.service), &document.to_string());
    }

    /// Reserves the addresses of a VM and starts its proxy, but not its daemon.
    async fn allocate_host(&mut self, data_centre: usize) -> Result<DaemonHost, TestbedError> {
        let index = self.hosts.len();
        let zone = Zone(data_centre as u8);
        let ip = zone.address(index as u8 + 1);
        let address = self.ports.reserve(ip)?;
        let target = ProxyTarget { zone, address, max_connections: usize::MAX, count_bytes: true };
        let proxy = Proxy::start(self.net.clone(), PROXY_HOST, target).await?;
        let vm = Vm {
            name: format!("entry-{}", index + 1),
            data_centre: self.site.data_centres[data_centre].to_owned(),
            peer_address: proxy.address(),
            leaving: false,
        };
        Ok(DaemonHost {
            vm,
            zone,
            caller_address: self.ports.reserve(ip)?,
            admin_address: self.ports.reserve(ip)?,
            stopped_at: None,
            daemon: None,
            peer_listen_address: address,
            _proxy: proxy,
        })
    }

    fn start_daemon(&mut self, index: usize) -> Result<(), TestbedError> {
        let platform = self.platform_proxy.address();
        let host = &mut self.hosts[index];
        let settings = DaemonSettings::builder()
            .name(&host.vm.name)
            .data_centre(&host.vm.data_centre)
            .region(host.vm.data_centre.trim_end_matches("-1"))
            .caller_address(host.caller_address)
            .peer_address(host.vm.peer_address)
            .peer_listen_address(host.peer_listen_address)
            .admin_address(host.admin_address)
            .platform(platform)
            .admin_token(ADMIN_TOKEN)
            .fleet_key(FLEET_KEY)
            .stop_notice(STOP_NOTICE)
            .build()?;
        host.daemon = Some(Daemon::start(settings, Arc::new(SystemClock), self.log.clone())?);
        self.balancer.set_entry(index, Some(host.caller_address));
        Ok(())
    }

    /// Starts another daemon in the data centre of an existing one.
    pub(crate) async fn add_daemon(&mut self, sibling: usize) -> Result<(), TestbedError> {
        let zone = self.hosts[sibling].zone;
        let host = self.allocate_host(zone.0.into()).await?;
        self.hosts.push(host);
        self.publish_vms();
        self.start_daemon(self.hosts.len() - 1)
    }

    /// Stops a daemon gracefully, or kills it.
    ///
    /// The returned task completes when the daemon has shut down; `None` if it does not run.
    pub(crate) fn stop_daemon(&mut self, index: usize, graceful: bool) -> Option<JoinHandle<()>> {
        let daemon = self.hosts[index].daemon.take()?;
        let host = &mut self.hosts[index];
        host.vm.leaving = graceful;
        host.stopped_at = Some(Instant::now());
        let (platform, name) = (self.platform.clone(), host.vm.name.clone());
        self.publish_vms();
        tokio::spawn(async move {
            sleep(VM_LIST_LAG).await;
            platform.remove_vm(&name);
        });
        let shut_down = move || if graceful { daemon.stop() } else { daemon.kill() };
        Some(tokio::task::spawn_blocking(shut_down))
    }

    /// Publishes the list of VMs on the platform; stopped ones are listed for [`VM_LIST_LAG`].
    pub(crate) fn publish_vms(&self) {
        let listed =
            |host: &&DaemonHost| host.stopped_at.is_none_or(|at| at.elapsed() < VM_LIST_LAG);
        let vms = self.hosts.iter().filter(listed).map(|host| host.vm.clone());
        self.platform.set_vms(vms.collect());
    }

    /// Polls the readiness endpoint of each running daemon until all are ready.
    pub(crate) async fn wait_ready(&self) -> Result<(), TestbedError> {
        let client = reqwest::Client::new();
        let deadline = Instant::now() + READY_TIMEOUT;
        for host in self.hosts.iter().filter(|host| host.daemon.is_some()) {
            let url = format!("http://{}/ready", host.admin_address);
            loop {
                let response = client.get(&url).send().await;
                if response.is_ok_and(|response| response.status().is_success()) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(TestbedError::NotReady);
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the index and the caller address of each running daemon.
    pub(crate) fn caller_addresses(&self) -> impl Iterator<Item = (usize, SocketAddr)> {
        let running = self.hosts.iter().enumerate().filter(|(_, host)| host.daemon.is_some());
        running.map(|(index, host)| (index, host.caller_address))
    }

    /// Returns the administration address of each running daemon.
    pub(crate) fn admin_addresses(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter(|host| host.daemon.is_some());
        running.map(|host| host.admin_address).collect()
    }

    /// Returns the work of all upstreams but the canary's, as counted by the stand-ins.
    pub(crate) fn total_work(&self) -> TotalWork {
        let mut total = TotalWork::default();
        for replica in self.replicas.iter().filter(|replica| replica.group != CANARY) {
            let work = replica.upstream.work();
            let executions = replica.upstream.ledger().entries().len() as u64;
            total.ran += work.ran + work.cancelled + work.failed - executions;
            total.busy += work.busy;
            total.after_drain += work.after_drain;
            total.last_drained_arrival = total.last_drained_arrival.max(work.last_drained_arrival);
        }
        total
    }

    /// Stops all daemons gracefully, then drops the stand-ins.
    pub(crate) async fn stop(mut self) {
        let indexes: Vec<usize> = self.caller_addresses().map(|(index, _)| index).collect();
        let shutdowns = indexes.into_iter().filter_map(|index| self.stop_daemon(index, true));
        wait_for_shutdowns(shutdowns.collect()).await;
    }
}

/// Waits for daemons to shut down, for at most [`SHUTDOWN_TIMEOUT`].
pub(crate) async fn wait_for_shutdowns(shutdowns: Vec<JoinHandle<()>>) {
    let all = async {
        for shutdown in shutdowns {
            // Fails only if the shutdown panicked, and the panic hook has already printed why.
            let _ = shutdown.await;
        }
    };
    if timeout(SHUTDOWN_TIMEOUT, all).await.is_err() {
        eprintln!("a daemon did not shut down within {SHUTDOWN_TIMEOUT:?}");
    }
}

fn matches_target(document: &Document, target: &str) -> bool {
    document.service == target || document.group == target
}

/// Returns the shards of a service or group, as the documents list them; sorted.
pub(crate) fn layout(documents: &[Document], target: &str) -> Layout {
    let mut layout = Layout::new();
    for document in documents.iter().filter(|document| matches_target(document, target)) {
        let shards = document.shards.iter();
        layout.extend(shards.map(|shard| (document.service.clone(), shard.clone())));
    }
    layout.sort_unstable();
    layout
}
