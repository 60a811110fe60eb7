//! The state of one query.

use super::answer::{Answer, Coverage, Missing, Refusal, RefusalReason};
use super::event::{Request, Ticket};
use super::progress::{Progress, ShardState};
use crate::control::Topology;
use crate::ids::{QueryTag, ServiceId, ShardId, Snapshot};
use crate::limits::{CoverageTally, HINT_TTL};
use crate::message::{FailReason, Row};
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use std::time::{Duration, Instant};

/// The part of a caller's time that is kept for the way of the answer, as a divisor.
const ANSWER_SHARE: u32 = 20;

/// The most time that is kept for the way of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);

/// The share of a query's shards that counts as the last few, as a divisor.
const FEW_SHARE: u32 = 20;

/// Rows held beyond the limit of the request before the surplus is dropped.
const ROW_SLACK: usize = 1024;

/// One query.
#[derive(Debug)]
pub(super) struct Query {
    pub(super) ticket: Ticket,
    pub(super) tag: QueryTag,
    pub(super) rank: Rank,
    pub(super) started: Instant,
    /// When it is answered at the latest.
    pub(super) deadline: Instant,
    limit: usize,
    pub(super) body: Bytes,
    /// `None` until the snapshot is chosen; never changes afterwards.
    pub(super) snapshot: Option<Snapshot>,
    /// Whether it runs for the second time, on a newer snapshot.
    pub(super) restarted: bool,
    /// Over the sub-queries of the first run.
    earlier: Verdict,
    /// In the order of the target's shards.
    pub(super) shards: Vec<Progress>,
    /// Shards in state `Open`.
    pub(super) open: u32,
    /// Whether a shard went missing because it does not serve the snapshot any more.
    pub(super) snapshot_lost: bool,
    /// All from `snapshot`, of the shards in state `Answered`.
    pub(super) rows: Vec<Row>,
    /// When its next wake-up is due.
    pub(super) wake: Option<Instant>,
    /// Whether so few shards are open that their attempts are hedged early.
    pub(super) few_left: bool,
}

impl Query {
    pub(super) fn new(
        now: Instant,
        ticket: Ticket,
        tag: QueryTag,
        request: Request,
        topology: &Topology,
        shards: &[ShardId],
    ) -> Self {
        let progress = |&shard| Progress::new(shard, topology.shards[shard].service);
        let margin = ANSWER_MARGIN.min(request.time_left / ANSWER_SHARE);
        let time_left = request.time_left.saturating_sub(margin);
        Self {
            ticket,
            tag,
            rank: request.rank,
            started: now,
            deadline: now + time_left,
            limit: request.limit,
            body: request.body,
            snapshot: None,
            restarted: false,
            earlier: Verdict::NotRun,
            shards: shards.iter().map(progress).collect(),
            open: shards.len() as u32,
            snapshot_lost: false,
            rows: Vec::new(),
            wake: None,
            few_left: false,
        }
    }

    /// Returns the query as it starts again, without anything of its first run.
    pub(super) fn restart(mut self) -> Self {
        self.earlier = self.verdict();
        self.restarted = true;
        self.snapshot = None;
        self.snapshot_lost = false;
        self.rows.clear();
        self.open = self.shards.len() as u32;
        self.wake = None;
        self.few_left = false;
        for progress in &mut self.shards {
            *progress = Progress::new(progress.shard, progress.service);
        }
        self
    }

    /// Returns the time since the query started, in microseconds.
    pub(super) fn micros(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.started).as_micros();
        elapsed.min(u128::from(u32::MAX)) as u32
    }

    /// Returns the moment that lies the given microseconds after the start.
    pub(super) fn moment(&self, micros: u32) -> Instant {
        self.started + Duration::from_micros(micros.into())
    }

    /// Merges the rows of a shard; returns whether they are the first valid ones.
    pub(super) fn merge(&mut self, position: u32, rows: Vec<Row>) -> bool {
        let progress = &mut self.shards[position as usize];
        if progress.state == ShardState::Answered {
            return false;
        }
        if progress.state == ShardState::Open {
            self.open -= 1;
        }
        progress.state = ShardState::Answered;
        progress.parked = None;
        self.rows.extend(rows);
        if self.rows.len() > self.limit.saturating_mul(2).saturating_add(ROW_SLACK) {
            self.trim_rows();
        }
        true
    }

    /// Returns whether so few shards are left open now, for the first time.
    pub(super) fn becomes_few(&mut self) -> bool {
        let few = (self.shards.len() as u32 / FEW_SHARE).max(1);
        let becomes = !self.few_left && self.open > 0 && self.open <= few;
        self.few_left |= becomes;
        becomes
    }

    /// Gives a shard up.
    pub(super) fn miss(&mut self, position: u32, reason: FailReason) {
        let progress = &mut self.shards[position as usize];
        if progress.state == ShardState::Open {
            progress.state = ShardState::Missing(reason);
            progress.parked = None;
            self.open -= 1;
        }
    }

    /// Returns whether an upstream may have run any part of the query.
    pub(super) fn verdict(&self) -> Verdict {
        self.shards.iter().map(Progress::verdict).fold(self.earlier, Verdict::and)
    }

    /// Returns how many shards are answered or may still be.
    pub(super) fn hopeful(&self) -> u32 {
        let missing = |p: &&Progress| matches!(p.state, ShardState::Missing(_));
        (self.shards.len() - self.shards.iter().filter(missing).count()) as u32
    }

    /// Returns what the caller gets.
    pub(super) fn result(mut self, now: Instant, topology: &Topology) -> Result<Answer, Refusal> {
        let missing: Vec<Missing> = self.shards.iter().filter_map(missing_of).collect();
        let asked = self.shards.len() as u32;
        let answered = asked - missing.len() as u32;
        let Some(snapshot) = self.snapshot else {
            return Err(self.refusal(RefusalReason::NoSnapshot));
        };
        if answered == 0 || self.misses_minimum(topology) {
            let overloaded = missing.iter().any(|m| m.reason == FailReason::Overloaded);
            let reason = match () {
                () if overloaded => RefusalReason::Overloaded,
                () if now >= self.deadline => RefusalReason::Deadline,
                () => RefusalReason::Coverage,
            };
            return Err(self.refusal(reason));
        }
        self.trim_rows();
        self.rows.sort_unstable();
        Ok(Answer { snapshot, rows: self.rows, coverage: Coverage { asked, answered, missing } })
    }

    /// Returns a refusal with the verdict over all sub-queries.
    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        let retry_after = (reason == RefusalReason::Overloaded).then_some(HINT_TTL);
        Refusal { verdict: self.verdict(), reason, retry_after }
    }

    /// Returns whether any service stays below its minimum coverage.
    fn misses_minimum(&self, topology: &Topology) -> bool {
        let mut services: Vec<(ServiceId, CoverageTally)> = Vec::new();
        for progress in &self.shards {
            let failing = progress.state != ShardState::Answered;
            assess(&mut services, progress.service, failing);
        }
        services.iter().any(|(service, assessment)| {
            assessment.is_below(topology.services[*service].settings.minimum_coverage)
        })
    }

    /// Drops the rows that cannot be within the limit.
    fn trim_rows(&mut self) {
        if self.rows.len() > self.limit {
            if self.limit > 0 {
                self.rows.select_nth_unstable(self.limit - 1);
            }
            self.rows.truncate(self.limit);
        }
    }
}

/// Adds a shard to the assessment of its service; `services` is sorted by service.
pub(super) fn assess(
    services: &mut Vec<(ServiceId, CoverageTally)>,
    service: ServiceId,
    failing: bool,
) {
    let at = match services.binary_search_by_key(&service, |(id, _)| *id) {
        Ok(at) => at,
        Err(at) => {
            services.insert(at, (service, CoverageTally::default()));
            at
        }
    };
    services[at].1.add(failing);
}

fn missing_of(progress: &Progress) -> Option<Missing> {
    let reason = match progress.state {
        ShardState::Answered => return None,
        ShardState::Open => progress.parked.map_or(FailReason::Deadline, |parked| parked.reason),
        ShardState::Missing(reason) => reason,
    };
    Some(Missing { shard: progress.shard, reason })
}
