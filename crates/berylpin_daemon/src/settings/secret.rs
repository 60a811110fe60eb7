//! Secrets that never show in logs.

use std::fmt;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// A secret; its debug text hides it.
#[derive(Clone)]
pub struct Secret {
    /// At least [`Secret::MINIMUM_LENGTH`] long.
    bytes: Arc<[u8]>,
}

impl Secret {
    /// The shortest secret, in bytes.
    pub const MINIMUM_LENGTH: usize = 16;

    /// Takes in a secret; `None` if it is too short.
    pub fn new(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        (bytes.len() >= Self::MINIMUM_LENGTH).then(|| Self { bytes: bytes.into() })
    }

    /// Returns whether another secret is the same, in time that does not depend on its bytes.
    pub fn matches(&self, other: &[u8]) -> bool {
        self.bytes.ct_eq(other).into()
    }

    /// Returns the bytes, to sign with.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
