//! Subcommand dispatch, shared argument parsing and exit codes.

use crate::commands::{
    apply, check, delete, demo, diff, drain, edit, execute, experiment, get, list, log, query,
    status, trace,
};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// A subcommand.
#[derive(Clone, Copy)]
pub(crate) struct Command {
    pub(crate) name: &'static str,
    /// One line for the overview of commands.
    pub(crate) summary: &'static str,
    /// Usage, options and examples; starts with `Usage: berylpin NAME`.
    pub(crate) help: &'static str,
    pub(crate) run: fn(Arguments) -> Result<(), CommandError>,
}

/// All subcommands, in the order of the overview.
const COMMANDS: &[Command] = &[
    demo::COMMAND,
    list::COMMAND,
    get::COMMAND,
    edit::COMMAND,
    check::COMMAND,
    diff::COMMAND,
    apply::COMMAND,
    delete::COMMAND,
    drain::COMMAND,
    status::COMMAND,
    log::COMMAND,
    trace::COMMAND,
    query::COMMAND,
    execute::COMMAND,
    experiment::COMMAND,
];

const EXIT_CODES: &str = "\
Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 conflict with another change,
4 invalid document or settings, 5 not confirmed by the platform, 6 partial or refused answer.
";

/// Why a command failed; each variant has its own exit code.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The arguments are invalid.
    #[error("{0}\nTry `berylpin help`.")]
    Usage(String),
    /// Any other failure, such as an I/O error or an error status of the daemon.
    #[error("{0}")]
    Failed(String),
    /// The document's version is not the one that the change is based on.
    #[error("{0}")]
    Conflict(String),
    /// A document or a settings file is invalid.
    #[error("{0}")]
    Invalid(String),
    /// The platform did not confirm a change; the message says whether it may be stored.
    #[error("{0}")]
    NotConfirmed(String),
    /// The answer is partial or a refusal.
    #[error("{0}")]
    Incomplete(String),
}

impl CommandError {
    /// Returns the exit code, as listed in [`EXIT_CODES`].
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::Invalid(_) => 4,
            Self::NotConfirmed(_) => 5,
            Self::Incomplete(_) => 6,
        })
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(e: pico_args::Error) -> Self {
        Self::Usage(e.to_string())
    }
}

/// Parses the subcommand's name and runs it, or prints help or the version.
pub(crate) fn run(mut args: Arguments) -> Result<(), CommandError> {
    let wants_help = args.contains("--help");
    let Some(name) = args.subcommand()? else {
        print_overview();
        return Ok(());
    };
    match name.as_str() {
        "help" => print_help(args.subcommand()?.as_deref()),
        "version" => {
            println!("berylpin {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ if wants_help => print_help(Some(&name)),
        _ => (find_command(&name)?.run)(args),
    }
}

/// Rejects arguments that were not parsed.
pub(crate) fn reject_remaining(args: Arguments) -> Result<(), CommandError> {
    match args.finish().first() {
        None => Ok(()),
        Some(arg) => {
            Err(CommandError::Usage(format!("unknown argument `{}`", arg.to_string_lossy())))
        }
    }
}

/// Parses the remaining arguments as paths; at least one is required.
pub(crate) fn parse_paths(mut args: Arguments) -> Result<Vec<PathBuf>, CommandError> {
    let mut paths = Vec::new();
    while let Some(path) = args.opt_free_from_str()? {
        paths.push(path);
    }
    reject_remaining(args)?;
    if paths.is_empty() {
        return Err(CommandError::Usage("give at least one file".to_owned()));
    }
    Ok(paths)
}

fn find_command(name: &str) -> Result<&'static Command, CommandError> {
    COMMANDS
        .iter()
        .find(|command| command.name == name)
        .ok_or_else(|| CommandError::Usage(format!("unknown command `{name}`")))
}

fn print_help(name: Option<&str>) -> Result<(), CommandError> {
    match name {
        None => print_overview(),
        Some(name) => {
            let command = find_command(name)?;
            println!("{}.\n\n{}", command.summary, command.help);
        }
    }
    Ok(())
}

fn print_overview() {
    println!("Operates the berylpin query tier.\n\nUsage: berylpin COMMAND [OPTIONS]\n");
    for command in COMMANDS {
        println!("  {:<11} {}", command.name, command.summary);
    }
    println!("  {:<11} print the version", "version");
    println!("  {:<11} print this help, or that of a command", "help");
    println!("\n{EXIT_CODES}");
}

#[cfg(test)]
mod tests;
