//! `berylpin diff`: compares a file with the stored document.

use crate::args::{Command, CommandError, reject_remaining};
use crate::base_version::split_base_version;
use crate::client::{AdminClient, admin_options, block_on, document_path};
use crate::document_file::{read_document, service_name};
use berylpin_wire::admin::Document;
use pico_args::Arguments;
use similar::TextDiff;
use std::path::PathBuf;

pub(crate) const COMMAND: Command = Command {
    name: "diff",
    summary: "compare a file with the stored document",
    help: concat!(
        "Usage: berylpin diff FILE [OPTIONS]\n\n",
        admin_options!(),
        "\nExample: berylpin diff quota-desk-01.toml\n"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let client = AdminClient::from_args(&mut args)?;
    let path: PathBuf = args.free_from_str()?;
    reject_remaining(args)?;
    let text = read_document(&path)?;
    let (_, edited) = split_base_version(&text);
    let name = service_name(&path, edited)?;
    block_on(async {
        let stored: Document = client.get(&document_path(&name)).await?;
        let header = format!("stored version {} by {}", stored.version, stored.editor);
        let diff = TextDiff::from_lines(stored.text.as_str(), edited);
        print!("{}", diff.unified_diff().header(&header, &path.display().to_string()));
        Ok(())
    })
}
