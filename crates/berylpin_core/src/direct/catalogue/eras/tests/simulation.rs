//! A model of a store that is copied and restored, of replicas that write to it and of a daemon.

use super::*;
use proptest::prelude::*;

/// The number of names of replicas.
const REPLICAS: usize = 4;

/// The store removes an entry after this number of heartbeat intervals without a renewal.
const SILENT_HEARTBEATS: u32 = 3;

/// The replicas write this much one after the other once the store is back.
const WRITE_DELAY: Duration = Duration::from_millis(500);

/// A replica's process in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Gone,
    Ready,
    Draining,
}

#[derive(Clone, Debug)]
struct Process {
    state: ProcessState,
    started_ms: u64,
    sequence: u64,
    heartbeat_at: Instant,
}

/// The objects of the model's store.
#[derive(Clone, Debug)]
struct Contents {
    revision: u64,
    version: u64,
    /// The entries with the time of their last write.
    entries: Vec<(ReplicaEntry, Instant)>,
    /// The revision of each change with the new entry, or the name of the removed one.
    history: Vec<(u64, Result<ReplicaEntry, String>)>,
}

/// A step of the model.
#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Drain(usize),
    /// The process ends, and its entry is removed.
    Leave(usize),
    /// The process ends, and its entry stays until it is removed as silent.
    Crash(usize),
    Configure,
    Copy,
    Restore,
    /// The store is away for a while, in ms: no call and no write succeeds.
    Away(u64),
    /// Time passes, and the daemon calls the store.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..REPLICAS).prop_map(Step::Start),
        2 => (0..REPLICAS).prop_map(Step::Drain),
        2 => (0..REPLICAS).prop_map(Step::Leave),
        1 => (0..REPLICAS).prop_map(Step::Crash),
        1 => Just(Step::Configure),
        2 => Just(Step::Copy),
        1 => Just(Step::Restore),
        1 => (100u64..5000).prop_map(Step::Away),
        8 => (50u64..300).prop_map(Step::Pass),
    ]
}

/// A store that is copied and restored, the replicas that write to it, and a daemon.
struct Simulation {
    now: Instant,
    era: u64,
    /// Until when the store is away.
    away_until: Instant,
    contents: Contents,
    copy: Contents,
    processes: Vec<Process>,
    next_start: u64,
    catalogue: Catalogue,
    since: Option<StorePosition>,
    /// The name and start of processes that the daemon has used and stopped using.
    dropped: Vec<(String, u64)>,
    /// The name and start of processes in use.
    used: Vec<(String, u64)>,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let contents =
            Contents { revision: 9, version: 1, entries: Vec::new(), history: Vec::new() };
        let gone =
            Process { state: ProcessState::Gone, started_ms: 0, sequence: 0, heartbeat_at: now };
        let mut catalogue = catalogue("palermo-1", "palermo", 1, now);
        catalogue.set_replicas(Vec::new(), position(0, 1), now);
        Self {
            now,
            era: 0,
            away_until: now,
            copy: contents.clone(),
            contents,
            processes: vec![gone; REPLICAS],
            next_start: 1,
            catalogue,
            since: None,
            dropped: Vec::new(),
            used: Vec::new(),
        }
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Start(index) => self.start(*index),
            Step::Drain(index) if self.processes[*index].state == ProcessState::Ready => {
                self.processes[*index].state = ProcessState::Draining;
                self.write(*index);
            }
            Step::Leave(index) if self.processes[*index].state != ProcessState::Gone => {
                self.processes[*index].state = ProcessState::Gone;
                if !self.is_away() {
                    self.remove(&format!("r{index}"));
                }
            }
            Step::Crash(index) => self.processes[*index].state = ProcessState::Gone,
            Step::Configure => {
                self.contents.version += 1;
                self.contents.revision += 1;
            }
            Step::Copy => self.copy = self.contents.clone(),
            Step::Restore => self.restore(),
            Step::Away(ms) => self.away_until = self.now + Duration::from_millis(*ms),
            Step::Pass(ms) => self.pass(Duration::from_millis(*ms)),
            Step::Drain(_) | Step::Leave(_) => {}
        }
    }

    fn is_away(&self) -> bool {
        self.now < self.away_until
    }

    fn start(&mut self, index: usize) {
        if self.processes[index].state == ProcessState::Gone && !self.is_away() {
            self.next_start += 1;
            let (started_ms, heartbeat_at) = (self.next_start, self.now);
            self.processes[index] =
                Process { state: ProcessState::Ready, started_ms, sequence: 0, heartbeat_at };
            self.write(index);
        }
    }

    /// Writes the entry of a process; causes an event only if more than the sequence changes.
    fn write(&mut self, index: usize) {
        if self.is_away() {
            self.processes[index].heartbeat_at = self.away_until + WRITE_DELAY * index as u32;
            return;
        }
        let now = self.now;
        let process = &mut self.processes[index];
        process.sequence += 1;
        process.heartbeat_at = now + HEARTBEAT;
        let written = ReplicaEntry {
            started_ms: process.started_ms,
            draining: process.state == ProcessState::Draining,
            ..entry(&format!("r{index}"), process.sequence)
        };
        let contents = &mut self.contents;
        let found = contents.entries.iter_mut().find(|(entry, _)| entry.id == written.id);
        let changed = if let Some((entry, written_at)) = found {
            let unchanged = ReplicaEntry { sequence: written.sequence, ..entry.clone() };
            (*entry, *written_at) = (written.clone(), now);
            unchanged != written
        } else {
            contents.entries.push((written.clone(), now));
            true
        };
        if changed {
            contents.revision += 1;
            contents.history.push((contents.revision, Ok(written)));
        }
    }

    fn remove(&mut self, name: &str) {
        let contents = &mut self.contents;
        let before = contents.entries.len();
        contents.entries.retain(|(entry, _)| entry.id != name);
        if contents.entries.len() < before {
            contents.revision += 1;
            contents.history.push((contents.revision, Err(name.to_owned())));
        }
    }

    fn restore(&mut self) {
        self.era += 1;
        self.contents = self.copy.clone();
        let now = self.now;
        self.contents.entries.iter_mut().for_each(|(_, written_at)| *written_at = now);
        // The operator writes its last version again.
        self.contents.version = self.contents.version.max(1);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        if self.is_away() {
            self.write_due();
            self.catalogue.record_replicas_call(StoreCall::Failed, self.now);
            self.catalogue.expire_replicas(self.now);
            return;
        }
        let silent = HEARTBEAT * SILENT_HEARTBEATS;
        let entries = self.contents.entries.iter();
        let names = entries.filter(|(_, written_at)| *written_at + silent <= self.now);
        let names: Vec<_> = names.map(|(entry, _)| entry.id.clone()).collect();
        for name in &names {
            self.remove(name);
        }
        self.write_due();
        self.call_store();
    }

    /// Writes the entries of the processes whose heartbeat is due.
    fn write_due(&mut self) {
        for index in 0..REPLICAS {
            let process = &self.processes[index];
            if process.state != ProcessState::Gone && process.heartbeat_at <= self.now {
                self.write(index);
            }
        }
    }

    fn call_store(&mut self) {
        let now = self.now;
        self.catalogue.observe_era(StoreEra(self.era), now);
        self.catalogue.record_replicas_call(StoreCall::InTime, now);
        self.catalogue.apply_configuration(configuration(self.contents.version, 1));
        let at = position(self.era, self.contents.revision);
        let must_list = self.catalogue.needs_replica_list(now);
        let since = self.since.filter(|_| !must_list);
        match since {
            Some(since) if self.catalogue.judge_answer(at.era, Some(since)) == AnswerUse::Apply => {
                let changes = self.contents.history.iter().filter(|(r, _)| *r > since.revision);
                for (_, change) in changes {
                    match change {
                        Ok(entry) => self.catalogue.put_replica(entry.clone(), now),
                        Err(name) => self.catalogue.remove_replica(name, now),
                    };
                }
                self.catalogue.advance_replicas(at);
            }
            _ => {
                let entries = self.contents.entries.iter().map(|(entry, _)| entry.clone());
                self.catalogue.set_replicas(entries.collect(), at, now);
            }
        }
        self.since = Some(at);
        self.catalogue.expire_replicas(now);
    }

    fn process(&self, name: &str, started_ms: u64) -> ProcessState {
        let index: usize = name[1..].parse().unwrap();
        let process = &self.processes[index];
        if process.started_ms == started_ms { process.state } else { ProcessState::Gone }
    }

    /// Checks which replicas are in use.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let names = in_use(&self.catalogue);
        let known = self.catalogue.replicas.iter();
        let used: Vec<_> = known
            .filter(|known| names.contains(&known.entry.id))
            .map(|known| (known.entry.id.clone(), known.entry.started_ms))
            .collect();
        for (name, started_ms) in &self.used {
            let process = (name.clone(), *started_ms);
            if !used.contains(&process) {
                let state = self.process(name, *started_ms);
                prop_assert!(state != ProcessState::Ready, "live replica {name} dropped");
                self.dropped.push(process);
            }
        }
        for (name, started_ms) in &used {
            let came_back = self.dropped.contains(&(name.clone(), *started_ms));
            let state = self.process(name, *started_ms);
            prop_assert!(!came_back, "departed replica {name} ({state:?}) is used again");
        }
        self.used = used;
        Ok(())
    }
}

proptest! {
    /// Whatever is lost with a restore: the configuration never goes back, live replicas stay in
    /// use, and replicas that are known to have departed are not used again.
    #[test]
    fn restores_bring_back_nothing_and_drop_no_live_replica(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut simulation = Simulation::new();
        let mut version = 0;
        for step in &steps {
            simulation.run(step);
            simulation.check()?;
            let in_force = simulation.catalogue.version().unwrap();
            prop_assert!(in_force >= version, "configuration {version} replaced by {in_force}");
            version = in_force;
        }
    }
}
