//! `berylpin delete`: deletes a service document.

use crate::args::{Command, CommandError, reject_remaining};
use crate::client::{AdminClient, Precondition, admin_options, block_on, print_json};
use pico_args::Arguments;

pub(crate) const COMMAND: Command = Command {
    name: "delete",
    summary: "delete a service document",
    help: concat!(
        "Usage: berylpin delete SERVICE --base VERSION [OPTIONS]\n\n",
        "  --base VERSION   the version to delete; see `berylpin list`\n",
        admin_options!(),
        "\nExample: berylpin delete quota-desk-21 --base 17\n"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let base = args.value_from_str("--base")?;
    let client = AdminClient::from_args(&mut args)?;
    let name: String = args.free_from_str()?;
    reject_remaining(args)?;
    block_on(async {
        let accepted = client.delete_document(&name, Precondition::Version(base)).await?;
        if json {
            print_json(&accepted);
        } else {
            println!("{name} deleted at revision {}", accepted.version);
        }
        Ok(())
    })
}
