//! Checks of entries, which processes other than replicas and daemons can write too.

use super::configuration::{DaemonEntry, ReplicaEntry};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::Deref;
use std::sync::Arc;
use thiserror::Error;

/// The maximum length of a name, the same as that of a DNS name in text.
const MAX_NAME_BYTES: usize = 253;

/// The reason why an entry names nothing to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnusableEntry {
    /// The name could not stand in URLs and headers as it is.
    #[error(
        "odd name, expected 1 to {MAX_NAME_BYTES} letters, digits and `-._~`, and not `.` or `..`"
    )]
    Name,
    /// The name of the service or of the data centre is empty, too long or has control characters.
    #[error(
        "odd service or data centre, expected 1 to {MAX_NAME_BYTES} bytes without control characters"
    )]
    Label,
    /// No server can listen on the address.
    #[error("odd address, expected a unicast address and a port from 1 to 65535")]
    Address,
}

/// The checked name of a replica, which can stand in any header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaName(Arc<str>);

impl ReplicaName {
    /// Checks a name.
    ///
    /// Allows the unreserved characters of URLs alone: they mean themselves in a URL, a header and a
    /// log line, so no receiver reads another name than the one that was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the name has other characters, is empty or is too long.
    pub fn new(name: &str) -> Result<Self, UnusableEntry> {
        check_name(name)?;
        Ok(Self(Arc::from(name)))
    }

    /// Returns the shared text.
    pub fn text(&self) -> &Arc<str> {
        &self.0
    }
}

impl Deref for ReplicaName {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl ReplicaEntry {
    /// Checks whether the entry names a replica to use.
    ///
    /// # Errors
    ///
    /// Returns the first of its fields that is odd.
    pub fn check(&self) -> Result<(), UnusableEntry> {
        check_name(&self.id)?;
        check_label(&self.service)?;
        check_label(&self.data_centre)?;
        check_address(self.address)
    }
}

impl DaemonEntry {
    /// Checks whether the entry names a daemon that can be called.
    ///
    /// # Errors
    ///
    /// Returns the first of its fields that is odd.
    pub fn check(&self) -> Result<(), UnusableEntry> {
        check_name(&self.name)?;
        check_label(&self.data_centre)?;
        check_address(self.address)
    }
}

fn check_name(name: &str) -> Result<(), UnusableEntry> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    // A dot segment in the path of a URL would mean another object.
    let dots = matches!(name, "." | "..");
    let fits = (1..=MAX_NAME_BYTES).contains(&name.len());
    if fits && !dots && name.bytes().all(allowed) { Ok(()) } else { Err(UnusableEntry::Name) }
}

fn check_label(label: &str) -> Result<(), UnusableEntry> {
    let fits = (1..=MAX_NAME_BYTES).contains(&label.len());
    if fits && !label.contains(char::is_control) { Ok(()) } else { Err(UnusableEntry::Label) }
}

fn check_address(address: SocketAddr) -> Result<(), UnusableEntry> {
    let ip = address.ip().to_canonical();
    let unicast =
        !ip.is_unspecified() && !ip.is_multicast() && ip != IpAddr::V4(Ipv4Addr::BROADCAST);
    if unicast && address.port() != 0 { Ok(()) } else { Err(UnusableEntry::Address) }
}

#[cfg(test)]
mod tests;
