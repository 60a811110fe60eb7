//! Counts broken promises from what stand-ins stored and ran, never from the daemons' word.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::Row;
use berylpin_wire::caller::AnswerBody;
use serde::Serialize;
use std::ops::AddAssign;

/// The service and name of each shard of a target; sorted.
pub type Layout = Vec<(String, String)>;

/// How often each promise was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Answers with rows of more than one snapshot, or of another one than they state.
    pub mixed_snapshot: u64,
    /// Answers whose rows come from other shards than they state.
    pub false_coverage: u64,
    /// Answers with rows that belong to another request.
    pub crossed_answer: u64,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: u64,
    /// Refusals that say "not run" of a request that an upstream ran.
    pub false_not_run: u64,
    /// Sub-queries that reached a leaving upstream too late.
    pub work_after_drain: u64,
    /// Requests without an answer at a daemon that stopped gracefully.
    pub cut_by_stop: u64,
    /// Daemons that went back to an older document.
    pub reverted_config: u64,
    /// Accepted changes that the platform does not hold.
    pub lost_accepted_change: u64,
}

impl Violations {
    /// Returns how many there are.
    pub fn total(&self) -> u64 {
        self.mixed_snapshot
            + self.false_coverage
            + self.crossed_answer
            + self.ran_twice
            + self.false_not_run
            + self.work_after_drain
            + self.cut_by_stop
            + self.reverted_config
            + self.lost_accepted_change
    }
}

impl AddAssign for Violations {
    fn add_assign(&mut self, other: Self) {
        self.mixed_snapshot += other.mixed_snapshot;
        self.false_coverage += other.false_coverage;
        self.crossed_answer += other.crossed_answer;
        self.ran_twice += other.ran_twice;
        self.false_not_run += other.false_not_run;
        self.work_after_drain += other.work_after_drain;
        self.cut_by_stop += other.cut_by_stop;
        self.reverted_config += other.reverted_config;
        self.lost_accepted_change += other.lost_accepted_change;
    }
}

/// Where a row comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// What was asked.
    pub lookup: String,
    /// The service and name of the shard.
    pub shard: (String, String),
    /// The snapshot.
    pub snapshot: Snapshot,
}

impl Origin {
    /// Returns the row of a shard; it names its origin.
    pub fn row(&self) -> Row {
        let (service, shard) = &self.shard;
        let key = format!("{}/{service}/{shard}", self.lookup);
        Row { key, value: self.snapshot.0.to_string() }
    }

    /// Reads the origin of a row; `None` if no stand-in made the row.
    pub fn of(row: &Row) -> Option<Self> {
        let (rest, shard) = row.key.rsplit_once('/')?;
        let (lookup, service) = rest.rsplit_once('/')?;
        Some(Self {
            lookup: lookup.to_owned(),
            shard: (service.to_owned(), shard.to_owned()),
            snapshot: Snapshot(row.value.parse().ok()?),
        })
    }
}

/// Checks an answer; it may follow any of the layouts.
pub fn check_answer(lookup: &str, layouts: &[Layout], answer: &AnswerBody) -> Violations {
    let origins: Vec<Option<Origin>> = answer.rows.iter().map(Origin::of).collect();
    let crossed = |origin: &Option<Origin>| origin.as_ref().is_none_or(|o| o.lookup != lookup);
    let other = |origin: &Origin| origin.snapshot != answer.snapshot;
    let mut shards: Layout = origins.iter().flatten().map(|origin| origin.shard.clone()).collect();
    let answered = shards.len();
    let missing = &answer.coverage.missing;
    shards.extend(missing.iter().map(|m| (m.service.clone(), m.shard.clone())));
    shards.sort_unstable();
    let true_coverage = layouts.contains(&shards)
        && answer.coverage.answered as usize == answered
        && answer.coverage.asked as usize == shards.len()
        && answer.complete == missing.is_empty();
    Violations {
        mixed_snapshot: u64::from(origins.iter().flatten().any(other)),
        false_coverage: u64::from(!true_coverage),
        crossed_answer: u64::from(origins.iter().any(crossed)),
        ..Violations::default()
    }
}

/// Counts requests that were refused as not run although an upstream ran them; `ran` is sorted.
pub fn count_false_not_run(refused: impl Iterator<Item = u64>, ran: &[u64]) -> u64 {
    refused.filter(|lookup| ran.binary_search(lookup).is_ok()).count() as u64
}

/// Counts keys that stand more than once in the record of executions.
pub fn count_duplicate_runs(mut keys: Vec<String>) -> u64 {
    keys.sort_unstable();
    keys.chunk_by(|a, b| a == b).filter(|run| run.len() > 1).count() as u64
}

/// Counts steps back in the revisions by which one daemon routed.
pub fn count_reverted_revisions(revisions: &[u64]) -> u64 {
    revisions.windows(2).filter(|pair| pair[1] < pair[0]).count() as u64
}

/// Counts accepted versions that the platform never stored; `stored` holds every version stored.
pub fn count_lost_changes(accepted: &[(u64, String)], stored: &[(u64, String)]) -> u64 {
    accepted.iter().filter(|change| !stored.contains(change)).count() as u64
}

#[cfg(test)]
mod tests;
