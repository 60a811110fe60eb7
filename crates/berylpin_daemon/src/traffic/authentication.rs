//! Mutual authentication of daemons by challenge and response.
//!
//! Each end draws a random challenge, and both ends sign the two challenges with the fleet key. The
//! proofs do not depend on the clocks of the VMs, and a recorded proof cannot be replayed. A proof
//! also covers the side that signs, the connecting daemon and the address that it connects to.

use crate::settings::Secret;
use berylpin_core::ids::MemberTag;
use hmac::{Hmac, Mac};
use http::HeaderMap;
use sha2::Sha256;
use std::fmt::Write;
use std::net::SocketAddr;

/// The header with the tag of the connecting daemon.
pub(super) const MEMBER_HEADER: &str = "x-berylpin-member";

/// The header with the challenge of the sender.
pub(super) const CHALLENGE_HEADER: &str = "x-berylpin-challenge";

/// The header with the proof of the sender.
pub(super) const PROOF_HEADER: &str = "x-berylpin-proof";

/// The length of a proof before its hexadecimal encoding.
const PROOF_BYTES: usize = 32;

/// The end of a link that signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// The connecting end.
    Client,
    /// The accepting end.
    Server,
}

/// The values that both ends of a link sign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Handshake {
    /// The connecting daemon.
    pub(super) member: MemberTag,
    /// The address that the daemon connects to.
    pub(super) address: SocketAddr,
    /// The random challenge of the connecting end.
    pub(super) client_challenge: u128,
    /// The random challenge of the accepting end.
    pub(super) server_challenge: u128,
}

impl Handshake {
    /// Returns the proof of one side, in hexadecimal digits.
    pub(super) fn sign(&self, key: &Secret, side: Side) -> String {
        let proof = self.mac(key, side).map(|mac| mac.finalize().into_bytes());
        let mut hex = String::with_capacity(2 * PROOF_BYTES);
        for byte in proof.iter().flatten() {
            // Writing to a string cannot fail.
            let _ = write!(hex, "{byte:02x}");
        }
        hex
    }

    /// Returns whether a proof is valid for one side; compares in constant time.
    pub(super) fn verify(&self, key: &Secret, side: Side, proof: &str) -> bool {
        let (Some(mac), Some(proof)) = (self.mac(key, side), decode_proof(proof)) else {
            return false;
        };
        mac.verify_slice(&proof).is_ok()
    }

    fn mac(&self, key: &Secret, side: Side) -> Option<Hmac<Sha256>> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key.bytes()).ok()?;
        mac.update(match side {
            Side::Client => b"client",
            Side::Server => b"server",
        });
        mac.update(&self.member.0.to_be_bytes());
        mac.update(&self.client_challenge.to_be_bytes());
        mac.update(&self.server_challenge.to_be_bytes());
        mac.update(self.address.to_string().as_bytes());
        Some(mac)
    }
}

/// Formats a challenge as the value of a header.
pub(super) fn format_challenge(challenge: u128) -> String {
    format!("{challenge:032x}")
}

/// Returns the challenge of the other end.
pub(super) fn read_challenge(headers: &HeaderMap) -> Option<u128> {
    u128::from_str_radix(header_text(headers, CHALLENGE_HEADER)?, 16).ok()
}

/// Returns the tag of the connecting daemon.
pub(super) fn read_member(headers: &HeaderMap) -> Option<MemberTag> {
    u64::from_str_radix(header_text(headers, MEMBER_HEADER)?, 16).ok().map(MemberTag)
}

/// Returns the proof of the other end.
pub(super) fn read_proof(headers: &HeaderMap) -> Option<&str> {
    header_text(headers, PROOF_HEADER)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn decode_proof(proof: &str) -> Option<[u8; PROOF_BYTES]> {
    let mut bytes = [0; PROOF_BYTES];
    if proof.len() != 2 * PROOF_BYTES || !proof.is_ascii() {
        return None;
    }
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(proof.get(2 * index..2 * index + 2)?, 16).ok()?;
    }
    Some(bytes)
}

#[cfg(test)]
mod tests;
