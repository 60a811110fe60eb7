//! The state of one query: its shards, merged rows and result.

use super::answer::{Answer, Coverage, Missing, Refusal, RefusalReason};
use super::event::{Request, Ticket};
use super::progress::{ShardProgress, ShardState};
use crate::control::Topology;
use crate::ids::{QueryTag, ServiceId, ShardId, Snapshot};
use crate::limits::{CoverageTally, HINT_TTL};
use crate::message::{FailReason, Row};
use crate::rank::Rank;
use crate::verdict::Verdict;
use bytes::Bytes;
use std::time::{Duration, Instant};

/// The time left on arrival divided by this is reserved for delivering the answer, up to
/// `MAX_ANSWER_MARGIN`.
const ANSWER_MARGIN_DIVISOR: u32 = 20;

/// The maximum time reserved for delivering the answer.
const MAX_ANSWER_MARGIN: Duration = Duration::from_millis(2);

/// The open shards of a query count as the last few if there are at most as many as all its shards
/// divided by this, or a single one.
const FEW_LEFT_DIVISOR: u32 = 20;

/// The number of rows above twice the limit of the request at which the surplus is dropped; avoids
/// selecting the smallest rows on every merge.
const ROW_SLACK: usize = 1024;

/// A query in progress.
#[derive(Debug)]
pub(super) struct Query {
    pub(super) ticket: Ticket,
    pub(super) tag: QueryTag,
    pub(super) rank: Rank,
    pub(super) started: Instant,
    /// The latest time of the answer; the caller's deadline less the margin for its delivery.
    pub(super) deadline: Instant,
    limit: usize,
    pub(super) body: Bytes,
    /// `None` until the snapshot is chosen; unchanged for the rest of the run.
    pub(super) snapshot: Option<Snapshot>,
    /// Whether this is the second run, on a newer snapshot.
    pub(super) restarted: bool,
    /// The combined verdict of the first run's sub-queries; `NotRun` during the first run.
    first_run_verdict: Verdict,
    /// In the order of the target's shards.
    pub(super) shards: Vec<ShardProgress>,
    /// The number of shards in state `Open`.
    pub(super) open_shards: u32,
    /// Whether a shard was marked missing because it no longer serves the snapshot.
    pub(super) snapshot_expired: bool,
    /// Rows of the shards in state `Answered`, all from `snapshot`; without those that were trimmed
    /// because they exceed the limit.
    pub(super) rows: Vec<Row>,
    /// When the next wake-up is due, if one is scheduled.
    pub(super) wake_at: Option<Instant>,
    /// Whether only the last few shards are open, whose attempts are hedged earlier.
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
        let progress = |&shard| ShardProgress::new(shard, topology.shards[shard].service);
        let margin = MAX_ANSWER_MARGIN.min(request.time_left / ANSWER_MARGIN_DIVISOR);
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
            first_run_verdict: Verdict::NotRun,
            shards: shards.iter().map(progress).collect(),
            open_shards: shards.len() as u32,
            snapshot_expired: false,
            rows: Vec::new(),
            wake_at: None,
            few_left: false,
        }
    }

    /// Resets the query for a second run; keeps the verdict of the first run.
    pub(super) fn restart(mut self) -> Self {
        self.first_run_verdict = self.verdict();
        self.restarted = true;
        self.snapshot = None;
        self.snapshot_expired = false;
        self.rows.clear();
        self.open_shards = self.shards.len() as u32;
        self.wake_at = None;
        self.few_left = false;
        for progress in &mut self.shards {
            *progress = ShardProgress::new(progress.shard, progress.service);
        }
        self
    }

    /// Returns the time since the query started, in microseconds.
    pub(super) fn micros_since_start(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.started).as_micros();
        elapsed.min(u128::from(u32::MAX)) as u32
    }

    /// Returns the instant the given number of microseconds after the start.
    pub(super) fn instant_at(&self, micros: u32) -> Instant {
        self.started + Duration::from_micros(micros.into())
    }

    /// Merges the rows of a shard; returns false if the shard is answered already.
    pub(super) fn merge_rows(&mut self, position: u32, rows: Vec<Row>) -> bool {
        let progress = &mut self.shards[position as usize];
        if progress.state == ShardState::Answered {
            return false;
        }
        if progress.state == ShardState::Open {
            self.open_shards -= 1;
        }
        progress.state = ShardState::Answered;
        progress.pending_retry = None;
        self.rows.extend(rows);
        if self.rows.len() > self.limit.saturating_mul(2).saturating_add(ROW_SLACK) {
            self.trim_rows();
        }
        true
    }

    /// Sets `few_left` once only the last few shards are open; returns whether it was set now.
    pub(super) fn update_few_left(&mut self) -> bool {
        let few = (self.shards.len() as u32 / FEW_LEFT_DIVISOR).max(1);
        let newly_set = !self.few_left && self.open_shards > 0 && self.open_shards <= few;
        self.few_left |= newly_set;
        newly_set
    }

    /// Marks an open shard as missing.
    pub(super) fn mark_missing(&mut self, position: u32, reason: FailReason) {
        let progress = &mut self.shards[position as usize];
        if progress.state == ShardState::Open {
            progress.state = ShardState::Missing(reason);
            progress.pending_retry = None;
            self.open_shards -= 1;
        }
    }

    /// Returns the combined verdict of all sub-queries, including those of the first run.
    pub(super) fn verdict(&self) -> Verdict {
        self.shards.iter().map(ShardProgress::verdict).fold(self.first_run_verdict, Verdict::and)
    }

    /// Returns the number of shards that are answered or still open.
    pub(super) fn shards_not_missing(&self) -> u32 {
        let missing = |p: &&ShardProgress| matches!(p.state, ShardState::Missing(_));
        (self.shards.len() - self.shards.iter().filter(missing).count()) as u32
    }

    /// Returns the answer or refusal for the caller.
    pub(super) fn result(mut self, now: Instant, topology: &Topology) -> Result<Answer, Refusal> {
        let missing: Vec<Missing> = self.shards.iter().filter_map(missing_shard).collect();
        let asked = self.shards.len() as u32;
        let answered = asked - missing.len() as u32;
        let Some(snapshot) = self.snapshot else {
            return Err(self.refusal(RefusalReason::NoSnapshot));
        };
        if answered == 0 || self.is_below_minimum_coverage(topology) {
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

    /// Returns a refusal with the verdict of all sub-queries.
    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        let retry_after = (reason == RefusalReason::Overloaded).then_some(HINT_TTL);
        Refusal { verdict: self.verdict(), reason, retry_after }
    }

    /// Returns whether any service is below its minimum coverage.
    fn is_below_minimum_coverage(&self, topology: &Topology) -> bool {
        let mut services: Vec<(ServiceId, CoverageTally)> = Vec::new();
        for progress in &self.shards {
            let failing = progress.state != ShardState::Answered;
            tally_shard(&mut services, progress.service, failing);
        }
        services.iter().any(|(service, tally)| {
            tally.is_below(topology.services[*service].settings.minimum_coverage)
        })
    }

    /// Keeps the smallest rows up to the limit, in any order.
    fn trim_rows(&mut self) {
        if self.rows.len() > self.limit {
            if self.limit > 0 {
                self.rows.select_nth_unstable(self.limit - 1);
            }
            self.rows.truncate(self.limit);
        }
    }
}

/// Adds a shard to the tally of its service; keeps `services` sorted by service.
pub(super) fn tally_shard(
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

fn missing_shard(progress: &ShardProgress) -> Option<Missing> {
    let reason = match progress.state {
        ShardState::Answered => return None,
        ShardState::Open => {
            progress.pending_retry.map_or(FailReason::Deadline, |retry| retry.reason)
        }
        ShardState::Missing(reason) => reason,
    };
    Some(Missing { shard: progress.shard, reason })
}
