//! The event loop of the control thread.

use super::links::Links;
use super::mailbox::{ControlMail, ControlMailbox};
use super::watch::{read_vms, watch_documents};
use crate::logging::{Log, log_decision};
use crate::metrics::{count_decision, record_view};
use crate::platform::Platform;
use crate::settings::DaemonSettings;
use crate::traffic::{Mail, Mailboxes};
use berylpin_core::clock::Clock;
use berylpin_core::control::{Action, Controller, Event, MemberReport, MemberState, View};
use slog::warn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::UNIX_EPOCH;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

/// Maximum number of queued messages handled after a wake-up before the timers are checked.
const MAX_MAIL_BATCH: usize = 256;

/// The settings and handles of the control thread.
pub(crate) struct ControlContext {
    pub(crate) settings: DaemonSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) mailboxes: Mailboxes,
    /// The mailbox of the control thread.
    pub(crate) mailbox: ControlMailbox,
    /// The runtimes of the traffic threads, indexed by thread.
    pub(crate) runtimes: Vec<Handle>,
    pub(crate) view: watch::Sender<Arc<View>>,
    /// Set once the view contains the other daemons, or after the join timeout; never cleared.
    pub(crate) joined: Arc<AtomicBool>,
    pub(crate) log: Log,
}

/// Creates the control state of a daemon that knows no other daemon yet.
pub(crate) fn new_controller(
    settings: &DaemonSettings,
    clock: &dyn Clock,
    seed: u64,
) -> Controller {
    // The wall-clock time serves as the incarnation, so that each start of the daemon on a VM has a
    // higher one without any stored state.
    let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = MemberReport {
        name: settings.name.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        peer_address: settings.peer_address,
        incarnation: since_epoch.as_millis() as u64,
        state: MemberState::Alive,
    };
    Controller::new(own, settings.seeds.clone(), seed, clock.now())
}

struct ControlThread {
    cx: ControlContext,
    controller: Controller,
    links: Links,
    platform: Platform,
    /// The task that watches the documents of the platform, while this daemon is a watcher.
    watch: Option<JoinHandle<()>>,
    /// The latest task that reads the VM list.
    vm_read: Option<JoinHandle<()>>,
    actions: Vec<Action>,
}

/// Runs the control thread until it receives [`ControlMail::Stop`].
pub(crate) async fn run_control(
    cx: ControlContext,
    controller: Controller,
    mut rx: mpsc::Receiver<ControlMail>,
) {
    let settings = &cx.settings;
    let platform = Platform::new(settings.platform, settings.peer_listen_address.ip());
    let links = Links::new(
        cx.runtimes.clone(),
        settings.clone(),
        cx.mailboxes.clone(),
        cx.mailbox.clone(),
        cx.log.logger(),
    );
    let (watch, vm_read, actions) = (None, None, Vec::new());
    let mut thread = ControlThread { cx, controller, links, platform, watch, vm_read, actions };
    loop {
        let timer = sleep_until(thread.controller.next_timer().into());
        tokio::select! {
            biased;
            () = timer => {}
            mail = rx.recv() => match mail {
                None | Some(ControlMail::Stop) => break,
                Some(mail) => thread.handle(mail),
            },
        }
        for _ in 0..MAX_MAIL_BATCH {
            match rx.try_recv() {
                Ok(ControlMail::Stop) => return thread.abort_tasks(),
                Ok(mail) => thread.handle(mail),
                Err(_) => break,
            }
        }
        thread.handle_event(Event::Tick);
    }
    thread.abort_tasks();
}

impl ControlThread {
    fn handle(&mut self, mail: ControlMail) {
        match mail {
            ControlMail::PeerMessage(from, message) => {
                self.handle_event(Event::Message(from, *message));
            }
            ControlMail::LinkDown(address) => {
                self.send_link_down(address);
                self.handle_event(Event::LinkDown(address));
            }
            ControlMail::Documents(revision, documents) => {
                self.handle_event(Event::Documents(revision, documents));
            }
            ControlMail::Vms(vms) => self.handle_event(Event::Vms(vms)),
            ControlMail::CheckRevision(revision) => {
                self.handle_event(Event::CheckRevision(revision));
            }
            ControlMail::Inspect(read) => read(&self.controller),
            ControlMail::Leave => self.handle_event(Event::Leave),
            // `run_control` ends the thread instead of passing this message on.
            ControlMail::Stop => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.cx.clock.now();
        self.controller.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send(to, message) => self.links.send(now, to, message),
                Action::Publish(view) => self.publish(view),
                Action::Watch(watching) => self.set_watch(watching),
                Action::ReadVms => self.read_vms(),
                Action::Rejected(document) => {
                    let problems: Vec<_> =
                        document.problems.iter().map(ToString::to_string).collect();
                    warn!(self.cx.log, "control: document rejected"; "name" => &*document.name,
                        "version" => document.version, "problems" => problems.join("; "));
                }
                Action::Log(decision) => {
                    log_decision(&self.cx.log, &decision);
                    count_decision(&decision);
                }
            }
        }
        self.actions = actions;
        if self.controller.is_joined() {
            self.cx.joined.store(true, Ordering::Relaxed);
        }
    }

    /// Sends a view to all traffic threads, with the links to its members.
    fn publish(&mut self, view: Arc<View>) {
        let links = self.links.apply_view(self.cx.clock.now(), &view);
        for mailbox in self.cx.mailboxes.iter() {
            // A deferred view may arrive after a newer one; the thread then ignores it.
            mailbox.send_or_defer(Mail::View { view: view.clone(), links: links.clone() });
        }
        record_view(&view);
        self.cx.view.send_replace(view);
    }

    /// Notifies all traffic threads that the link to an address failed.
    fn send_link_down(&self, address: SocketAddr) {
        let view = self.controller.view();
        for (id, _) in view.members.iter().filter(|(_, member)| member.peer_address == address) {
            for mailbox in self.cx.mailboxes.iter() {
                mailbox.try_send(Mail::LinkDown(id));
            }
        }
    }

    fn set_watch(&mut self, watching: bool) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if watching {
            let (platform, control) = (self.platform.clone(), self.cx.mailbox.clone());
            let revision = self.controller.documents().revision();
            let watch = watch_documents(platform, control, revision, self.cx.log.logger());
            self.watch = Some(tokio::spawn(watch));
        }
    }

    fn read_vms(&mut self) {
        if self.vm_read.as_ref().is_some_and(|read| !read.is_finished()) {
            return;
        }
        let (platform, control, log) =
            (self.platform.clone(), self.cx.mailbox.clone(), self.cx.log.logger());
        self.vm_read = Some(tokio::spawn(async move {
            if let Err(e) = read_vms(platform, &control).await {
                warn!(log, "control: reading the VM list failed"; "error" => %e);
            }
        }));
    }

    fn abort_tasks(mut self) {
        self.set_watch(false);
        if let Some(read) = self.vm_read.take() {
            read.abort();
        }
    }
}
