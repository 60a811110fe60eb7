//! Names in URLs.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// The characters that mean themselves in a URL.
const UNRESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes a name for one segment of a path, or for a value in a query.
///
/// No encoding keeps the segments `.` and `..` from meaning another path.
pub fn encode_segment(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, UNRESERVED)
}

#[cfg(test)]
mod tests;
