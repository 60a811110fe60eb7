//! Log output; each line starts with the part that wrote it.

use crate::log_levels::LogLevels;
use berylpin_core::decision::Decision;
use slog::{Drain, Logger, debug, info, o};
use slog_async::{Async, OverflowStrategy};
use std::io::Write;
use std::ops::Deref;

/// Queue capacity of a log that receives every decision, in records.
///
/// The queue allocates about 130 bytes per record at the start.
pub const DECISION_LOG_CAPACITY: usize = 16 * 1024;

/// Queue capacity of a log with a bounded rate of lines, in records.
///
/// Leaves room for all replicas of a large service to change at once.
pub const BOUNDED_LOG_CAPACITY: usize = 2 * 1024;

/// The output format of log records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for people.
    Text,
    /// One JSON object per line.
    Json,
}

/// A logger with its adjustable levels.
#[derive(Clone, Debug)]
pub struct Log {
    logger: Logger,
    levels: LogLevels,
}

impl Log {
    /// Returns the logger alone, for code that logs no decisions.
    pub(crate) fn logger(&self) -> Logger {
        self.logger.clone()
    }

    /// Returns the levels, which can be changed while the daemon runs.
    pub fn levels(&self) -> &LogLevels {
        &self.levels
    }
}

impl Deref for Log {
    type Target = Logger;

    fn deref(&self) -> &Logger {
        &self.logger
    }
}

/// Opens a log that never blocks the caller.
///
/// The log drops and counts the records that exceed the `capacity` of its queue.
pub fn open_log<W>(format: LogFormat, capacity: usize, writer: W) -> Log
where
    W: Write + Send + 'static,
{
    let levels = LogLevels::default();
    let drain = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(writer);
            async_drain(slog_term::FullFormat::new(decorator).build().ignore_res(), capacity)
        }
        LogFormat::Json => async_drain(slog_json::Json::default(writer).ignore_res(), capacity),
    };
    let filter = levels.clone();
    let drain = slog::Filter::new(drain, move |record| filter.is_enabled(record));
    Log { logger: Logger::root(drain.fuse(), o!()), levels }
}

/// Returns a log that discards all records.
pub fn discard_log() -> Log {
    Log { logger: Logger::root(slog::Discard, o!()), levels: LogLevels::default() }
}

/// Creates a drain that writes on a separate thread.
fn async_drain<D>(drain: D, capacity: usize) -> Async
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    Async::new(drain).chan_size(capacity).overflow_strategy(OverflowStrategy::DropAndReport).build()
}

/// Logs a decision, unless its query is not sampled.
pub(crate) fn log_decision(log: &Log, decision: &Decision) {
    if decision.query().is_some_and(|query| !log.levels.is_sampled(query)) {
        return;
    }
    match decision {
        Decision::Pinned { query, rank, snapshot, shards, serving } => {
            debug!(log, "query: pinned to snapshot"; "query" => %query, "rank" => rank.name(),
                "snapshot" => snapshot.0, "shards" => shards, "serving" => serving);
        }
        Decision::Routed { query, replica, cause } => {
            debug!(log, "route: attempt sent"; "query" => %query, "replica" => %replica,
                "cause" => %cause);
        }
        Decision::Started { query, replica } => {
            debug!(log, "owner: call started"; "query" => %query, "replica" => %replica);
        }
        Decision::Refused { query, replica, reason } => {
            debug!(log, "owner: sub-query refused"; "query" => %query, "replica" => %replica,
                "reason" => reason.name());
        }
        Decision::Member { member, state, incarnation } => {
            info!(log, "membership: member state changed"; "member" => %member,
                "state" => state.name(), "incarnation" => incarnation);
        }
        Decision::Placed { epoch, moved } => {
            info!(log, "placement: view published"; "epoch" => epoch, "moved" => moved);
        }
        Decision::InForce { revision } => {
            info!(log, "control: revision in force"; "revision" => revision);
        }
        Decision::Watching { watching } => {
            info!(log, "control: platform watch changed"; "watching" => watching);
        }
        Decision::Resumed { late } => {
            info!(log, "control: process was paused"; "late_ms" => late.as_millis() as u64);
        }
        Decision::Stalled { query, replica } => {
            info!(log, "owner: call made no progress, connection replaced";
                "query" => %query, "replica" => %replica);
        }
        Decision::ShedLevel { replica, rank, level } => {
            info!(log, "owner: shed level changed"; "replica" => %replica, "rank" => rank.name(),
                "level" => level);
        }
        Decision::Ejected { replica } => {
            info!(log, "owner: replica ejected"; "replica" => %replica);
        }
        Decision::Returned { replica } => {
            info!(log, "owner: replica accepts work again"; "replica" => %replica);
        }
        Decision::Drained { replica } => {
            info!(log, "owner: replica is draining and receives no new work";
                "replica" => %replica);
        }
        Decision::Rejected { query, rank, reason } => {
            debug!(log, "query: refused before any sub-query was sent"; "query" => %query,
                "rank" => rank.name(), "reason" => reason.name());
        }
        Decision::Restarted { query, from } => {
            debug!(log, "query: restarted on a newer snapshot"; "query" => %query,
                "from" => from.0);
        }
        Decision::KeyRouted { key, holder } => {
            debug!(log, "execute: request routed to holder"; "key" => %key, "holder" => %holder);
        }
        Decision::ExecutionRouted { key, replica, attempt } => {
            debug!(log, "execute: attempt sent"; "key" => %key, "replica" => %replica,
                "attempt" => attempt);
        }
        Decision::ExecutionStarted { key, replica } => {
            debug!(log, "owner: execution started"; "key" => %key, "replica" => %replica);
        }
        Decision::ExecutionRefused { key, verdict, reason } => {
            debug!(log, "execute: request refused"; "key" => %key, "verdict" => %verdict,
                "reason" => reason.name());
        }
    }
}

#[cfg(test)]
mod tests;
