//! `berylpin list`: lists the service documents.

use crate::args::{Command, CommandError, reject_remaining};
use crate::client::{AdminClient, admin_options, block_on, print_json};
use berylpin_wire::admin::DocumentList;
use comfy_table::Table;
use pico_args::Arguments;

pub(crate) const COMMAND: Command = Command {
    name: "list",
    summary: "list the service documents",
    help: concat!(
        "Usage: berylpin list [OPTIONS]\n\n",
        admin_options!(),
        "\nExample: berylpin list --admin 127.0.0.1:7002\n"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let client = AdminClient::from_args(&mut args)?;
    reject_remaining(args)?;
    block_on(async {
        let list: DocumentList = client.get("/v1/documents").await?;
        if json {
            print_json(&list);
        } else {
            print_table(&list);
        }
        Ok(())
    })
}

fn print_table(list: &DocumentList) {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(["service", "group", "version", "shards", "editor"]);
    for document in &list.documents {
        table.add_row([
            document.name.clone(),
            document.group.clone(),
            document.version.to_string(),
            document.shards.to_string(),
            document.editor.clone(),
        ]);
    }
    println!("{table}\nrevision {}", list.revision);
}
