//! Rate-limited log lines and metrics of the dispatcher's decisions.

use crate::logging::Log;
use crate::metrics::REQUEST_DURATION;
use berylpin_core::direct::{DirectDecision, Failure};
use metrics::{counter, histogram};
use slog::{debug, info, warn};
use std::time::{Duration, Instant};

/// The maximum rate of lines about routine decisions, which only serve as a sample of normal
/// traffic.
const ROUTINE_LINES_PER_SECOND: f64 = 40.0;

/// The maximum rate of lines about refusals, failures, and partial or late answers. A line has a
/// few hundred bytes, so writing at this rate takes less than 0.1 % of the processor.
const NOTABLE_LINES_PER_SECOND: f64 = 150.0;

/// The capacity of a bucket, in seconds at its rate.
const BURST_SECONDS: f64 = 3.0;

/// The minimum interval between reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A token bucket that limits the rate of lines.
struct TokenBucket {
    per_second: f64,
    /// The number of lines that may be written at `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_second: f64, now: Instant) -> Self {
        Self { per_second, tokens: per_second * BURST_SECONDS, refilled_at: now }
    }

    fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let capacity = self.per_second * BURST_SECONDS;
        self.tokens = (self.tokens + elapsed * self.per_second).min(capacity);
        self.refilled_at = now;
        let acquired = self.tokens >= 1.0;
        if acquired {
            self.tokens -= 1.0;
        }
        acquired
    }
}

/// The log of one thread's decisions.
pub(super) struct DecisionLog {
    log: Log,
    routine: TokenBucket,
    notable: TokenBucket,
    /// The number of lines dropped since the last report.
    dropped: u64,
    drops_reported_at: Instant,
}

impl DecisionLog {
    pub(super) fn new(log: Log, now: Instant) -> Self {
        Self {
            log,
            routine: TokenBucket::new(ROUTINE_LINES_PER_SECOND, now),
            notable: TokenBucket::new(NOTABLE_LINES_PER_SECOND, now),
            dropped: 0,
            drops_reported_at: now,
        }
    }

    /// Counts a decision, and writes its line if the rate allows.
    pub(super) fn record(&mut self, request_id: &str, decision: &DirectDecision, now: Instant) {
        count_decision(decision);
        if !self.try_admit(decision, now) {
            self.dropped += 1;
            counter!("berylpin_log_lines_dropped_total").increment(1);
            return;
        }
        if self.dropped > 0
            && now.saturating_duration_since(self.drops_reported_at) >= DROP_REPORT_INTERVAL
        {
            warn!(self.log, "route: log lines dropped"; "count" => self.dropped);
            self.dropped = 0;
            self.drops_reported_at = now;
        }
        self.write_line(request_id, decision);
    }

    fn try_admit(&mut self, decision: &DirectDecision, now: Instant) -> bool {
        let notable = is_notable(decision);
        let bucket = if notable { &mut self.notable } else { &mut self.routine };
        bucket.try_acquire(now)
    }

    fn write_line(&self, request_id: &str, decision: &DirectDecision) {
        match decision {
            DirectDecision::ExtraAttempt { cause, replica, waited, budget_left } => {
                info!(self.log, "route: extra attempt sent"; "request" => request_id,
                    "cause" => cause.name(), "replica" => &**replica,
                    "waited_ms" => millis(*waited), "budget_left" => budget_left);
            }
            DirectDecision::AttemptFailed { replica, outcome, failure, verdict, elapsed } => {
                info!(self.log, "route: attempt failed"; "request" => request_id,
                    "replica" => &**replica, "outcome" => outcome,
                    "failure" => failure.map(Failure::name), "verdict" => %verdict,
                    "elapsed_ms" => millis(*elapsed));
            }
            DirectDecision::Delegated { peer, parts } => {
                debug!(self.log, "route: shards delegated to peer"; "request" => request_id,
                    "peer" => %peer, "parts" => parts);
            }
            DirectDecision::PeerSilent { peer, parts } => {
                info!(self.log, "route: reply of peer overdue"; "request" => request_id,
                    "peer" => %peer, "parts" => parts);
            }
            DirectDecision::Refused { reason, version } => {
                info!(self.log, "route: request refused"; "request" => request_id,
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
                let missing_parts: Vec<String> =
                    missing_parts.iter().map(ToString::to_string).collect();
                info!(self.log, "route: request done"; "request" => request_id,
                    "route" => &**route, "version" => version, "outcome" => outcome,
                    "parts" => parts, "missing" => missing, "lacking" => missing_parts.join("; "),
                    "attempts" => attempts, "elapsed_ms" => millis(*elapsed),
                    "late" => elapsed > target);
            }
        }
    }
}

/// Returns whether the line of a decision helps to diagnose a failure or a slow answer.
fn is_notable(decision: &DirectDecision) -> bool {
    match decision {
        DirectDecision::AttemptFailed { .. }
        | DirectDecision::PeerSilent { .. }
        | DirectDecision::Refused { .. } => true,
        DirectDecision::ExtraAttempt { .. } | DirectDecision::Delegated { .. } => false,
        DirectDecision::Done { missing, elapsed, target, .. } => *missing > 0 || elapsed > target,
    }
}

fn count_decision(decision: &DirectDecision) {
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
