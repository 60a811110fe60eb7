//! The comment at the head of a fetched document with the version that an edit is based on.

use berylpin_wire::admin::Document;

const PREFIX: &str = "# based on version ";

/// Returns the text of a document, preceded by a comment line with its version.
pub(crate) fn with_base_version(document: &Document) -> String {
    format!("{PREFIX}{}\n{}", document.version, document.text)
}

/// Splits a file into the base version from its first line, if any, and the document.
pub(crate) fn split_base_version(text: &str) -> (Option<u64>, &str) {
    let Some((first, rest)) = text.split_once('\n') else { return (None, text) };
    match first.strip_prefix(PREFIX).and_then(|version| version.trim().parse().ok()) {
        Some(version) => (Some(version), rest),
        None => (None, text),
    }
}

#[cfg(test)]
mod tests;
