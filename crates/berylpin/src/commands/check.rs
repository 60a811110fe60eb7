//! `berylpin check`: validates documents and settings without a daemon.

use crate::args::{Command, CommandError, parse_paths};
use crate::base_version::split_base_version;
use crate::document_file::read_document;
use berylpin_core::config::ServiceSettings;
use berylpin_daemon::DaemonSettings;
use pico_args::Arguments;
use std::path::Path;

pub(crate) const COMMAND: Command = Command {
    name: "check",
    summary: "validate service documents or daemon settings, offline",
    help: "\
Usage: berylpin check [--settings] FILE...

  --settings       validate settings of `berylpind` instead of service documents

Example: berylpin check examples/rizzo/*.toml
",
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let settings = args.contains("--settings");
    let paths = parse_paths(args)?;
    let check = if settings { check_settings } else { check_document };
    let mut invalid = Vec::new();
    for path in &paths {
        match check(path) {
            Ok(()) => println!("{}: valid", path.display()),
            Err(problem) => invalid.push(problem),
        }
    }
    if invalid.is_empty() { Ok(()) } else { Err(CommandError::Invalid(invalid.join("\n"))) }
}

fn check_settings(path: &Path) -> Result<(), String> {
    DaemonSettings::load(path).map(drop).map_err(|e| e.to_string())
}

fn check_document(path: &Path) -> Result<(), String> {
    let text = read_document(path).map_err(|e| e.to_string())?;
    let (_, document) = split_base_version(&text);
    ServiceSettings::parse(document).map(drop).map_err(|e| format!("{}: {e}", path.display()))
}
