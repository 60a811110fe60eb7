//! Series of signals and changes that overlap: a daemon gets the next one before the last one has
//! taken effect, and several daemons get theirs in turn.

use super::Harness;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::time::Duration;
use tokio::time::sleep;

/// The share of the steps of a seed that begin with a series.
const SERIES_SHARE: f64 = 0.2;

/// The maximum pause between two events of a series, in ms.
const MAX_PAUSE_MS: u64 = 400;

#[derive(Clone, Copy, Debug)]
enum SeriesEvent {
    Reload,
    /// Stops the process as by SIGSTOP, or lets it go on.
    Pause,
    /// Begins a planned stop; the process starts again at the end of the series.
    Stop,
    /// Kills the process and starts it again, whatever state it is in.
    Kill,
    NewConfiguration,
}

/// The state of a daemon within a series.
#[derive(Clone, Copy, Debug, Default)]
struct SignalledDaemon {
    paused: bool,
    stopping: bool,
}

impl Harness {
    /// Sends a series of signals at times.
    pub(super) async fn inject_signal_series(&mut self) {
        if !self.series_rng.random_bool(SERIES_SHARE) {
            return;
        }
        let mut daemons = vec![SignalledDaemon::default(); self.processes.len()];
        for _ in 0..self.series_rng.random_range(3..10) {
            let daemon = self.series_rng.random_range(0..daemons.len());
            self.inject_series_event(daemon, &mut daemons[daemon]).await;
            let pause = self.series_rng.random_range(0..MAX_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        for (process, daemon) in self.processes.iter().zip(&daemons) {
            if daemon.paused {
                process.signal("-CONT");
            }
        }
        for (process, daemon) in self.processes.iter_mut().zip(&daemons) {
            if daemon.stopping {
                process.wait_for_stop().await;
                process.start();
                process.wait_until_begun().await;
            }
        }
    }

    async fn inject_series_event(&mut self, daemon: usize, state: &mut SignalledDaemon) {
        let events = [
            SeriesEvent::Reload,
            SeriesEvent::Pause,
            SeriesEvent::Pause,
            SeriesEvent::Stop,
            SeriesEvent::Kill,
            SeriesEvent::NewConfiguration,
        ];
        let process = &mut self.processes[daemon];
        match *events.choose(&mut self.series_rng).unwrap() {
            SeriesEvent::Reload => process.signal("-HUP"),
            SeriesEvent::Pause => {
                state.paused = !state.paused;
                process.signal(if state.paused { "-STOP" } else { "-CONT" });
            }
            SeriesEvent::Stop => {
                state.stopping = true;
                process.signal("-TERM");
            }
            SeriesEvent::Kill => {
                *state = SignalledDaemon::default();
                process.kill();
                process.start();
                process.wait_until_begun().await;
            }
            SeriesEvent::NewConfiguration => self.put_next_configuration(1),
        }
    }
}
