//! Service documents in files.

use crate::args::CommandError;
use std::path::Path;

/// Reads a file; an error names its path.
pub(crate) fn read_document(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|e| CommandError::Failed(format!("{}: {e}", path.display())))
}

/// Returns the value of a document's key `service`; the daemon validates the other keys.
pub(crate) fn service_name(path: &Path, text: &str) -> Result<String, CommandError> {
    let invalid = |problem: String| CommandError::Invalid(format!("{}: {problem}", path.display()));
    let table: toml::Table = toml::from_str(text).map_err(|e| invalid(e.to_string()))?;
    let name = table.get("service").and_then(toml::Value::as_str);
    name.map(str::to_owned)
        .ok_or_else(|| invalid("the key `service` is missing or not a string".to_owned()))
}
