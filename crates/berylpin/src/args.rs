//! Subcommands and exit codes.

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
    /// One line for the list of commands.
    pub(crate) summary: &'static str,
    /// Options and examples.
    pub(crate) help: &'static str,
    pub(crate) run: fn(Arguments) -> Result<(), CommandError>,
}

/// In the order of the list of commands.
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

/// Why a command fails.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The arguments are wrong.
    #[error("{0}\nTry `berylpin help`.")]
    Usage(String),
    /// The command could not do its work.
    #[error("{0}")]
    Failed(String),
    /// Someone else changed the document first.
    #[error("{0}")]
    Conflict(String),
    /// A document or a settings file is not valid.
    #[error("{0}")]
    Invalid(String),
    /// The platform did not confirm a change.
    #[error("{0}")]
    NotConfirmed(String),
    /// The answer is partial or a refusal.
    #[error("{0}")]
    Incomplete(String),
}

impl CommandError {
    /// Returns the documented exit code.
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

/// Runs the subcommand that the arguments name.
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
        _ => (find(&name)?.run)(args),
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

/// Returns the files that the rest of the arguments name, at least one.
pub(crate) fn files(mut args: Arguments) -> Result<Vec<PathBuf>, CommandError> {
    let mut paths = Vec::new();
    while let Some(path) = args.opt_free_from_str()? {
        paths.push(path);
    }
    finish(args)?;
    if paths.is_empty() {
        return Err(CommandError::Usage("give at least one file".to_owned()));
    }
    Ok(paths)
}

fn find(name: &str) -> Result<&'static Command, CommandError> {
    COMMANDS
        .iter()
        .find(|command| command.name == name)
        .ok_or_else(|| CommandError::Usage(format!("unknown command `{name}`")))
}

fn print_help(name: Option<&str>) -> Result<(), CommandError> {
    match name {
        None => print_overview(),
        Some(name) => {
            let command = find(name)?;
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
