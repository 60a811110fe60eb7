//! `berylpin query`: sends one query through the caller API.

use crate::args::{Command, CommandError, reject_remaining};
use crate::caller_client::CallerClient;
use crate::client::{block_on, print_json};
use berylpin_core::rank::Rank;
use berylpin_wire::caller::{AnswerBody, QueryBody};
use pico_args::Arguments;
use std::net::SocketAddr;

pub(crate) const COMMAND: Command = Command {
    name: "query",
    summary: "send one query to a service or group",
    help: "\
Usage: berylpin query TARGET LOOKUP --to ADDRESS [OPTIONS]

  TARGET           the name of a service or group
  LOOKUP           the request body that is sent to each shard
  --to ADDRESS     caller address of a daemon
  --rank RANK      urgent, standard or background; standard if absent
  --deadline-ms N  the deadline in milliseconds; the target latency of the rank if absent
  --limit N        the maximum number of rows; 100 if absent
  --json           print the answer as JSON

Example: berylpin query quota-desk account-17 --to 127.0.0.1:7000 --rank urgent
",
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let to: SocketAddr = args.value_from_str("--to")?;
    let rank = parse_rank(args.opt_value_from_str("--rank")?)?;
    let deadline_ms = args.opt_value_from_str("--deadline-ms")?;
    let limit = args.opt_value_from_str("--limit")?;
    let target = args.free_from_str()?;
    let lookup = args.free_from_str()?;
    reject_remaining(args)?;
    let body = QueryBody { target, rank, deadline_ms, limit, lookup };
    block_on(async {
        let answer = CallerClient::new(to, json).post("/v1/query", &body).await?;
        print_answer(&answer, json)
    })
}

/// Parses the value of `--rank`; `standard` if absent.
pub(crate) fn parse_rank(name: Option<String>) -> Result<Rank, CommandError> {
    let name = name.unwrap_or_else(|| Rank::Standard.name().to_owned());
    Rank::from_name(&name).ok_or_else(|| {
        let problem = format!("--rank `{name}` is not `urgent`, `standard` or `background`");
        CommandError::Usage(problem)
    })
}

/// Prints the rows of an answer; fails if the answer is partial.
fn print_answer(answer: &AnswerBody, json: bool) -> Result<(), CommandError> {
    let coverage = &answer.coverage;
    if json {
        print_json(answer);
    } else {
        for row in &answer.rows {
            println!("{}\t{}", row.key, row.value);
        }
        eprintln!(
            "snapshot {}, {} of {} shards",
            answer.snapshot, coverage.answered, coverage.asked
        );
    }
    if answer.complete {
        return Ok(());
    }
    let missing =
        coverage.missing.iter().map(|m| format!("{}/{}: {}", m.service, m.shard, m.reason));
    let missing: Vec<String> = missing.collect();
    Err(CommandError::Incomplete(format!("the answer is partial; missing {}", missing.join(", "))))
}
