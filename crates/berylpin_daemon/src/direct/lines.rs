//! Log lines and metrics of decisions about requests.

use crate::logging::Log;
use crate::metrics::REQUEST_DURATION;
use berylpin_core::direct::{DirectDecision, Failure};
use metrics::{counter, histogram};
use slog::{debug, info, warn};
use std::time::{Duration, Instant};

/// Lines a second of requests that went well; they only show what is usual.
const USUAL_PER_SECOND: f64 = 40.0;

/// Lines a second of everything else: refusals, failures, partial and late answers. Some hundred bytes
/// each, so that a flood costs under a tenth of a percent of the processor.
const NOTABLE_PER_SECOND: f64 = 150.0;

/// Seconds of unused lines that are saved up.
const SAVED_SECONDS: f64 = 3.0;

/// How often dropped lines are told.
const TELL_PERIOD: Duration = Duration::from_secs(1);

/// A bound of lines a second.
struct Allowance {
    per_second: f64,
    /// Lines that may be written.
    left: f64,
    filled: Instant,
}

impl Allowance {
    fn new(per_second: f64, now: Instant) -> Self {
        Self { per_second, left: per_second * SAVED_SECONDS, filled: now }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        let most = self.per_second * SAVED_SECONDS;
        self.left = (self.left + elapsed * self.per_second).min(most);
        self.filled = now;
        let taken = self.left >= 1.0;
        if taken {
            self.left -= 1.0;
        }
        taken
    }
}

/// The lines of one thread, bounded in number.
pub(super) struct Lines {
    log: Log,
    usual: Allowance,
    notable: Allowance,
    /// Lines dropped since that was last told.
    dropped: u64,
    told: Instant,
}

impl Lines {
    pub(super) fn new(log: Log, now: Instant) -> Self {
        Self {
            log,
            usual: Allowance::new(USUAL_PER_SECOND, now),
            notable: Allowance::new(NOTABLE_PER_SECOND, now),
            dropped: 0,
            told: now,
        }
    }

    /// Counts a decision and writes its line.
    pub(super) fn write(&mut self, request: &str, decision: &DirectDecision, now: Instant) {
        count(decision);
        if !self.admits(decision, now) {
            self.dropped += 1;
            counter!("berylpin_log_lines_dropped_total").increment(1);
            return;
        }
        if self.dropped > 0 && now.saturating_duration_since(self.told) >= TELL_PERIOD {
            warn!(self.log, "route: lines dropped"; "count" => self.dropped);
            self.dropped = 0;
            self.told = now;
        }
        self.render(request, decision);
    }

    fn admits(&mut self, decision: &DirectDecision, now: Instant) -> bool {
        let notable = is_notable(decision);
        let allowance = if notable { &mut self.notable } else { &mut self.usual };
        allowance.take(now)
    }

    fn render(&self, request: &str, decision: &DirectDecision) {
        match decision {
            DirectDecision::ExtraAttempt { cause, replica, waited, budget_left } => {
                info!(self.log, "route: extra attempt sent"; "request" => request,
                    "cause" => cause.name(), "replica" => &**replica,
                    "waited_ms" => millis(*waited), "budget_left" => budget_left);
            }
            DirectDecision::AttemptFailed { replica, outcome, failure, verdict, elapsed } => {
                info!(self.log, "route: attempt failed"; "request" => request,
                    "replica" => &**replica, "outcome" => outcome,
                    "failure" => failure.map(Failure::name), "verdict" => %verdict,
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
            DirectDecision::Refused { reason, version } => {
                info!(self.log, "route: request refused"; "request" => request,
                    "reason" => reason.name(), "version" => version);
            }
            DirectDecision::Done {
                route,
                version,
                outcome,
                parts,
                missing,
                missing_parts,
                attempts,
                elapsed,
                target,
            } => {
                let lacking: Vec<String> = missing_parts.iter().map(ToString::to_string).collect();
                info!(self.log, "route: request done"; "request" => request,
                    "route" => &**route, "version" => version, "outcome" => outcome,
                    "parts" => parts, "missing" => missing, "lacking" => lacking.join("; "),
                    "attempts" => attempts, "elapsed_ms" => millis(*elapsed),
                    "late" => elapsed > target);
            }
        }
    }
}

/// Returns whether an engineer would look for the line of a decision.
fn is_notable(decision: &DirectDecision) -> bool {
    match decision {
        DirectDecision::AttemptFailed { .. }
        | DirectDecision::PeerSilent { .. }
        | DirectDecision::Refused { .. } => true,
        DirectDecision::ExtraAttempt { .. } | DirectDecision::Delegated { .. } => false,
        DirectDecision::Done { missing, elapsed, target, .. } => *missing > 0 || elapsed > target,
    }
}

fn count(decision: &DirectDecision) {
    match decision {
        DirectDecision::ExtraAttempt { cause, .. } => {
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
        DirectDecision::Refused { reason, .. } => {
            counter!("berylpin_requests_total", "outcome" => reason.name()).increment(1);
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

#[cfg(test)]
mod tests;
