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
const MIN_WAIT: Duration = Duration::from_millis(250);
const MAX_WAIT: Duration = Duration::from_secs(20);

/// How long a replica stays in use after an outage of the store in which its entry may have
/// expired; running replicas are listed again about 2 s after the store recovers.
const EXPIRY_GRACE: Duration = Duration::from_millis(2300);

/// An entry does not expire in an outage shorter than this number of heartbeats: it takes three
/// without one, and the last may have come just before the outage.
const HEARTBEATS_UNTIL_EXPIRY: u32 = 2;

/// How much later than the end of its wait an answer shows an outage of the store.
const LATE_ANSWER: Duration = Duration::from_millis(300);

/// How much later than the end of its wait a watch of the replicas is given up, and the store called
/// on a new connection; a call that does not wait shows sooner whether the store is available.
pub const OVERDUE_TIMEOUT: Duration = Duration::from_millis(400);

/// The time until the traffic thread applies a new view.
const VIEW_TIME: Duration = Duration::from_millis(100);

/// The part of the settle time that is kept for the answer after a failed call and its application.
const RETRY_MARGIN: Duration = Duration::from_millis(300);

/// The minimum timeout of a call that does not wait.
const MIN_RETRY: Duration = Duration::from_millis(200);

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
/// that follows must fit into each of them alone. So must the grace time of removed replicas, which
/// starts at a time that is only known to lie after the beginning of a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTimes {
    /// How long after their last confirmation the configuration and the replicas are confirmed by
    /// calls of their own, so that a watch may wait longer or read older data.
    pub confirmation_interval: Duration,
    /// How long a watch of the replicas waits; so much shorter than an outage in which entries can
    /// expire that each such outage makes a watch fail or end late, also one that begins between
    /// two watches.
    pub replicas_wait: Duration,
    /// How long a call for the replicas that does not wait takes at most, and how long after the
    /// beginning of a failed call the next one begins at most. The beginning of the last failed call
    /// is the earliest time at which the store may have recovered.
    pub replicas_retry: Duration,
    /// When removed replicas stay in use after an outage of the store.
    pub expiry_grace: ExpiryGrace,
}

impl StoreTimes {
    /// Divides the bounds among the stages.
    pub fn new(bounds: &StoreBounds) -> Self {
        let detection = CALL_TIMEOUT + INITIAL_RETRY_BACKOFF * MAX_BACKOFF_JITTER + APPLY_TIME;
        let configuration_due = bounds.settle.min(bounds.config_apply);
        let drain_due = bounds.settle.min(bounds.drain);
        let shortest_outage = bounds.heartbeat * HEARTBEATS_UNTIL_EXPIRY;
        // A watch that begins only after the batch delay must still end late.
        let seen_outage = shortest_outage.saturating_sub(LATE_ANSWER + REPLICAS_BATCH_DELAY);
        // The store may hold a watch until it recovers, and answer it then.
        let grace = EXPIRY_GRACE + EXPIRY_CHECK_INTERVAL + VIEW_TIME;
        let grace_due = bounds.settle.saturating_sub(grace + OVERDUE_TIMEOUT);
        let replicas_wait = drain_due.saturating_sub(detection).min(grace_due).min(seen_outage);
        let replicas_wait = replicas_wait.clamp(MIN_WAIT, MAX_WAIT);
        Self {
            confirmation_interval: configuration_due
                .min(drain_due)
                .saturating_sub(APPLY_TIME)
                .clamp(MIN_WAIT, MAX_WAIT),
            replicas_wait,
            replicas_retry: (bounds.settle.saturating_sub(RETRY_MARGIN) / 2)
                .clamp(MIN_RETRY, CALL_TIMEOUT),
            expiry_grace: ExpiryGrace {
                after_outage: EXPIRY_GRACE,
                shortest_outage: shortest_outage.saturating_sub(LATE_ANSWER),
                after_failed_call: bounds.settle.saturating_sub(EXPIRY_CHECK_INTERVAL + VIEW_TIME),
            },
        }
    }
}

/// When a replica stays in use although its entry was removed: the entry of a running replica may
/// expire while the store is unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExpiryGrace {
    /// How long after the store's first answer removed replicas stay in use.
    pub after_outage: Duration,
    /// The shortest time between two answers in which entries can expire.
    pub shortest_outage: Duration,
    /// How long after the beginning of the last failed call removed replicas stay in use at most.
    ///
    /// The store may have been available to others, and was available to this daemon no sooner than
    /// that call began. So the settle time counts from then on.
    pub after_failed_call: Duration,
}

/// Returns how long after the last confirmation a daemon confirms the configuration and the replicas.
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
