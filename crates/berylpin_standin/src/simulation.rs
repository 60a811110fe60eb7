//! Discrete-event simulation of the control state of many daemons, their network and the platform.
//!
//! The simulation uses no threads, sockets or real clock, so a test can run any number of daemons,
//! and runs with the same seed are identical.

mod network;

use berylpin_core::control::{
    Action, Controller, Event, ListedVm, MemberReport, MemberState, VersionedDocument, View,
};
use berylpin_core::ids::MemberTag;
use berylpin_wire::frame::{Frame, encode};
use bytes::BytesMut;
use network::Network;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Latency of the platform's answers.
const PLATFORM_RESPONSE_TIME: Duration = Duration::from_millis(5);

/// Index of a daemon in a simulation.
pub type NodeIndex = usize;

/// Messages and calls of a daemon since the start of the simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent to other daemons.
    pub messages: u64,
    /// Bytes of those messages, encoded as on a link.
    pub bytes: u64,
    /// Calls to the platform; a watch counts once when it starts and once for each result.
    pub platform_calls: u64,
}

/// Simulated daemons with their network and platform, in virtual time.
#[derive(Debug)]
pub struct Simulation {
    start: Instant,
    now: Instant,
    nodes: Vec<Node>,
    network: Network,
    /// Revision of the platform.
    revision: u64,
    /// Sorted by name.
    documents: Vec<VersionedDocument>,
    seed: u64,
}

#[derive(Debug)]
struct Node {
    report: MemberReport,
    seeds: Vec<SocketAddr>,
    /// `None` while the daemon does not run.
    controller: Option<Controller>,
    /// When the next timer of the controller expires.
    next_tick: Instant,
    /// Nodes of different partitions cannot reach each other.
    partition: u32,
    platform_reachable: bool,
    /// Timers and received events are deferred until this time.
    paused_until: Instant,
    /// Whether the daemon watches the documents of the platform.
    watching: bool,
    leaving: bool,
    traffic: Traffic,
    /// Views published since the start of the simulation.
    published_views: u64,
}

impl Simulation {
    /// Starts daemons, distributed evenly over data centres.
    pub fn new(daemons: usize, data_centres: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            start: now,
            now,
            nodes: Vec::new(),
            network: Network::new(seed),
            revision: 0,
            documents: Vec::new(),
            seed,
        };
        for index in 0..daemons {
            let report = MemberReport {
                name: format!("entry-{index}").into(),
                data_centre: format!("dc-{}", index % data_centres).into(),
                peer_address: node_address(index),
                incarnation: 1,
                state: MemberState::Alive,
            };
            simulation.nodes.push(Node {
                report,
                seeds: Vec::new(),
                controller: None,
                next_tick: now,
                partition: 0,
                platform_reachable: true,
                paused_until: now,
                watching: false,
                leaving: false,
                traffic: Traffic::default(),
                published_views: 0,
            });
            simulation.restart(index);
        }
        simulation
    }

    /// Returns the virtual time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Returns the controller of a daemon; `None` if it does not run.
    pub fn controller(&self, node: NodeIndex) -> Option<&Controller> {
        self.nodes[node].controller.as_ref()
    }

    /// Iterates over the daemons that run.
    pub fn running(&self) -> impl Iterator<Item = (NodeIndex, &Controller)> {
        let controllers = self.nodes.iter().enumerate();
        controllers.filter_map(|(index, node)| Some((index, node.controller.as_ref()?)))
    }

    /// Returns the tag of a daemon.
    pub fn tag(&self, node: NodeIndex) -> MemberTag {
        self.nodes[node].report.tag()
    }

    /// Returns the newest view of a daemon; `None` if it does not run.
    pub fn view(&self, node: NodeIndex) -> Option<&View> {
        self.controller(node).map(|controller| &**controller.view())
    }

    /// Returns the messages and calls of a daemon.
    pub fn traffic(&self, node: NodeIndex) -> Traffic {
        self.nodes[node].traffic
    }

    /// Returns the platform's revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Stores a document, or deletes it if `text` is `None`; daemons that watch receive the change.
    pub fn store(&mut self, name: &str, text: Option<&str>) {
        self.revision += 1;
        self.documents.retain(|document| &*document.name != name);
        if let Some(text) = text {
            let index = self.documents.partition_point(|document| &*document.name < name);
            let (version, text) = (self.revision, text.into());
            let document =
                VersionedDocument { name: name.into(), version, text, editor: "test".into() };
            self.documents.insert(index, document);
        }
        for node in 0..self.nodes.len() {
            self.send_documents(node);
        }
    }

    /// Kills a daemon; its peers receive link failures unless `silently`, as when its VM is lost.
    pub fn kill(&mut self, node: NodeIndex, silently: bool) {
        self.nodes[node].controller = None;
        if silently {
            return;
        }
        let down = self.nodes[node].report.peer_address;
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        for other in others.collect::<Vec<_>>() {
            let at = self.now + self.network.delay();
            self.network.push(at, other, Event::LinkDown(down));
        }
    }

    /// Starts a daemon with a new incarnation and empty state.
    pub fn restart(&mut self, node: NodeIndex) {
        let state = &mut self.nodes[node];
        // Exceeds the increments by which the daemon refuted reports before the restart.
        state.report.incarnation += 1_000;
        state.leaving = false;
        state.watching = false;
        state.paused_until = self.now;
        state.next_tick = self.now;
        let seed = self.seed ^ (node as u64) << 20 ^ state.report.incarnation;
        let (report, seeds) = (state.report.clone(), state.seeds.clone());
        state.controller = Some(Controller::new(report, seeds, seed, self.now));
    }

    /// Sets the seed peers that a daemon uses from its next restart.
    pub fn set_seeds(&mut self, node: NodeIndex, seeds: &[NodeIndex]) {
        self.nodes[node].seeds = seeds.iter().map(|seed| node_address(*seed)).collect();
    }

    /// Makes a daemon leave gracefully.
    pub fn leave(&mut self, node: NodeIndex) {
        self.nodes[node].leaving = true;
        self.handle_event(node, Event::Leave);
    }

    /// Suspends a daemon for a duration, as a paused process.
    pub fn pause(&mut self, node: NodeIndex, duration: Duration) {
        self.nodes[node].paused_until = self.now + duration;
    }

    /// Moves a daemon to a network partition; daemons reach only those of their own partition.
    pub fn set_partition(&mut self, node: NodeIndex, partition: u32) {
        self.nodes[node].partition = partition;
    }

    /// Cuts or heals the path between a daemon and the platform.
    pub fn set_platform_reachable(&mut self, node: NodeIndex, reachable: bool) {
        self.nodes[node].platform_reachable = reachable;
        self.send_documents(node);
    }

    /// Advances the time by a duration and handles all events in between.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((at, node, event)) = self.next_event(end) {
            self.now = self.now.max(at);
            self.handle_event(node, event);
        }
        self.now = end;
    }

    /// Advances the time until a condition holds and returns how long that took; `None` on timeout.
    pub fn run_until<F>(&mut self, timeout: Duration, mut condition: F) -> Option<Duration>
    where
        F: FnMut(&Self) -> bool,
    {
        /// Time between two evaluations of the condition.
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let start = self.now;
        while self.now < start + timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run_for(POLL_INTERVAL);
        }
        None
    }

    fn next_event(&mut self, end: Instant) -> Option<(Instant, NodeIndex, Event)> {
        let running = self.nodes.iter().enumerate().filter(|(_, node)| node.controller.is_some());
        let timers = running.map(|(index, node)| (node.next_tick.max(node.paused_until), index));
        let timer = timers.min().filter(|(at, _)| *at <= end);
        let arrival = self.network.next_arrival().filter(|at| *at <= end);
        match (timer, arrival) {
            (Some((at, _)), Some(arrival)) if arrival <= at => self.network.pop(),
            (Some((at, node)), _) => Some((at, node, Event::Tick)),
            (None, Some(_)) => self.network.pop(),
            (None, None) => None,
        }
    }

    fn handle_event(&mut self, node: NodeIndex, event: Event) {
        let now = self.now;
        let state = &mut self.nodes[node];
        if now < state.paused_until {
            return self.network.push(state.paused_until, node, event);
        }
        let Some(controller) = &mut state.controller else { return };
        let mut actions = Vec::new();
        controller.handle(now, event, &mut actions);
        state.next_tick = controller.next_timer();
        for action in actions {
            self.apply_action(node, action);
        }
    }

    fn apply_action(&mut self, node: NodeIndex, action: Action) {
        match action {
            Action::Send(to, message) => {
                let mut buf = BytesMut::new();
                encode(&Frame::Control(Box::new(message.clone())), &mut buf);
                let traffic = &mut self.nodes[node].traffic;
                traffic.messages += 1;
                traffic.bytes += buf.len() as u64;
                let Some(to) = self.reachable_node(node, to) else { return };
                let at = self.now + self.network.delay();
                self.network.push(at, to, Event::Message(self.tag(node), message));
            }
            Action::Watch(watching) => {
                self.nodes[node].watching = watching;
                if watching {
                    self.nodes[node].traffic.platform_calls += 1;
                    self.send_documents(node);
                }
            }
            Action::ReadVms => self.send_vms(node),
            Action::Publish(_) => self.nodes[node].published_views += 1,
            Action::Rejected(_) | Action::Log(_) => {}
        }
    }

    /// Returns the daemon with a peer address if it is in the sender's partition.
    fn reachable_node(&self, from: NodeIndex, to: SocketAddr) -> Option<NodeIndex> {
        let to = self.nodes.iter().position(|node| node.report.peer_address == to)?;
        (self.nodes[from].partition == self.nodes[to].partition).then_some(to)
    }

    /// Sends all documents to a daemon that watches them and holds an older revision.
    fn send_documents(&mut self, node: NodeIndex) {
        let state = &mut self.nodes[node];
        let Some(controller) = &state.controller else { return };
        let outdated = controller.documents().revision() < self.revision;
        if state.watching && state.platform_reachable && outdated {
            state.traffic.platform_calls += 1;
            let event = Event::Documents(self.revision, self.documents.clone());
            self.network.push(self.now + PLATFORM_RESPONSE_TIME, node, event);
        }
    }

    /// Sends the VM list to a daemon that reads it.
    fn send_vms(&mut self, node: NodeIndex) {
        self.nodes[node].traffic.platform_calls += 1;
        if !self.nodes[node].platform_reachable {
            return;
        }
        let listed = |node: &Node| ListedVm {
            name: node.report.name.clone(),
            peer_address: node.report.peer_address,
            leaving: node.leaving,
        };
        let vms = self.nodes.iter().map(listed).collect();
        self.network.push(self.now + PLATFORM_RESPONSE_TIME, node, Event::Vms(vms));
    }
}

fn node_address(node: NodeIndex) -> SocketAddr {
    let [_, _, high, low] = (node as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7001))
}
