//! A streaming latency histogram.

use std::time::Duration;

const BUCKET_COUNT: usize = 64;

/// Binary logarithm of the buckets per octave (doubling of the latency); 4 buckets an octave keep
/// the width of a bucket within a quarter of its lower bound.
const OCTAVE_BITS: u32 = 2;

/// Binary logarithm of the lower bound of the first octave, in microseconds; shorter latencies
/// count in the first bucket.
const MIN_MICROS_BITS: u32 = 7;

/// Total count at which all counts are halved.
const DECAY_TOTAL: u32 = 512;

/// Total count below which the cached percentiles are not computed.
const MIN_SAMPLES: u32 = 20;

/// Samples between two computations of the cached percentiles.
const REFRESH_INTERVAL: u32 = 16;

/// A new sample has a weight of 1 / `MEAN_WEIGHT_DIVISOR` in the moving mean.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

/// A latency histogram of fixed size with exponential decay.
///
/// Buckets are logarithmic from 128 us to 8 s. Counts decay by halving, so the percentiles follow
/// a change of a replica's latency within a few hundred sub-queries.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    counts: [u16; BUCKET_COUNT],
    /// The sum of `counts`; below `DECAY_TOTAL` between calls.
    total: u32,
    /// Samples recorded since the last computation of `p95` and `p99`.
    since_refresh: u32,
    /// Exponentially weighted moving mean, in microseconds; 0 before the first sample.
    mean: u32,
    /// In microseconds; 0 while there are too few samples.
    p95: u32,
    /// In microseconds; never below `p95`.
    p99: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0, since_refresh: 0, mean: 0, p95: 0, p99: 0 }
    }
}

impl LatencyHistogram {
    pub(crate) fn record(&mut self, elapsed: Duration) {
        let micros = elapsed.as_micros().min(u128::from(u32::MAX / MEAN_WEIGHT_DIVISOR)) as u32;
        self.mean = match self.mean {
            0 => micros.max(1),
            mean => (mean / MEAN_WEIGHT_DIVISOR * (MEAN_WEIGHT_DIVISOR - 1)
                + micros / MEAN_WEIGHT_DIVISOR)
                .max(1),
        };
        self.counts[bucket_index(micros)] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= DECAY_TOTAL {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        }
        if self.since_refresh >= REFRESH_INTERVAL && self.total >= MIN_SAMPLES {
            self.since_refresh = 0;
            self.p95 = self.percentile_micros(95);
            self.p99 = self.percentile_micros(99);
        }
    }

    /// Returns the moving mean, or `None` before the first sample.
    pub(crate) fn mean(&self) -> Option<Duration> {
        (self.mean > 0).then(|| Duration::from_micros(self.mean.into()))
    }

    /// Returns the cached 95th percentile, or `None` with too few samples.
    pub(crate) fn p95(&self) -> Option<Duration> {
        (self.p95 > 0).then(|| Duration::from_micros(self.p95.into()))
    }

    /// Returns the cached 99th percentile, or `None` with too few samples.
    pub(crate) fn p99(&self) -> Option<Duration> {
        (self.p99 > 0).then(|| Duration::from_micros(self.p99.into()))
    }

    /// Computes a percentile from any number of samples; zero before the first one.
    pub(crate) fn percentile(&self, percent: u32) -> Duration {
        match self.total {
            0 => Duration::ZERO,
            _ => Duration::from_micros(self.percentile_micros(percent).into()),
        }
    }

    /// Returns the upper bound of the bucket that contains the percentile, in microseconds.
    fn percentile_micros(&self, percent: u32) -> u32 {
        let target_count = (self.total * percent).div_ceil(100);
        let mut seen = 0;
        let reaches_target = |count: &u16| {
            seen += u32::from(*count);
            seen >= target_count
        };
        let index = self.counts.iter().position(reaches_target).unwrap_or(BUCKET_COUNT - 1);
        bucket_upper_bound(index)
    }
}

fn bucket_index(micros: u32) -> usize {
    let clamped = micros.max(1 << MIN_MICROS_BITS);
    let octave = clamped.ilog2();
    let step = (clamped >> (octave - OCTAVE_BITS)) & ((1 << OCTAVE_BITS) - 1);
    let index = ((octave - MIN_MICROS_BITS) << OCTAVE_BITS) + step;
    (index as usize).min(BUCKET_COUNT - 1)
}

fn bucket_upper_bound(index: usize) -> u32 {
    let steps = (1 << OCTAVE_BITS) + (index as u32 & ((1 << OCTAVE_BITS) - 1)) + 1;
    let octave = MIN_MICROS_BITS + (index as u32 >> OCTAVE_BITS);
    steps << (octave - OCTAVE_BITS)
}

#[cfg(test)]
mod tests;
