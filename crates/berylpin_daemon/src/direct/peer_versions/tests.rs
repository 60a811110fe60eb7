use super::*;

#[test]
fn a_version_is_read_as_it_was_written() {
    let written = PeerVersion { version: u64::MAX, peer: ([10, 0, 0, 1], 7380).into() };
    let mut headers = HeaderMap::new();
    written.write(&mut headers);
    assert_eq!(PeerVersion::read(&headers), Some(written));
}

#[test]
fn headers_that_are_missing_or_malformed_are_ignored() {
    assert_eq!(PeerVersion::read(&HeaderMap::new()), None);
    for (version, sender) in [("x", "10.0.0.1:7380"), ("9", "here"), ("-9", "10.0.0.1:7380")] {
        let mut headers = HeaderMap::new();
        headers.insert(VERSION_HEADER, HeaderValue::from_static(version));
        headers.insert(SENDER_HEADER, HeaderValue::from_static(sender));
        assert_eq!(PeerVersion::read(&headers), None);
    }
}
