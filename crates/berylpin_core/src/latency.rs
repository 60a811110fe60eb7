//! A streaming latency distribution.

use std::time::Duration;

const BUCKETS: usize = 64;

/// Logarithm of the buckets in each doubling; a bucket is at most a quarter wide.
const OCTAVE_BITS: u32 = 2;

/// Logarithm of the lower end of the second octave, in microseconds.
const FLOOR_BITS: u32 = 7;

/// Samples after which all earlier ones count half.
const WINDOW: u32 = 512;

/// Samples below which no quantile is known.
const SAMPLES_NEEDED: u32 = 20;

/// Samples between two computations of the quantiles.
const REFRESH: u32 = 16;

/// Weight of a new sample in the mean, as a divisor.
const SMOOTHING: u32 = 8;

/// A streaming latency distribution with a fixed size.
///
/// Counts lie in buckets on a logarithmic scale from 128 us to 8 s and decay by halving, so a
/// replica that became slow or fast is known as such after a few hundred sub-queries.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    counts: [u16; BUCKETS],
    /// The sum of `counts`; below `WINDOW` after each sample.
    total: u32,
    /// Samples since the quantiles were computed.
    unseen: u32,
    /// Exponentially weighted, in microseconds; 0 before the first sample.
    mean: u32,
    /// In microseconds; 0 while unknown.
    p95: u32,
    /// In microseconds; never below `p95`.
    p99: u32,
}

impl Default for Latency {
    fn default() -> Self {
        Self { counts: [0; BUCKETS], total: 0, unseen: 0, mean: 0, p95: 0, p99: 0 }
    }
}

impl Latency {
    /// Adds a sample.
    pub(crate) fn record(&mut self, elapsed: Duration) {
        let micros = elapsed.as_micros().min(u128::from(u32::MAX / SMOOTHING)) as u32;
        self.mean = match self.mean {
            0 => micros.max(1),
            mean => (mean / SMOOTHING * (SMOOTHING - 1) + micros / SMOOTHING).max(1),
        };
        self.counts[bucket(micros)] += 1;
        self.total += 1;
        self.unseen += 1;
        if self.total >= WINDOW {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
        }
        if self.unseen >= REFRESH && self.total >= SAMPLES_NEEDED {
            self.unseen = 0;
            self.p95 = self.quantile(95);
            self.p99 = self.quantile(99);
        }
    }

    /// Returns the mean, or `None` before the first sample.
    pub(crate) fn mean(&self) -> Option<Duration> {
        (self.mean > 0).then(|| Duration::from_micros(self.mean.into()))
    }

    /// Returns what 95 in 100 sub-queries stay below, or `None` with too few samples.
    pub(crate) fn p95(&self) -> Option<Duration> {
        (self.p95 > 0).then(|| Duration::from_micros(self.p95.into()))
    }

    /// Returns what 99 in 100 sub-queries stay below, or `None` with too few samples.
    pub(crate) fn p99(&self) -> Option<Duration> {
        (self.p99 > 0).then(|| Duration::from_micros(self.p99.into()))
    }

    /// Returns what the given share of sub-queries stays below; zero before the first sample.
    pub(crate) fn percentile(&self, percent: u32) -> Duration {
        match self.total {
            0 => Duration::ZERO,
            _ => Duration::from_micros(self.quantile(percent).into()),
        }
    }

    /// Returns the upper end of the bucket that holds the quantile, in microseconds.
    fn quantile(&self, percent: u32) -> u32 {
        let needed = (self.total * percent).div_ceil(100);
        let mut seen = 0;
        let holds = |count: &u16| {
            seen += u32::from(*count);
            seen >= needed
        };
        let index = self.counts.iter().position(holds).unwrap_or(BUCKETS - 1);
        upper_end(index)
    }
}

fn bucket(micros: u32) -> usize {
    let clamped = micros.max(1 << FLOOR_BITS);
    let octave = clamped.ilog2();
    let step = (clamped >> (octave - OCTAVE_BITS)) & ((1 << OCTAVE_BITS) - 1);
    let index = ((octave - FLOOR_BITS) << OCTAVE_BITS) + step;
    (index as usize).min(BUCKETS - 1)
}

fn upper_end(index: usize) -> u32 {
    let steps = (1 << OCTAVE_BITS) + (index as u32 & ((1 << OCTAVE_BITS) - 1)) + 1;
    let octave = FLOOR_BITS + (index as u32 >> OCTAVE_BITS);
    steps << (octave - OCTAVE_BITS)
}

#[cfg(test)]
mod tests;
