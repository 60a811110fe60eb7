//! `berylpin trace`: follows one request through the logs of several daemons.

use crate::args::{Command, CommandError, parse_paths};
use pico_args::Arguments;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

pub(crate) const COMMAND: Command = Command {
    name: "trace",
    summary: "follow one request through the logs of several daemons",
    help: "\
Usage: berylpin trace REQUEST FILE...

  REQUEST          the id of the request, as the caller sent it
  FILE             a daemon's log in JSON, one object per line

Lines are sorted by time stamp; the clocks of VMs may differ.

Example: berylpin trace 9c41d07be2a35f68 front-*.log
",
    run,
};

/// Keys that are on every line and left out of the `key=value` list of the output.
const COMMON_KEYS: [&str; 4] = ["msg", "ts", "level", "request"];

/// A log line of the traced request; ordered by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    /// RFC 3339, so that the lexical order is the order in time.
    time: String,
    /// The name of the log file, without folders and extension.
    source: String,
    text: String,
}

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let request: String = args.free_from_str()?;
    let paths = parse_paths(args)?;
    let mut lines = Vec::new();
    for path in &paths {
        let failed = |e| CommandError::Failed(format!("{}: {e}", path.display()));
        let file = File::open(path).map_err(failed)?;
        collect_lines(BufReader::new(file), &source_name(path), &request, &mut lines)
            .map_err(failed)?;
    }
    if lines.is_empty() {
        return Err(CommandError::Failed(format!("no log line belongs to request `{request}`")));
    }
    lines.sort();
    for LogLine { time, source, text } in &lines {
        println!("{time} {source} {text}");
    }
    Ok(())
}

/// Returns a file's name without its folders and extension.
fn source_name(path: &Path) -> String {
    path.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

/// Appends a request's lines from a log; skips lines that are not JSON objects.
fn collect_lines<R>(
    log: R,
    source: &str,
    request: &str,
    lines: &mut Vec<LogLine>,
) -> Result<(), std::io::Error>
where
    R: BufRead,
{
    for line in log.lines() {
        let line = line?;
        let Ok(Value::Object(fields)) = serde_json::from_str(&line) else { continue };
        if fields.get("request").and_then(Value::as_str) != Some(request) {
            continue;
        }
        let time = display_value(fields.get("ts"));
        lines.push(LogLine { time, source: source.to_owned(), text: render(&fields) });
    }
    Ok(())
}

/// Formats a line as its message and the remaining fields as `key=value`.
fn render(fields: &Map<String, Value>) -> String {
    let shown = fields.iter().filter(|(key, _)| !COMMON_KEYS.contains(&key.as_str()));
    let values = shown.map(|(key, value)| format!("{key}={}", display_value(Some(value))));
    std::iter::once(display_value(fields.get("msg"))).chain(values).collect::<Vec<_>>().join(" ")
}

/// Formats a field's value, strings without quotes; empty if the field is absent.
fn display_value(value: Option<&Value>) -> String {
    match value {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

#[cfg(test)]
mod tests;
