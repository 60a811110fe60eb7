//! Hedges of slow attempts, and the wake-ups of a query for hedges and delayed retries.

use super::coordinator::{Coordinator, Timer};
use super::event::Action;
use super::progress::{ShardProgress, ShardState};
use super::replicas::Replicas;
use super::state::Query;
use crate::arena::SlabKey;
use crate::decision::AttemptCause;
use std::time::{Duration, Instant};

/// The minimum age of an attempt before it is hedged.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// The time until a hedge that the budget did not allow is tried again.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// An attempt at a replica without latency samples is hedged after the whole time of its query
/// divided by this.
const UNMEASURED_DELAY_DIVISOR: u32 = 2;

/// The next hedge or retry at an open shard, with the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextAttempt {
    Hedge(Instant),
    Retry(Instant),
}

impl Coordinator {
    /// Schedules a wake-up for the earliest hedge or retry of a query.
    pub(super) fn schedule_wake(&mut self, now: Instant, key: SlabKey) {
        let Some(query) = self.queries.get(key) else { return };
        let scheduled = query.shards.iter().filter_map(|p| next_attempt(query, p, &self.replicas));
        let due = scheduled.map(NextAttempt::due).min();
        if let Some(due) = due.filter(|due| *due < query.deadline) {
            self.set_wake(key, due.max(now));
        }
    }

    /// Schedules a wake-up of a query, unless an earlier one is set.
    pub(super) fn set_wake(&mut self, key: SlabKey, at: Instant) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if query.wake_at.is_none_or(|scheduled| at < scheduled) {
            query.wake_at = Some(at);
            self.set_timer(at, key, Timer::Wake);
        }
    }

    /// Sends the hedges and retries of a query that are due.
    pub(super) fn send_due_attempts(&mut self, now: Instant, key: SlabKey, out: &mut Vec<Action>) {
        let Some(query) = self.queries.get_mut(key) else { return };
        if query.wake_at.is_none_or(|at| at > now) {
            return;
        }
        query.wake_at = None;
        let mut postponed = false;
        for position in 0..query.shards.len() as u32 {
            let Some(query) = self.queries.get(key) else { return };
            let progress = &query.shards[position as usize];
            match next_attempt(query, progress, &self.replicas).filter(|next| next.due() <= now) {
                Some(NextAttempt::Hedge(_)) => postponed |= !self.hedge(now, key, position, out),
                Some(NextAttempt::Retry(_)) => {
                    if let Some(pending_retry) = progress.pending_retry {
                        self.run_pending_retry(now, key, position, pending_retry, out);
                    }
                }
                None => {}
            }
        }
        self.schedule_next_wake(now, key, postponed);
        self.flush_and_try_finish(now, key, out);
    }

    /// Schedules the next wake-up after the current one, also for a hedge postponed by the budget.
    fn schedule_next_wake(&mut self, now: Instant, key: SlabKey, postponed: bool) {
        let Some(query) = self.queries.get(key) else { return };
        let scheduled = query.shards.iter().filter_map(|p| next_attempt(query, p, &self.replicas));
        let later = scheduled.map(NextAttempt::due).filter(|due| *due > now).min();
        let recheck = postponed.then_some(now + HEDGE_RECHECK_INTERVAL);
        let next = later.into_iter().chain(recheck).min();
        if let Some(next) = next.filter(|next| *next < query.deadline) {
            self.set_wake(key, next);
        }
    }

    /// Avoids the owner of a late attempt if nothing arrived from the owner since the attempt was
    /// sent; returns whether the owner counts as lost.
    ///
    /// A lost owner leaves several attempts unanswered. A short overload has the same symptoms, so
    /// no owner counts as lost while the budget is suspended.
    fn avoid_silent_owner(&mut self, now: Instant, key: SlabKey, position: u32) -> bool {
        let Some(query) = self.queries.get(key) else { return false };
        let progress = &query.shards[position as usize];
        let Some((_, attempt)) = progress.open_attempts().next() else { return false };
        let owners = &mut self.replicas.owners;
        if !owners.is_silent_since(attempt.owner, attempt.sent_at(query.started)) {
            return false;
        }
        owners.avoid(now, attempt.owner);
        let budget_active = self.budgets[progress.service][query.rank.index()].is_active(now);
        budget_active && owners.counts_as_lost_if_silent(attempt.owner)
    }

    /// Sends a hedge to an untried, healthy replica that can reply in time.
    ///
    /// Returns false if the budget does not allow the hedge now. A new attempt in place of a lost
    /// owner's needs no budget.
    fn hedge(&mut self, now: Instant, key: SlabKey, position: u32, out: &mut Vec<Action>) -> bool {
        let lost = self.avoid_silent_owner(now, key, position);
        let route = self.choose_route(now, key, position);
        let Some(query) = self.queries.get_mut(key) else { return true };
        let time_left = query.deadline.saturating_duration_since(now);
        let rank = query.rank.index();
        let progress = &mut query.shards[position as usize];
        let Some(route) =
            route.filter(|route| !route.tried && route.healthy && route.delay < time_left)
        else {
            progress.hedge_decided = true;
            return true;
        };
        if !lost && !self.budgets[progress.service][rank].try_withdraw(now) {
            return false;
        }
        progress.hedge_decided = true;
        let cause = if lost { AttemptCause::Reroute } else { AttemptCause::Hedge };
        self.queue_attempt(now, key, position, route, cause, out);
        true
    }
}

impl NextAttempt {
    fn due(self) -> Instant {
        match self {
            Self::Hedge(at) | Self::Retry(at) => at,
        }
    }
}

/// Returns the next hedge or retry of a shard, if any.
fn next_attempt(
    query: &Query,
    progress: &ShardProgress,
    replicas: &Replicas,
) -> Option<NextAttempt> {
    if progress.state != ShardState::Open {
        return None;
    }
    if let Some(pending_retry) = progress.pending_retry {
        return Some(NextAttempt::Retry(query.instant_at(pending_retry.due)));
    }
    if progress.hedge_decided || !progress.may_retry() {
        return None;
    }
    let (_, attempt) = progress.open_attempts().next()?;
    let unmeasured_delay = (query.deadline - query.started) / UNMEASURED_DELAY_DIVISOR;
    let delay = replicas.hedge_delay(attempt.replica, query.few_left).unwrap_or(unmeasured_delay);
    Some(NextAttempt::Hedge(query.instant_at(attempt.sent) + delay.max(MIN_HEDGE_DELAY)))
}
