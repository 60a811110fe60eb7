//! Subcommands and exit codes.

use crate::commands;
use pico_args::Arguments;
use std::process::ExitCode;
use thiserror::Error;

const USAGE: &str = "\
Operates the berylpin query tier.

Usage: berylpin COMMAND [OPTIONS]

  demo      run the system and a load against stand-ins of today's sizes
  experiment FILE [--seed N] [--json] [--plot FILE]
            run a scenario with faults against stand-ins; status 1 if a promise was broken
  version   print the version
  help      print this help
";

/// Why a command fails.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The arguments are wrong.
    #[error("{0}\nTry `berylpin help`.")]
    Usage(String),
    /// The command could not do its work.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Returns 2 for wrong arguments and 1 for anything else.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) => ExitCode::from(2),
            Self::Failed(_) => ExitCode::FAILURE,
        }
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

/// Runs the subcommand that the arguments name.
pub(crate) fn run(mut args: Arguments) -> Result<(), CommandError> {
    let command = args.subcommand()?;
    match command.as_deref() {
        Some("experiment") => commands::experiment::run_experiment(args),
        Some("demo") => commands::demo::run(args),
        Some("version") => {
            println!("berylpin {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") | None => {
            print!("{USAGE}");
            Ok(())
        }
        Some(other) => Err(CommandError::Usage(format!("unknown command `{other}`"))),
    }
}

/// Rejects arguments that no option took.
pub(crate) fn finish(args: Arguments) -> Result<(), CommandError> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => {
            Err(CommandError::Usage(format!("unknown argument `{}`", arg.to_string_lossy())))
        }
    }
}
