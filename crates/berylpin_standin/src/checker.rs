//! Detection of guarantee violations from the records of stand-ins, which are independent of what
//! daemons report about themselves.

use berylpin_core::ids::Snapshot;
use berylpin_core::message::Row;
use berylpin_wire::caller::AnswerBody;
use serde::Serialize;
use std::ops::AddAssign;

/// The shards of a target as pairs of service and shard name; sorted.
pub type Layout = Vec<(String, String)>;

/// Number of violations of each guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Answers with rows of more than one snapshot, or of another than the stated one.
    pub mixed_snapshot: u64,
    /// Answers whose stated coverage differs from the shards of their rows.
    pub false_coverage: u64,
    /// Answers with a row of another lookup or of none, and results of a non-idempotent request
    /// that are those of another request or that no upstream ran.
    pub crossed_answer: u64,
    /// Non-idempotent requests executed more than once.
    pub ran_twice: u64,
    /// Refusals with the verdict "not run" of a request that an upstream ran.
    pub false_not_run: u64,
    /// Requests that arrived at a draining upstream more than the grace period after the start of
    /// the drain.
    pub work_after_drain: u64,
    /// Queries that ended with a connection error or a malformed response at a daemon after its
    /// graceful shutdown began.
    pub cut_by_stop: u64,
    /// Times that a daemon returned to an older document.
    pub reverted_config: u64,
    /// Accepted changes of documents that the platform does not hold.
    pub lost_accepted_change: u64,
}

impl Violations {
    /// Returns the number of violations of all guarantees.
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

/// The lookup, shard and snapshot that produced a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The text of the lookup.
    pub lookup: String,
    /// Service and name of the shard.
    pub shard: (String, String),
    /// The snapshot that was read.
    pub snapshot: Snapshot,
}

impl Origin {
    /// Returns a row that encodes the origin.
    pub fn row(&self) -> Row {
        let (service, shard) = &self.shard;
        let key = format!("{}/{service}/{shard}", self.lookup);
        Row { key, value: self.snapshot.0.to_string() }
    }

    /// Decodes the origin of a row; `None` if the row does not encode one.
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

/// Checks an answer to a lookup; its shards must match one of the layouts.
pub fn check_answer(lookup: &str, layouts: &[Layout], answer: &AnswerBody) -> Violations {
    let origins: Vec<Option<Origin>> = answer.rows.iter().map(Origin::of).collect();
    let crossed = |origin: &Option<Origin>| origin.as_ref().is_none_or(|o| o.lookup != lookup);
    let wrong_snapshot = |origin: &Origin| origin.snapshot != answer.snapshot;
    let mut shards: Layout = origins.iter().flatten().map(|origin| origin.shard.clone()).collect();
    let answered = shards.len();
    let missing = &answer.coverage.missing;
    shards.extend(missing.iter().map(|m| (m.service.clone(), m.shard.clone())));
    shards.sort_unstable();
    let coverage_matches = layouts.contains(&shards)
        && answer.coverage.answered as usize == answered
        && answer.coverage.asked as usize == shards.len()
        && answer.complete == missing.is_empty();
    Violations {
        mixed_snapshot: u64::from(origins.iter().flatten().any(wrong_snapshot)),
        false_coverage: u64::from(!coverage_matches),
        crossed_answer: u64::from(origins.iter().any(crossed)),
        ..Violations::default()
    }
}

/// Counts lookups refused as not run although an upstream ran them; `ran` must be sorted.
pub fn count_false_not_run(refused: impl Iterator<Item = u64>, ran: &[u64]) -> u64 {
    refused.filter(|lookup| ran.binary_search(lookup).is_ok()).count() as u64
}

/// Counts requests that were executed more than once; `executed` has one element per execution.
pub fn count_duplicate_runs(mut executed: Vec<String>) -> u64 {
    executed.sort_unstable();
    executed.chunk_by(|a, b| a == b).filter(|same| same.len() > 1).count() as u64
}

/// Counts decreases in the sequence of revisions that one daemon routed by.
pub fn count_reverted_revisions(revisions: &[u64]) -> u64 {
    revisions.windows(2).filter(|pair| pair[1] < pair[0]).count() as u64
}

/// Counts accepted changes, as version and text, that are not among all `stored` versions.
pub fn count_lost_changes(accepted: &[(u64, String)], stored: &[(u64, String)]) -> u64 {
    accepted.iter().filter(|change| !stored.contains(change)).count() as u64
}

#[cfg(test)]
mod tests;
