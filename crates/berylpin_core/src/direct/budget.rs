//! This daemon's share of the budget of extra attempts.

use super::view::Standing;
use crate::ids::{Key, ServiceId};
use std::time::{Duration, Instant};

/// The share of the slack that is dealt to all daemons, for rescues.
const COMMON_FRACTION: f64 = 0.5;

/// The share of the slack that is dealt to the owners of the service's groups, which send most
/// attempts. The rest is reserved for daemons that this one does not know yet, and for moments at
/// which two daemons take themselves for the owner.
const OWNER_FRACTION: f64 = 0.3;

/// The least part of the slack that is of use: one attempt at once, and half an attempt that is
/// refilled over a window. In a fleet whose common slack does not suffice for all, only so many
/// daemons as can have this much get a part.
const MIN_SLACK: f64 = 1.5;

/// The share of `ExtraLimits::ratio` that a request earns as credit.
///
/// Extra attempts of a window are paid from the credit of its own requests and the undecayed credit
/// of earlier ones, which amounts to at most `EARNED_DECAY_WINDOWS` windows of requests at a steady
/// rate. Both together stay within the ratio: 0.9 x (1 + 0.1) < 1.
const RATIO_FRACTION: f64 = 0.9;

/// The time constant with which earned credit decays, in windows.
const EARNED_DECAY_WINDOWS: f64 = 0.1;

/// The share of a daemon's slack that can be spent at once, but at least one attempt; the rest is
/// refilled over a window. Spending in any window is at most the burst plus the refill.
const BURST_FRACTION: f64 = 0.5;

/// The extra attempts that late answers leave to those that can still be in time.
const LATE_RESERVE: f64 = 1.0;

/// The limits of extra attempts at a service, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraLimits {
    /// Extra attempts as a share of the requests in a window.
    pub ratio: f64,
    /// Extra attempts in a window in addition to the share.
    pub slack: f64,
    /// The length of the window; the limits hold in every interval of this length.
    pub window: Duration,
}

/// The token bucket of one service.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Credit earned by requests, which decays; at least 0.
    earned: f64,
    /// Credit from the slack, from 0 to the burst.
    slack: f64,
    updated: Instant,
}

/// The budgets of all services.
///
/// Requests earn credit by the ratio at the daemon that sends the first attempt. Slack is dealt in
/// parts of at least one whole attempt and refilled over time: the owners of a service, which
/// retry most, share a large part, and a small part lets an entry rescue what an owner lost. The
/// sum over all daemons thus stays within the limits in every window, without communication.
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

    /// Puts other limits in force; credit that was earned under a higher ratio shrinks with it.
    pub(super) fn set_limits(&mut self, limits: ExtraLimits) {
        let kept =
            if limits.ratio < self.limits.ratio { limits.ratio / self.limits.ratio } else { 1.0 };
        for bucket in self.buckets.iter_mut().flatten() {
            bucket.earned *= kept;
        }
        self.limits = limits;
    }

    /// Adds the credit of a request for a service.
    pub(super) fn add_request(&mut self, service: ServiceId, standing: Standing, now: Instant) {
        let ratio = self.limits.ratio * RATIO_FRACTION;
        self.bucket(service, standing, now).earned += ratio;
    }

    /// Spends the credit for an extra attempt at a service; returns false if there is too little.
    ///
    /// An attempt for an answer that is no longer `in_time` leaves `LATE_RESERVE`.
    pub(super) fn try_spend(
        &mut self,
        service: ServiceId,
        standing: Standing,
        in_time: bool,
        now: Instant,
    ) -> bool {
        let bucket = self.bucket(service, standing, now);
        if !in_time && bucket.earned + bucket.slack < 1.0 + LATE_RESERVE {
            return false;
        }
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

    /// Returns the extra attempts left for a service.
    pub(super) fn remaining(
        &mut self,
        service: ServiceId,
        standing: Standing,
        now: Instant,
    ) -> f64 {
        let bucket = self.bucket(service, standing, now);
        bucket.earned + bucket.slack
    }

    /// Returns the bucket of a service, refilled and decayed up to `now`.
    fn bucket(&mut self, service: ServiceId, standing: Standing, now: Instant) -> &mut Bucket {
        let index = service.index();
        if self.buckets.len() <= index {
            self.buckets.resize(index + 1, None);
        }
        let share = slack_share(self.limits.slack, standing);
        let burst = if share < 1.0 { 0.0 } else { (share * BURST_FRACTION).max(1.0) };
        let fresh = Bucket { earned: 0.0, slack: burst, updated: now };
        let bucket = self.buckets[index].get_or_insert(fresh);
        let elapsed = now.saturating_duration_since(bucket.updated).as_secs_f64();
        let windows = elapsed / self.limits.window.as_secs_f64();
        bucket.slack = (bucket.slack + (share - burst).max(0.0) * windows).min(burst);
        bucket.earned *= (-windows / EARNED_DECAY_WINDOWS).exp();
        bucket.updated = now;
        bucket
    }
}

/// Returns the slack that a daemon may spend in a window.
fn slack_share(slack: f64, standing: Standing) -> f64 {
    let Standing { fleet_size, owners, is_owner, lot } = standing;
    let common = slack * COMMON_FRACTION;
    let parts = f64::from(fleet_size.max(1)).min(common / MIN_SLACK);
    let selected = lot * f64::from(fleet_size) < parts;
    let common_share = if selected { common / parts } else { 0.0 };
    let owner_share =
        if is_owner { slack * OWNER_FRACTION / f64::from(owners.max(1)) } else { 0.0 };
    common_share + owner_share
}

#[cfg(test)]
mod tests;
