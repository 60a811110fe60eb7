//! Hedges of the last shards of a query.

use super::coordinator::{Coordinator, Timer};
use super::event::Action;
use super::progress::{Progress, ShardState};
use super::replicas::Replicas;
use super::state::Query;
use crate::arena::SlabKey;
use crate::decision::AttemptCause;
use std::time::{Duration, Instant};

/// The shortest age of an attempt that is hedged.
const HEDGE_FLOOR: Duration = Duration::from_millis(1);

/// When a hedge that the budget did not allow is tried again.
const HEDGE_RECHECK: Duration = Duration::from_millis(10);

/// The part of a query's time after which an attempt at an unmeasured replica is hedged, as a
/// divisor.
const UNMEASURED_SHARE: u32 = 2;

/// What is to happen to an open shard, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Hedge(Instant),
    Unpark(Instant),
}

impl Coordinator {
    /// Sets the wake-up of a query to the earliest step of its shards.
    pub(super) fn plan_wake(&mut self, now: Instant, key: SlabKey) {
        let Some(query) = self.queries.get(key) else { return };
        let steps = query.shards.iter().filter_map(|p| next_step(query, p, &self.replicas));
        let due = steps.map(Step::due).min();
        if let Some(due) = due.filter(|due| *due < query.deadline) {
            self.set_wake(key, due.max(now));
        }
    }

    /// Wakes a query at the given time, unless it wakes earlier.
    pub(super) fn set_wake(&mut self, key: SlabKey, at: Instant) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if query.wake.is_none_or(|known| at < known) {
            query.wake = Some(at);
            self.set_timer(at, key, Timer::Wake);
        }
    }

    /// Takes the steps of a query that are due.
    pub(super) fn wake(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if query.wake.is_none_or(|at| at > now) {
            return;
        }
        query.wake = None;
        let mut postponed = false;
        for position in 0..query.shards.len() as u32 {
            let Some(query) = self.queries.get(key) else { return };
            let progress = &query.shards[position as usize];
            match next_step(query, progress, &self.replicas).filter(|step| step.due() <= now) {
                Some(Step::Hedge(_)) => postponed |= !self.hedge(now, key, position, out),
                Some(Step::Unpark(_)) => {
                    if let Some(parked) = progress.parked {
                        self.unpark(now, key, position, parked, out);
                    }
                }
                None => {}
            }
        }
        self.plan_later(now, key, postponed);
        self.settle(now, key, out);
    }

    fn plan_later(&mut self, now: Instant, key: SlabKey, postponed: bool) {
        let Some(query) = self.queries.get(key) else { return };
        let steps = query.shards.iter().filter_map(|p| next_step(query, p, &self.replicas));
        let later = steps.map(Step::due).filter(|due| *due > now).min();
        let recheck = postponed.then_some(now + HEDGE_RECHECK);
        let next = later.into_iter().chain(recheck).min();
        if let Some(next) = next.filter(|next| *next < query.deadline) {
            self.set_wake(key, next);
        }
    }

    /// Avoids the owner of a late attempt if it said nothing since; returns whether it is lost.
    ///
    /// A lost owner answers none of several attempts. Overload looks the same for a moment, so
    /// an owner does not count as lost while the budget is closed.
    fn suspect_owner(&mut self, now: Instant, key: SlabKey, position: u32) -> bool {
        let Some(query) = self.queries.get(key) else { return false };
        let progress = &query.shards[position as usize];
        let Some((_, attempt)) = progress.open().next() else { return false };
        let owners = &mut self.replicas.owners;
        if !owners.is_silent_since(attempt.owner, attempt.sent_at(query.started)) {
            return false;
        }
        owners.avoid(now, attempt.owner);
        let calm = self.budgets[progress.service][query.rank.index()].is_open(now);
        calm && owners.has_many_open(attempt.owner)
    }

    /// Sends a hedge on a replica that was not tried; returns false if the budget has none left.
    fn hedge(&mut self, now: Instant, key: SlabKey, position: u32, out: &mut Vec<Action>) -> bool {
        let lost = self.suspect_owner(now, key, position);
        let route = self.choose(now, key, position);
        let Some(query) = self.queries.get_mut(key) else { return true };
        let time_left = query.deadline.saturating_duration_since(now);
        let rank = query.rank.index();
        let progress = &mut query.shards[position as usize];
        let Some(route) =
            route.filter(|route| !route.tried && route.healthy && route.delay < time_left)
        else {
            progress.hedged = true;
            return true;
        };
        if !lost && !self.budgets[progress.service][rank].try_withdraw(now) {
            return false;
        }
        progress.hedged = true;
        let cause = if lost { AttemptCause::Reroute } else { AttemptCause::Hedge };
        self.attempt(now, key, position, route, cause, out);
        true
    }
}

impl Step {
    fn due(self) -> Instant {
        match self {
            Self::Hedge(at) | Self::Unpark(at) => at,
        }
    }
}

/// Returns the next step of a shard, if it has one.
fn next_step(query: &Query, progress: &Progress, replicas: &Replicas) -> Option<Step> {
    if progress.state != ShardState::Open {
        return None;
    }
    if let Some(parked) = progress.parked {
        return Some(Step::Unpark(query.moment(parked.due)));
    }
    if progress.hedged || !progress.may_retry() {
        return None;
    }
    let (_, attempt) = progress.open().next()?;
    let unmeasured = (query.deadline - query.started) / UNMEASURED_SHARE;
    let delay = replicas.hedge_delay(attempt.replica, query.few_left).unwrap_or(unmeasured);
    Some(Step::Hedge(query.moment(attempt.sent) + delay.max(HEDGE_FLOOR)))
}
