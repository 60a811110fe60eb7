//! The first line of an edited document: which version the edit is based on.

use berylpin_wire::admin::Document;

const PREFIX: &str = "# based on version ";

/// Returns the text of a document below the line with its version.
pub(crate) fn with_base_version(document: &Document) -> String {
    format!("{PREFIX}{}\n{}", document.version, document.text)
}

/// Splits an edited document into the version that it is based on and the document.
pub(crate) fn split_base_version(text: &str) -> (Option<u64>, &str) {
    let Some((first, rest)) = text.split_once('\n') else { return (None, text) };
    match first.strip_prefix(PREFIX).and_then(|version| version.trim().parse().ok()) {
        Some(version) => (Some(version), rest),
        None => (None, text),
    }
}

#[cfg(test)]
mod tests;
