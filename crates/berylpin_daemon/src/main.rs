//! `berylpind`: the daemon of the berylpin query tier.

use berylpin_daemon::{
    BOUNDED_LOG_CAPACITY, DECISION_LOG_CAPACITY, Daemon, DaemonSettings, LogFormat, SystemClock,
    install_metrics, open_log, run_on_platform,
};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

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
        return run_platform(&path);
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
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("berylpind: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_platform(path: &Path) -> ExitCode {
    let log = open_log(LogFormat::Json, BOUNDED_LOG_CAPACITY, std::io::stdout());
    let installed = install_metrics().map_err(Box::<dyn std::error::Error>::from);
    let result = installed.and_then(|()| Ok(run_on_platform(path, Arc::new(SystemClock), log)?));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("berylpind: {e}");
            ExitCode::FAILURE
        }
    }
}

fn usage_error(problem: &str) -> ExitCode {
    eprintln!("berylpind: {problem}\nTry `berylpind --help`.");
    ExitCode::from(EXIT_USAGE)
}

fn run(settings: DaemonSettings) -> Result<(), Box<dyn std::error::Error>> {
    let format = if std::io::stderr().is_terminal() { LogFormat::Text } else { LogFormat::Json };
    let log = open_log(format, DECISION_LOG_CAPACITY, std::io::stderr());
    install_metrics()?;
    let daemon = Daemon::start(settings, Arc::new(SystemClock), log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok::<_, std::io::Error>(())
    })?;
    daemon.stop();
    Ok(())
}
