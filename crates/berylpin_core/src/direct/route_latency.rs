//! Work times of replicas by route, measured per thread.

use super::view::RouteId;
use crate::latency::LatencyHistogram;
use std::time::Duration;

/// The number of samples between two computations of a route's percentiles.
const REFRESH_SAMPLES: u32 = 16;

/// The assumed median work time until one is measured, as a share of the route's target latency.
const INITIAL_MEDIAN_FRACTION: f64 = 0.15;

/// An attempt is late once it exceeds this percentile of work times, times a factor that allows for
/// the width of a histogram bucket.
const LATE_PERCENT: u32 = 90;
const LATE_FACTOR: f64 = 1.15;

/// Bounds of the lateness threshold, in medians. An attempt queued behind one other request is not
/// late, and many stalls in the samples do not raise the threshold to the length of a stall.
const LATE_MIN_MEDIANS: f64 = 1.6;
const LATE_MAX_MEDIANS: f64 = 3.0;

/// Added to each threshold, because timers fire late.
const TIMER_MARGIN: Duration = Duration::from_millis(2);

/// Work times of one route, over all replicas; round trips are excluded.
#[derive(Debug)]
struct RouteLatency {
    route: RouteId,
    latency: LatencyHistogram,
    new_samples: u32,
    median: Duration,
    late_after: Duration,
}

/// Work times of all routes in use.
#[derive(Debug, Default)]
pub(super) struct RouteLatencies {
    /// Sorted by route.
    routes: Vec<RouteLatency>,
}

impl RouteLatencies {
    /// Records the work time of an answered attempt.
    pub(super) fn record(&mut self, route: RouteId, work_time: Duration) {
        let index = match self.position(route) {
            Ok(index) => index,
            Err(index) => {
                let latency = LatencyHistogram::default();
                let (median, late_after) = (Duration::ZERO, Duration::ZERO);
                self.routes.insert(
                    index,
                    RouteLatency { route, latency, new_samples: 0, median, late_after },
                );
                index
            }
        };
        let entry = &mut self.routes[index];
        entry.latency.record(work_time);
        entry.new_samples += 1;
        if entry.new_samples >= REFRESH_SAMPLES {
            entry.new_samples = 0;
            entry.median = entry.latency.percentile(50);
            let threshold = entry.latency.percentile(LATE_PERCENT).mul_f64(LATE_FACTOR);
            entry.late_after = threshold.clamp(
                entry.median.mul_f64(LATE_MIN_MEDIANS),
                entry.median.mul_f64(LATE_MAX_MEDIANS),
            );
        }
    }

    /// Returns the median work time on a route, or an estimate from its target latency.
    pub(super) fn median(&self, route: RouteId, target: Duration) -> Duration {
        self.measured(route).map_or(target.mul_f64(INITIAL_MEDIAN_FRACTION), |entry| entry.median)
    }

    /// Returns the work time from which an attempt on a route is late.
    pub(super) fn lateness_threshold(&self, route: RouteId, target: Duration) -> Duration {
        let late = self
            .measured(route)
            .map_or(target.mul_f64(INITIAL_MEDIAN_FRACTION * LATE_MAX_MEDIANS), |entry| {
                entry.late_after
            });
        late + TIMER_MARGIN
    }

    /// Removes the routes that `keep` rejects.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(RouteId) -> bool,
    {
        self.routes.retain(|entry| keep(entry.route));
    }

    fn measured(&self, route: RouteId) -> Option<&RouteLatency> {
        let entry = &self.routes[self.position(route).ok()?];
        (entry.median > Duration::ZERO).then_some(entry)
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.routes.binary_search_by_key(&route, |entry| entry.route)
    }
}
