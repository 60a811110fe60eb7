//! Processor time and memory of this process, read from `/proc/self`.

use std::fs;

/// Clock ticks per second in `/proc`; `USER_HZ` of the kernel.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// The name of a daemon's control thread.
const CONTROL_THREAD_NAME: &str = "control";

/// Returns the processor time of all control threads, in seconds.
pub(super) fn control_cpu_s() -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return 0.0 };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| control_ticks(&stat)).sum::<f64>() / CLOCK_TICKS_PER_SECOND
}

/// Returns the clock ticks of a thread from its `stat` line; `None` unless it is a control thread.
fn control_ticks(stat: &str) -> Option<f64> {
    let (head, rest) = stat.rsplit_once(") ")?;
    if head.split_once('(')?.1 != CONTROL_THREAD_NAME {
        return None;
    }
    // The name is followed by the state, ten more fields, and the ticks in user and kernel mode.
    let ticks: Vec<&str> = rest.split(' ').skip(11).take(2).collect();
    Some(ticks.iter().filter_map(|ticks| ticks.parse::<f64>().ok()).sum())
}

/// Returns the resident memory of the process, in MiB.
pub(super) fn memory_mb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1024.0
}

#[cfg(test)]
mod tests;
