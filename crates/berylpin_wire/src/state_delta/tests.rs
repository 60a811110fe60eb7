use super::*;
use bytes::Bytes;
use std::time::Duration;

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), revision }
}

fn revisions() -> StateRevisions {
    StateRevisions {
        version: Some(7),
        replicas: Some(position(2, 40)),
        daemons: Some(position(1, 900)),
        era: StoreEra(3),
    }
}

fn replica(id: &str, sequence: u64) -> ReplicaEntry {
    ReplicaEntry {
        id: id.to_owned(),
        service: "shard-0".to_owned(),
        address: ([127, 0, 0, 1], 8080).into(),
        data_centre: "palermo".to_owned(),
        slots: 2,
        draining: false,
        warm_up_left: Duration::from_secs(1),
        started_ms: 5,
        sequence,
    }
}

fn delta() -> StateDelta {
    let daemon = DaemonEntry {
        name: "front-1".to_owned(),
        address: ([127, 0, 0, 1], 7380).into(),
        data_centre: "palermo".to_owned(),
        revision: 33,
    };
    StateDelta {
        configuration: None,
        replicas: Some((position(2, 40), vec![replica("a", 8), replica("b", 9)])),
        daemons: Some((position(2, 38), vec![daemon])),
        era: StoreEra(2),
    }
}

fn decoder(buf: BytesMut) -> Decoder {
    let mut decoder = Decoder::default();
    decoder.extend(&buf.freeze());
    decoder
}

#[test]
fn messages_are_decoded_as_they_were_encoded() {
    let mut buf = BytesMut::new();
    encode_revisions(&revisions(), &mut buf);
    assert_eq!(decode_revisions(&mut decoder(buf)).unwrap(), Some(revisions()));
    let mut buf = BytesMut::new();
    encode_delta(delta(), &mut buf);
    assert_eq!(decode_delta(&mut decoder(buf)).unwrap(), Some(delta()));
}

/// During a rolling update, daemons of a build that knows no eras exchange state with others.
#[test]
fn the_first_frame_is_the_message_of_a_build_without_eras() {
    /// The layouts of that build.
    type OldRevisions = (Option<u64>, Option<u64>, Option<u64>);
    type OldReplica = (String, String, std::net::SocketAddr, String, u32, bool, Duration, u64);
    type OldDelta =
        (Option<Configuration>, Option<(u64, Vec<OldReplica>)>, Option<(u64, Vec<DaemonEntry>)>);
    let mut buf = BytesMut::new();
    encode_revisions(&revisions(), &mut buf);
    let old: OldRevisions = decoder(buf).next_value().unwrap().unwrap();
    assert_eq!(old, (Some(7), Some(40), Some(900)));
    let mut buf = BytesMut::new();
    encode_delta(delta(), &mut buf);
    let old: OldDelta = decoder(buf).next_value().unwrap().unwrap();
    let (at, entries) = old.1.unwrap();
    assert_eq!((at, entries.len(), entries[1].0.as_str()), (40, 2, "b"));
    assert_eq!(old.2.unwrap().0, 38);

    let mut buf = BytesMut::new();
    let old: OldRevisions = (Some(7), Some(40), None);
    encode_value(&old, &mut buf);
    let decoded = decode_revisions(&mut decoder(buf)).unwrap().unwrap();
    assert_eq!(decoded.replicas, Some(position(0, 40)));
    assert_eq!(decoded.era, StoreEra::default());
    let mut buf = BytesMut::new();
    let old: OldDelta = (None, None, Some((38, Vec::new())));
    encode_value(&old, &mut buf);
    let decoded = decode_delta(&mut decoder(buf)).unwrap().unwrap();
    assert_eq!(decoded.daemons, Some((position(0, 38), Vec::new())));
}

#[test]
fn a_message_that_does_not_decode_is_an_error() {
    let mut decoder = Decoder::default();
    decoder.extend(&Bytes::from_static(&[0, 0, 0, 2, 9, 9]));
    assert!(decode_revisions(&mut decoder).is_err());
    assert!(decode_delta(&mut Decoder::default()).unwrap().is_none());
}
