use super::*;
use std::net::{IpAddr, Ipv4Addr};

fn settings(settle_ms: u64, limit_ms: u64) -> PlatformSettings {
    let address = (IpAddr::from(Ipv4Addr::LOCALHOST), 1).into();
    PlatformSettings {
        name: "front-1".to_owned(),
        ip: Ipv4Addr::LOCALHOST.into(),
        data_centre: "palermo".to_owned(),
        regions: Vec::new(),
        caller_address: address,
        ready_address: address,
        peer_ports: (1, 2),
        seeds: Vec::new(),
        store: address,
        settle_time: Duration::from_millis(settle_ms),
        config_apply_limit: Duration::from_millis(limit_ms),
        drain_limit: Duration::from_millis(limit_ms),
        stop_limit: Duration::from_secs(6),
        extra_attempt_ratio: 0.2,
        extra_attempt_slack: 56.0,
        extra_attempt_window: Duration::from_secs(10),
    }
}

#[test]
fn a_watch_on_a_silent_connection_ends_before_a_change_is_due() {
    for (settle, limit) in [(4000, 3000), (6000, 5000)] {
        let due = Duration::from_millis(settle + limit);
        assert!(watch_wait(&settings(settle, limit)) + WATCH_RESERVE <= due);
    }
    assert_eq!(watch_wait(&settings(0, 0)), WATCH_LIMITS.0);
}

#[test]
fn a_store_that_was_lost_is_asked_without_a_wait() {
    let wait = Duration::from_secs(8);
    assert_eq!(watch_time(wait, false), Duration::ZERO);
    assert_eq!(watch_time(wait, true), wait);
}

#[test]
fn an_outage_of_the_store_is_met_with_fewer_and_fewer_calls() {
    let pauses: Vec<_> = (1..=5).map(|n| retry_pause(n, SOON_RETRY_LIMIT).as_millis()).collect();
    assert_eq!(pauses, [200, 400, 800, 1000, 1000]);
    assert_eq!(retry_pause(u32::MAX, DAEMONS_RETRY_LIMIT), DAEMONS_RETRY_LIMIT);
}

#[test]
fn what_is_due_is_known_in_time_after_an_outage() {
    for (settle, limit) in [(4000, 3000), (6000, 5000)] {
        // The random part doubles the pause at most.
        assert!(SOON_RETRY_LIMIT * 2 < settings(settle, limit).settle_time);
    }
}
