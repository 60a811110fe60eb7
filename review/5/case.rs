//! DRAIN: after open connections to the store went silent, a replica whose entry was removed gets
//! new requests later than `drain_ms`, and some are lost when it exits.
//!
//! With `STALE=1` in the environment the connections are sound, and the reads of the store with
//! `stale_ok` are seconds behind instead; REPORT.md tells of that variant.

#[path = "../standin/leaving.rs"]
mod leaving;
#[path = "../standin/mod.rs"]
mod standin;

use leaving::Disruption;

fn main() {
    let stale = std::env::var("STALE").is_ok_and(|value| value == "1");
    leaving::run(if stale { Disruption::StaleReads } else { Disruption::SilentConnections });
}
