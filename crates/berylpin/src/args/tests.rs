use super::*;
use std::ffi::OsString;

fn run_words(words: &[&str]) -> Result<(), CommandError> {
    run(Arguments::from_vec(words.iter().map(OsString::from).collect()))
}

#[test]
fn an_unknown_command_is_a_usage_error() {
    assert!(matches!(run_words(&["aply"]), Err(CommandError::Usage(_))));
}

#[test]
fn an_unknown_argument_is_a_usage_error() {
    let result = run_words(&["list", "--admin", "127.0.0.1:1", "--token", "t", "--jsno"]);
    assert!(matches!(result, Err(CommandError::Usage(_))), "{result:?}");
}

#[test]
fn every_command_has_help_that_names_it() {
    for command in COMMANDS {
        let usage = format!("Usage: berylpin {}", command.name);
        assert!(command.help.starts_with(&usage), "{}", command.name);
        assert!(run_words(&["help", command.name]).is_ok());
    }
}
