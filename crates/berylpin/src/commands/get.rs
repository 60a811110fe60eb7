//! `berylpin get`: prints a service document.

use crate::args::{Command, CommandError, reject_remaining};
use crate::client::{AdminClient, admin_options, block_on, document_path, print_json};
use berylpin_wire::admin::Document;
use pico_args::Arguments;

pub(crate) const COMMAND: Command = Command {
    name: "get",
    summary: "print a service document",
    help: concat!(
        "Usage: berylpin get SERVICE [OPTIONS]\n\n",
        admin_options!(),
        "\nExample: berylpin get quota-desk-01\n"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let client = AdminClient::from_args(&mut args)?;
    let name: String = args.free_from_str()?;
    reject_remaining(args)?;
    block_on(async {
        let document: Document = client.get(&document_path(&name)).await?;
        if json {
            print_json(&document);
        } else {
            print!("{}", document.text);
        }
        Ok(())
    })
}
