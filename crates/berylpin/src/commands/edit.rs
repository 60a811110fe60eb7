//! `berylpin edit`: fetches a document into a new file to edit and apply.

use crate::args::{Command, CommandError, reject_remaining};
use crate::base_version::with_base_version;
use crate::client::{AdminClient, admin_options, block_on, document_path};
use berylpin_wire::admin::Document;
use pico_args::Arguments;
use std::path::PathBuf;

pub(crate) const COMMAND: Command = Command {
    name: "edit",
    summary: "fetch a document into a file to edit and apply",
    help: concat!(
        "Usage: berylpin edit SERVICE [--out FILE] [OPTIONS]\n\n",
        "  --out FILE       the file to create, which must not exist; SERVICE.toml if absent\n",
        admin_options!(),
        "
The first line of the file records the version that the edit is based on.

Example: berylpin edit quota-desk-01
         (change quota-desk-01.toml)
         berylpin apply quota-desk-01.toml --wait
"
    ),
    run,
};

fn run(mut args: Arguments) -> Result<(), CommandError> {
    let out: Option<PathBuf> = args.opt_value_from_str("--out")?;
    let client = AdminClient::from_args(&mut args)?;
    let name: String = args.free_from_str()?;
    reject_remaining(args)?;
    let path = out.unwrap_or_else(|| PathBuf::from(format!("{name}.toml")));
    block_on(async {
        let document: Document = client.get(&document_path(&name)).await?;
        let text = with_base_version(&document);
        write_new(&path, &text).map_err(|e| {
            CommandError::Failed(format!("{}: {e}; give another `--out`", path.display()))
        })?;
        println!("{0} written; change it, then run `berylpin apply {0} --wait`", path.display());
        Ok(())
    })
}

/// Writes a file; fails if it exists, so that no earlier edit is overwritten.
fn write_new(path: &std::path::Path, text: &str) -> std::io::Result<()> {
    use std::io::Write;
    std::fs::File::create_new(path)?.write_all(text.as_bytes())
}
