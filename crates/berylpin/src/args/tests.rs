use super::*;
use std::ffi::OsString;

fn run_cli(args: &[&str]) -> Result<(), CommandError> {
    run(Arguments::from_vec(args.iter().map(OsString::from).collect()))
}

#[test]
fn unknown_command_is_a_usage_error() {
    assert!(matches!(run_cli(&["aply"]), Err(CommandError::Usage(_))));
}

#[test]
fn unknown_argument_is_a_usage_error() {
    let result = run_cli(&["list", "--admin", "127.0.0.1:1", "--token", "t", "--jsno"]);
    assert!(matches!(result, Err(CommandError::Usage(_))), "{result:?}");
}

#[test]
fn help_of_every_command_starts_with_its_usage() {
    for command in COMMANDS {
        let usage = format!("Usage: berylpin {}", command.name);
        assert!(command.help.starts_with(&usage), "{}", command.name);
        assert!(run_cli(&["help", command.name]).is_ok());
    }
}
