//! `berylpin status`: shows the daemons, where a revision is in force, or the routing of a target.

use crate::args::{Command, CommandError, reject_remaining};
use crate::client::{AdminClient, admin_options, block_on, print_json};
use berylpin_wire::admin::{InForce, MemberList, Routing};
use berylpin_wire::url::encode_segment;
use comfy_table::Table;
use pico_args::Arguments;

pub(crate) const COMMAND: Command = Command {
    name: "status",
    summary: "show the daemons, where a revision is in force, or the routing of a target",
    help: concat!(
        "Usage: berylpin status [--revision N | --target NAME] [OPTIONS]\n\n",
        "  --revision N     show at which daemons revision N is in force\n",
        "  --target NAME    show the replicas and owners of a service or group\n",
        admin_options!(),
        "
Examples: berylpin status
          berylpin status --target quota-desk --json
"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let revision: Option<u64> = args.opt_value_from_str("--revision")?;
    let target: Option<String> = args.opt_value_from_str("--target")?;
    let client = AdminClient::from_args(&mut args)?;
    reject_remaining(args)?;
    block_on(async {
        match (revision, target) {
            (Some(_), Some(_)) => {
                Err(CommandError::Usage("give `--revision` or `--target`, not both".to_owned()))
            }
            (Some(revision), None) => show_revision(&client, revision, json).await,
            (None, Some(target)) => show_routing(&client, &target, json).await,
            (None, None) => show_members(&client, json).await,
        }
    })
}

async fn show_members(client: &AdminClient, json: bool) -> Result<(), CommandError> {
    let list: MemberList = client.get("/v1/members").await?;
    if json {
        print_json(&list);
        return Ok(());
    }
    let mut table = plain_table(&["daemon", "data centre", "state", "revision", "replicas"]);
    for member in list.members {
        table.add_row([
            member.name,
            member.data_centre,
            member.state,
            member.revision.to_string(),
            member.owned_replicas.to_string(),
        ]);
    }
    println!("{table}");
    Ok(())
}

async fn show_revision(
    client: &AdminClient,
    revision: u64,
    json: bool,
) -> Result<(), CommandError> {
    let state: InForce = client.get(&format!("/v1/revision/{revision}")).await?;
    if json {
        print_json(&state);
        return Ok(());
    }
    println!("in force: {}", state.in_force.join(", "));
    println!("behind:   {}", state.behind.join(", "));
    Ok(())
}

async fn show_routing(client: &AdminClient, target: &str, json: bool) -> Result<(), CommandError> {
    let routing: Routing = client.get(&format!("/v1/routing/{}", encode_segment(target))).await?;
    if json {
        print_json(&routing);
        return Ok(());
    }
    let columns = ["service", "shard", "replica", "data centre", "owner", "snapshot", "state"];
    let mut table = plain_table(&columns);
    for replica in routing.replicas {
        table.add_row([
            replica.service,
            replica.shard,
            replica.address.to_string(),
            replica.data_centre,
            replica.owner.unwrap_or_else(|| "none".to_owned()),
            replica.newest_snapshot.map_or_else(|| "unknown".to_owned(), |s| s.to_string()),
            if replica.drain { "draining" } else { "in service" }.to_owned(),
        ]);
    }
    println!("{table}");
    Ok(())
}

fn plain_table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(columns);
    table
}
