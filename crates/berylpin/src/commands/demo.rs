//! `berylpin demo`: runs daemons and a query load against stand-ins in one process.

use crate::args::{Command, CommandError, reject_remaining};
use crate::testbed::{ADMIN_TOKEN, Testbed, layout};
use berylpin_core::rank::Rank;
use berylpin_daemon::{DECISION_LOG_CAPACITY, Log, LogFormat, discard_log, open_log};
use berylpin_standin::load::{QueryStream, RankStats, Sample, caller_client, drive_queries};
use berylpin_standin::sites::Site;
use comfy_table::Table;
use pico_args::Arguments;
use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

pub(crate) const COMMAND: Command = Command {
    name: "demo",
    summary: "run daemons and a query load against stand-ins in one process",
    help: "\
Usage: berylpin demo [--seconds N] [--users rizzo|kalipsan] [--seed N] [--log FILE]

  --seconds N      how long the load runs, 1 to 600; 10 if absent
  --users NAME     the customer whose site is simulated; rizzo if absent
  --seed N         the seed of load and service times; 1 if absent
  --log FILE       write the log of all daemons, with a line for each decision

Example: berylpin demo --seconds 20 --users kalipsan
",
    run,
};

/// Number of daemons, spread over the data centres.
const DAEMONS: usize = 9;

/// Queries per second of each rank, over all groups.
const QUERIES_PER_SECOND: [f64; Rank::COUNT] = [40.0, 40.0, 20.0];

/// Deadline of the queries of each rank.
const DEADLINES: [Duration; Rank::COUNT] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_secs(5)];

struct DemoOptions {
    run_time: Duration,
    site: Site,
    seed: u64,
    log: Log,
}

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(10);
    let users: String = args.opt_value_from_str("--users")?.unwrap_or_else(|| "rizzo".to_owned());
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let log = open_log_file(args.opt_value_from_str("--log")?)?;
    reject_remaining(args)?;
    if !(1..=600).contains(&seconds) {
        return Err(CommandError::Usage("--seconds must be from 1 to 600".to_owned()));
    }
    let site = Site::by_name(&users).ok_or_else(|| {
        CommandError::Usage(format!("--users `{users}` is neither `rizzo` nor `kalipsan`"))
    })?;
    let options = DemoOptions { run_time: Duration::from_secs(seconds), site, seed, log };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|e| CommandError::Failed(e.to_string()))?;
    runtime.block_on(demo(options))
}

fn open_log_file(path: Option<PathBuf>) -> Result<Log, CommandError> {
    let Some(path) = path else { return Ok(discard_log()) };
    let file = File::create(&path)
        .map_err(|e| CommandError::Failed(format!("{}: {e}", path.display())))?;
    Ok(open_log(LogFormat::Json, DECISION_LOG_CAPACITY, BufWriter::new(file)))
}

async fn demo(options: DemoOptions) -> Result<(), CommandError> {
    let fail = |e: &dyn std::fmt::Display| CommandError::Failed(e.to_string());
    eprintln!("starting stand-ins of {} and {DAEMONS} daemons", options.site.name);
    let testbed =
        Testbed::start(&options.site, DAEMONS, (options.seed, options.log.clone()), |_| ())
            .await
            .map_err(|e| fail(&e))?;
    testbed.wait_ready().await.map_err(|e| fail(&e))?;
    if let (Some((_, caller_address)), Some(admin_address)) =
        (testbed.caller_addresses().next(), testbed.admin_addresses().first())
    {
        let group = options.site.groups[0].name;
        eprintln!("try meanwhile: berylpin query {group} account-1 --to {caller_address}");
        eprintln!("               berylpin list --admin {admin_address} --token {ADMIN_TOKEN}");
    }
    eprintln!("running the load for {} s; Ctrl-C stops it", options.run_time.as_secs());
    let before = testbed.total_work().ran;
    let samples = tokio::select! {
        samples = run_load(&testbed, &options) => Some(samples),
        _ = tokio::signal::ctrl_c() => None,
    };
    let ran = testbed.total_work().ran - before;
    testbed.stop().await;
    let Some(samples) = samples else {
        eprintln!("interrupted; no report");
        return Ok(());
    };
    print_report(&samples);
    let asked: u64 = samples.iter().map(|sample| sample.asked).sum();
    let extra_load = ran as f64 / asked.max(1) as f64 - 1.0;
    println!("upstream work beyond one sub-query per shard: {:.1}%", extra_load * 100.0);
    let violations: u64 = samples.iter().map(|sample| sample.violations.total()).sum();
    println!("guarantee violations: {violations}");
    Ok(())
}

/// Runs the load, one stream per group and rank, numbered by group and then by rank.
async fn run_load(testbed: &Testbed, options: &DemoOptions) -> Vec<Sample> {
    let client = caller_client();
    let end = Instant::now() + options.run_time;
    let groups = &options.site.groups;
    let mut drivers = JoinSet::new();
    for (group_index, group) in groups.iter().enumerate() {
        for rank in Rank::ALL {
            let index = group_index * Rank::COUNT + rank.index();
            let stream = QueryStream {
                rank,
                target: group.name.to_owned(),
                rate: QUERIES_PER_SECOND[rank.index()] / groups.len() as f64,
                deadline: DEADLINES[rank.index()],
                client_delay: options.site.client_delay,
                layouts: [layout(&testbed.documents, group.name)].into(),
            };
            let caller = (testbed.balancer.clone(), client.clone());
            let seed = options.seed * 100 + index as u64;
            drivers.spawn(drive_queries(caller, (index, stream), end, seed, |_| 1.0));
        }
    }
    let progress = tokio::spawn(print_progress(options.run_time));
    let samples = drivers.join_all().await.concat();
    progress.abort();
    samples
}

async fn print_progress(run_time: Duration) {
    for second in 1..run_time.as_secs() {
        sleep(Duration::from_secs(1)).await;
        if second.is_multiple_of(5) {
            eprintln!("{second} s of {} s", run_time.as_secs());
        }
    }
}

fn print_report(samples: &[Sample]) {
    let mut tallies: [RankStats; Rank::COUNT] = Default::default();
    for sample in samples {
        tallies[sample.stream % Rank::COUNT].record(sample);
    }
    let mut table = Table::new();
    table.set_header([
        "rank", "sent", "complete", "partial", "refused", "failed", "p50 ms", "p99 ms", "coverage",
    ]);
    for (rank, tally) in Rank::ALL.into_iter().zip(tallies) {
        table.add_row([
            rank.name().to_owned(),
            tally.sent.to_string(),
            tally.complete.to_string(),
            tally.partial.to_string(),
            tally.refused.to_string(),
            tally.failed.to_string(),
            format!("{:.1}", tally.quantile_ms(0.5)),
            format!("{:.1}", tally.quantile_ms(0.99)),
            format!("{:.4}", tally.coverage()),
        ]);
    }
    println!("{table}");
}
