//! The time limits of the calls to the store, derived from the platform's bounds.

use std::time::Duration;

/// The maximum time of a call, in addition to the wait that a watch asks for; about a hundred times
/// the store's usual response time.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// The back-off after the first failed call, before jitter.
pub const INITIAL_RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// The factor by which jitter lengthens a back-off at most, so that daemons do not call at the same
/// time.
pub const MAX_BACKOFF_JITTER: u32 = 2;

/// The delay after a change of replicas, which batches further changes: a release changes many
/// within seconds.
pub const REPLICAS_BATCH_DELAY: Duration = Duration::from_millis(300);

/// The share of the confirmation interval over which the calls of the daemons spread.
const CONFIRMATION_SPREAD: f64 = 0.2;

/// The interval between checks for expired replicas.
pub const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The time for the call after a failed one, and until the traffic thread applies its result.
const APPLY_TIME: Duration = Duration::from_millis(600);

/// The minimum and the maximum wait of a watch; the store allows up to 30 s.
const MIN_WAIT: Duration = Duration::from_millis(500);
const MAX_WAIT: Duration = Duration::from_secs(20);

/// How long a replica stays in use after an outage of the store in which its entry may have
/// expired; running replicas are listed again about 2 s after the store recovers.
const EXPIRY_GRACE: Duration = Duration::from_millis(2300);

/// An entry does not expire in an outage shorter than this number of heartbeats: it takes three
/// without one, and the last may have come just before the outage.
const HEARTBEATS_UNTIL_EXPIRY: u32 = 2;

/// How much later than the end of its wait an answer shows an outage of the store.
const LATE_ANSWER: Duration = Duration::from_millis(300);

/// The bounds that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreBounds {
    /// The time after a fault within which the daemon must meet the other bounds again.
    pub settle: Duration,
    /// The time within which a new configuration must be in force.
    pub config_apply: Duration,
    /// The time within which a draining or removed replica must receive no new requests.
    pub drain: Duration,
    /// The interval at which a replica renews its entry.
    pub heartbeat: Duration,
}

/// The time limits of the calls to the store.
///
/// A dead connection is detected only when its call times out. The settle time starts when the
/// connection fails, and the bound of a change when the change is made, so both may run at the same
/// time: the wait of a watch, or the time until the configuration is confirmed without it, and all
/// that follows must fit into each of them alone. Only the grace time of removed replicas is as long
/// as the sum allows if the settle time is too short for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTimes {
    /// How long after its last confirmation the configuration is confirmed by a call of its own, so
    /// that a watch may wait longer.
    pub confirmation_interval: Duration,
    /// How long a watch of the replicas waits; so much shorter than an outage in which entries can
    /// expire that each such outage makes a watch fail or end late, also one that begins between
    /// two watches.
    pub replicas_wait: Duration,
    /// How long after an outage of the store removed replicas stay in use.
    pub expiry_grace: Duration,
}

impl StoreTimes {
    /// Divides the bounds among the stages.
    pub fn new(bounds: &StoreBounds) -> Self {
        let detection = CALL_TIMEOUT + INITIAL_RETRY_BACKOFF * MAX_BACKOFF_JITTER + APPLY_TIME;
        let configuration_due = bounds.settle.min(bounds.config_apply);
        let drain_due = bounds.settle.min(bounds.drain);
        let removal_due = bounds.settle.saturating_sub(EXPIRY_CHECK_INTERVAL + EXPIRY_GRACE);
        // A watch that begins only after the batch delay must still end late.
        let seen_outage = (bounds.heartbeat * HEARTBEATS_UNTIL_EXPIRY)
            .saturating_sub(LATE_ANSWER + REPLICAS_BATCH_DELAY);
        let replicas_wait = drain_due.min(removal_due).saturating_sub(detection).min(seen_outage);
        let replicas_wait = replicas_wait.clamp(MIN_WAIT, MAX_WAIT);
        let learned = replicas_wait + detection + EXPIRY_CHECK_INTERVAL;
        Self {
            confirmation_interval: configuration_due
                .saturating_sub(APPLY_TIME)
                .clamp(MIN_WAIT, MAX_WAIT),
            replicas_wait,
            expiry_grace: (bounds.settle + bounds.drain).saturating_sub(learned).min(EXPIRY_GRACE),
        }
    }
}

/// Returns how long after its last confirmation a daemon confirms the configuration.
///
/// `draw`, from 0 to 1, differs between daemons: most of them learn the result of the few that
/// call first.
pub fn confirmation_delay(interval: Duration, draw: f64) -> Duration {
    interval.mul_f64(1.0 - CONFIRMATION_SPREAD * draw)
}

/// What a call shows about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// The answer came in time.
    InTime,
    /// The answer came so late that the store was unavailable meanwhile.
    Late,
    /// There was no answer, or an error.
    Failed,
}

impl StoreCall {
    /// Classifies a call that took `elapsed` and asked the store to wait up to `wait`.
    pub fn classify(succeeded: bool, elapsed: Duration, wait: Duration) -> Self {
        if !succeeded {
            Self::Failed
        } else if elapsed > wait + LATE_ANSWER {
            Self::Late
        } else {
            Self::InTime
        }
    }
}

#[cfg(test)]
mod tests;
