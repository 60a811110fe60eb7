//! How long replicas take, as one thread sees it.

use super::view::RouteId;
use crate::latency::Latency;
use std::time::Duration;

/// Samples between two computations of a route's quantiles.
const REFRESH: u32 = 16;

/// What an attempt takes before any was measured, as a share of the route's target.
const FIRST_GUESS: f64 = 0.15;

/// An attempt is late once it takes longer than the slowest tenth, with some room above the bucket.
const LATE_PERCENT: u32 = 90;
const LATE_ROOM: f64 = 1.15;

/// Bounds of the lateness threshold in medians: queueing behind one other request is not late, and
/// a tail full of stalls does not make stalls the norm.
const LATE_MIN: f64 = 1.6;
const LATE_MAX: f64 = 3.0;

/// Added to each threshold for timers that fire late.
const LATE_MARGIN: Duration = Duration::from_millis(2);

/// Work times of one route, over all replicas and without the way there and back.
#[derive(Debug)]
struct RouteLatency {
    route: RouteId,
    latency: Latency,
    unseen: u32,
    median: Duration,
    late: Duration,
}

/// Work times of all routes that are in use.
#[derive(Debug, Default)]
pub(super) struct RouteLatencies {
    /// Sorted by route.
    routes: Vec<RouteLatency>,
}

impl RouteLatencies {
    /// Adds the work time of an attempt that was answered.
    pub(super) fn record(&mut self, route: RouteId, work: Duration) {
        let index = match self.position(route) {
            Ok(index) => index,
            Err(index) => {
                let latency = Latency::default();
                let (median, late) = (Duration::ZERO, Duration::ZERO);
                self.routes.insert(index, RouteLatency { route, latency, unseen: 0, median, late });
                index
            }
        };
        let pace = &mut self.routes[index];
        pace.latency.record(work);
        pace.unseen += 1;
        if pace.unseen >= REFRESH {
            pace.unseen = 0;
            pace.median = pace.latency.percentile(50);
            let slow = pace.latency.percentile(LATE_PERCENT).mul_f64(LATE_ROOM);
            pace.late = slow.clamp(pace.median.mul_f64(LATE_MIN), pace.median.mul_f64(LATE_MAX));
        }
    }

    /// Returns the median work time on a route.
    pub(super) fn median(&self, route: RouteId, target: Duration) -> Duration {
        self.known(route).map_or(target.mul_f64(FIRST_GUESS), |pace| pace.median)
    }

    /// Returns the work time from which an attempt on a route counts as late.
    pub(super) fn late(&self, route: RouteId, target: Duration) -> Duration {
        let late = self.known(route).map_or(target.mul_f64(FIRST_GUESS * LATE_MAX), |p| p.late);
        late + LATE_MARGIN
    }

    /// Forgets the routes that `keep` turns down.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(RouteId) -> bool,
    {
        self.routes.retain(|pace| keep(pace.route));
    }

    fn known(&self, route: RouteId) -> Option<&RouteLatency> {
        let pace = &self.routes[self.position(route).ok()?];
        (pace.median > Duration::ZERO).then_some(pace)
    }

    fn position(&self, route: RouteId) -> Result<usize, usize> {
        self.routes.binary_search_by_key(&route, |pace| pace.route)
    }
}
