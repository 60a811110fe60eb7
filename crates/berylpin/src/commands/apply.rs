//! `berylpin apply`: stores a service document.

use crate::args::{Command, CommandError, reject_remaining};
use crate::base_version::split_base_version;
use crate::client::{AdminClient, Precondition, admin_options, block_on, print_json};
use crate::document_file::{read_document, service_name};
use berylpin_wire::admin::{Accepted, InForce};
use pico_args::Arguments;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

pub(crate) const COMMAND: Command = Command {
    name: "apply",
    summary: "store a service document",
    help: concat!(
        "Usage: berylpin apply FILE [--base VERSION | --create] [--wait] [OPTIONS]\n\n",
        "  --base VERSION   the version that the change is based on; from the file if absent\n",
        "  --create         the document is new\n",
        "  --wait           return when the change is in force at every live daemon\n",
        admin_options!(),
        "
Examples: berylpin apply quota-desk-21.toml --create --wait
          berylpin apply quota-desk-01.toml --base 17
"
    ),
    run,
};

/// How long `--wait` waits before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between two polls of `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let wait = args.contains("--wait");
    let create = args.contains("--create");
    let base: Option<u64> = args.opt_value_from_str("--base")?;
    let client = AdminClient::from_args(&mut args)?;
    let path: PathBuf = args.free_from_str()?;
    reject_remaining(args)?;
    let text = read_document(&path)?;
    let (file_version, document) = split_base_version(&text);
    let precondition = match (create, base.or(file_version)) {
        (true, _) => Precondition::Absent,
        (false, Some(version)) => Precondition::Version(version),
        (false, None) => {
            let problem = "give `--base VERSION` of the document that you changed, or `--create`";
            return Err(CommandError::Usage(problem.to_owned()));
        }
    };
    let name = service_name(&path, document)?;
    block_on(async {
        let accepted = client.put_document(&name, document.to_owned(), precondition).await?;
        if wait {
            wait_until_in_force(&client, accepted.version).await?;
        }
        print_result(&accepted, wait, json);
        Ok(())
    })
}

fn print_result(accepted: &Accepted, wait: bool, json: bool) {
    if json {
        print_json(accepted);
    } else if wait {
        println!("{} is in force everywhere at version {}", accepted.name, accepted.version);
    } else {
        let Accepted { name, version } = accepted;
        println!(
            "{name} accepted at version {version}; see `berylpin status --revision {version}`"
        );
    }
}

/// Polls a daemon until a revision is in force at every live daemon.
///
/// Progress is printed if standard error is a terminal.
pub(crate) async fn wait_until_in_force(
    client: &AdminClient,
    revision: u64,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let state: InForce = client.get(&format!("/v1/revision/{revision}")).await?;
        if state.behind.is_empty() && !state.in_force.is_empty() {
            return Ok(());
        }
        if std::io::stderr().is_terminal() {
            let done = state.in_force.len();
            eprintln!("in force at {done} of {} daemons", done + state.behind.len());
        }
        if Instant::now() > deadline {
            let behind = state.behind.join(", ");
            return Err(CommandError::Failed(format!(
                "stored, but not yet in force at {behind}; these daemons apply it once they are \
                 reachable"
            )));
        }
        sleep(POLL_INTERVAL).await;
    }
}
