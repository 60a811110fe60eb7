//! Service times of the calls to one replica, and the timeouts derived from them.

use crate::rank::Rank;
use std::time::Duration;

/// The inverse of the weight of a new sample in the mean.
const MEAN_SMOOTHING: u32 = 8;
/// The inverse of the weight of a new sample in the deviation.
const DEVIATION_SMOOTHING: u32 = 4;
/// Deviations above the mean service time at which a call counts as stalled.
const STALL_DEVIATION_FACTOR: u32 = 8;
/// The least multiple of the mean service time at which a call counts as stalled.
const STALL_MEAN_FACTOR: u32 = 4;
/// The minimum stall timeout once a call of the rank has ended.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(40);
/// The stall timeout of a call is at least the time left at its start divided by this.
///
/// A call with much time left can outlast a short pause of the machine; one with little has to be
/// retried elsewhere soon.
const STALL_TIME_LEFT_DIVISOR: u32 = 8;
/// The stall timeout while no call of the rank has ended yet.
const INITIAL_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The inverse of the weight of a new sample in the recent mean; low, so that the mean soon shows a
/// slow replica.
const RECENT_SMOOTHING: u32 = 4;
/// With each probe of an idle replica, the recent mean is reduced by `mean / IDLE_DECAY_DIVISOR`.
const IDLE_DECAY_DIVISOR: u32 = 16;

/// The fraction of the time left after which a call is aborted, so that the entry can still respond
/// before the deadline.
const CALL_TIMEOUT_FRACTION: f64 = 0.95;

/// Moving averages of the service time of each rank and of its deviation.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    /// Indexed by rank; `None` until a call of the rank has ended.
    ranks: [Option<Estimate>; Rank::COUNT],
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
}

impl Latencies {
    /// Records a call that ended with a result or stalled.
    ///
    /// A stalled call is recorded with the time until it was aborted, so that the timeout of a
    /// permanently slower replica grows until its calls complete.
    pub(super) fn record(&mut self, rank: Rank, elapsed: Duration) {
        let estimate = &mut self.ranks[rank.index()];
        *estimate = Some(match *estimate {
            None => Estimate { mean: elapsed, deviation: elapsed / 2 },
            Some(Estimate { mean, deviation }) => Estimate {
                mean: moving_average(mean, elapsed, MEAN_SMOOTHING),
                deviation: moving_average(deviation, elapsed.abs_diff(mean), DEVIATION_SMOOTHING),
            },
        });
    }

    /// Returns the mean service time of each rank; an unknown one equals the lowest known mean.
    pub(super) fn means(&self) -> [Duration; Rank::COUNT] {
        let known = self.ranks.iter().flatten().map(|estimate| estimate.mean).min();
        self.ranks.map(|estimate| estimate.map_or(known.unwrap_or_default(), |e| e.mean))
    }

    /// Returns the time after which a call that started with `time_left` counts as stalled.
    pub(super) fn stall_timeout(&self, rank: Rank, time_left: Duration) -> Duration {
        let from_history = self.ranks[rank.index()].map_or(
            INITIAL_STALL_TIMEOUT,
            |Estimate { mean, deviation }| {
                (mean + deviation * STALL_DEVIATION_FACTOR)
                    .max(mean * STALL_MEAN_FACTOR)
                    .max(MIN_STALL_TIMEOUT)
            },
        );
        from_history.max(time_left / STALL_TIME_LEFT_DIVISOR)
    }

    /// Returns the time after which a call is aborted: the stall timeout, but always before the
    /// deadline.
    pub(super) fn call_timeout(&self, rank: Rank, time_left: Duration) -> Duration {
        self.stall_timeout(rank, time_left).min(time_left.mul_f64(CALL_TIMEOUT_FRACTION))
    }
}

/// The recent service time of a replica, by which entries compare replicas.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentServiceTime {
    /// Zero before the first call.
    mean: Duration,
}

impl RecentServiceTime {
    /// Records a call that took `elapsed`.
    pub(super) fn record(&mut self, elapsed: Duration) {
        let mean = if self.mean.is_zero() { elapsed } else { self.mean };
        self.mean = moving_average(mean, elapsed, RECENT_SMOOTHING);
    }

    /// Records a call that was aborted after `elapsed`, if that is longer than the mean.
    pub(super) fn record_at_least(&mut self, elapsed: Duration) {
        if elapsed > self.mean {
            self.record(elapsed);
        }
    }

    /// Shrinks the mean, so that a replica that was slow receives calls again.
    pub(super) fn decay(&mut self) {
        self.mean = moving_average(self.mean, Duration::ZERO, IDLE_DECAY_DIVISOR);
    }

    /// Returns the mean; zero before the first call.
    pub(super) fn mean(self) -> Duration {
        self.mean
    }
}

fn moving_average(mean: Duration, sample: Duration, smoothing: u32) -> Duration {
    (mean * (smoothing - 1) + sample) / smoothing
}

#[cfg(test)]
mod tests;
