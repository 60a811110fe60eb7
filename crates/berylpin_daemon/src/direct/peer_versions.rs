//! Headers by which daemons tell each other which version of the configuration they have in force,
//! which replicas they use, and how long ago both were confirmed as the newest.
//!
//! They come with each request for parts and its reply. So a daemon whose watch went silent learns
//! of a newer version from any peer that it exchanges parts with, and a fleet confirms a version
//! with few calls to the store.

use super::traffic::Traffic;
use berylpin_core::direct::{StoreEra, StorePosition};
use http::{HeaderMap, HeaderValue};
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// The header with the version of the configuration that the sender has in force.
const VERSION_HEADER: &str = "configuration-version";

/// The header with the store's revision at which the sender's replicas are current.
const REPLICAS_HEADER: &str = "replicas-revision";

/// The header with the era of that revision; without it, the sender's store names no era.
const REPLICAS_ERA_HEADER: &str = "replicas-era";

/// The header with the time since the sender's version and replicas were confirmed, in ms.
const AGE_HEADER: &str = "configuration-age";

/// The header with the address on which the sender accepts requests of peers.
const SENDER_HEADER: &str = "peer-address";

/// Confirmations that are newer by less than this are not reported to the control thread.
const MIN_CONFIRMATION_GAIN: Duration = Duration::from_millis(200);

/// The version of the configuration that a peer has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerVersion {
    pub(super) version: u64,
    /// The address on which the peer accepts requests.
    pub(super) peer: SocketAddr,
    /// The position in the store at which the peer's replicas are current, if the message states it.
    pub(super) replicas_position: Option<StorePosition>,
    /// The version and the replicas were the newest at this time, if the peer's message shows it.
    pub(super) confirmed_at: Option<Instant>,
}

impl PeerVersion {
    /// Decodes the head of a peer's message; `None` if the version or the address is missing or
    /// malformed.
    ///
    /// A message may be delayed by any time, so its age counts from `asked_at`, when the request was
    /// sent to which the message replies.
    fn read(headers: &HeaderMap, asked_at: Option<Instant>) -> Option<Self> {
        let age = parse(headers, AGE_HEADER).map(Duration::from_millis);
        let confirmed_at = asked_at.zip(age).and_then(|(at, age)| at.checked_sub(age));
        let (version, peer) = (parse(headers, VERSION_HEADER)?, parse(headers, SENDER_HEADER)?);
        let replicas_position = read_replicas_position(headers);
        Some(Self { version, peer, replicas_position, confirmed_at })
    }
}

impl Traffic {
    /// Adds the version in force to the head of a request or a reply to a peer.
    pub(super) fn write_version(&self, headers: &mut HeaderMap) {
        // Read before the view: the other way round, a version that is replaced in between would be
        // reported as confirmed with the answer that replaced it.
        let confirmed_at = *self.confirmed_at.borrow();
        let Some(view) = self.view() else { return };
        headers.insert(VERSION_HEADER, HeaderValue::from(view.version));
        let StorePosition { era, revision } = view.replicas_position;
        headers.insert(REPLICAS_HEADER, HeaderValue::from(revision));
        headers.insert(REPLICAS_ERA_HEADER, HeaderValue::from(era.0));
        if let Ok(address) = HeaderValue::try_from(self.peer_address.to_string()) {
            headers.insert(SENDER_HEADER, address);
        }
        if let Some(confirmed_at) = confirmed_at {
            let age = self.now().saturating_duration_since(confirmed_at);
            headers.insert(AGE_HEADER, HeaderValue::from(age.as_millis() as u64));
        }
    }

    /// Reads the head of a peer's message; reports a newer version, or a newer confirmation of the
    /// version in force, to the control thread.
    ///
    /// `asked_at` is the time of the request if the message is its reply.
    pub(super) fn read_version(&self, headers: &HeaderMap, asked_at: Option<Instant>) {
        let Some(reported) = PeerVersion::read(headers, asked_at) else { return };
        let in_force = self.view().map(|view| view.version);
        let is_newer = in_force < Some(reported.version);
        let known = self.confirmed_at.borrow().map(|at| at + MIN_CONFIRMATION_GAIN);
        if is_newer || in_force == Some(reported.version) && reported.confirmed_at > known {
            // If the queue is full, the next message of a peer reports it again.
            let _ = self.peer_versions.try_send(reported);
        }
    }
}

/// Returns the position at which the sender's replicas are current; `None` if it is missing or
/// malformed.
fn read_replicas_position(headers: &HeaderMap) -> Option<StorePosition> {
    let revision = parse(headers, REPLICAS_HEADER)?;
    let era = if headers.contains_key(REPLICAS_ERA_HEADER) {
        StoreEra(parse(headers, REPLICAS_ERA_HEADER)?)
    } else {
        StoreEra::default()
    };
    Some(StorePosition { era, revision })
}

fn parse<T>(headers: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    headers.get(name)?.to_str().ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
