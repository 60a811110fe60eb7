//! Text of entries in log lines.

/// The maximum length of text from an entry in a log line, in characters; longer than any checked
/// name.
const MAX_EXCERPT_CHARS: usize = 256;

/// Returns the start of a text that another writer may have made as long as an entry can be.
pub(super) fn excerpt(text: &str) -> &str {
    text.char_indices().nth(MAX_EXCERPT_CHARS).map_or(text, |(end, _)| &text[..end])
}

#[cfg(test)]
mod tests;
