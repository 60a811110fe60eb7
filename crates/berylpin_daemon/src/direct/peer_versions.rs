//! Headers by which daemons tell each other which version of the configuration they have in force.
//!
//! They come with each request for parts and its reply, so a daemon whose watch went silent learns
//! of a newer version from any peer that it exchanges parts with.

use super::traffic::Traffic;
use http::{HeaderMap, HeaderValue};
use std::net::SocketAddr;
use std::str::FromStr;

/// The header with the version of the configuration that the sender has in force.
const VERSION_HEADER: &str = "configuration-version";

/// The header with the address on which the sender accepts requests of peers.
const SENDER_HEADER: &str = "peer-address";

/// The version of the configuration that a daemon has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerVersion {
    pub(super) version: u64,
    /// The address on which the daemon accepts requests of peers.
    pub(super) peer: SocketAddr,
}

impl PeerVersion {
    fn write(&self, headers: &mut HeaderMap) {
        headers.insert(VERSION_HEADER, HeaderValue::from(self.version));
        if let Ok(peer) = HeaderValue::try_from(self.peer.to_string()) {
            headers.insert(SENDER_HEADER, peer);
        }
    }

    /// Returns `None` if a header is missing or malformed.
    fn read(headers: &HeaderMap) -> Option<Self> {
        Some(Self {
            version: parse(headers, VERSION_HEADER)?,
            peer: parse(headers, SENDER_HEADER)?,
        })
    }
}

impl Traffic {
    /// Adds the version in force to the head of a request or a reply to a peer.
    pub(super) fn write_version(&self, headers: &mut HeaderMap) {
        if let Some(view) = self.view() {
            PeerVersion { version: view.version, peer: self.peer_address }.write(headers);
        }
    }

    /// Reads the head of a peer's request or reply; reports a newer version to the control thread.
    pub(super) fn read_version(&self, headers: &HeaderMap) {
        let Some(reported) = PeerVersion::read(headers) else { return };
        if self.view().is_none_or(|view| view.version < reported.version) {
            // If the queue is full, the next message of a peer reports the version again.
            let _ = self.peer_versions.try_send(reported);
        }
    }
}

fn parse<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
