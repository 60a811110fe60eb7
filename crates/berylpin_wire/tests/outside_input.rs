//! Tests that parsers of external input return, for any bytes, a value or an error with a message,
//! without a panic or a large allocation.
//!
//! The input is random bytes, valid input with random edits, and frames with false lengths.

use berylpin_core::arena::Slab;
use berylpin_core::config::ServiceSettings;
use berylpin_core::ids::{Key, QueryTag, ReplicaTag, Snapshot, ThreadId};
use berylpin_core::message::{
    AttemptId, Batch, FailReason, Hint, Outcome, QueryMessage, Row, SnapshotRange, SubQuery,
    SubQueryReply,
};
use berylpin_core::rank::Rank;
use berylpin_core::verdict::Verdict;
use berylpin_wire::admin::{Conflict, Document, DrainBody, InForce, NotStored};
use berylpin_wire::caller::{AnswerBody, CoverageBody, MissingBody, QueryBody, RefusalBody};
use berylpin_wire::frame::{Decoder, Frame, FrameError, MAX_FRAME_BYTES, encode};
use berylpin_wire::platform::{Object, ObjectList, Stored, Vm};
use berylpin_wire::upstream::LookupReply;
use bytes::{BufMut, Bytes, BytesMut};
use proptest::prelude::*;
use proptest::sample::Index;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

const DOCUMENT: &str = r#"
service = "bursar-sync-01"
group = "bursar-sync"
extra_load = 0.05

[targets]
urgent = "100ms"

[[shard]]
name = "a"

[[shard.replica]]
address = "127.0.0.1:9000"
data_centre = "palermo-1"
slots = 2
connections = 25
"#;

/// An edit of a byte string.
#[derive(Clone, Debug)]
enum Edit {
    Replace(Index, u8),
    Insert(Index, u8),
    Remove(Index),
    Truncate(Index),
    /// Copies up to 16 bytes from the first position and inserts them at the second.
    Repeat(Index, Index),
}

fn edit() -> impl Strategy<Value = Edit> {
    let byte = prop_oneof![any::<u8>(), prop::sample::select(b"{}[]\",:0919-.=\n".to_vec())];
    prop_oneof![
        (any::<Index>(), byte.clone()).prop_map(|(at, byte)| Edit::Replace(at, byte)),
        (any::<Index>(), byte).prop_map(|(at, byte)| Edit::Insert(at, byte)),
        any::<Index>().prop_map(Edit::Remove),
        any::<Index>().prop_map(Edit::Truncate),
        (any::<Index>(), any::<Index>()).prop_map(|(from, to)| Edit::Repeat(from, to)),
    ]
}

fn apply(bytes: &mut Vec<u8>, edit: &Edit) {
    let length = bytes.len().max(1);
    match edit {
        _ if bytes.is_empty() => {}
        Edit::Replace(at, byte) => bytes[at.index(length)] = *byte,
        Edit::Insert(at, byte) => bytes.insert(at.index(length), *byte),
        Edit::Remove(at) => drop(bytes.remove(at.index(length))),
        Edit::Truncate(at) => bytes.truncate(at.index(length)),
        Edit::Repeat(from, to) => {
            let repeated: Vec<u8> = bytes[from.index(length)..].iter().copied().take(16).collect();
            let to = to.index(length);
            bytes.splice(to..to, repeated);
        }
    }
}

/// Generates either random bytes or one of the valid inputs with up to five edits.
fn input(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let edits = prop::collection::vec(edit(), 0..6);
    let edited = (prop::sample::select(valid), edits).prop_map(|(mut bytes, edits)| {
        for edit in &edits {
            apply(&mut bytes, edit);
        }
        bytes
    });
    prop_oneof![1 => prop::collection::vec(any::<u8>(), 0..300), 4 => edited]
}

fn json<T>(body: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(body).unwrap()
}

fn rows() -> Vec<Row> {
    vec![Row { key: "account-1/belge/main".to_owned(), value: "3".to_owned() }]
}

const RANGE: SnapshotRange = SnapshotRange { oldest: Snapshot(1), newest: Snapshot(3) };

fn valid_bodies() -> Vec<Vec<u8>> {
    let (service, shard) = ("belge".to_owned(), "main".to_owned());
    let missing = vec![MissingBody { service, shard, reason: FailReason::Deadline }];
    let query = QueryBody {
        target: "belge".to_owned(),
        rank: Rank::Urgent,
        deadline_ms: Some(250),
        limit: Some(10),
        lookup: "account-1".to_owned(),
    };
    let answer = AnswerBody {
        complete: false,
        snapshot: Snapshot(3),
        coverage: CoverageBody { asked: 2, answered: 1, missing },
        rows: rows(),
    };
    let reply = LookupReply {
        request: QueryTag(7).to_string(),
        shard: "main".to_owned(),
        snapshot: Snapshot(3),
        serves: RANGE,
        rows: rows(),
    };
    let object =
        Object { name: "services/belge".to_owned(), version: 4, value: DOCUMENT.to_owned() };
    let vm = Vm {
        name: "entry-1".to_owned(),
        data_centre: "ege-1".to_owned(),
        peer_address: ([127, 0, 0, 1], 7001).into(),
        leaving: false,
    };
    let drain = DrainBody { service: "belge".to_owned(), address: vm.peer_address, drain: true };
    let objects = ObjectList { revision: 4, objects: vec![object] };
    vec![json(&query), json(&answer), json(&reply), json(&objects), json(&vec![vm]), json(&drain)]
}

/// Parses bytes as JSON; checks that an error has a message and a position or a category.
fn parse_json<T>(bytes: &[u8])
where
    T: DeserializeOwned,
{
    if let Err(e) = serde_json::from_slice::<T>(bytes) {
        assert!(e.line() > 0 || e.is_eof() || e.is_data(), "{e}");
        assert!(!e.to_string().is_empty());
    }
}

fn valid_frames() -> Vec<Vec<u8>> {
    let query = Slab::default().insert(());
    let tag = QueryTag(7);
    let attempt =
        AttemptId { thread: ThreadId::from_index(1), query, tag, position: 3, ordinal: 0 };
    let replica = ReplicaTag(9);
    let batch = QueryMessage::Batch(Batch {
        query: QueryTag(5),
        rank: Rank::Background,
        time_left: Duration::from_millis(250),
        snapshot: Snapshot(3),
        body: Bytes::from_static(b"account-1"),
        sub_queries: vec![SubQuery { attempt, replica }],
    });
    let hint = Hint { snapshots: Some(RANGE), usable: true, ..Hint::default() };
    let reply = |outcome| QueryMessage::Reply(SubQueryReply { attempt, replica, outcome, hint });
    let failed = Outcome::Failed { verdict: Verdict::NotRun, reason: FailReason::Draining };
    let answered = Outcome::Rows { snapshot: Snapshot(3), rows: rows() };
    let messages = [batch, reply(failed), reply(answered)];
    let encoded = messages.map(|message| {
        let mut buf = BytesMut::new();
        encode(&Frame::Query(message), &mut buf);
        buf.to_vec()
    });
    encoded.to_vec()
}

proptest! {
    #[test]
    fn any_body_is_parsed_or_rejected(bytes in input(valid_bodies())) {
        parse_json::<QueryBody>(&bytes);
        parse_json::<AnswerBody>(&bytes);
        parse_json::<RefusalBody>(&bytes);
        parse_json::<LookupReply>(&bytes);
        parse_json::<SnapshotRange>(&bytes);
        parse_json::<ObjectList>(&bytes);
        parse_json::<Stored>(&bytes);
        parse_json::<Vec<Vm>>(&bytes);
        parse_json::<Document>(&bytes);
        parse_json::<Conflict>(&bytes);
        parse_json::<NotStored>(&bytes);
        parse_json::<InForce>(&bytes);
        parse_json::<DrainBody>(&bytes);
    }

    #[test]
    fn any_document_is_parsed_or_rejected(bytes in input(vec![DOCUMENT.as_bytes().to_vec()])) {
        let text = String::from_utf8_lossy(&bytes);
        if let Err(e) = ServiceSettings::parse(&text) {
            prop_assert!(!e.to_string().is_empty());
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in input(valid_frames()), size in 1_usize..64) {
        let mut decoder = Decoder::default();
        let mut decoded = 0;
        'stream: for chunk in bytes.chunks(size) {
            decoder.extend(&Bytes::copy_from_slice(chunk));
            loop {
                match decoder.next_frame() {
                    Ok(Some(_)) => decoded += 1,
                    Ok(None) => break,
                    Err(e) => {
                        prop_assert!(!e.to_string().is_empty());
                        break 'stream;
                    }
                }
            }
        }
        prop_assert!(decoded <= bytes.len() / 4);
    }

    /// Guards against allocation for an element count that exceeds the received bytes.
    #[test]
    fn false_element_count_never_yields_a_larger_frame(variant in 0_u8..5, count in any::<u64>()) {
        // The variants of `Frame` and of its message, arbitrary bytes, then the count in eight
        // bytes, which bincode marks by 253.
        let mut body = vec![0, variant];
        body.extend([7; 12]);
        body.push(253);
        body.extend(count.to_le_bytes());
        let mut buf = BytesMut::new();
        buf.put_u32(body.len() as u32);
        buf.extend_from_slice(&body);
        let mut decoder = Decoder::default();
        decoder.extend(&buf.freeze());
        if let Ok(Some(frame)) = decoder.next_frame() {
            let mut encoded = BytesMut::new();
            encode(&frame, &mut encoded);
            prop_assert!(encoded.len() <= 4 + body.len() + 32, "{frame:?}");
        }
    }
}

#[test]
fn frame_above_the_size_limit_is_rejected_before_its_body_is_received() {
    let mut decoder = Decoder::default();
    decoder.extend(&Bytes::copy_from_slice(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()));
    assert!(matches!(decoder.next_frame(), Err(FrameError::TooLong(_))));
}

#[test]
fn deep_nesting_is_rejected() {
    let nested = "[".repeat(100_000);
    assert!(serde_json::from_str::<ObjectList>(&nested).is_err());
    assert!(ServiceSettings::parse(&format!("service = {nested}")).is_err());
    let tables = format!("service = {}", "{a=".repeat(50_000));
    assert!(ServiceSettings::parse(&tables).is_err());
}

#[test]
fn document_above_the_size_limit_is_rejected() {
    let long = format!("# {}\n{DOCUMENT}", "x".repeat(2 * 1024 * 1024));
    assert!(ServiceSettings::parse(&long).is_err());
}
