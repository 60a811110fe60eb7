use super::*;

fn headers(version: &'static str, age: &'static str, sender: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(REPLICAS_HEADER, HeaderValue::from_static("31"));
    for (name, value) in [(VERSION_HEADER, version), (AGE_HEADER, age), (SENDER_HEADER, sender)] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    headers
}

/// A delayed message would make a version look newly confirmed if its age counted from its arrival.
#[test]
fn a_confirmation_counts_from_the_request_that_a_message_replies_to() {
    let asked_at = Instant::now();
    let headers = headers("7", "1500", "10.0.0.1:7380");
    let confirmed_at = asked_at.checked_sub(Duration::from_millis(1500));
    let peer = ([10, 0, 0, 1], 7380).into();
    let replicas_position = Some(StorePosition { era: StoreEra::default(), revision: 31 });
    let expected = PeerVersion { version: 7, peer, replicas_position, confirmed_at };
    assert_eq!(PeerVersion::read(&headers, Some(asked_at)), Some(expected));
    let unconfirmed = PeerVersion { confirmed_at: None, ..expected };
    assert_eq!(PeerVersion::read(&headers, None), Some(unconfirmed));
}

#[test]
fn headers_that_are_missing_or_malformed_are_ignored() {
    let now = Some(Instant::now());
    assert_eq!(PeerVersion::read(&HeaderMap::new(), now), None);
    for (version, sender) in [("x", "10.0.0.1:7380"), ("9", "here"), ("-9", "10.0.0.1:7380")] {
        assert_eq!(PeerVersion::read(&headers(version, "1", sender), now), None);
    }
    for age in ["x", "-1", "18446744073709551616", ""] {
        let read = PeerVersion::read(&headers("9", age, "10.0.0.1:7380"), now);
        assert_eq!(read.map(|read| (read.version, read.confirmed_at)), Some((9, None)), "{age}");
    }
}

/// Revisions are given out again after a restore of the store.
#[test]
fn the_revision_of_the_replicas_belongs_to_the_era_that_the_message_names() {
    let mut headers = headers("7", "1500", "10.0.0.1:7380");
    let position = |headers: &HeaderMap| PeerVersion::read(headers, None)?.replicas_position;
    headers.insert(REPLICAS_ERA_HEADER, HeaderValue::from_static("2"));
    assert_eq!(position(&headers), Some(StorePosition { era: StoreEra(2), revision: 31 }));
    headers.insert(REPLICAS_ERA_HEADER, HeaderValue::from_static("x"));
    assert_eq!(position(&headers), None);
}
