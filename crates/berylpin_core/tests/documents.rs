//! The sample documents are valid, and invalid ones are told exactly what is wrong.

use berylpin_core::config::ServiceSettings;
use datatest_stable::Result;
use std::path::Path;

fn sample(path: &Path, text: String) -> Result<()> {
    ServiceSettings::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(())
}

/// Compares the problems of a document with those in the file of the same name.
fn invalid(path: &Path, text: String) -> Result<()> {
    let told = match ServiceSettings::parse(&text) {
        Ok(_) => return Err("the document is accepted".into()),
        Err(e) => format!("{e}\n"),
    };
    let expected = std::fs::read_to_string(path.with_extension("txt")).unwrap_or_default();
    if told == expected {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\ntold:\n{told}").into())
}

datatest_stable::harness! {
    { test = sample, root = "../../examples", pattern = r"^(rizzo|kalipsan)/.*\.toml$" },
    { test = invalid, root = "resources/documents/invalid", pattern = r"\.toml$" },
}
