//! `berylpind`: the daemon of the berylpin query tier.

use berylpin_daemon::{
    BOUNDED_LOG_CAPACITY, DECISION_LOG_CAPACITY, Daemon, DaemonSettings, LogFormat, Request,
    Signals, SystemClock, install_metrics, open_log, open_process_log, run_on_platform,
};
use slog::warn;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

const USAGE: &str = "\
Runs one daemon of the berylpin query tier.

Usage: berylpind --config FILE [--check]
       berylpind --platform FILE

  --config FILE    settings in TOML
  --platform FILE  run on the users' platform, with the settings file that it writes
  --check          check the settings and exit
  --version        print the version
  --help           print this help
";

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let signals = match Signals::install() {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("berylpind: signal handlers: {e}");
            return ExitCode::FAILURE;
        }
    };
    let mut args = pico_args::Arguments::from_env();
    if args.contains("--help") {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("berylpind {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Ok(path) = args.value_from_str::<_, PathBuf>("--platform") {
        return run_platform(&path, signals);
    }
    let check = args.contains("--check");
    let config: PathBuf = match args.value_from_str("--config") {
        Ok(path) => path,
        Err(e) => return usage_error(&e.to_string()),
    };
    if let [arg, ..] = args.finish().as_slice() {
        return usage_error(&format!("unknown argument {}", arg.to_string_lossy()));
    }
    let settings = match DaemonSettings::load(&config) {
        Ok(settings) => settings,
        Err(e) => return usage_error(&e.to_string()),
    };
    if check {
        println!("{}: the settings are valid", config.display());
        return ExitCode::SUCCESS;
    }
    match run(settings, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("berylpind: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_platform(path: &Path, signals: Signals) -> ExitCode {
    let log = open_process_log(BOUNDED_LOG_CAPACITY, std::io::stdout());
    if let Err(e) = install_metrics() {
        eprintln!("berylpind: {e}");
        return ExitCode::FAILURE;
    }
    run_on_platform(path, Arc::new(SystemClock), log, signals);
    ExitCode::SUCCESS
}

fn usage_error(problem: &str) -> ExitCode {
    eprintln!("berylpind: {problem}\nTry `berylpind --help`.");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: DaemonSettings, mut signals: Signals) -> Result<(), Box<dyn std::error::Error>> {
    let format = if std::io::stderr().is_terminal() { LogFormat::Text } else { LogFormat::Json };
    let log = open_log(format, DECISION_LOG_CAPACITY, std::io::stderr());
    install_metrics()?;
    let daemon = Daemon::start(settings, Arc::new(SystemClock), log.clone())?;
    loop {
        match signals.wait(Duration::MAX) {
            Some(Request::Stop(_)) => break,
            Some(Request::Reload) => {
                warn!(log, "daemon: SIGHUP ignored, the settings are read at the start only");
            }
            None => {}
        }
    }
    daemon.stop();
    Ok(())
}
