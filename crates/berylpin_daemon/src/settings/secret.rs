//! Secrets that are never written to logs.

use std::fmt;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// A secret whose debug text does not contain its bytes.
#[derive(Clone)]
pub struct Secret {
    /// At least [`Secret::MIN_BYTES`] long.
    bytes: Arc<[u8]>,
}

impl Secret {
    /// Minimum length of a secret, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a secret; returns `None` if the text is shorter than [`Secret::MIN_BYTES`].
    pub fn new(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        (bytes.len() >= Self::MIN_BYTES).then(|| Self { bytes: bytes.into() })
    }

    /// Returns whether `other` equals the secret; the time does not depend on where they differ.
    pub fn matches(&self, other: &[u8]) -> bool {
        self.bytes.ct_eq(other).into()
    }

    /// Returns the bytes, for use as a signing key.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
