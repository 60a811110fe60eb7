//! DRAIN: while stale reads of the store are seconds old, a replica whose entry was removed gets new
//! requests later than `drain_ms`, and some are lost when it exits.

#[path = "../standin/leaving.rs"]
mod leaving;
#[path = "../standin/mod.rs"]
mod standin;

fn main() {
    leaving::run(leaving::Disruption::StaleReads);
}
