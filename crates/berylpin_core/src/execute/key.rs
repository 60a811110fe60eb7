//! Idempotency keys, which name the thread and process that issued them.

use crate::ids::{Key, MemberTag, ThreadId};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long after its issue a key may be started.
pub const KEY_VALIDITY: Duration = Duration::from_mins(10);

/// Domain separation from other uses of the same secret.
const MAC_CONTEXT: &[u8] = b"berylpin execution key";

const MAC_BYTES: usize = 16;
const FIELD_BYTES: usize = 36;
const KEY_BYTES: usize = FIELD_BYTES + MAC_BYTES;

/// The error returned when a text is not an [`ExecutionKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected {} hexadecimal digits, as returned by `POST /v1/keys`", 2 * KEY_BYTES)]
pub struct ParseKeyError;

/// Identifies a key among all keys of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId {
    /// Drawn at random at the start of the issuing thread.
    pub incarnation: u64,
    /// The issuing thread of the holder.
    pub thread: ThreadId,
    /// Sequence number among the keys of the thread; increases with the time of issue.
    pub sequence: u64,
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.incarnation, self.thread.index(), self.sequence)
    }
}

/// An idempotency key as given to a caller.
///
/// Only its issuer can verify that the key is authentic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExecutionKey {
    /// Daemon that issued the key.
    pub holder: MemberTag,
    /// Identifier of the key.
    pub id: KeyId,
    /// Milliseconds from the start of the issuing thread to the issue.
    issued_ms: u64,
    mac: [u8; MAC_BYTES],
}

impl ExecutionKey {
    fn field_bytes(&self) -> [u8; FIELD_BYTES] {
        let mut bytes = [0; FIELD_BYTES];
        bytes[..8].copy_from_slice(&self.holder.0.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.id.incarnation.to_be_bytes());
        bytes[16..20].copy_from_slice(&(self.id.thread.index() as u32).to_be_bytes());
        bytes[20..28].copy_from_slice(&self.id.sequence.to_be_bytes());
        bytes[28..36].copy_from_slice(&self.issued_ms.to_be_bytes());
        bytes
    }
}

impl fmt::Display for ExecutionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.field_bytes().iter().chain(&self.mac).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for ExecutionKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, ParseKeyError> {
        if text.len() != 2 * KEY_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseKeyError);
        }
        let mut bytes = [0; KEY_BYTES];
        for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| ParseKeyError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseKeyError)?;
        }
        let u64_at = |offset: usize| {
            let mut field = [0; 8];
            field.copy_from_slice(&bytes[offset..offset + 8]);
            u64::from_be_bytes(field)
        };
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&bytes[FIELD_BYTES..]);
        let thread = ThreadId::from_index((u64_at(16) >> 32) as usize);
        let id = KeyId { incarnation: u64_at(8), thread, sequence: u64_at(20) };
        Ok(Self { holder: MemberTag(u64_at(0)), id, issued_ms: u64_at(28), mac })
    }
}

/// Issues and verifies the keys of one thread.
#[derive(Clone)]
pub struct Issuer {
    holder: MemberTag,
    thread: ThreadId,
    incarnation: u64,
    mac: Hmac<Sha256>,
    started: Instant,
    next_sequence: u64,
}

impl fmt::Debug for Issuer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Issuer").field("incarnation", &self.incarnation).finish_non_exhaustive()
    }
}

impl Issuer {
    /// Creates the issuer of a thread that starts at `now`.
    ///
    /// `incarnation` must be random and `secret` unknown to callers. Keys of an earlier process do
    /// not verify even under the same secret, because their incarnation differs.
    pub fn new(
        holder: MemberTag,
        thread: ThreadId,
        incarnation: u64,
        secret: &[u8],
        now: Instant,
    ) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC accepts a secret of any length");
        let mac = mac.chain_update(MAC_CONTEXT);
        Self { holder, thread, incarnation, mac, started: now, next_sequence: 0 }
    }

    /// Issues a key; no state is kept per issued key.
    pub fn issue(&mut self, now: Instant) -> ExecutionKey {
        let (incarnation, thread, sequence) = (self.incarnation, self.thread, self.next_sequence);
        self.next_sequence += 1;
        let issued_ms = now.saturating_duration_since(self.started).as_millis() as u64;
        let id = KeyId { incarnation, thread, sequence };
        let mut key = ExecutionKey { holder: self.holder, id, issued_ms, mac: [0; MAC_BYTES] };
        let mac = self.mac.clone().chain_update(key.field_bytes()).finalize().into_bytes();
        key.mac.copy_from_slice(&mac[..MAC_BYTES]);
        key
    }

    /// Returns the sequence number of the next key; those of all issued keys are lower.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the incarnation and the thread of this issuer.
    pub fn identity(&self) -> (u64, ThreadId) {
        (self.incarnation, self.thread)
    }

    /// Returns whether the key names this thread and process; the MAC is not checked.
    pub fn is_own(&self, key: &ExecutionKey) -> bool {
        key.holder == self.holder
            && key.id.incarnation == self.incarnation
            && key.id.thread == self.thread
    }

    /// Returns whether this issuer issued the key; verifies the MAC.
    pub fn is_authentic(&self, key: &ExecutionKey) -> bool {
        let mac = self.mac.clone().chain_update(key.field_bytes());
        self.is_own(key) && mac.verify_truncated_left(&key.mac).is_ok()
    }

    /// Returns when an own key was issued, according to the key.
    pub fn issued_at(&self, key: &ExecutionKey) -> Instant {
        self.started + Duration::from_millis(key.issued_ms)
    }
}

#[cfg(test)]
mod tests;
