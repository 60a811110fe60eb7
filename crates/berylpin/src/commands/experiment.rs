//! `berylpin experiment`: runs a scenario with faults against stand-ins in one process.

use crate::args::{Command, CommandError, reject_remaining};
use crate::experiment::{Scenario, plot, render_table, run};
use berylpin_daemon::{DECISION_LOG_CAPACITY, LogFormat, discard_log, open_log};
use pico_args::Arguments;
use std::fs::File;
use std::path::PathBuf;

pub(crate) const COMMAND: Command = Command {
    name: "experiment",
    summary: "run a scenario with faults against stand-ins in one process",
    help: "\
Usage: berylpin experiment FILE [--seed N] [--json] [--plot FILE] [--log FILE]

  FILE             the scenario, in TOML
  --seed N         the seed of load, service times and chosen faults; 1 if absent
  --json           print the report as JSON
  --plot FILE      write latency and coverage over time as SVG
  --log FILE       write the log of all daemons, with a line for each decision

Exit code 1 if a guarantee was violated.

Example: berylpin experiment experiments/straggler.toml --plot straggler.svg
",
    run: run_scenario,
};

/// Runtime threads for stand-ins and callers; daemons start their own threads.
const WORKER_THREADS: usize = 4;

fn run_scenario(mut args: Arguments) -> Result<(), CommandError> {
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let json = args.contains("--json");
    let plot_path: Option<PathBuf> = args.opt_value_from_str("--plot")?;
    let log: Option<PathBuf> = args.opt_value_from_str("--log")?;
    let path: PathBuf = args.free_from_str()?;
    reject_remaining(args)?;
    let scenario = Scenario::load(&path).map_err(|e| CommandError::Usage(e.to_string()))?;
    let fail = |e: &dyn std::fmt::Display| CommandError::Failed(e.to_string());
    let log = match log.map(File::create).transpose().map_err(|e| fail(&e))? {
        Some(file) => open_log(LogFormat::Text, DECISION_LOG_CAPACITY, file),
        None => discard_log(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(|e| fail(&e))?;
    eprintln!("running {} with seed {seed}", scenario.name);
    let report = runtime.block_on(run(scenario, seed, log)).map_err(|e| fail(&e));
    // Does not wait for tasks, as a daemon that hangs in its shutdown would block the exit.
    runtime.shutdown_background();
    let report = report?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|e| fail(&e))?);
    } else {
        println!("{}", render_table(&report));
    }
    if let Some(path) = plot_path {
        plot(&report, &path).map_err(|e| fail(&e))?;
    }
    match report.violations.total() {
        0 => Ok(()),
        count => Err(CommandError::Failed(format!("{count} guarantee violations"))),
    }
}
