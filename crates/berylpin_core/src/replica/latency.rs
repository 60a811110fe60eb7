//! How long the calls to one replica take.

use crate::rank::Rank;
use std::time::Duration;

/// Weight of a new sample in the mean, as a divisor.
const MEAN_SMOOTHING: u32 = 8;
/// Weight of a new sample in the deviation, as a divisor.
const DEVIATION_SMOOTHING: u32 = 4;
/// Deviations above the mean from which on a call counts as stalled.
const STALL_DEVIATION_FACTOR: u32 = 8;
/// The least multiple of the mean from which on a call counts as stalled.
const STALL_MEAN_FACTOR: u32 = 4;
/// The least time after which a call counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(40);
/// The part of its time left on start within which a call is not stalled, as a divisor.
///
/// A call with much time left may wait out a short pause of the machine; one with little has to be
/// tried elsewhere soon.
const STALL_TIME_LEFT_DIVISOR: u32 = 8;
/// After what time a call counts as stalled while no call has ended yet.
const INITIAL_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Weight of a new sample in the recent mean, as a divisor; low, as slowness has to show at once.
const RECENT_SMOOTHING: u32 = 4;
/// The part of the recent mean that is forgotten at each probe of an idle replica, as a divisor.
const IDLE_DECAY_SMOOTHING: u32 = 16;

/// The part of the time left after which a call is given up, so that the entry still can act.
const CALL_TIMEOUT_FRACTION: f64 = 0.95;

/// Mean and mean deviation of the service times of each rank.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    /// Indexed by rank; `None` until a call ended.
    ranks: [Option<Estimate>; Rank::COUNT],
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: Duration,
    deviation: Duration,
}

impl Latencies {
    /// Counts a call that ended with a result or stalled.
    ///
    /// A stall counts with the time it was given, so that the bound of a replica that has become
    /// slow for good grows until its calls fit.
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

    /// Returns the mean service time of each rank; an unknown one is taken from its neighbours.
    pub(super) fn means(&self) -> [Duration; Rank::COUNT] {
        let known = self.ranks.iter().flatten().map(|estimate| estimate.mean).min();
        self.ranks.map(|estimate| estimate.map_or(known.unwrap_or_default(), |e| e.mean))
    }

    /// Returns after what time a call that started with `time_left` is stalled without a result.
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

    /// Returns after what time a call is given up: the stall bound, and always before its deadline.
    pub(super) fn call_timeout(&self, rank: Rank, time_left: Duration) -> Duration {
        self.stall_timeout(rank, time_left).min(time_left.mul_f64(CALL_TIMEOUT_FRACTION))
    }
}

/// How long the calls of a replica took lately, for entries to compare replicas by.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentServiceTime {
    /// Zero before the first call.
    mean: Duration,
}

impl RecentServiceTime {
    /// Counts a call that took `elapsed`.
    pub(super) fn record(&mut self, elapsed: Duration) {
        let mean = if self.mean.is_zero() { elapsed } else { self.mean };
        self.mean = moving_average(mean, elapsed, RECENT_SMOOTHING);
    }

    /// Counts a call that was ended after `elapsed` without a result.
    pub(super) fn record_at_least(&mut self, elapsed: Duration) {
        if elapsed > self.mean {
            self.record(elapsed);
        }
    }

    /// Forgets a part, so that a replica that was slow is tried again.
    pub(super) fn decay(&mut self) {
        self.mean = moving_average(self.mean, Duration::ZERO, IDLE_DECAY_SMOOTHING);
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
