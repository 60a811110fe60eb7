//! Log output; each line starts with the part that wrote it.

use crate::log_levels::LogLevels;
use berylpin_core::decision::Decision;
use slog::{Drain, Logger, debug, info, o};
use slog_async::{Async, AsyncBuilder, AsyncGuard, OverflowStrategy};
use std::io::Write;
use std::ops::Deref;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

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

/// The thread that writes a log, which is to be ended before the process.
pub struct LogWriter(AsyncGuard);

impl LogWriter {
    /// Waits until the records so far are written; returns false if that takes longer than
    /// `timeout`, since a blocked output must not hold up the end of the process.
    pub fn finish(self, timeout: Duration) -> bool {
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || {
            // Dropping the guard joins the thread that writes.
            drop(self.0);
            // An error means that the wait has timed out.
            let _ = tx.send(());
        });
        rx.recv_timeout(timeout).is_ok()
    }
}

/// Opens a log that never blocks the caller. Its writer ends with the last clone of the log.
///
/// The log drops and counts the records that exceed the `capacity` of its queue.
pub fn open_log<W>(format: LogFormat, capacity: usize, writer: W) -> Log
where
    W: Write + Send + 'static,
{
    let drain = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(writer);
            let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
            async_builder(drain, capacity).build()
        }
        LogFormat::Json => async_builder(json_drain(writer), capacity).build(),
    };
    filtered_log(drain)
}

/// Opens a log of JSON lines like [`open_log`], whose writer ends with the returned [`LogWriter`].
pub fn open_process_log<W>(capacity: usize, writer: W) -> (Log, LogWriter)
where
    W: Write + Send + 'static,
{
    let (drain, guard) = async_builder(json_drain(writer), capacity).build_with_guard();
    (filtered_log(drain), LogWriter(guard))
}

/// Returns a log that discards all records.
pub fn discard_log() -> Log {
    Log { logger: Logger::root(slog::Discard, o!()), levels: LogLevels::default() }
}

fn filtered_log(drain: Async) -> Log {
    let levels = LogLevels::default();
    let filter = levels.clone();
    let drain = slog::Filter::new(drain, move |record| filter.is_enabled(record));
    // Threads may still write while the process ends; what follows the end of the writer is lost.
    Log { logger: Logger::root(drain.ignore_res(), o!()), levels }
}

fn json_drain<W>(writer: W) -> impl Drain<Ok = (), Err = slog::Never> + Send + 'static
where
    W: Write + Send + 'static,
{
    slog_json::Json::default(writer).ignore_res()
}

/// Describes a drain that writes on a separate thread.
fn async_builder<D>(drain: D, capacity: usize) -> AsyncBuilder<D>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    Async::new(drain).chan_size(capacity).overflow_strategy(OverflowStrategy::DropAndReport)
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
