//! `berylpin drain`: drains a replica, or returns it to service.

use crate::args::{Command, CommandError, reject_remaining};
use crate::client::{AdminClient, admin_options, block_on, print_json};
use crate::commands::apply::wait_until_in_force;
use berylpin_wire::admin::DrainBody;
use pico_args::Arguments;

pub(crate) const COMMAND: Command = Command {
    name: "drain",
    summary: "drain a replica, or return it to service",
    help: concat!(
        "Usage: berylpin drain SERVICE ADDRESS [--undo] [--wait] [OPTIONS]\n\n",
        "  SERVICE          the name of the service\n",
        "  ADDRESS          the address of the replica, as in the document\n",
        "  --undo           return the replica to service\n",
        "  --wait           return when the change is in force at every live daemon\n",
        admin_options!(),
        "\nExample: berylpin drain quota-desk-01 10.0.3.7:9000 --wait\n"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let drain = !args.contains("--undo");
    let wait = args.contains("--wait");
    let client = AdminClient::from_args(&mut args)?;
    let service: String = args.free_from_str()?;
    let address = args.free_from_str()?;
    reject_remaining(args)?;
    block_on(async {
        let body = DrainBody { service, address, drain };
        let accepted = client.post_change("/v1/drain", &body).await?;
        if wait {
            wait_until_in_force(&client, accepted.version).await?;
        }
        if json {
            print_json(&accepted);
        } else {
            let state = if drain { "is draining" } else { "is in service" };
            println!("{address} {state} as of version {}", accepted.version);
        }
        Ok(())
    })
}
