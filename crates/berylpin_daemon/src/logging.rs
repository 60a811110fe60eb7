//! Logs: short sentences with a fixed prefix for each part.

use crate::log_levels::LogLevels;
use berylpin_core::decision::Decision;
use slog::{Drain, Logger, debug, info, o};
use slog_async::{Async, OverflowStrategy};
use std::io::Write;
use std::ops::Deref;

/// Records that wait for the writer of a daemon that logs each decision; more are dropped and counted.
/// The queue takes some 130 bytes a record from the start.
pub const DECISIONS_QUEUE: usize = 16 * 1024;

/// Records that wait for the writer of a daemon whose lines are bounded; all replicas of a large
/// service may change at once.
pub const BOUNDED_QUEUE: usize = 2 * 1024;

/// How log records are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// A log whose levels can be changed.
#[derive(Clone, Debug)]
pub struct Log {
    logger: Logger,
    levels: LogLevels,
}

impl Log {
    /// Returns the logger without the levels, for parts that write no decisions.
    pub(crate) fn logger(&self) -> Logger {
        self.logger.clone()
    }

    /// Returns the levels, to change them.
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

/// Opens a log that never blocks the caller; records that do not fit its queue are dropped and counted.
pub fn open_log<W>(format: LogFormat, queue: usize, writer: W) -> Log
where
    W: Write + Send + 'static,
{
    let levels = LogLevels::default();
    let drain = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(writer);
            background(slog_term::FullFormat::new(decorator).build().fuse(), queue)
        }
        LogFormat::Json => background(slog_json::Json::default(writer).fuse(), queue),
    };
    let filter = levels.clone();
    let drain = slog::Filter::new(drain, move |record| filter.allow(record));
    Log { logger: Logger::root(drain.fuse(), o!()), levels }
}

/// Returns a log that writes nothing.
pub fn discard_log() -> Log {
    Log { logger: Logger::root(slog::Discard, o!()), levels: LogLevels::default() }
}

fn background<D>(drain: D, queue: usize) -> Async
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    Async::new(drain).chan_size(queue).overflow_strategy(OverflowStrategy::DropAndReport).build()
}

/// Writes the line of a decision, if its query is among those sampled.
pub(crate) fn log_decision(log: &Log, decision: &Decision) {
    if decision.query().is_some_and(|query| !log.levels.samples(query)) {
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
            info!(log, "membership: member changed"; "member" => %member, "state" => state.name(),
                "incarnation" => incarnation);
        }
        Decision::Placed { epoch, moved } => {
            info!(log, "placement: view published"; "epoch" => epoch, "moved" => moved);
        }
        Decision::InForce { revision } => {
            info!(log, "control: revision in force"; "revision" => revision);
        }
        Decision::Watching { watching } => {
            info!(log, "control: watcher changed"; "watching" => watching);
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
            info!(log, "owner: replica takes work again"; "replica" => %replica);
        }
        Decision::Drained { replica } => {
            info!(log, "owner: replica is leaving and gets no new work"; "replica" => %replica);
        }
        Decision::Rejected { query, rank, reason } => {
            debug!(log, "query: rejected before any sub-query"; "query" => %query,
                "rank" => rank.name(), "reason" => reason.name());
        }
        Decision::Restarted { query, from } => {
            debug!(log, "query: starts again on a newer snapshot"; "query" => %query,
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
