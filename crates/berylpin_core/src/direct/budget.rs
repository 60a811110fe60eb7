//! The fleet's budget of extra attempts, as one daemon may use it.

use crate::ids::{Key, ServiceId};
use std::time::{Duration, Instant};

/// The part of the slack that daemons use up between them; the rest is left for daemons that are not
/// known yet.
const SLACK_SHARE: f64 = 0.8;

/// The part of the ratio that requests earn, and how fast what they earned is forgotten, in windows. With
/// both a window never holds more than its own requests may earn: 0.9 x (1 + 0.1) < 1.
const RATIO_SHARE: f64 = 0.9;
const EARNED_DECAY_WINDOWS: f64 = 0.1;

/// The part of a daemon's slack that is there at once; the rest comes back over the window. Any
/// window holds at most this and what comes back meanwhile.
const BURST_SHARE: f64 = 0.5;

/// What bounds the extra attempts at a service, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraLimits {
    /// Extra attempts as a share of the requests.
    pub ratio: f64,
    /// Extra attempts in each window beside the share.
    pub slack: f64,
    /// The window; any span of this length counts.
    pub window: Duration,
}

/// The bucket of one service.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Earned by requests and fading; at least 0.
    earned: f64,
    /// Part of the slack; from 0 to the burst.
    slack: f64,
    updated: Instant,
}

/// The budgets of all services.
///
/// Requests earn their ratio and time brings back the daemon's part of the slack, so the sum over all
/// daemons stays within the limits in each window without any exchange.
#[derive(Debug)]
pub(super) struct Budgets {
    limits: ExtraLimits,
    /// Indexed by service.
    buckets: Vec<Option<Bucket>>,
}

impl Budgets {
    pub(super) fn new(limits: ExtraLimits) -> Self {
        Self { limits, buckets: Vec::new() }
    }

    /// Counts a request for a service.
    pub(super) fn add_request(&mut self, service: ServiceId, fleet_size: u32, now: Instant) {
        let ratio = self.limits.ratio * RATIO_SHARE;
        self.bucket(service, fleet_size, now).earned += ratio;
    }

    /// Takes an extra attempt at a service, if there is one left.
    pub(super) fn try_spend(&mut self, service: ServiceId, fleet_size: u32, now: Instant) -> bool {
        let bucket = self.bucket(service, fleet_size, now);
        for source in [&mut bucket.earned, &mut bucket.slack] {
            if *source >= 1.0 {
                *source -= 1.0;
                return true;
            }
        }
        let allowed = bucket.earned + bucket.slack >= 1.0;
        if allowed {
            bucket.slack -= 1.0 - bucket.earned;
            bucket.earned = 0.0;
        }
        allowed
    }

    /// Returns what is left for a service.
    pub(super) fn remaining(&mut self, service: ServiceId, fleet_size: u32, now: Instant) -> f64 {
        let bucket = self.bucket(service, fleet_size, now);
        bucket.earned + bucket.slack
    }

    fn bucket(&mut self, service: ServiceId, fleet_size: u32, now: Instant) -> &mut Bucket {
        let index = service.index();
        if self.buckets.len() <= index {
            self.buckets.resize(index + 1, None);
        }
        let share = self.limits.slack * SLACK_SHARE / f64::from(fleet_size.max(1));
        let burst = share * BURST_SHARE;
        let fresh = Bucket { earned: 0.0, slack: burst, updated: now };
        let bucket = self.buckets[index].get_or_insert(fresh);
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        let windows = elapsed / self.limits.window.as_secs_f64();
        bucket.slack = (bucket.slack + share * (1.0 - BURST_SHARE) * windows).min(burst);
        bucket.earned *= (-windows / EARNED_DECAY_WINDOWS).exp();
        bucket.updated = now;
        bucket
    }
}

#[cfg(test)]
mod tests;
