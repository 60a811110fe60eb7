//! `berylpin experiment`: a scenario with faults against stand-ins in one process.

use crate::args::{Command, CommandError, finish};
use crate::experiment::{Scenario, plot, run, table};
use berylpin_daemon::{DECISION_LOG_CAPACITY, LogFormat, discard_log, open_log};
use pico_args::Arguments;
use std::fs::File;
use std::path::PathBuf;

pub(crate) const COMMAND: Command = Command {
    name: "experiment",
    summary: "run a scenario with faults against stand-ins in one process",
    help: "\
Usage: berylpin experiment FILE [--seed N] [--json] [--plot FILE] [--log FILE]

  --seed N         the seed of load, service times and chosen faults; 1 if absent
  --json           print the report as JSON
  --plot FILE      write latency and coverage over time as SVG
  --log FILE       write the decisions of all daemons

Exit code 1 if a promise was broken.

Example: berylpin experiment experiments/straggler.toml --plot straggler.svg
",
    run: run_scenario,
};

/// Threads that carry stand-ins and callers; daemons have their own.
const WORKERS: usize = 4;

/// Runs the subcommand.
fn run_scenario(mut args: Arguments) -> Result<(), CommandError> {
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let json = args.contains("--json");
    let picture: Option<PathBuf> = args.opt_value_from_str("--plot")?;
    let log: Option<PathBuf> = args.opt_value_from_str("--log")?;
    let path: PathBuf = args.free_from_str()?;
    finish(args)?;
    let scenario = Scenario::load(&path).map_err(|e| CommandError::Usage(e.to_string()))?;
    let fail = |e: &dyn std::fmt::Display| CommandError::Failed(e.to_string());
    let log = match log.map(File::create).transpose().map_err(|e| fail(&e))? {
        Some(file) => open_log(LogFormat::Text, DECISION_LOG_CAPACITY, file),
        None => discard_log(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(|e| fail(&e))?;
    eprintln!("running {} with seed {seed}", scenario.name);
    let report = runtime.block_on(run(scenario, seed, log)).map_err(|e| fail(&e));
    // A daemon that does not end must not keep the process.
    runtime.shutdown_background();
    let report = report?;
    if json {
        println!("{}", serde_json::to_string_pretty(&report).map_err(|e| fail(&e))?);
    } else {
        println!("{}", table(&report));
    }
    if let Some(path) = picture {
        plot(&report, &path).map_err(|e| fail(&e))?;
    }
    match report.violations.total() {
        0 => Ok(()),
        count => Err(CommandError::Failed(format!("{count} violations"))),
    }
}
