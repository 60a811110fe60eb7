//! Daemons and stand-ins of one site on loopback.

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

/// How long daemons may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How long the list of VMs names a daemon that has ended.
const VM_LIST_LAG: Duration = Duration::from_secs(3);

/// How long daemons may take to end.
const END_LIMIT: Duration = Duration::from_secs(5);

/// The snapshots that upstreams serve at first.
const FIRST_SNAPSHOTS: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

/// The service that shows how far a document has spread; its work is no load.
pub(crate) const CANARY: &str = "canary";

/// The last byte of the addresses of proxies.
const PROXY_HOST: u8 = 200;
/// How long stopping daemons report not ready.
const STOP_NOTICE: Duration = Duration::from_millis(300);

/// What operators of a bench authenticate with.
pub(crate) const ADMIN_TOKEN: &str = "bench-admin-token";

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

/// A replica and the proxy in front of it.
pub(crate) struct Replica {
    pub(crate) service: String,
    pub(crate) group: &'static str,
    /// The position within its service.
    pub(crate) number: usize,
    pub(crate) slots: u16,
    pub(crate) upstream: Arc<Upstream>,
    _proxy: Proxy,
}

/// A daemon and the proxy in front of its links.
pub(crate) struct Entry {
    pub(crate) vm: Vm,
    zone: Zone,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    /// When it was told to end.
    ended: Option<Instant>,
    /// `None` once it has ended.
    pub(crate) daemon: Option<Daemon>,
    _proxy: Proxy,
}

/// Daemons and stand-ins of one site on loopback.
pub(crate) struct Bench {
    pub(crate) net: Arc<Net>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) replicas: Vec<Replica>,
    /// The documents as the operators last wrote them.
    pub(crate) documents: Vec<Document>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) balancer: Balancer,
    log: Log,
    platform_proxy: Proxy,
    site: Site,
    /// Ports of all daemons there ever were.
    ports: ReservedPorts,
}

/// Work of all upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TotalWork {
    /// Sub-queries, without executions, that ran to their end, were cancelled or failed.
    pub(crate) ran: u64,
    pub(crate) busy: Duration,
    pub(crate) after_drain: u64,
    /// When the last lookup reached a leaving upstream.
    pub(crate) last_drained_arrival: Option<Instant>,
}

impl Bench {
    /// Starts the platform, all upstreams of a site and as many daemons.
    ///
    /// All daemons write to one log; `edit` changes each document before it is stored.
    pub(crate) async fn start<F>(
        site: &Site,
        daemons: usize,
        (seed, log): (u64, Log),
        edit: F,
    ) -> Result<Self, BenchError>
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
        let mut bench = Self {
            net,
            platform,
            replicas: Vec::new(),
            documents: Vec::new(),
            entries: Vec::new(),
            balancer: Balancer::default(),
            log,
            platform_proxy,
            site: site.clone(),
            ports: ReservedPorts::default(),
        };
        for group in &site.groups {
            for index in 0..group.services {
                let mut document = bench.start_service(group, index, seed).await?;
                edit(&mut document);
                bench.documents.push(document);
                bench.store(bench.documents.len() - 1);
            }
        }
        for index in 0..daemons {
            let daemon = bench.prepare_daemon(index % site.data_centres.len()).await?;
            bench.entries.push(daemon);
        }
        bench.publish_vms();
        for index in 0..daemons {
            bench.run_daemon(index)?;
        }
        Ok(bench)
    }

    async fn start_service(
        &mut self,
        group: &GroupSpec,
        index: usize,
        seed: u64,
    ) -> Result<Document, BenchError> {
        let service = group.service_name(index);
        let mut document = group.document(index);
        for number in 0..group.replicas {
            let seed = seed.wrapping_add(self.replicas.len() as u64);
            let upstream = Upstream::start(group.upstream, FIRST_SNAPSHOTS, seed).await?;
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

    /// Stores a document whatever its version.
    pub(crate) fn store(&self, document: usize) {
        let document = &self.documents[document];
        self.platform
            .store(&format!("{SERVICE_PREFIX}{}", document.service), &document.to_string());
    }

    /// Names a VM and its addresses; its daemon does not run yet.
    async fn prepare_daemon(&mut self, data_centre: usize) -> Result<Entry, BenchError> {
        let index = self.entries.len();
        let zone = Zone(data_centre as u8);
        let host = zone.address(index as u8 + 1);
        let address = self.ports.reserve(host)?;
        let target = ProxyTarget { zone, address, max_connections: usize::MAX, count_bytes: true };
        let proxy = Proxy::start(self.net.clone(), PROXY_HOST, target).await?;
        let vm = Vm {
            name: format!("entry-{}", index + 1),
            data_centre: self.site.data_centres[data_centre].to_owned(),
            peer_address: proxy.address(),
            leaving: false,
        };
        Ok(Entry {
            vm,
            zone,
            caller_address: self.ports.reserve(host)?,
            admin_address: self.ports.reserve(host)?,
            ended: None,
            daemon: None,
            peer_address: address,
            _proxy: proxy,
        })
    }

    fn run_daemon(&mut self, index: usize) -> Result<(), BenchError> {
        let platform = self.platform_proxy.address();
        let entry = &mut self.entries[index];
        let settings = DaemonSettings::builder()
            .name(&entry.vm.name)
            .data_centre(&entry.vm.data_centre)
            .region(entry.vm.data_centre.trim_end_matches("-1"))
            .caller_address(entry.caller_address)
            .peer_address(entry.vm.peer_address)
            .peer_listen_address(entry.peer_address)
            .admin_address(entry.admin_address)
            .platform(platform)
            .admin_token(ADMIN_TOKEN)
            .fleet_key(FLEET_KEY)
            .stop_notice(STOP_NOTICE)
            .build()?;
        entry.daemon = Some(Daemon::start(settings, Arc::new(SystemClock), self.log.clone())?);
        self.balancer.set_entry(index, Some(entry.caller_address));
        Ok(())
    }

    /// Starts one more daemon beside a running one.
    pub(crate) async fn add_daemon(&mut self, beside: usize) -> Result<(), BenchError> {
        let zone = self.entries[beside].zone;
        let entry = self.prepare_daemon(zone.0.into()).await?;
        self.entries.push(entry);
        self.publish_vms();
        self.run_daemon(self.entries.len() - 1)
    }

    /// Ends a daemon, gracefully or at once; the task returns when it has ended.
    pub(crate) fn end_daemon(&mut self, index: usize, graceful: bool) -> Option<JoinHandle<()>> {
        let daemon = self.entries[index].daemon.take()?;
        let entry = &mut self.entries[index];
        entry.vm.leaving = graceful;
        entry.ended = Some(Instant::now());
        let (platform, name) = (self.platform.clone(), entry.vm.name.clone());
        self.publish_vms();
        tokio::spawn(async move {
            sleep(VM_LIST_LAG).await;
            platform.remove_vm(&name);
        });
        let end = move || if graceful { daemon.stop() } else { daemon.kill() };
        Some(tokio::task::spawn_blocking(end))
    }

    /// Hands the list of VMs to the platform.
    pub(crate) fn publish_vms(&self) {
        let listed = |entry: &&Entry| entry.ended.is_none_or(|at| at.elapsed() < VM_LIST_LAG);
        let vms = self.entries.iter().filter(listed).map(|entry| entry.vm.clone());
        self.platform.set_vms(vms.collect());
    }

    /// Waits until all daemons are ready.
    pub(crate) async fn wait_ready(&self) -> Result<(), BenchError> {
        let client = reqwest::Client::new();
        let limit = Instant::now() + READY_LIMIT;
        for entry in self.entries.iter().filter(|entry| entry.daemon.is_some()) {
            let url = format!("http://{}/ready", entry.admin_address);
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

    /// Returns where callers reach each daemon that runs.
    pub(crate) fn callers(&self) -> impl Iterator<Item = (usize, SocketAddr)> {
        let running = self.entries.iter().enumerate().filter(|(_, entry)| entry.daemon.is_some());
        running.map(|(index, entry)| (index, entry.caller_address))
    }

    /// Returns where operators reach each daemon that runs.
    pub(crate) fn admins(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().filter(|entry| entry.daemon.is_some());
        running.map(|entry| entry.admin_address).collect()
    }

    /// Returns the work of all upstreams, from their own record.
    pub(crate) fn work(&self) -> TotalWork {
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

    /// Stops all daemons gracefully, then the stand-ins.
    pub(crate) async fn stop(mut self) {
        let indexes: Vec<usize> = self.callers().map(|(index, _)| index).collect();
        let stops = indexes.into_iter().filter_map(|index| self.end_daemon(index, true));
        wait_for_ends(stops.collect()).await;
    }
}

/// Waits until daemons have ended, but not for ever.
pub(crate) async fn wait_for_ends(ends: Vec<JoinHandle<()>>) {
    let all = async {
        for end in ends {
            // A daemon that panicked has already said so.
            let _ = end.await;
        }
    };
    if timeout(END_LIMIT, all).await.is_err() {
        eprintln!("a daemon did not end within {END_LIMIT:?}");
    }
}

fn names(document: &Document, target: &str) -> bool {
    document.service == target || document.group == target
}

/// Returns the shards of a service or group in documents.
pub(crate) fn layout(documents: &[Document], target: &str) -> Layout {
    let mut layout = Layout::new();
    for document in documents.iter().filter(|document| names(document, target)) {
        let shards = document.shards.iter();
        layout.extend(shards.map(|shard| (document.service.clone(), shard.clone())));
    }
    layout.sort_unstable();
    layout
}
