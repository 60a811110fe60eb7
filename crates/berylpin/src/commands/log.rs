//! `berylpin log`: changes the log levels and the log sampling of a running daemon.

use crate::args::{Command, CommandError, reject_remaining};
use crate::client::{AdminClient, admin_options, block_on};
use berylpin_wire::admin::{LogLevelBody, LogSampleBody};
use pico_args::Arguments;

pub(crate) const COMMAND: Command = Command {
    name: "log",
    summary: "change which log lines a daemon writes",
    help: concat!(
        "Usage: berylpin log PART LEVEL [OPTIONS]\n",
        "       berylpin log --sample N [OPTIONS]\n\n",
        "  PART             a part of the daemon: the prefix of its log lines, such as route\n",
        "  LEVEL            error, warn, info, debug or trace\n",
        "  --sample N       log the decisions of one query in N; 1 logs all\n",
        admin_options!(),
        "\nExample: berylpin log route info\n"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let sample: Option<u32> = args.opt_value_from_str("--sample")?;
    // Accepted so that scripts can pass it to every command; this one prints no answer.
    let _ = args.contains("--json");
    let client = AdminClient::from_args(&mut args)?;
    if let Some(queries) = sample {
        reject_remaining(args)?;
        return block_on(client.put_json("/v1/log/sample", &LogSampleBody { queries }));
    }
    let part = args.free_from_str()?;
    let level = args.free_from_str()?;
    reject_remaining(args)?;
    block_on(client.put_json("/v1/log", &LogLevelBody { part, level }))
}
