//! `berylpin`: the command-line tool for operators.

mod args;
mod base_version;
mod caller_client;
mod client;
mod commands;
mod document_file;
mod experiment;
mod testbed;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = pico_args::Arguments::from_env();
    match args::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("berylpin: {e}");
            e.exit_code()
        }
    }
}
