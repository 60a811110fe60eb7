//! Checks that the sample documents are valid and that invalid documents report the expected
//! problems.

use berylpin_core::config::ServiceSettings;
use datatest_stable::Result;
use std::path::Path;

fn sample_is_valid(path: &Path, text: String) -> Result<()> {
    ServiceSettings::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(())
}

/// Compares the problems of an invalid document with the `.txt` file of the same name.
fn invalid_reports_problems(path: &Path, text: String) -> Result<()> {
    let reported = match ServiceSettings::parse(&text) {
        Ok(_) => return Err("expected problems, but the document is valid".into()),
        Err(e) => format!("{e}\n"),
    };
    let expected = std::fs::read_to_string(path.with_extension("txt")).unwrap_or_default();
    if reported == expected {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\nreported:\n{reported}").into())
}

datatest_stable::harness! {
    { test = sample_is_valid, root = "../../examples", pattern = r"^(rizzo|kalipsan)/.*\.toml$" },
    { test = invalid_reports_problems, root = "resources/documents/invalid", pattern = r"\.toml$" },
}
