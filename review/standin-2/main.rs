//! Stand-ins for the second review: a store, replicas and clients, which run against real daemons.
//!
//! `review-2 CASE FOLDER` runs one case and writes `record.txt` in the folder. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the
//! disruption is left out. Uses the standard library only.

mod cases;
mod client;
mod daemon;
mod http;
mod proxy;
mod record;
mod replica;
mod store;

use record::Record;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

/// The longest time that a case runs; then it ends its processes and exits with 2.
const MAX_RUN_TIME: Duration = Duration::from_secs(110);

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run; says why.
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("record.txt cannot be written: {e}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    let watchdog = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_RUN_TIME);
        watchdog.line("the case took too long");
        daemon::kill_all();
        exit(2);
    });
    let verdict = cases::run(case, trouble, &record);
    daemon::kill_all();
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::NotRun(cause) => (2, format!("the case could not run: {cause}")),
    };
    record.line(&text);
    println!("{text}");
    exit(status);
}
