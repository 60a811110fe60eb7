//! Log lines and metrics of decisions about requests.

use crate::logging::Log;
use crate::metrics::REQUEST_DURATION;
use berylpin_core::direct::DirectDecision;
use metrics::{counter, histogram};
use slog::{debug, info, warn};
use std::time::{Duration, Instant};

/// Lines a second that a thread writes at most; those above are counted and told. Some hundred bytes
/// each, so that a flood costs under a tenth of a percent of the processor.
const LINES_PER_SECOND: f64 = 100.0;

/// Lines that may be saved up.
const BURST: f64 = 200.0;

/// The lines of one thread, bounded in number.
pub(super) struct Lines {
    log: Log,
    /// Lines that may be written; from 0 to `BURST`.
    room: f64,
    filled: Instant,
    dropped: u64,
}

impl Lines {
    pub(super) fn new(log: Log, now: Instant) -> Self {
        Self { log, room: BURST, filled: now, dropped: 0 }
    }

    /// Counts a decision and writes its line.
    pub(super) fn write(&mut self, request: &str, decision: &DirectDecision, now: Instant) {
        count(decision);
        if !self.has_room(now) {
            self.dropped += 1;
            counter!("berylpin_log_lines_dropped_total").increment(1);
            return;
        }
        if self.dropped > 0 {
            warn!(self.log, "route: lines dropped"; "count" => self.dropped);
            self.dropped = 0;
        }
        match decision {
            DirectDecision::Extra { cause, replica, waited, budget_left } => {
                info!(self.log, "route: extra attempt sent"; "request" => request,
                    "cause" => cause.name(), "replica" => &**replica,
                    "waited_ms" => millis(*waited), "budget_left" => budget_left);
            }
            DirectDecision::AttemptFailed { replica, outcome, verdict, elapsed } => {
                info!(self.log, "route: attempt failed"; "request" => request,
                    "replica" => &**replica, "outcome" => outcome, "verdict" => %verdict,
                    "elapsed_ms" => millis(*elapsed));
            }
            DirectDecision::Delegated { peer, parts } => {
                debug!(self.log, "route: shards left to a peer"; "request" => request,
                    "peer" => %peer, "parts" => parts);
            }
            DirectDecision::PeerSilent { peer, parts } => {
                info!(self.log, "route: peer silent"; "request" => request,
                    "peer" => %peer, "parts" => parts);
            }
            DirectDecision::Done {
                route,
                version,
                outcome,
                parts,
                missing,
                attempts,
                elapsed,
                target,
            } => {
                info!(self.log, "route: request done"; "request" => request,
                    "route" => route.as_deref(), "version" => version, "outcome" => outcome,
                    "parts" => parts, "missing" => missing, "attempts" => attempts,
                    "elapsed_ms" => millis(*elapsed), "late" => elapsed > target);
            }
        }
    }

    fn has_room(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.room = (self.room + elapsed * LINES_PER_SECOND).min(BURST);
        self.filled = now;
        let room = self.room >= 1.0;
        if room {
            self.room -= 1.0;
        }
        room
    }
}

fn count(decision: &DirectDecision) {
    match decision {
        DirectDecision::Extra { cause, .. } => {
            counter!("berylpin_extra_attempts_total", "cause" => cause.name()).increment(1);
        }
        DirectDecision::AttemptFailed { outcome, .. } => {
            counter!("berylpin_failed_attempts_total", "outcome" => *outcome).increment(1);
        }
        DirectDecision::Delegated { .. } => {
            counter!("berylpin_delegated_calls_total").increment(1);
        }
        DirectDecision::PeerSilent { .. } => {
            counter!("berylpin_silent_peers_total").increment(1);
        }
        DirectDecision::Done { outcome, missing, elapsed, .. } => {
            counter!("berylpin_requests_total", "outcome" => *outcome).increment(1);
            counter!("berylpin_missing_parts_total").increment(*missing as u64);
            histogram!(REQUEST_DURATION).record(*elapsed);
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_micros() as f64 / 1000.0
}
