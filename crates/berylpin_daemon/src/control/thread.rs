//! The loop of the control thread.

use super::platform::Platform;
use crate::metrics::record_view;
use crate::settings::DaemonSettings;
use crate::traffic::{LinkFrame, Mail, Mailboxes, run_link};
use berylpin_core::arena::Arena;
use berylpin_core::config::ServiceSettings;
use berylpin_core::control::{Member, View};
use berylpin_core::ids::{Key, MemberId, MemberTag};
use berylpin_wire::platform::{ObjectList, Vm};
use slog::{Logger, info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::{interval, sleep};

/// How often the VM list is read.
const VM_INTERVAL: Duration = Duration::from_secs(1);

/// How long a failed watch rests before the next attempt.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Frames that wait for a link; more count as lost.
const LINK_QUEUE: usize = 8 * 1024;

/// What the control thread is made of.
pub(crate) struct ControlContext {
    pub(crate) settings: DaemonSettings,
    pub(crate) mailboxes: Mailboxes,
    /// The runtimes of the traffic threads, indexed by thread.
    pub(crate) runtimes: Vec<Handle>,
    pub(crate) view: watch::Sender<Arc<View>>,
    pub(crate) log: Logger,
}

/// Returns the view of a daemon that knows only itself.
pub(crate) fn initial_view(settings: &DaemonSettings) -> Arc<View> {
    let mut members = Arena::default();
    let own = members.push(Member {
        tag: MemberTag::of([settings.name.as_str()]),
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.peer_address,
        live: true,
    });
    Arc::new(View::new(0, own, members, Arc::default()))
}

/// Reads the platform and publishes views until the task is dropped.
pub(crate) async fn run_control(cx: ControlContext) {
    let platform = Platform::new(cx.settings.platform);
    let (lists_tx, mut lists) = mpsc::channel(1);
    tokio::spawn(watch_documents(platform.clone(), lists_tx, cx.log.clone()));
    let mut links: Vec<Option<mpsc::Sender<LinkFrame>>> = Vec::new();
    let mut vm_timer = interval(VM_INTERVAL);
    loop {
        let view = cx.view.borrow().clone();
        let next = tokio::select! {
            Some(list) = lists.recv() => Some(with_documents(&view, &list, &cx.log)),
            _ = vm_timer.tick() => match platform.vms().await {
                Ok(vms) => with_vms(&view, &vms),
                Err(e) => {
                    warn!(cx.log, "control: VM list unreadable"; "error" => %e);
                    None
                }
            },
        };
        if let Some(view) = next {
            info!(cx.log, "placement: view published"; "epoch" => view.epoch);
            publish(&cx, Arc::new(view), &mut links);
        }
    }
}

async fn watch_documents(platform: Platform, tx: mpsc::Sender<ObjectList>, log: Logger) {
    let mut revision = 0;
    loop {
        match platform.watch_documents(revision).await {
            Ok(list) if list.revision > revision => {
                revision = list.revision;
                if tx.send(list).await.is_err() {
                    return;
                }
            }
            Ok(_) => {}
            Err(e) => {
                warn!(log, "control: watch failed"; "error" => %e);
                sleep(WATCH_PAUSE).await;
            }
        }
    }
}

fn with_documents(view: &View, list: &ObjectList, log: &Logger) -> View {
    let mut documents = Vec::with_capacity(list.objects.len());
    for object in &list.objects {
        match ServiceSettings::parse(&object.value) {
            Ok(service) => documents.push(Arc::new(service)),
            Err(e) => {
                warn!(log, "control: document rejected"; "name" => &object.name, "error" => %e);
            }
        }
    }
    let topology = Arc::new(view.topology.with_documents(&documents));
    View::new(view.epoch + 1, view.own, view.members.clone(), topology)
}

fn with_vms(view: &View, vms: &[Vm]) -> Option<View> {
    let mut members = view.members.clone();
    for (id, member) in members.iter_mut() {
        member.live = id == view.own;
    }
    for vm in vms {
        let tag = MemberTag::of([vm.name.as_str()]);
        let id = match view.member(tag) {
            Some(id) => id,
            None => members.push(Member {
                tag,
                name: vm.name.clone(),
                data_centre: vm.data_centre.clone(),
                peer_address: vm.peer_address,
                live: false,
            }),
        };
        members[id].peer_address = vm.peer_address;
        members[id].live = !vm.leaving;
    }
    let changed = members.len() != view.members.len()
        || members.iter().any(|(id, member)| *member != view.members[id]);
    changed.then(|| View::new(view.epoch + 1, view.own, members, view.topology.clone()))
}

/// Hands a view to all threads, with a link to every member.
fn publish(cx: &ControlContext, view: Arc<View>, links: &mut Vec<Option<mpsc::Sender<LinkFrame>>>) {
    links.resize(view.members.len(), None);
    for (id, member) in view.members.iter() {
        let needed = id != view.own && member.live;
        if !needed {
            links[id.index()] = None;
        } else if links[id.index()].is_none() {
            links[id.index()] = Some(start_link(cx, &view, id));
        }
    }
    for mailbox in cx.mailboxes.iter() {
        mailbox.send(Mail::View { view: view.clone(), links: links.clone() });
    }
    record_view(&view);
    cx.view.send_replace(view);
}

fn start_link(cx: &ControlContext, view: &View, to: MemberId) -> mpsc::Sender<LinkFrame> {
    let (tx, rx) = mpsc::channel(LINK_QUEUE);
    let member = &view.members[to];
    let runtime = &cx.runtimes[to.index() % cx.runtimes.len()];
    let own = view.members[view.own].tag;
    let log = cx.log.clone();
    runtime.spawn(run_link(own, to, member.peer_address, cx.mailboxes.clone(), log, rx));
    tx
}
