//! How daemons prove to each other that they belong to one fleet.
//!
//! Each end draws a challenge and signs the other's with the fleet's key, so nothing depends on the
//! clocks of two VMs and a recorded proof is of no use. A proof names its side, the daemon that
//! connects and the address it connects to.

use crate::settings::Secret;
use berylpin_core::ids::MemberTag;
use hmac::{Hmac, Mac};
use http::HeaderMap;
use sha2::Sha256;
use std::fmt::Write;
use std::net::SocketAddr;

/// The header with the tag of the daemon that connects.
pub(super) const MEMBER_HEADER: &str = "x-berylpin-member";

/// The header with the challenge of the sender.
pub(super) const CHALLENGE_HEADER: &str = "x-berylpin-challenge";

/// The header with the proof of the sender.
pub(super) const PROOF_HEADER: &str = "x-berylpin-proof";

/// Bytes of a proof.
const PROOF_SIZE: usize = 32;

/// Which end of a link signs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// The end that connects.
    Client,
    /// The end that accepts.
    Server,
}

/// What both ends of one link sign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Handshake {
    /// The daemon that connects.
    pub(super) member: MemberTag,
    /// The address it connects to.
    pub(super) address: SocketAddr,
    /// Drawn by the end that connects.
    pub(super) client_challenge: u128,
    /// Drawn by the end that accepts.
    pub(super) server_challenge: u128,
}

impl Handshake {
    /// Returns the proof of one side.
    pub(super) fn sign(&self, key: &Secret, side: Side) -> String {
        let proof = self.mac(key, side).map(|mac| mac.finalize().into_bytes());
        let mut text = String::with_capacity(2 * PROOF_SIZE);
        for byte in proof.iter().flatten() {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Returns whether a proof is that of one side, in time that does not depend on its bytes.
    pub(super) fn verify(&self, key: &Secret, side: Side, proof: &str) -> bool {
        let (Some(mac), Some(proof)) = (self.mac(key, side), decode(proof)) else { return false };
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

/// Writes a challenge for a header.
pub(super) fn challenge_text(challenge: u128) -> String {
    format!("{challenge:032x}")
}

/// Reads the challenge of the other end.
pub(super) fn read_challenge(headers: &HeaderMap) -> Option<u128> {
    u128::from_str_radix(text(headers, CHALLENGE_HEADER)?, 16).ok()
}

/// Reads the tag of the daemon that connects.
pub(super) fn read_member(headers: &HeaderMap) -> Option<MemberTag> {
    u64::from_str_radix(text(headers, MEMBER_HEADER)?, 16).ok().map(MemberTag)
}

/// Reads the proof of the other end.
pub(super) fn read_proof(headers: &HeaderMap) -> Option<&str> {
    text(headers, PROOF_HEADER)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn decode(proof: &str) -> Option<[u8; PROOF_SIZE]> {
    let mut bytes = [0; PROOF_SIZE];
    if proof.len() != 2 * PROOF_SIZE || !proof.is_ascii() {
        return None;
    }
    for (at, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(proof.get(2 * at..2 * at + 2)?, 16).ok()?;
    }
    Some(bytes)
}

#[cfg(test)]
mod tests;
